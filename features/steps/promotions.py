"""Steps about primaries that are cut off, are replaced and return."""

import time

from dogwoodspool_common import HttpError
from dogwoodspool_testbed import StandinHandle
from support.const import GROUP, NOT_RUN, OK, POLL_SECONDS, TIMEOUT_SECONDS
from support.control import control_of
from support.steps import Context, caller_of, given, step, then, when, world_of
from support.writers import Writers

NOT_LEADER = "not_leader"
LONG_DEADLINE_MS = 120_000
PROMOTIONS_SECONDS = 40.0


@given("statements take {milliseconds:d} ms at the primary")
def slow_primary(context: Context, milliseconds: int) -> None:
    world = world_of(context)
    world.fault([world.primary()], statement_ms=milliseconds)


@when('"{name:Text}" starts to write the line "{line:Text}" and waits for long')
def start_long_write(context: Context, name: str, line: str) -> None:
    world = world_of(context)
    caller_of(context, name).start(world.insert(line), deadline_ms=LONG_DEADLINE_MS)
    primary = world.primary()
    world.state["former_primary"] = primary
    world.eventually(
        f"{line} in flight", lambda: world.diagnostics(primary)["slots_in_use"] > 0
    )


@when("proxy {number:d} freezes")
def freeze_proxy(context: Context, number: int) -> None:
    world = world_of(context)
    world.deployment.processes.freeze(world.proxy(number).name)


@when("proxy {number:d} goes on")
def thaw_proxy(context: Context, number: int) -> None:
    world = world_of(context)
    world.deployment.processes.thaw(world.proxy(number).name)


@when("the primary is cut off from the other failure domains")
def cut_primary(context: Context) -> None:
    world = world_of(context)
    primary = world.primary()
    world.state["former_primary"] = primary
    domains = world.deployment.shape.failure_domains
    others = [domain for domain in domains if domain != primary.failure_domain]
    world.fault([primary], cut_failure_domains=others)


@when('the primary is cut off from the failure domain "{domain:Text}"')
def cut_primary_from(context: Context, domain: str) -> None:
    world = world_of(context)
    primary = world.primary()
    assert primary.failure_domain != domain, primary
    world.state["former_primary"] = primary
    world.state["term"] = world.deployment.term(GROUP)
    world.fault([primary], cut_failure_domains=[domain])


@when("the link to the primary heals")
def restore_link(context: Context) -> None:
    world = world_of(context)
    world.fault([world.state["former_primary"]], cut_failure_domains=[])


@step("another server becomes primary")
def another_primary(context: Context) -> None:
    world = world_of(context)
    former: StandinHandle = world.state["former_primary"]

    control = control_of(context)

    def has_changed() -> bool:
        view = control.committed()
        groups = [] if view is None else view.groups
        primaries = [one.primary for one in groups if one.name == GROUP]
        return bool(primaries) and primaries[0] not in (None, former.name)

    world.eventually("new primary", has_changed, PROMOTIONS_SECONDS)


@given('"{name:Text}" has been made the primary')
def make_primary(context: Context, name: str) -> None:
    world = world_of(context)
    if world.primary_name() != name:
        world.deployment.promote(GROUP, name)
        world.eventually("change of primary", lambda: world.primary_name() == name)
    all_may_write(context)


@when("the primary is moved")
def change_primary(context: Context) -> None:
    world = world_of(context)
    world.state["former_primary"] = world.primary()
    world.deployment.promote(GROUP)
    another_primary(context)
    all_may_write(context)


@given("the primary is to be lost")
def record_primary(context: Context) -> None:
    world = world_of(context)
    world.state["former_primary"] = world.primary()


@when("the former primary starts again at another port")
def restart_former(context: Context) -> None:
    world = world_of(context)
    world.state["former_primary"] = world.restart_standin(world.state["former_primary"])


@then("the former primary follows the new one with its term")
def former_follows(context: Context) -> None:
    world = world_of(context)
    former: StandinHandle = world.state["former_primary"]
    term = world.deployment.term(GROUP)

    def follows() -> bool:
        try:
            status = world.diagnostics(former)["status"]
        except HttpError:
            return False
        return status["role"] == "replica" and status["term"] == term

    world.eventually("demotion of the former primary", follows)


@given("{count:d} callers that write all the time")
def write_all_the_time(context: Context, count: int) -> None:
    writers = Writers(world_of(context), count)
    world_of(context).state["writers"] = writers
    writers.set_up()


@when("{count:d} planned changes of primary follow one another")
def switch_over_repeatedly(context: Context, count: int) -> None:
    world = world_of(context)
    for _number in range(count):
        old = world.primary_name()
        written = len(world.state["writers"].lines(OK))
        world.deployment.promote(GROUP)
        world.eventually(
            "change of primary",
            lambda old=old: world.primary_name() not in (None, old),
            PROMOTIONS_SECONDS,
        )
        world.eventually(
            "writes at the new primary",
            lambda written=written: (
                len(world.state["writers"].lines(OK)) > written + 10
            ),
        )


@when("the callers stop to write")
def stop_writing(context: Context) -> None:
    world_of(context).state["writers"].unload()


@then("each acknowledged line is once at every backend server")
def acknowledged_once(context: Context) -> None:
    world = world_of(context)
    writers: Writers = world.state["writers"]
    lines = world.replicated_lines()
    acknowledged = writers.lines(OK)
    lost = acknowledged - set(lines)
    doubled = {line for line in writers.outcomes if lines.count(line) > 1}
    assert acknowledged, "no write was acknowledged"
    assert not lost, sorted(lost)
    assert not doubled, sorted(doubled)


@then("no refused line is at any backend server")
def refused_lines_are_absent(context: Context) -> None:
    world = world_of(context)
    writers: Writers = world.state["writers"]
    present = writers.lines(NOT_RUN) & set(world.replicated_lines())
    assert not present, sorted(present)


@then("the primary and its term stay for {seconds:d} seconds")
def primary_stays(context: Context, seconds: int) -> None:
    world = world_of(context)
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        _assert_same_primary(context)
        time.sleep(POLL_SECONDS * 10)
    _assert_same_primary(context)
    assert world.primary() == world.state["former_primary"]


@then("proxy {number:d} may write again")
def may_write(context: Context, number: int) -> None:
    world = world_of(context)
    proxy = world.proxy(number)
    world.eventually("grant", lambda: world.deployment.may_write(proxy))


@given('the replica "{name:Text}" lags by {milliseconds:d} ms')
def set_replication_lag(context: Context, name: str, milliseconds: int) -> None:
    world = world_of(context)
    world.fault([world.standin(name)], lag_ms=milliseconds)


@step("every proxy may write again")
def all_may_write(context: Context) -> None:
    world = world_of(context)
    world.eventually(
        "grants at every proxy",
        lambda: all(map(world.deployment.may_write, world.running_proxies())),
        TIMEOUT_SECONDS * 2,
    )


def _assert_same_primary(context: Context) -> None:
    world = world_of(context)
    found = (world.primary_name(), world.deployment.term(GROUP))
    expected = (world.state["former_primary"].name, world.state["term"])
    assert found == expected, (found, expected)
