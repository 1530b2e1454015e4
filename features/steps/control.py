"""Steps in which control processes and their disks are lost and come back."""

import shutil
import time

from dogwoodspool_testbed import ControlHandle
from steps.settings import control_of
from support.control import ACCEPTED, Change, users_with
from support.steps import Context, then, when, world_of

# What control itself may keep open to each backend server.
CONTROL_CONNECTIONS = 2


def kill(context: Context, *controls: ControlHandle) -> None:
    """End control processes and remember which to start again."""
    control_of(context).kill(*controls)
    world_of(context).notes.setdefault("killed", []).extend(controls)


@when("the committed state is noted")
def note_state(context: Context) -> None:
    world = world_of(context)
    view = world.deployment.view()
    world.notes["state"] = (view.groups, view.settings)


@when("all control processes are killed")
def kill_all(context: Context) -> None:
    kill(context, *control_of(context).running)


@when("two of three control processes are killed")
def kill_two(context: Context) -> None:
    control = control_of(context)
    leader = control.wait_leader()
    kill(context, leader, control.followers()[0])


@when("a control process that does not lead is killed")
def kill_follower(context: Context) -> None:
    follower = control_of(context).followers()[0]
    world_of(context).notes["returning"] = follower
    kill(context, follower)


@when("the other control process that does not lead is killed")
def kill_other_follower(context: Context) -> None:
    wiped = world_of(context).notes["wiped"]
    followers = control_of(context).followers()
    kill(context, next(one for one in followers if one != wiped))


@when("the control leader is killed")
def kill_leader(context: Context) -> None:
    kill(context, control_of(context).wait_leader())


@when("the killed control processes start again")
def restart_killed(context: Context) -> None:
    killed = world_of(context).notes.pop("killed")
    control_of(context).restart(*killed)


@when("a control process that does not lead loses its disk and starts again")
def lose_disk(context: Context) -> None:
    world = world_of(context)
    control = control_of(context)
    follower = control.followers()[0]
    control.kill(follower)
    shutil.rmtree(world.deployment.folder / follower.name)
    control.restart(follower)
    world.notes["wiped"] = follower


@when('the control process without its disk is replaced by "{name:Text}"')
def replace_wiped(context: Context, name: str) -> None:
    world = world_of(context)
    control = control_of(context)
    wiped: ControlHandle = world.notes["wiped"]
    control.kill(wiped)
    handle = world.deployment.start_control(name, wiped.failure_domain)
    control.add_voter(name, handle.address)
    control.remove_voter(wiped.name)
    members = control.voters()
    assert name in members and wiped.name not in members, members


@when('an operator makes {count:d} changes and then lets the user "{user:Text}" in')
def change_often(context: Context, count: int, user: str) -> None:
    world = world_of(context)
    reply = control_of(context).change_often(count + 1, users_with(user))
    world.notes["reply"] = reply
    world.notes["overrides"] = users_with(user)


@then("the control process that was killed has all changes")
def has_all_changes(context: Context) -> None:
    world = world_of(context)
    control = control_of(context)
    returning: ControlHandle = world.notes["returning"]
    wanted = world.notes["reply"].view_version

    def has_all() -> bool:
        view = control.watch(returning, confirmed=False).view
        return view is not None and view.version >= wanted

    world.eventually("all changes at the process", has_all)


@then("settings and groups are as noted")
def as_noted(context: Context) -> None:
    world = world_of(context)
    control_of(context).wait_leader()
    view = world.deployment.view()
    found, noted = (view.groups, view.settings), world.notes["state"]
    assert found == noted, (view.groups, noted[0])


@then("no change of settings is accepted for {seconds:d} seconds")
def none_accepted(context: Context, seconds: int) -> None:
    world = world_of(context)
    control = control_of(context)
    settings = _settings(context)
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for process in control.running:
            for version in range(1, 5):
                change = Change({**settings, "queue_limit": 30}, version)
                reply = control.change_at(process, change, 0.5)
                assert reply.outcome != ACCEPTED, (process, reply)
    assert world.deployment.processes.is_running(control.running[0].name)


@then("a further change of settings is accepted")
def one_accepted(context: Context) -> None:
    control = control_of(context)
    control.wait_leader()
    version = int(control.root()["version"])
    settings = {**_settings(context), "queue_limit": 33}
    reply = control.resend(Change(settings, version))
    assert reply.outcome == ACCEPTED, reply
    assert reply.version == version + 1, reply


@then("the primary has no connections but those of running processes")
def no_dead_connections(context: Context) -> None:
    world = world_of(context)
    primary = world.primary()

    def is_so() -> bool:
        now = int(world.diagnostics(primary)["connections_now"])
        opened = sum(
            usage["open"]
            for proxy in world.running_proxies()
            for usage in world.deployment.proxy_status(proxy)["backends"]
            if usage["server"] == primary.name
        )
        return now <= opened + CONTROL_CONNECTIONS

    world.eventually("end of the dead proxy's connections", is_so)


def _settings(context: Context) -> dict[str, object]:
    world = world_of(context)
    overrides: dict[str, object] = world.notes.get("overrides", {})
    return {**world.deployment.root_settings(), **overrides}
