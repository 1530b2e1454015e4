"""Dependencies shared by the steps of a promotion."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Protocol

from dogwoodspool_backend import RoleChanger
from dogwoodspool_common import Clock

from ..grants.grants import GrantTable
from ..grants.release import ReleaseClient
from ..membership.incarnations import IncarnationAges
from ..node import ControlNode
from ..state import ControlState
from .failovers import FailoverTimeline


class RoleChangers(Protocol):
    """Provide the role changer of each group."""

    def of_group(self, group: str) -> RoleChanger:
        """Return a role changer with the group's current settings."""
        ...


@dataclass(frozen=True, slots=True)
class PromotionDependencies:
    """Dependencies of the promotions of all groups.

    Attributes:
        is_failed: whether the proxies currently report a server as failed.
        executor: runs calls to proxies and backend servers.
    """

    clock: Clock
    node: ControlNode
    state: ControlState
    table: GrantTable
    ages: IncarnationAges
    release_client: ReleaseClient
    role_changers: RoleChangers
    timeline: FailoverTimeline
    executor: ThreadPoolExecutor
    is_failed: Callable[[str, str], bool]
