"""Status and metrics of a voter for operators."""

from dataclasses import asdict
from typing import Any

from dogwoodspool_common import Clock
from dogwoodspool_consensus import ConsensusNode

from .grants.renewals import Renewals
from .node import ControlNode
from .promotion.failovers import FailoverTimeline
from .promotion.promoter import Promotions
from .state import ControlState


class StatusReport:
    """Build the status and the metrics from the components of the voter."""

    def __init__(
        self,
        clock: Clock,
        consensus: ConsensusNode,
        node: ControlNode,
        state: ControlState,
        *,
        renewals: Renewals,
        promotions: Promotions,
        timeline: FailoverTimeline,
    ) -> None:
        self._clock = clock
        self._consensus = consensus
        self._node = node
        self._state = state
        self._renewals = renewals
        self._promotions = promotions
        self._timeline = timeline

    def build(self) -> dict[str, Any]:
        """Return the status as JSON values.

        Only the leader knows the renewals and the current steps of promotions; other
        voters omit renewals and show the committed step of each promotion.
        """
        view = self._state.view().model_dump(mode="json")
        return {
            "leader": self._node.leader or None,
            "is_leader": self._node.leadership() is not None,
            "voters": self.voters(),
            "groups": view["groups"],
            "servers": view["servers"],
            "proxies": self._proxies(),
            "promotions": self._promotions_in_progress(),
            "failovers": self._timeline.describe(),
            "view_version": view["version"],
        }

    def voters(self) -> list[dict[str, Any]]:
        """Return the members of the control group."""
        diagnostics = self._consensus.diagnostics()
        return [asdict(member) for member in diagnostics.members]

    def metrics(self) -> str:
        """Return the counters and gauges, one ``name value`` pair per line."""
        diagnostics = self._consensus.diagnostics()
        values = {
            "dogwoodspool_control_is_leader": int(diagnostics.has_lease),
            "dogwoodspool_control_term": diagnostics.term,
            "dogwoodspool_control_commit_index": diagnostics.commit_index,
            "dogwoodspool_control_last_applied": diagnostics.last_applied,
            "dogwoodspool_control_view_version": self._state.version,
            "dogwoodspool_control_groups": len(self._state.groups),
            "dogwoodspool_control_servers": len(self._state.servers),
            "dogwoodspool_control_proxies": len(self._state.proxies),
            "dogwoodspool_control_promotions": len(self._state.promotions),
        }
        return "".join(f"{name} {value}\n" for name, value in values.items())

    def _proxies(self) -> list[dict[str, Any]]:
        now = self._clock.now()
        is_leader = self._node.leadership() is not None
        latest = self._renewals.latest if is_leader else {}
        proxies = []
        for name, record in sorted(self._state.proxies.items()):
            renewed_at, version = latest.get(name, (None, None))
            proxies.append(
                {
                    "proxy": name,
                    "failure_domain": record.failure_domain,
                    "address": str(record.address),
                    "view_version": version,
                    "seconds_since_renewal": (
                        None if renewed_at is None else round(now - renewed_at, 3)
                    ),
                }
            )
        return proxies

    def _promotions_in_progress(self) -> list[dict[str, Any]]:
        running = {report.group: report for report in self._promotions.reports}
        described = []
        for group, promotion in sorted(self._state.promotions.items()):
            report = running.get(group)
            step = "begun" if promotion.chosen is None else "chosen"
            described.append(
                {
                    "group": group,
                    "term": promotion.term,
                    "reason": promotion.reason,
                    "step": step if report is None else report.step,
                    "waiting_for": [] if report is None else list(report.waiting_for),
                }
            )
        return described
