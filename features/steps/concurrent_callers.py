"""Steps with many concurrent callers."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from support.callers import Caller
from support.const import (
    NOT_RUN,
    OK,
    POLL_SECONDS,
    PROMPT_REPLY_SECONDS,
    TIMEOUT_SECONDS,
)
from support.steps import Context, caller_of, given, then, when, world_of


@when('"{name:Text}" writes lines for {seconds:d} seconds, longer than any lease')
def write_for_seconds(context: Context, name: str, seconds: int) -> None:
    world = world_of(context)
    outcomes = world.state.setdefault("outcomes", {}).setdefault(name, [])
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        line = f"line {len(outcomes)}"
        reply = caller_of(context, name).run(world.insert(line))
        outcomes.append((line, reply.outcome))
        time.sleep(POLL_SECONDS)


@given("{count:d} callers at proxy {number:d}")
def connect_many(context: Context, count: int, number: int) -> None:
    world = world_of(context)
    for index in range(count):
        world.caller(f"caller {index}", world.proxy(number))


@when("all callers write a line each within {limit:d} ms")
def all_write(context: Context, limit: int) -> None:
    world = world_of(context)
    for name, caller in world.callers.items():
        caller.start(world.insert(name), deadline_ms=limit)
    replies = {
        name: caller.finish(TIMEOUT_SECONDS * 2)
        for name, caller in world.callers.items()
    }
    world.state["replies"] = replies


@then('some are told "{outcome:Text}" at once and when to come back')
def some_refused(context: Context, outcome: str) -> None:
    replies = world_of(context).state["replies"].values()
    refused = [reply for reply in replies if f"{reply.outcome}:" == outcome]
    assert refused, [str(reply) for reply in replies]
    for reply in refused:
        assert reply.retry_after_ms, reply
        assert reply.seconds < PROMPT_REPLY_SECONDS, reply


@then('each line that was told "ok" of is at every backend server')
def acknowledged_lines_are_present(context: Context) -> None:
    world = world_of(context)
    lines = world.replicated_lines()
    told = _lines_told(context, OK)
    assert told and told <= set(lines), (told, lines)


@then('no line that was told "not-run:" of is at any backend server')
def refused_lines_are_absent(context: Context) -> None:
    lines = world_of(context).replicated_lines()
    told = _lines_told(context, NOT_RUN)
    assert not told & set(lines), (told, lines)


@when(
    '"{first:Text}" and "{second:Text}" both write the same {count:d} requests at the '
    "same time"
)
def race_requests(context: Context, first: str, second: str, count: int) -> None:
    world = world_of(context)
    barrier = threading.Barrier(2)
    world.state["race_replies"] = []

    def write(caller: Caller, number: int) -> Any:
        barrier.wait(TIMEOUT_SECONDS)
        sql = world.insert(f"race {number}")
        return caller.run(sql, request_id=f"race-{number}")

    with ThreadPoolExecutor(2) as executor:
        for number in range(count):
            callers = [caller_of(context, name) for name in (first, second)]
            futures = [executor.submit(write, one, number) for one in callers]
            world.state["race_replies"].append([future.result() for future in futures])


@then("each of the {count:d} requests is once at every backend server")
def raced_requests_ran_once(context: Context, count: int) -> None:
    world = world_of(context)
    lines = world.replicated_lines()
    expected = sorted(f"race {number}" for number in range(count))
    replies = [[str(one) for one in pair] for pair in world.state["race_replies"]]
    assert lines == expected, (lines, replies)
    for pair in world.state["race_replies"]:
        assert any(reply.is_ok for reply in pair), replies


def _lines_told(context: Context, outcome: str) -> set[str]:
    replies = world_of(context).state["replies"]
    return {name for name, reply in replies.items() if reply.outcome == outcome}
