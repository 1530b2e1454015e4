"""Steps about session tokens."""

import time

from dogwoodspool_common import Position
from dogwoodspool_sessions import TokenCodec
from dogwoodspool_testbed.const import TOKEN_KEY
from support.const import GROUP, POLL_SECONDS
from support.steps import Context, caller_of, then, when, world_of


@when('"{name:Text}" goes on with the session of "{other:Text}"')
def use_session_of(context: Context, name: str, other: str) -> None:
    caller_of(context, name).session = caller_of(context, other).token()


@when('"{name:Text}" goes on with no session')
def use_no_session(context: Context, name: str) -> None:
    caller_of(context, name).session = None


@when('"{name:Text}" goes on with a token of another key')
def use_token_of_other_key(context: Context, name: str) -> None:
    key = bytes(reversed(range(32)))
    caller_of(context, name).session = TokenCodec(key).encode({GROUP: Position(1, 1)})


@when('"{name:Text}" goes on with a token cut short')
def use_truncated_token(context: Context, name: str) -> None:
    token = _codec().encode({GROUP: Position(1, 1)})
    caller_of(context, name).session = token[:-8]


@when('"{name:Text}" goes on with a token of a term of the future')
def use_token_of_future_term(context: Context, name: str) -> None:
    term = world_of(context).deployment.term(GROUP) + 5
    token = _codec().encode({GROUP: Position(term, 1)})
    caller_of(context, name).session = token


@when('"{name:Text}" goes on with a token past the branch of the new term')
def use_token_past_branch(context: Context, name: str) -> None:
    groups = world_of(context).deployment.view().groups
    start = next(group for group in groups if group.name == GROUP).term_starts[-1]
    token = _codec().encode({GROUP: Position(start.term - 1, start.offset + 1)})
    caller_of(context, name).session = token


@then('each of {count:d} reads of "{name:Text}" has the line "{line:Text}"')
def each_read_has(context: Context, count: int, name: str, line: str) -> None:
    caller = caller_of(context, name)
    for _number in range(count):
        reply = caller.run(world_of(context).select())
        assert reply.is_ok, reply
        assert (line,) in reply.rows, reply


@then(
    'each read of "{name:Text}" has the lines "{first:Text}" and "{second:Text}" for '
    "{seconds:d} seconds"
)
def each_read_has_both(
    context: Context, name: str, first: str, second: str, seconds: int
) -> None:
    caller = caller_of(context, name)
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        reply = caller.run(world_of(context).select())
        assert reply.is_ok, reply
        assert {(first,), (second,)} <= set(reply.rows), reply
        time.sleep(POLL_SECONDS)


def _codec() -> TokenCodec:
    return TokenCodec(bytes.fromhex(TOKEN_KEY))
