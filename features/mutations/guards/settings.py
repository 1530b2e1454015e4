"""Guards of settings in force."""

from typing import Any

from .model import CONTROL, Guard


def settings_not_applied() -> None:
    """Follow the version of a newer view and keep the settings of the first."""
    import dataclasses

    from dogwoodspool_proxy.view import ProxyView

    original = ProxyView.of
    first: dict[str, Any] = {}

    def of(message: Any) -> Any:
        view = original(message)
        if "users" not in str(message.settings):
            return view
        tree = first.setdefault("tree", view.tree)
        return dataclasses.replace(view, tree=tree)

    ProxyView.of = staticmethod(of)


def change_ids_forgotten() -> None:
    """Decide a change that was sent again as a new one."""
    from dogwoodspool_settings.answers import AnswerMemory

    AnswerMemory.get = lambda _self, _change_id: None


def expected_version_unchecked() -> None:
    """Let a change take effect whatever version its operator has seen."""
    import dataclasses

    from dogwoodspool_settings.change_check import ChangeCheck

    original = ChangeCheck.check

    def check(self: Any, change: Any) -> Any:
        current = self._nodes.version_of(change.path)
        return original(self, dataclasses.replace(change, expected_version=current))

    ChangeCheck.check = check


GUARDS = (
    Guard("settings-not-applied", settings_not_applied),
    Guard("change-ids-forgotten", change_ids_forgotten, CONTROL),
    Guard("expected-version-unchecked", expected_version_unchecked, CONTROL),
)
