"""Steps in which operators change settings and proxies apply them."""

from concurrent.futures import ThreadPoolExecutor

from support.callers import Caller, Reply
from support.const import NOT_RUN, UNKNOWN
from support.control import (
    ACCEPTED,
    Change,
    ChangeReply,
    can_log_in,
    control_of,
    users_with,
)
from support.steps import Context, step, then, when, world_of

LOST_ANSWER_SECONDS = 0.001


@step('an operator sets "{name:Text}" to {value:d}')
def set_number(context: Context, name: str, value: int) -> None:
    world_of(context).change_settings(**{name: value})


@step('an operator sets "{name:Text}" to "{value:Text}"')
def set_text(context: Context, name: str, value: str) -> None:
    world_of(context).change_settings(**{name: value})


@step('an operator lets the user "{user:Text}" in')
def allow_user(context: Context, user: str) -> None:
    world = world_of(context)
    world.change_settings(**users_with(user))
    world.state["overrides"] = users_with(user)


@step('every proxy lets the user "{user:Text}" in')
def every_proxy_accepts_user(context: Context, user: str) -> None:
    world = world_of(context)
    proxies = world.running_proxies()
    world.eventually(
        f"login of {user} at every proxy",
        lambda: all(can_log_in(proxy, user) for proxy in proxies),
    )


@step('every proxy refuses the user "{user:Text}"')
def every_proxy_refuses_user(context: Context, user: str) -> None:
    world = world_of(context)
    proxies = world.running_proxies()
    world.eventually(
        f"refusal of {user} at every proxy",
        lambda: not any(can_log_in(proxy, user) for proxy in proxies),
    )


@then('a read at every proxy is told "{outcome:Text}"')
def read_everywhere(context: Context, outcome: str) -> None:
    sql = world_of(context).select()
    _assert_at_every_proxy(context, sql, outcome)


@then("a read at every proxy ends without an answer")
def no_read_anywhere(context: Context) -> None:
    # "not-run" if the deadline passes before the statement is sent, else "unknown".
    sql = world_of(context).select()
    _assert_at_every_proxy(context, sql, NOT_RUN, UNKNOWN)


@then('a write at every proxy is told "{outcome:Text}"')
def write_everywhere(context: Context, outcome: str) -> None:
    sql = world_of(context).insert("everywhere")
    _assert_at_every_proxy(context, sql, outcome)


@when("two operators race with changes of the same version and lose their answers")
def race_changes(context: Context) -> None:
    world = world_of(context)
    control = control_of(context)
    version = int(control.root()["version"])
    base = world.deployment.root_settings()
    changes = [
        Change({**base, "queue_limit": 40 + number}, version, author=f"op-{number}")
        for number in range(2)
    ]
    leader = control.wait_leader()
    with ThreadPoolExecutor(2) as executor:
        for change in changes:
            executor.submit(control.change_at, leader, change, LOST_ANSWER_SECONDS)
    world.state["changes"] = changes
    world.state["version"] = version


@when("both operators send their changes again")
def resend_raced_changes(context: Context) -> None:
    state = world_of(context).state
    control = control_of(context)
    with ThreadPoolExecutor(2) as executor:
        replies = list(executor.map(control.resend, state["changes"]))
    state.setdefault("reply_rounds", []).append(replies)


@when("a third operator changes the same node after them")
def change_after_race(context: Context) -> None:
    world = world_of(context)
    world.change_settings(queue_limit=50)
    world.state["third_version"] = int(control_of(context).root()["version"])


@then("one operator is told of the next version and the other of a conflict")
def one_accepted_other_conflicts(context: Context) -> None:
    state = world_of(context).state
    replies: list[ChangeReply] = state["reply_rounds"][0]
    outcomes = sorted(reply.outcome for reply in replies)
    assert outcomes == [ACCEPTED, "conflict"], replies
    winner = next(reply for reply in replies if reply.outcome == ACCEPTED)
    assert winner.version == state["version"] + 1, (winner, state["version"])


@then("both operators were told the same each time")
def same_reply_each_time(context: Context) -> None:
    rounds = world_of(context).state["reply_rounds"]
    assert all(replies == rounds[0] for replies in rounds), rounds


@then("the third operator's change stands")
def third_change_is_current(context: Context) -> None:
    root = control_of(context).root()
    assert root["overrides"]["queue_limit"] == 50, root["version"]
    assert root["version"] == world_of(context).state["third_version"], root["version"]


@then("the changes stand in the history {count:d} times in all")
def changes_in_history(context: Context, count: int) -> None:
    control = control_of(context)
    changes: list[Change] = world_of(context).state["changes"]
    found = sum(control.count_in_history(change.change_id) for change in changes)
    assert found == count, found


def _assert_at_every_proxy(context: Context, sql: str, *outcomes: str) -> None:
    world = world_of(context)
    replies: dict[str, Reply] = {}
    for proxy in world.running_proxies():
        caller = Caller(world.deployment, proxy)
        try:
            replies[proxy.name] = caller.run(sql)
        finally:
            caller.close()
    expected = {outcome.rstrip(":") for outcome in outcomes}
    found = {name: str(reply) for name, reply in replies.items()}
    assert all(reply.outcome in expected for reply in replies.values()), found
