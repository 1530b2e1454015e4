"""What the steps of a promotion share."""

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
    """Give the role changer of each group."""

    def of_group(self, group: str) -> RoleChanger:
        """Return a role changer with the group's settings in force."""
        ...


@dataclass(frozen=True, slots=True)
class PromotionDependencies:
    """The objects that promotions of all groups work with.

    Attributes:
        is_failed: whether the proxies call a server failed at this moment.
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
