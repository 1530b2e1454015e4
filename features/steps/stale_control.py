"""Steps about control processes that were suspended and hold outdated state."""

import time

from dogwoodspool_common import HttpError
from support.const import POLL_SECONDS
from support.control import ACCEPTED, Change, can_log_in, control_of, users_with
from support.steps import Context, then, when, world_of


@when("the control process that does not lead freezes")
def freeze_follower(context: Context) -> None:
    control = control_of(context)
    follower = control.followers()[0]
    world_of(context).state["stale_control"] = follower
    control.freeze(follower)


@when("the frozen control process is removed from the voters")
def remove_frozen(context: Context) -> None:
    control_of(context).remove_voter(world_of(context).state["stale_control"].name)


@when("the other control processes freeze and the removed one goes on")
def resume_only_stale(context: Context) -> None:
    control = control_of(context)
    control.freeze(*control.running)
    control.thaw(world_of(context).state["stale_control"])


@when("proxy {number:d} is killed and starts again next to the removed one")
def restart_proxy(context: Context, number: int) -> None:
    world = world_of(context)
    world.deployment.restart_proxy(world.proxy(number), world.state["stale_control"])


@then("for {seconds:d} seconds no proxy has a state from before the changes")
def no_proxy_has_old_state(context: Context, seconds: int) -> None:
    world = world_of(context)
    wanted = world.state["change_reply"].view_version
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for proxy in world.running_proxies():
            version = world.deployment.proxy_status(proxy)["view_version"]
            # A proxy that serves no caller yet reports 0.
            assert version == 0 or version >= wanted, (proxy.name, version, wanted)
        time.sleep(POLL_SECONDS)


@then("the removed control process still believes its old state")
def stale_control_has_old_state(context: Context) -> None:
    world = world_of(context)
    view = control_of(context).watch(world.state["stale_control"], confirmed=False).view
    assert view is not None, "the process has no state"
    assert view.version < world.state["change_reply"].view_version, view.version


@then("the removed control process confirms no read")
def stale_control_confirms_no_read(context: Context) -> None:
    stale = world_of(context).state["stale_control"]
    try:
        view = control_of(context).watch(stale, confirmed=True).view
    except HttpError:
        return
    raise AssertionError(f"{stale.name} confirmed {view}")


@then("each change gets into force in every proxy while a control process is frozen")
def changes_apply_while_one_is_frozen(context: Context) -> None:
    world = world_of(context)
    control = control_of(context)
    for number, frozen in enumerate(list(control.running)):
        control.freeze(frozen)
        user = f"auditor-{number}"
        version = int(control.root()["version"])
        overrides = {**world.deployment.root_settings(), **users_with(user)}
        reply = control.resend(Change(overrides, version))
        assert reply.outcome == ACCEPTED, reply
        world.eventually(
            f"login of {user} everywhere",
            lambda user=user: all(
                can_log_in(proxy, user) for proxy in world.running_proxies()
            ),
        )
        control.thaw(frozen)
