"""Steps about backend servers that are leaving."""

import threading
import time

from dogwoodspool_backend.const import SQL_SET_NAMES
from dogwoodspool_testbed import StandinHandle
from support.callers import Caller
from support.const import POLL_SECONDS
from support.steps import Context, given, step, then, when, world_of


class BusyCallers:
    """Callers that send one statement repeatedly, spread over three proxies."""

    def __init__(self, context: Context, count: int, sql: str) -> None:
        world = world_of(context)
        self._sql = sql
        self._stopped = threading.Event()
        self._callers = [
            world.caller(f"busy {number}", world.proxy(number % 3 + 1))
            for number in range(count)
        ]
        self._threads = [
            threading.Thread(target=self._repeat, args=(caller,), daemon=True)
            for caller in self._callers
        ]

    @property
    def answered(self) -> list[int]:
        """Return the number of answers to each caller."""
        return [sum(r.is_ok for r in caller.replies) for caller in self._callers]

    @property
    def errors(self) -> list[str]:
        """Return the replies that were errors."""
        replies = [reply for caller in self._callers for reply in caller.replies]
        return [str(reply) for reply in replies if not reply.is_ok]

    def set_up(self) -> None:
        """Start the callers."""
        for thread in self._threads:
            thread.start()

    def unload(self) -> None:
        """Stop the callers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _repeat(self, caller: Caller) -> None:
        while not self._stopped.is_set():
            caller.run(self._sql, session="new")
            time.sleep(POLL_SECONDS)


@given("{count:d} callers that read all the time")
def read_all_the_time(context: Context, count: int) -> None:
    _start(context, count, world_of(context).select())


@given("a caller that writes all the time")
def write_all_the_time(context: Context) -> None:
    _start(context, 1, world_of(context).insert("busy"))


@step('the replica "{name:Text}" serves reads')
def serves_reads(context: Context, name: str) -> None:
    world = world_of(context)
    standin = world.standin(name)
    before = _statements(context, standin)
    world.eventually("read", lambda: _statements(context, standin) > before)


@when('the replica "{name:Text}" announces that it leaves')
def replica_leaves(context: Context, name: str) -> None:
    world = world_of(context)
    world.fault([world.standin(name)], leaving=True)


@when("the primary announces that it leaves")
def primary_leaves(context: Context) -> None:
    world = world_of(context)
    primary = world.primary()
    world.state["former_primary"] = primary
    world.fault([primary], leaving=True)


@then('the replica "{name:Text}" serves no statement for {seconds:d} seconds')
def replica_serves_nothing(context: Context, name: str, seconds: int) -> None:
    _assert_idle(context, world_of(context).standin(name), seconds)


@then("the former primary serves no statement for {seconds:d} seconds")
def former_serves_nothing(context: Context, seconds: int) -> None:
    _assert_idle(context, world_of(context).state["former_primary"], seconds)


@then("all reads went on meanwhile")
def reads_went_on(context: Context) -> None:
    busy = _assert_answered(context)
    assert not busy.errors, busy.errors[:5]


@then("writes went on meanwhile")
def writes_went_on(context: Context) -> None:
    _assert_answered(context)


def _start(context: Context, count: int, sql: str) -> None:
    busy = BusyCallers(context, count, sql)
    context.add_cleanup(busy.unload)
    busy.set_up()
    world_of(context).state["busy_callers"] = busy


def _assert_answered(context: Context) -> BusyCallers:
    busy: BusyCallers = world_of(context).state["busy_callers"]
    before = busy.answered
    world_of(context).eventually(
        "answer to each caller",
        lambda: all(
            now > then for now, then in zip(busy.answered, before, strict=True)
        ),
    )
    return busy


def _assert_idle(context: Context, standin: StandinHandle, seconds: int) -> None:
    """Assert that a server runs no statement but those that set up a connection.

    Proxies continue to probe a server that is leaving. When a probe times out under
    load, the next one connects again, which shows as one statement of the set-up.
    """
    before = _statements(context, standin)
    time.sleep(seconds)
    after = world_of(context).diagnostics(standin)
    served = int(after["statements"]) - before
    newest = after["recent_statements"][-served:] if served else []
    statements = [sql for sql in newest if sql != SQL_SET_NAMES]
    assert not statements, f"{standin.name} served {served} statements: {statements}"


def _statements(context: Context, standin: StandinHandle) -> int:
    return int(world_of(context).diagnostics(standin)["statements"])
