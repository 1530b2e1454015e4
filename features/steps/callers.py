"""Steps in which callers connect, write, read and check their replies."""

import time

from dogwoodspool_testbed import ProxyHandle
from support.const import OK, PROMPT_REPLY_SECONDS, TIMEOUT_SECONDS
from support.steps import Context, caller_of, given, step, then, when, world_of

RETRY_DELAY_SECONDS = 0.05


@given('a caller "{name:Text}" at proxy {number:d}')
def connect(context: Context, name: str, number: int) -> None:
    world = world_of(context)
    world.caller(name, world.proxy(number))


@given('a caller "{name:Text}" at that proxy')
def connect_at_that(context: Context, name: str) -> None:
    world = world_of(context)
    proxy: ProxyHandle = world.state["proxy"]
    world.caller(name, proxy)


@when('"{name:Text}" writes the line "{line:Text}"')
def write(context: Context, name: str, line: str) -> None:
    reply = _write(context, name, line)
    assert reply.is_ok, reply


@when('"{name:Text}" writes {count:d} more lines')
def write_more(context: Context, name: str, count: int) -> None:
    for number in range(count):
        write(context, name, f"line {number}")


@when('"{name:Text}" tries to write the line "{line:Text}"')
def try_to_write(context: Context, name: str, line: str) -> None:
    _write(context, name, line)


@when('"{name:Text}" tries to write the line "{line:Text}" within {limit:d} ms')
def try_to_write_within(context: Context, name: str, line: str, limit: int) -> None:
    _write(context, name, line, deadline_ms=limit)


@step('"{name:Text}" writes the line "{line:Text}" as soon as it can')
def write_when_possible(context: Context, name: str, line: str) -> None:
    _write_until_ok(context, name, line)


@when('"{name:Text}" writes the line "{line:Text}" as request "{request_id:Text}"')
def write_request(context: Context, name: str, line: str, request_id: str) -> None:
    reply = _write(context, name, line, request_id=request_id)
    assert reply.is_ok, reply


@when(
    '"{name:Text}" writes the line "{line:Text}" as request "{request_id:Text}" '
    "as soon as it can"
)
def write_request_when_possible(
    context: Context, name: str, line: str, request_id: str
) -> None:
    _write_until_ok(context, name, line, request_id=request_id)


@when('"{name:Text}" starts to write the line "{line:Text}"')
def start_to_write(context: Context, name: str, line: str) -> None:
    caller = caller_of(context, name)
    caller.start(world_of(context).insert(line))


@when(
    '"{name:Text}" starts to write the line "{line:Text}" as request '
    '"{request_id:Text}"'
)
def start_to_write_request(
    context: Context, name: str, line: str, request_id: str
) -> None:
    caller = caller_of(context, name)
    sql = world_of(context).insert(line)
    caller.start(sql, request_id=request_id, deadline_ms=int(TIMEOUT_SECONDS * 1000))


@step('"{name:Text}" reads')
def read(context: Context, name: str) -> None:
    caller_of(context, name).run(world_of(context).select())


@given('"{name:Text}" has read')
def has_read(context: Context, name: str) -> None:
    reply = caller_of(context, name).run(world_of(context).select())
    assert reply.is_ok, reply


@given('"{name:Text}" has started to read')
def start_to_read(context: Context, name: str) -> None:
    world = world_of(context)
    caller_of(context, name).start(world.select(), deadline_ms=20_000)
    world.eventually(
        "statement in flight",
        lambda: any(
            world.diagnostics(standin)["slots_in_use"]
            for standin in world.running_standins()
        ),
    )


@then('"{name:Text}" is told "{outcome:Text}" with "{text:Text}"')
def is_told_with(context: Context, name: str, outcome: str, text: str) -> None:
    reply = _reply(context, name)
    assert reply.outcome == outcome.rstrip(":"), reply
    assert text in reply.text, reply


@then('"{name:Text}" is told "{outcome:Text}"')
def is_told(context: Context, name: str, outcome: str) -> None:
    reply = _reply(context, name)
    assert reply.outcome == outcome.rstrip(":"), reply


@then('"{name:Text}" is told "{outcome:Text}" at once and when to come back')
def is_told_promptly(context: Context, name: str, outcome: str) -> None:
    is_told(context, name, outcome)
    reply = caller_of(context, name).last
    assert reply.seconds < PROMPT_REPLY_SECONDS, reply
    assert reply.retry_after_ms, reply


@then('"{name:Text}" was not told "{first:Text}" or "{second:Text}"')
def was_not_told(context: Context, name: str, first: str, second: str) -> None:
    reply = _reply(context, name)
    assert reply.outcome not in {first.rstrip(":"), second.rstrip(":")}, reply


@then('"{name:Text}" gets its answer')
def gets_answer(context: Context, name: str) -> None:
    reply = caller_of(context, name).finish(TIMEOUT_SECONDS)
    assert reply.is_ok, reply


@then('"{name:Text}" was told of as many rows as "{other:Text}"')
def same_count(context: Context, name: str, other: str) -> None:
    counts = [caller_of(context, one).last.affected_rows for one in (name, other)]
    assert counts[0] == counts[1] == 1, counts


@when("{seconds:d} seconds pass")
def wait(context: Context, seconds: int) -> None:
    time.sleep(seconds)


def _write(context: Context, name: str, line: str, **properties: object):  # noqa: ANN202
    caller = caller_of(context, name)
    reply = caller.run(world_of(context).insert(line), **properties)
    outcomes = world_of(context).state.setdefault("outcomes", {})
    outcomes.setdefault(name, []).append((line, reply.outcome))
    return reply


def _write_until_ok(
    context: Context, name: str, line: str, **properties: object
) -> None:
    deadline = time.monotonic() + TIMEOUT_SECONDS
    reply = _write(context, name, line, **properties)
    while reply.outcome != OK:
        # Without a request id, only a write that did not run may be sent again.
        assert reply.outcome == "not-run" or "request_id" in properties, reply
        assert time.monotonic() < deadline, reply
        time.sleep((reply.retry_after_ms or 0) / 1000 + RETRY_DELAY_SECONDS)
        reply = _write(context, name, line, **properties)


def _reply(context: Context, name: str):  # noqa: ANN202
    caller = caller_of(context, name)
    if caller.has_pending_reply:
        return caller.finish(TIMEOUT_SECONDS)
    return caller.last
