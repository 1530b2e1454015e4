"""Steps about primaries that are cut off, replaced and return."""

import threading
import time

from dogwoodspool_api import RenewRequest
from dogwoodspool_api.const import PATH_RENEW
from dogwoodspool_common import HttpError, PeerRefusedError
from dogwoodspool_testbed import StandinHandle
from support.callers import Caller
from support.const import GROUP, NOT_RUN, OK, PATIENCE_SECONDS, POLL_SECONDS
from support.control import control_of
from support.steps import Context, caller_of, given, step, then, when, world_of

NOT_LEADER = "not_leader"
LONG_DEADLINE_MS = 120_000
PROMOTIONS_SECONDS = 40.0


class Writers:
    """Callers that write numbered lines all the time, each at another proxy."""

    def __init__(self, context: Context, count: int) -> None:
        world = world_of(context)
        self._world = world
        self._stopped = threading.Event()
        self.told: dict[str, str] = {}
        self._threads = [
            threading.Thread(
                target=self._write,
                args=(world.caller(f"writer {number}", world.proxy(number % 3 + 1)),),
                kwargs={"number": number},
                daemon=True,
            )
            for number in range(count)
        ]

    def set_up(self) -> None:
        """Begin to write."""
        for thread in self._threads:
            thread.start()

    def unload(self) -> None:
        """Stop writing."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def lines(self, outcome: str) -> set[str]:
        """Return the lines that were told an outcome of."""
        return {line for line, told in list(self.told.items()) if told == outcome}

    def _write(self, caller: Caller, number: int) -> None:
        count = 0
        while not self._stopped.is_set():
            line = f"writer {number} line {count}"
            self.told[line] = caller.run(self._world.insert(line)).outcome
            count += 1
            time.sleep(POLL_SECONDS)


@given("the control leader runs outside of the primary's failure domain")
def leader_elsewhere(context: Context) -> None:
    world = world_of(context)
    control = control_of(context)
    home = world.primary().failure_domain
    leader = control.wait_leader()
    if leader.failure_domain != home:
        return
    control.freeze(leader)
    control.wait_leader()
    control.thaw(leader)


@given("statements take {milliseconds:d} ms at the primary")
def slow_primary(context: Context, milliseconds: int) -> None:
    world = world_of(context)
    world.fault([world.primary()], statement_ms=milliseconds)


@when('"{name:Text}" starts to write the line "{line:Text}" and waits for long')
def start_long_write(context: Context, name: str, line: str) -> None:
    world = world_of(context)
    caller_of(context, name).start(world.insert(line), deadline_ms=LONG_DEADLINE_MS)
    primary = world.primary()
    world.notes["former"] = primary
    world.eventually(
        f"{line} in flight", lambda: world.diagnostics(primary)["slots_in_use"] > 0
    )


@when("proxy {number:d} freezes")
def freeze_proxy(context: Context, number: int) -> None:
    world = world_of(context)
    world.deployment.processes.freeze(world.proxy(number).name)


@when("an operator makes a change that proxy {number:d} cannot follow")
def change_unseen(context: Context, number: int) -> None:
    # The proxy's open poll is answered by it, and nothing later reaches the proxy.
    control_of(context).change_often(1, {"queue_limit": 60 + number})


@when("proxy {number:d} goes on")
def thaw_proxy(context: Context, number: int) -> None:
    world = world_of(context)
    world.deployment.processes.thaw(world.proxy(number).name)


@when("the primary is cut off from the other failure domains")
def cut_primary(context: Context) -> None:
    world = world_of(context)
    primary = world.primary()
    world.notes["former"] = primary
    domains = world.deployment.shape.failure_domains
    others = [domain for domain in domains if domain != primary.failure_domain]
    world.fault([primary], cut_failure_domains=others)


@when('the primary is cut off from the failure domain "{domain:Text}"')
def cut_primary_from(context: Context, domain: str) -> None:
    world = world_of(context)
    primary = world.primary()
    assert primary.failure_domain != domain, primary
    world.notes["former"] = primary
    world.notes["term"] = world.deployment.term(GROUP)
    world.fault([primary], cut_failure_domains=[domain])


@when("the link to the primary heals")
def heal(context: Context) -> None:
    world = world_of(context)
    world.fault([world.notes["former"]], cut_failure_domains=[])


@step("another server becomes primary")
def another_primary(context: Context) -> None:
    world = world_of(context)
    former: StandinHandle = world.notes["former"]

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
def move_primary(context: Context) -> None:
    world = world_of(context)
    world.notes["former"] = world.primary()
    world.deployment.promote(GROUP)
    another_primary(context)
    all_may_write(context)


@given("the primary is to be lost")
def note_primary(context: Context) -> None:
    world = world_of(context)
    world.notes["former"] = world.primary()


@when("the former primary starts again at another port")
def restart_former(context: Context) -> None:
    world = world_of(context)
    world.notes["former"] = world.restart_standin(world.notes["former"])


@then("the former primary follows the new one with its term")
def former_follows(context: Context) -> None:
    world = world_of(context)
    former: StandinHandle = world.notes["former"]
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
    writers = Writers(context, count)
    world_of(context).notes["writers"] = writers
    writers.set_up()


@when("{count:d} planned changes of primary follow one another")
def planned_changes(context: Context, count: int) -> None:
    world = world_of(context)
    for _number in range(count):
        old = world.primary_name()
        written = len(world.notes["writers"].lines(OK))
        world.deployment.promote(GROUP)
        world.eventually(
            "change of primary",
            lambda old=old: world.primary_name() not in (None, old),
            PROMOTIONS_SECONDS,
        )
        world.eventually(
            "writes at the new primary",
            lambda written=written: (
                len(world.notes["writers"].lines(OK)) > written + 10
            ),
        )


@when("the callers stop to write")
def stop_writing(context: Context) -> None:
    world_of(context).notes["writers"].unload()


@then("each acknowledged line is once at every backend server")
def acknowledged_once(context: Context) -> None:
    world = world_of(context)
    writers: Writers = world.notes["writers"]
    lines = world.settled_lines()
    acknowledged = writers.lines(OK)
    lost = acknowledged - set(lines)
    doubled = {line for line in writers.told if lines.count(line) > 1}
    assert acknowledged, "nothing was acknowledged"
    assert not lost, sorted(lost)
    assert not doubled, sorted(doubled)


@then("no refused line is at any backend server")
def refused_absent(context: Context) -> None:
    world = world_of(context)
    writers: Writers = world.notes["writers"]
    present = writers.lines(NOT_RUN) & set(world.settled_lines())
    assert not present, sorted(present)


@then("the primary and its term stay for {seconds:d} seconds")
def primary_stays(context: Context, seconds: int) -> None:
    world = world_of(context)
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        _assert_same_primary(context)
        time.sleep(POLL_SECONDS * 10)
    _assert_same_primary(context)
    assert world.primary() == world.notes["former"]


@then("proxy {number:d} may write again")
def may_write(context: Context, number: int) -> None:
    world = world_of(context)
    proxy = world.proxy(number)
    world.eventually("grant", lambda: world.deployment.may_write(proxy))


@when("the promotion has begun and the control leader is killed")
def kill_in_promotion(context: Context) -> None:
    world = world_of(context)
    control = control_of(context)

    def has_begun() -> bool:
        leader = control.wait_leader()
        return bool(control.status(leader)["promotions"])

    world.eventually("promotion", has_begun)
    control.kill(control.wait_leader())


@given('the replica "{name:Text}" lags by {milliseconds:d} ms')
def lags(context: Context, name: str, milliseconds: int) -> None:
    world = world_of(context)
    world.fault([world.standin(name)], lag_ms=milliseconds)


@when("the control leader freezes")
def freeze_leader(context: Context) -> None:
    control = control_of(context)
    leader = control.wait_leader()
    world_of(context).notes["old leader"] = leader
    control.freeze(leader)


@when("another control process leads and changes the primary")
def new_leader_promotes(context: Context) -> None:
    world = world_of(context)
    control = control_of(context)
    world.notes["former"] = world.primary()
    world.notes["term"] = world.deployment.term(GROUP)
    assert control.wait_leader() != world.notes["old leader"]
    world.deployment.promote(GROUP)
    another_primary(context)
    world.eventually(
        "end of the promotion",
        lambda: world.deployment.term(GROUP) > world.notes["term"],
    )
    world.deployment.wait_for(
        "grants of the new term",
        lambda: all(map(world.deployment.may_write, world.running_proxies())),
    )


@when("the other control processes freeze and the old leader goes on")
def only_old_leader(context: Context) -> None:
    control = control_of(context)
    old = world_of(context).notes["old leader"]
    control.freeze(*control.running)
    control.thaw(old)


@then("the old leader refuses grants for {seconds:d} seconds")
def refuses_grants(context: Context, seconds: int) -> None:
    world = world_of(context)
    old = world.notes["old leader"]
    request = RenewRequest(
        proxy="proxy-1",
        incarnation="asking",
        failure_domain="fd-a",
        address="127.0.0.1:1",
        view_version=0,
    ).model_dump(mode="json")
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            answer = world.deployment.client.post(old.address, PATH_RENEW, request)
        except PeerRefusedError as error:
            assert error.code == NOT_LEADER, error
        else:
            raise AssertionError(f"the old leader gave {answer}")
        time.sleep(POLL_SECONDS * 5)


@then("no proxy may write once its grant has run out")
def no_grants(context: Context) -> None:
    world = world_of(context)
    world.eventually(
        "end of all grants",
        lambda: not any(map(world.deployment.may_write, world.running_proxies())),
    )


@then("no proxy goes back to the old term")
def no_old_term(context: Context) -> None:
    world = world_of(context)
    for proxy in world.running_proxies():
        groups = world.deployment.proxy_status(proxy)["groups"]
        terms = [one["term"] for one in groups if one["group"] == GROUP]
        assert terms[0] > world.notes["term"], (proxy.name, groups)


@when("the control group stands still")
def freeze_control(context: Context) -> None:
    control = control_of(context)
    control.freeze(*control.running)


@when("the control group goes on")
def thaw_control(context: Context) -> None:
    control_of(context).thaw_all()


@step("every proxy may write again")
def all_may_write(context: Context) -> None:
    world = world_of(context)
    world.eventually(
        "grants at every proxy",
        lambda: all(map(world.deployment.may_write, world.running_proxies())),
        PATIENCE_SECONDS * 2,
    )


def _assert_same_primary(context: Context) -> None:
    world = world_of(context)
    found = (world.primary_name(), world.deployment.term(GROUP))
    expected = (world.notes["former"].name, world.notes["term"])
    assert found == expected, (found, expected)
