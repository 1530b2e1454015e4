"""What the database and the key that a caller names stand for."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from dogwoodspool_common import Address, Endpoint, log_rate_limited
from dogwoodspool_following import ProxyView, ViewStore

from .errors import NoDatabaseError, NotReadyError, UnknownKeyError
from .identity import Caller, identify

FoundT = TypeVar("FoundT")


class Confirmer(Protocol):
    """Confirms that the view in force is the newest one."""

    @property
    def confirmed_by(self) -> Address | None:
        """The control process that confirmed the view last."""
        ...

    @property
    def age_ms(self) -> int | None:
        """Milliseconds since the last confirmation."""
        ...

    @property
    def refusal(self) -> str | None:
        """Why a view that nobody confirmed must not be used; None if it may be."""
        ...

    def confirm(self) -> bool:
        """Return whether it is; a newer view is put in force."""
        ...

    def refresh(self) -> bool:
        """Confirm the view unless that was done lately; return whether it was.

        While control cannot be reached it returns False without a wait.
        """
        ...


@dataclass(frozen=True, slots=True)
class KnownCaller:
    """A caller and the endpoint that it uses.

    Attributes:
        view: version of the view that names them.
    """

    endpoint: Endpoint
    caller: Caller
    view: int


class Databases:
    """Find endpoints and client accounts in the view in force.

    A proxy may be behind without having noticed. It would deny databases that were
    acknowledged, and its callers would not try another proxy; and it would use routes
    that were removed. So what the view contains is served if control has confirmed the
    view lately, and after one attempt to confirm it otherwise: a proxy that is cut off
    goes on serving. What the view lacks is denied only after control has confirmed that
    it is the newest one.
    """

    def __init__(self, views: ViewStore, confirmer: Confirmer) -> None:
        self._views = views
        self._confirmer = confirmer

    def endpoint(self, database: str) -> Endpoint | None:
        """Return the endpoint of a database; None if the view in force lacks it."""
        return self._views.view.databases.get(database)

    def resolve(
        self, database: str, key_digest: str, request_id: str = ""
    ) -> KnownCaller:
        """Return the endpoint of a database and the caller that a key identifies.

        Args:
            database: the name that the caller connected to.
            key_digest: digest of the key that it presented.
            request_id: its request, for the log; empty for a new session.

        Raises:
            NoDatabaseError: the newest configuration has no such database.
            UnknownKeyError: the database needs a key, and no account of the newest
                configuration holds this one.
            NotReadyError: either may be the case, but control did not confirm it; or
                the view is known to be old.
        """
        is_recent = self._confirmer.refresh()
        view = self._views.view
        try:
            known = _find(view, database, key_digest)
        except (NoDatabaseError, UnknownKeyError):
            return self._find_in_newest(
                lambda newest: _find(newest, database, key_digest), database, request_id
            )
        if not is_recent:
            self._check_unconfirmed(view, database, request_id)
        return known

    def identify(
        self, endpoint: Endpoint, key_digest: str, request_id: str = ""
    ) -> Caller:
        """Return the caller that a key identifies at an endpoint that is in use.

        Raises:
            UnknownKeyError: no account of the newest configuration holds the key.
            NotReadyError: no account that is known here holds it, but control did not
                confirm it.
        """
        try:
            return identify(self._views.view, endpoint, key_digest)
        except UnknownKeyError:
            return self._find_in_newest(
                lambda newest: identify(newest, endpoint, key_digest),
                endpoint.database,
                request_id,
            )

    def _find_in_newest(
        self, find: Callable[[ProxyView], FoundT], database: str, request_id: str
    ) -> FoundT:
        """Return what the newest view has and the view in force lacked."""
        is_newest = self._confirmer.confirm()
        view = self._views.view
        try:
            return find(view)
        except (NoDatabaseError, UnknownKeyError) as error:
            is_denied = is_newest and _has_configuration(view)
            self._log_refused(error, view, database, request_id, is_denied=is_denied)
            if is_denied:
                raise
            raise NotReadyError(f"not confirmed by control yet: {error}") from error

    def _check_unconfirmed(
        self, view: ProxyView, database: str, request_id: str
    ) -> None:
        refusal = self._confirmer.refusal
        log_rate_limited(
            "served_unconfirmed" if refusal is None else "refused_unconfirmed",
            first_of=f"{database} {view.version}",
            request=request_id,
            database=database,
            reason=refusal,
            **self._origin(view),
        )
        if refusal is not None:
            raise NotReadyError(refusal)

    def _log_refused(
        self,
        error: Exception,
        view: ProxyView,
        database: str,
        request_id: str,
        *,
        is_denied: bool,
    ) -> None:
        log_rate_limited(
            "database_refused" if isinstance(error, NoDatabaseError) else "key_refused",
            level="WARNING",
            first_of=f"{database} {view.version}",
            request=request_id,
            database=database,
            reason=error,
            is_denied=is_denied,
            **self._origin(view),
        )

    def _origin(self, view: ProxyView) -> dict[str, Any]:
        """Return the fields of the log that tell a view, and who confirmed it when."""
        return {
            "view": view.version,
            "revision": view.revision,
            "sender": view.sender,
            "view_age_ms": self._views.age_ms,
            "view_from": self._views.confirmed_by,
            "confirmed_ago_ms": self._confirmer.age_ms,
            "confirmed_by": self._confirmer.confirmed_by,
        }


def _find(view: ProxyView, database: str, key_digest: str) -> KnownCaller:
    endpoint = view.databases.get(database)
    if endpoint is None:
        raise NoDatabaseError(f"there is no database {database}")
    caller = identify(view, endpoint, key_digest)
    return KnownCaller(endpoint, caller, view.version)


def _has_configuration(view: ProxyView) -> bool:
    return bool(view.databases) or view.revision > 0
