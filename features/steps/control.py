"""Steps in which control processes and their disks are lost and restored."""

import shutil
import time

from dogwoodspool_testbed import ControlHandle
from support.control import ACCEPTED, Change, control_of, users_with
from support.steps import Context, caller_of, then, when, world_of

# Connections that control itself may keep open to each backend server.
CONTROL_CONNECTIONS = 2
LOST_ANSWER_SECONDS = 0.001


@when("the committed state is noted")
def record_state(context: Context) -> None:
    world = world_of(context)
    view = world.deployment.view()
    world.state["committed_state"] = (view.groups, view.settings)


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
    world_of(context).state["restarted_control"] = follower
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
    world.state["wiped_control"] = follower


@when('the control process without its disk is replaced by "{name:Text}"')
def replace_wiped(context: Context, name: str) -> None:
    world = world_of(context)
    control = control_of(context)
    wiped: ControlHandle = world.state["wiped_control"]
    control.kill_permanently(wiped)
    handle = world.deployment.start_control(name, wiped.failure_domain)
    control.add_voter(name, handle.address)
    control.remove_voter(wiped.name)
    members = control.voters()
    assert name in members and wiped.name not in members, members


@when('an operator makes {count:d} changes and then lets the user "{user:Text}" in')
def make_changes(context: Context, count: int, user: str) -> None:
    world = world_of(context)
    reply = control_of(context).make_changes(count + 1, users_with(user))
    world.state["change_reply"] = reply
    world.state["overrides"] = users_with(user)


@then("the control process that was killed has all changes")
def has_all_changes(context: Context) -> None:
    world = world_of(context)
    control = control_of(context)
    restarted: ControlHandle = world.state["restarted_control"]
    wanted = world.state["change_reply"].view_version

    def has_all() -> bool:
        view = control.watch(restarted, confirmed=False).view
        return view is not None and view.version >= wanted

    world.eventually("all changes at the process", has_all)


@then("settings and groups are as noted")
def state_is_as_recorded(context: Context) -> None:
    world = world_of(context)
    control = control_of(context)
    recorded_groups, recorded_settings = world.state["committed_state"]
    world.eventually("confirmed state", lambda: control.committed() is not None)
    view = control.committed()
    assert view is not None and view.groups == recorded_groups, view
    assert view.settings == recorded_settings, "the settings differ"


@then("no change of settings is accepted for {seconds:d} seconds")
def no_change_is_accepted(context: Context, seconds: int) -> None:
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
def change_is_accepted(context: Context) -> None:
    control = control_of(context)
    control.wait_leader()
    version = int(control.root()["version"])
    settings = {**_settings(context), "queue_limit": 33}
    reply = control.resend(Change(settings, version))
    assert reply.outcome == ACCEPTED, reply
    assert reply.version == version + 1, reply


@when("an operator's change is accepted and the leader is killed before it answers")
def kill_leader_after_commit(context: Context) -> None:
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
    _record_change(context, change)


@when("an operator's change reaches the leader alone and the leader is killed")
def kill_leader_before_commit(context: Context) -> None:
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
    _record_change(context, change)


@when("the operator sends the change again")
def resend(context: Context) -> None:
    state = world_of(context).state
    state["change_reply"] = control_of(context).resend(state["change"])


@then("the change was accepted with the next version")
def accepted_with_next_version(context: Context) -> None:
    state = world_of(context).state
    reply, change = state["change_reply"], state["change"]
    assert reply.outcome == ACCEPTED, reply
    assert reply.version == change.expected_version + 1, (reply, change)


@then("the change stands once in the history")
def change_is_once_in_history(context: Context) -> None:
    control = control_of(context)
    change: Change = world_of(context).state["change"]
    assert control.count_in_history(change.change_id) == 1
    root = control.root()
    assert root["version"] == change.expected_version + 1, root["version"]
    assert root["overrides"]["queue_limit"] == change.overrides["queue_limit"]


@then("no proxy may write and each control process stands still")
def no_proxy_may_write(context: Context) -> None:
    world = world_of(context)
    world.eventually(
        "expiry of all grants",
        lambda: not any(map(world.deployment.may_write, world.running_proxies())),
    )
    assert not control_of(context).running


@then('a read of "{name:Text}" of at most {age:d} ms of age is told "{outcome:Text}"')
def read_of_age(context: Context, name: str, age: int, outcome: str) -> None:
    sql = world_of(context).select()
    reply = caller_of(context, name).run(sql, session="new", max_age_ms=age)
    assert reply.outcome == outcome.rstrip(":"), reply


@then("the primary has no connections but those of running processes")
def no_leftover_connections(context: Context) -> None:
    world = world_of(context)
    primary = world.primary()

    def only_live_connections() -> bool:
        now = int(world.diagnostics(primary)["connections_now"])
        opened = sum(
            usage["open"]
            for proxy in world.running_proxies()
            for usage in world.deployment.proxy_status(proxy)["backends"]
            if usage["server"] == primary.name
        )
        return now <= opened + CONTROL_CONNECTIONS

    world.eventually("closing of the dead proxy's connections", only_live_connections)


def _record_change(context: Context, change: Change) -> None:
    world_of(context).state["change"] = change


def _settings(context: Context) -> dict[str, object]:
    world = world_of(context)
    overrides: dict[str, object] = world.state.get("overrides", {})
    return {**world.deployment.root_settings(), **overrides}
