"""Steps in which control processes and their disks are lost and come back."""

import shutil
import time

from dogwoodspool_common import HttpError
from dogwoodspool_testbed import ControlHandle
from support.const import POLL_SECONDS
from support.control import ACCEPTED, Change, can_log_in, control_of, users_with
from support.steps import Context, caller_of, then, when, world_of

# What control itself may keep open to each backend server.
CONTROL_CONNECTIONS = 2
LOST_ANSWER_SECONDS = 0.001


@when("the committed state is noted")
def note_state(context: Context) -> None:
    world = world_of(context)
    view = world.deployment.view()
    world.notes["state"] = (view.groups, view.settings)


@when("all control processes are killed")
def kill_all(context: Context) -> None:
    control_of(context).kill(*control_of(context).running)


@when("two of three control processes are killed")
def kill_two(context: Context) -> None:
    control = control_of(context)
    leader = control.wait_leader()
    control_of(context).kill(leader, control.followers()[0])


@when("a control process that does not lead is killed")
def kill_follower(context: Context) -> None:
    follower = control_of(context).followers()[0]
    world_of(context).notes["returning"] = follower
    control_of(context).kill(follower)


@when("the control leader is killed")
def kill_leader(context: Context) -> None:
    control_of(context).kill(control_of(context).wait_leader())


@when("the killed control processes start again")
def restart_killed(context: Context) -> None:
    control_of(context).restart_killed()


@when("a control process that does not lead loses its disk and starts again")
def lose_disk(context: Context) -> None:
    world = world_of(context)
    control = control_of(context)
    follower = control.followers()[0]
    control.kill(follower)
    shutil.rmtree(world.deployment.folder / follower.name)
    control.restart_killed()
    world.notes["wiped"] = follower


@when('the control process without its disk is replaced by "{name:Text}"')
def replace_wiped(context: Context, name: str) -> None:
    world = world_of(context)
    control = control_of(context)
    wiped: ControlHandle = world.notes["wiped"]
    control.give_up(wiped)
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
    control = control_of(context)
    noted_groups, noted_settings = world.notes["state"]
    world.eventually("confirmed state", lambda: control.committed() is not None)
    view = control.committed()
    assert view is not None and view.groups == noted_groups, view
    assert view.settings == noted_settings, "the settings differ"


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


@when("the control process that does not lead freezes")
def freeze_follower(context: Context) -> None:
    control = control_of(context)
    follower = control.followers()[0]
    world_of(context).notes["stale"] = follower
    control.freeze(follower)


@when("the frozen control process is removed from the voters")
def remove_frozen(context: Context) -> None:
    control_of(context).remove_voter(world_of(context).notes["stale"].name)


@when("the other control processes freeze and the removed one goes on")
def only_stale(context: Context) -> None:
    control = control_of(context)
    control.freeze(*control.running)
    control.thaw(world_of(context).notes["stale"])


@when("proxy {number:d} is killed and starts again")
def restart_proxy(context: Context, number: int) -> None:
    world = world_of(context)
    world.deployment.restart_proxy(world.proxy(number))


@then("for {seconds:d} seconds no proxy has a state from before the changes")
def no_old_state(context: Context, seconds: int) -> None:
    world = world_of(context)
    wanted = world.notes["reply"].view_version
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for proxy in world.running_proxies():
            version = world.deployment.proxy_status(proxy)["view_version"]
            # 0 stands for a proxy that serves nobody yet.
            assert version == 0 or version >= wanted, (proxy.name, version, wanted)
        time.sleep(POLL_SECONDS)


@then("the removed control process still believes its old state")
def believes_old(context: Context) -> None:
    world = world_of(context)
    view = control_of(context).watch(world.notes["stale"], confirmed=False).view
    assert view is not None, "the process has no state"
    assert view.version < world.notes["reply"].view_version, view.version


@then("the removed control process confirms no read")
def confirms_nothing(context: Context) -> None:
    stale = world_of(context).notes["stale"]
    try:
        view = control_of(context).watch(stale, confirmed=True).view
    except HttpError:
        return
    raise AssertionError(f"{stale.name} confirmed {view}")


@then("each change gets into force in every proxy while a control process is frozen")
def in_force_around_frozen(context: Context) -> None:
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


@when("an operator's change is accepted and the leader is killed before it answers")
def accepted_unanswered(context: Context) -> None:
    world = world_of(context)
    control = control_of(context)
    leader = control.wait_leader()
    version = int(control.root()["version"])
    change = Change({**_settings(context), "queue_limit": 41}, version)
    control.change_at(leader, change, LOST_ANSWER_SECONDS)
    world.eventually(
        "accepted change", lambda: int(control.root()["version"]) == version + 1
    )
    control_of(context).kill(leader)
    _note_change(context, change)


@when("an operator's change reaches the leader alone and the leader is killed")
def unaccepted(context: Context) -> None:
    control = control_of(context)
    leader = control.wait_leader()
    followers = control.followers()
    version = int(control.root()["version"])
    change = Change({**_settings(context), "queue_limit": 42}, version)
    control.freeze(*followers)
    reply = control.change_at(leader, change, 1.0)
    assert reply.outcome != ACCEPTED, reply
    control_of(context).kill(leader)
    control.thaw(*followers)
    _note_change(context, change)


@when("the operator sends the change again")
def resend(context: Context) -> None:
    notes = world_of(context).notes
    notes["reply"] = control_of(context).resend(notes["change"])


@then("the change was accepted with the next version")
def accepted_next(context: Context) -> None:
    notes = world_of(context).notes
    reply, change = notes["reply"], notes["change"]
    assert reply.outcome == ACCEPTED, reply
    assert reply.version == change.expected_version + 1, (reply, change)


@then("the change stands once in the history")
def stands_once(context: Context) -> None:
    control = control_of(context)
    change: Change = world_of(context).notes["change"]
    assert control.accepted_changes(change.change_id) == 1
    root = control.root()
    assert root["version"] == change.expected_version + 1, root["version"]
    assert root["overrides"]["queue_limit"] == change.overrides["queue_limit"]


@then("no proxy may write and each control process stands still")
def nobody_writes(context: Context) -> None:
    world = world_of(context)
    world.eventually(
        "end of all grants",
        lambda: not any(map(world.deployment.may_write, world.running_proxies())),
    )
    assert not control_of(context).running


@then('a read of "{name:Text}" of at most {age:d} ms of age is told "{outcome:Text}"')
def read_of_age(context: Context, name: str, age: int, outcome: str) -> None:
    sql = world_of(context).select()
    reply = caller_of(context, name).run(sql, session="new", max_age_ms=age)
    assert reply.outcome == outcome.rstrip(":"), reply


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


def _note_change(context: Context, change: Change) -> None:
    world_of(context).notes["change"] = change


def _settings(context: Context) -> dict[str, object]:
    world = world_of(context)
    overrides: dict[str, object] = world.notes.get("overrides", {})
    return {**world.deployment.root_settings(), **overrides}
