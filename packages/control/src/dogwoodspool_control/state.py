"""The replicated state of the control group."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from dogwoodspool_api import ControlView
from dogwoodspool_common import (
    BackendServer,
    Clock,
    GroupState,
    Phase,
    RateLimit,
    log_event,
)
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_settings import ExplainedValue, HistoryEntry, SettingsNode
from pydantic import TypeAdapter

from .commands import (
    AbandonSwitchover,
    AdoptPrimary,
    ApplyDocument,
    BeginPromotion,
    BootstrapGroup,
    ChangeSettings,
    ChoosePrimary,
    Command,
    EndPromotion,
    ForgetProxy,
    IssueToken,
    LowerLeaseBound,
    RecordEpoch,
    RecordResume,
    RecordServer,
    RegisterProxy,
    RemoveServer,
    RetireServer,
    SettleWriteAcks,
    decode_command,
    encode_outcome,
)
from .const import CODE_CONFLICT, CODE_INVALID
from .errors import CommandRejectedError
from .membership.instances import ProxyTable, ServerTable
from .membership.leaving_times import LeavingTimes
from .models import Outcome, Promotion, ProxyRecord
from .promotion.groups import GroupTable
from .settings.documents import DocumentSnapshot, DocumentState
from .settings.state import SettingsSnapshot, SettingsState
from .settings.view_log import ViewItems, ViewLog


@dataclass(frozen=True, slots=True)
class ControlSnapshot:
    """The whole replicated state."""

    version: int
    groups: dict[str, GroupState]
    promotions: dict[str, Promotion]
    change_outcomes: dict[str, Outcome]
    proxies: dict[str, ProxyRecord]
    servers: dict[str, BackendServer]
    settings: SettingsSnapshot
    document: DocumentSnapshot = field(default_factory=DocumentSnapshot)
    ended_servers: dict[str, int] = field(default_factory=dict)
    open_resumes: dict[str, tuple[int, ...]] = field(default_factory=dict)


_snapshot_adapter: Final = TypeAdapter(ControlSnapshot)


class ControlState:
    """Apply the commands of the replicated log, in order, on every voter.

    The effect of a command depends only on the commands before it. Commands are
    applied by one thread. Any thread may read; the values that it gets are not
    changed by later commands.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changed = threading.Condition(threading.RLock())
        self._version = 0
        self._groups = GroupTable({}, {}, {})
        self._proxies = ProxyTable({})
        self._servers = ServerTable({})
        self._settings = SettingsState()
        self._document = DocumentState()
        self._document_applied_at: float | None = None
        self._open_resumes: dict[str, dict[int, float]] = {}
        self._leaving = LeavingTimes(clock)
        self._views = ViewLog()
        self._views.reset(0, self._view_items())
        self._listeners: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Log index of the last command that changed the state."""
        with self._changed:
            return self._version

    @property
    def groups(self) -> dict[str, GroupState]:
        """All groups by name."""
        with self._changed:
            return dict(self._groups.groups)

    @property
    def promotions(self) -> dict[str, Promotion]:
        """Promotions in progress by group."""
        with self._changed:
            return dict(self._groups.promotions)

    @property
    def proxies(self) -> dict[str, ProxyRecord]:
        """Registered proxies by name."""
        with self._changed:
            return dict(self._proxies.proxies)

    @property
    def servers(self) -> dict[str, BackendServer]:
        """Recorded backend servers by name."""
        with self._changed:
            return dict(self._servers.servers)

    @property
    def settings(self) -> SettingsState:
        """The settings in force; changed only by ``apply``."""
        return self._settings

    @property
    def document(self) -> DocumentSnapshot:
        """The latest document of an external system."""
        with self._changed:
            return self._document.snapshot()

    @property
    def document_age_ms(self) -> int | None:
        """Milliseconds since the latest document was applied here.

        None before the first one, and for a document of a restored snapshot. It was
        committed at that time or earlier.
        """
        with self._changed:
            if self._document_applied_at is None:
                return None
            age = self._clock.now() - self._document_applied_at
            return round(age * MILLISECONDS)

    @property
    def ended_servers(self) -> dict[str, int]:
        """The latest incarnation that has ended, by backend server."""
        with self._changed:
            return dict(self._servers.ended)

    def leaving_age(self, name: str) -> float | None:
        """Return the seconds since a leaving server announced that; None if unknown."""
        with self._changed:
            return self._leaving.age(name)

    def begin_live(self, last_index: int) -> None:
        """Take the entries after an index for ones that were committed just now.

        Until then, and up to that index, they come from the disk of this process, and
        when they were committed is not known.
        """
        with self._changed:
            self._leaving.begin_live(last_index)

    def open_resumes(self, lifetime: float) -> frozenset[str]:
        """Return the servers that may still carry out a command to resume.

        Args:
            lifetime: seconds after which a command is not carried out any more. They
                count from when it was recorded here: before it was sent, or after a
                restart of this process.
        """
        with self._changed:
            oldest = self._clock.now() - lifetime
            return frozenset(
                name
                for name, recorded_at in self._open_resumes.items()
                if max(recorded_at.values()) >= oldest
            )

    def expired_resumes(self, lifetime: float) -> list[tuple[str, int]]:
        """Return server and log index of the records that no longer count as open."""
        with self._changed:
            oldest = self._clock.now() - lifetime
            return [
                (name, index)
                for name, opened in self._open_resumes.items()
                for index, recorded_at in opened.items()
                if recorded_at < oldest
            ]

    def describes_group(self, name: str) -> bool:
        """Return whether the settings tree has a node for a database group."""
        with self._changed:
            return self._settings.tree.has_group(name)

    def group(self, name: str) -> GroupState | None:
        """Return one group."""
        with self._changed:
            return self._groups.groups.get(name)

    def change_outcome(self, change_id: str) -> Outcome | None:
        """Return the first outcome of an operator's promotion, by change id."""
        with self._changed:
            return self._groups.change_outcomes.get(change_id)

    def promotion(self, group: str) -> Promotion | None:
        """Return a group's promotion in progress."""
        with self._changed:
            return self._groups.promotions.get(group)

    def servers_of(self, group: str) -> list[BackendServer]:
        """Return a group's backend servers by name."""
        servers = self.servers
        return [
            servers[name] for name in sorted(servers) if servers[name].group == group
        ]

    def rate_limit(self, account: str) -> RateLimit | None:
        """Return the rate limit of a client account; None if it has none.

        Accounts come from the document of an external system or from the settings.
        """
        with self._changed:
            known = self._document.account(account)
            if known is not None:
                return known.rate_limit
            declared = self._settings.root.accounts.get(account)
            return None if declared is None else declared.rate_limit

    def proxy_domains(self) -> int:
        """Return the number of failure domains that have registered proxies."""
        with self._changed:
            proxies = self._proxies.proxies.values()
            return max(1, len({one.failure_domain for one in proxies}))

    def view(self) -> ControlView:
        """Return the complete view of the state that proxies follow."""
        with self._changed:
            return self._views.view(self._version)

    def view_since(self, version: int, *, with_all_groups: bool = False) -> ControlView:
        """Return the delta of the view from a version that a proxy has.

        Args:
            version: the version that the proxy has.
            with_all_groups: whether unchanged groups are included as well.
        """
        with self._changed:
            return self._views.view_since(
                version, self._version, with_all_groups=with_all_groups
            )

    def settings_nodes(self) -> list[SettingsNode]:
        """Return all nodes of the settings tree, secrets included."""
        with self._changed:
            return self._settings.tree.nodes()

    def explain_settings(self, path: str) -> list[ExplainedValue]:
        """Return each effective value of a node with the level that defines it.

        Raises:
            SettingsTreeError: the tree has no such node.
        """
        with self._changed:
            return self._settings.tree.explain(path)

    def settings_history(self, limit: int, path: str | None) -> list[HistoryEntry]:
        """Return the latest accepted changes, newest first, with secrets redacted."""
        with self._changed:
            return self._settings.tree.history(limit, path)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call after each change; it must not block."""
        with self._changed:
            self._listeners.append(listener)

    def wait_newer(self, after: int, timeout: float) -> bool:
        """Wait until the version exceeds ``after``; return False on a timeout."""
        deadline = self._clock.now() + timeout
        with self._changed:
            while self._version <= after:
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    return False
                self._clock.wait(self._changed, remaining)
            return True

    def apply(self, index: int, command: dict[str, Any]) -> dict[str, Any]:
        """Apply one committed command and return its outcome."""
        with self._changed:
            try:
                outcome = self._apply(index, decode_command(command))
            except CommandRejectedError as error:
                log_event("command_unknown", level="ERROR", index=index)
                outcome = Outcome(False, error.code, str(error))
            if outcome.is_accepted and outcome.index == index:
                self._version = index
                self._leaving.record(index, self._servers.servers)
                self._views.record(index, self._view_items())
                self._notify_change()
            return encode_outcome(outcome)

    def snapshot(self) -> dict[str, Any]:
        """Return the whole state as JSON values."""
        with self._changed:
            snapshot = ControlSnapshot(
                version=self._version,
                groups=dict(self._groups.groups),
                promotions=dict(self._groups.promotions),
                change_outcomes=dict(self._groups.change_outcomes),
                proxies=dict(self._proxies.proxies),
                servers=dict(self._servers.servers),
                settings=self._settings.snapshot(),
                document=self._document.snapshot(),
                ended_servers=dict(self._servers.ended),
                open_resumes={
                    name: tuple(indexes) for name, indexes in self._open_resumes.items()
                },
            )
            fields: dict[str, Any] = _snapshot_adapter.dump_python(
                snapshot, mode="json"
            )
            return fields

    def restore(self, snapshot: dict[str, Any]) -> None:
        """Replace the whole state by that of a snapshot."""
        restored = _snapshot_adapter.validate_python(snapshot)
        with self._changed:
            self._groups = GroupTable(
                restored.groups, restored.promotions, restored.change_outcomes
            )
            self._proxies = ProxyTable(restored.proxies)
            self._servers = ServerTable(restored.servers, restored.ended_servers)
            self._leaving.restore(restored.servers)
            self._settings = SettingsState(restored.settings)
            self._document = DocumentState.restore(restored.document)
            self._document_applied_at = None
            now = self._clock.now()
            self._open_resumes = {
                name: dict.fromkeys(indexes, now)
                for name, indexes in restored.open_resumes.items()
            }
            self._version = restored.version
            self._views.reset(restored.version, self._view_items())
            self._notify_change()

    def _notify_change(self) -> None:
        self._changed.notify_all()
        for listener in self._listeners:
            listener()

    def _apply(self, index: int, command: Command) -> Outcome:
        match command:
            case ChangeSettings():
                return self._settings.change(index, command, self._groups.groups)
            case LowerLeaseBound():
                return self._settings.lower_lease_bound(command)
            case SettleWriteAcks():
                return self._settings.settle_write_acks(command)
            case RegisterProxy():
                limit = self._settings.root.max_proxies
                return self._proxies.register(index, command, limit)
            case ForgetProxy():
                return self._proxies.forget(index, command)
            case RecordServer():
                return self._servers.record(index, command)
            case RecordResume():
                return self._record_resume(index, command)
            case RetireServer():
                return self._servers.retire(index, command)
            case RemoveServer():
                return self._remove_server(index, command)
            case ApplyDocument():
                return self._apply_document(index, command)
            case IssueToken():
                return self._groups.issue_token(index, command)
            case _:
                return self._apply_to_group(index, command)

    def _apply_document(self, index: int, command: ApplyDocument) -> Outcome:
        applied = self._document.replace(
            command.revision,
            command.content,
            command.author,
            self._settings.tree,
            index,
        )
        if applied.is_error():
            return Outcome(False, CODE_INVALID, applied.error.message)
        if not applied.ok:
            return Outcome(True, version=self._document.revision)
        self._document_applied_at = self._clock.now()
        self._settings.record_document_change(index, self._groups.groups)
        return Outcome(True, index=index, version=command.revision)

    def _remove_server(self, index: int, command: RemoveServer) -> Outcome:
        outcome = self._servers.remove(index, command, self._groups.groups)
        if outcome.is_accepted:
            self._open_resumes.pop(command.name, None)
        return outcome

    def _record_resume(self, index: int, command: RecordResume) -> Outcome:
        server = self._servers.servers.get(command.server)
        if server is None:
            return Outcome(False, CODE_INVALID, f"unknown server {command.server}")
        if command.is_open:
            group = self._groups.groups.get(server.group)
            if group is None or group.phase is not Phase.STEADY:
                return Outcome(False, CODE_CONFLICT, f"{server.group} is not steady")
            opened = self._open_resumes.setdefault(command.server, {})
            opened[index] = self._clock.now()
        else:
            opened = self._open_resumes.get(command.server, {})
            opened.pop(command.opened_at, None)
            if not opened:
                self._open_resumes.pop(command.server, None)
        return Outcome(True, version=index)

    def _apply_to_group(
        self,
        index: int,
        command: BootstrapGroup
        | BeginPromotion
        | ChoosePrimary
        | EndPromotion
        | AdoptPrimary
        | AbandonSwitchover
        | RecordEpoch,
    ) -> Outcome:
        match command:
            case BootstrapGroup():
                outcome = self._groups.bootstrap(index, command)
                self._settings.record_unsettled_groups(self._groups.groups)
                return outcome
            case BeginPromotion():
                return self._groups.begin(index, command, self._servers.servers)
            case ChoosePrimary():
                return self._groups.choose(index, command)
            case EndPromotion():
                return self._groups.end(index, command)
            case AdoptPrimary():
                return self._groups.adopt(index, command)
            case RecordEpoch():
                return self._groups.record_epoch(index, command)
            case AbandonSwitchover():
                return self._groups.abandon_switchover(
                    index, command, self._servers.servers
                )

    def _view_items(self) -> ViewItems:
        return ViewItems(
            groups=self.groups,
            servers=self.servers,
            proxies=self.proxies,
            settings={node.path: node for node in self._settings.tree.nodes()},
            endpoints={
                endpoint.name: endpoint for endpoint in self._document.endpoints
            },
            accounts={account.name: account for account in self._document.accounts},
            requires_account=self._document.requires_account,
            revision=self._document.revision,
        )
