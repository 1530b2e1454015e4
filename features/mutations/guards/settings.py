"""Guards of settings in force."""

from typing import Any

from .model import CONTROL, Guard


def settings_not_applied() -> None:
    """Report the version of a newer view but keep the settings of the first."""
    import dataclasses

    from dogwoodspool_following.view import ProxyView

    original = ProxyView.of
    first: dict[str, Any] = {}

    def of(message: Any, base: Any = None, sender: Any = None) -> Any:
        view = original(message, base, sender)
        if "users" not in str(message.settings):
            return view
        tree = first.setdefault("tree", view.tree)
        return dataclasses.replace(view, tree=tree)

    ProxyView.of = staticmethod(of)


def change_ids_forgotten() -> None:
    """Treat a change that was sent again as a new one."""
    from dogwoodspool_settings.answers import AnswerStore

    AnswerStore.get = lambda _self, _change_id: None


def expected_version_unchecked() -> None:
    """Accept a change whatever version its operator expects."""
    import dataclasses

    from dogwoodspool_settings.change_check import ChangeCheck

    original = ChangeCheck.check

    def check(self: Any, change: Any) -> Any:
        current = self._nodes.version_of(change.path)
        return original(self, dataclasses.replace(change, expected_version=current))

    ChangeCheck.check = check


def watch_unconfirmed() -> None:
    """Accept the first view from any control process, unconfirmed by a quorum."""
    from dogwoodspool_following.view import ViewStore
    from dogwoodspool_following.watch import WatchCoordinator

    original = WatchCoordinator._poll

    def _poll(self: Any, address: Any) -> Any:
        is_filled = ViewStore.is_filled
        ViewStore.is_filled = property(lambda _self: True)
        try:
            return original(self, address)
        finally:
            ViewStore.is_filled = is_filled

    WatchCoordinator._poll = _poll


def views_go_back() -> None:
    """Apply any view that a control process takes for current, also an older one."""
    import time

    from dogwoodspool_following.view import ProxyView, ViewStore
    from dogwoodspool_following.watch import WatchCoordinator

    original = WatchCoordinator._poll

    def _poll(self: Any, address: Any) -> Any:
        # Each poll is answered at once with the whole state.
        time.sleep(0.05)
        return original(self, address)

    def adopt(self: Any, message: Any, _sender: Any = None) -> bool:
        with self._changed:
            self._view = ProxyView.of(message)
            self._changed.notify_all()
        for listener in self._listeners:
            listener(self._view)
        return True

    WatchCoordinator._poll = _poll
    ViewStore.base_version = property(lambda _self: 0)
    ViewStore.adopt = adopt


def frozen_control_kept() -> None:
    """Ask only the first control process of the list for views."""
    from dogwoodspool_following.control_peers import ControlPeers

    ControlPeers.any = lambda self: self._addresses[0]
    ControlPeers.addresses = property(lambda self: self._addresses[:1])
    ControlPeers.answering_leader = property(lambda _self: None)


GUARDS = (
    Guard("settings-not-applied", settings_not_applied),
    Guard("change-ids-forgotten", change_ids_forgotten, CONTROL),
    Guard("expected-version-unchecked", expected_version_unchecked, CONTROL),
    Guard("watch-unconfirmed", watch_unconfirmed),
    Guard("views-go-back", views_go_back),
    Guard("frozen-control-kept", frozen_control_kept),
)
