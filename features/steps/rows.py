"""Steps that read the backend servers directly, past the proxies."""

from support.const import NOT_RUN, OK
from support.steps import Context, step, then, when, world_of


@when('the line "{line:Text}" appears at the primary')
def appears(context: Context, line: str) -> None:
    world = world_of(context)
    primary = world.primary()
    world.eventually("line at the primary", lambda: line in world.lines_at(primary))


@step('"{line:Text}" is at no backend server')
def is_absent(context: Context, line: str) -> None:
    lines = world_of(context).settled_lines()
    assert line not in lines, lines


@step('"{line:Text}" is at every backend server')
def is_present(context: Context, line: str) -> None:
    lines = world_of(context).settled_lines()
    assert line in lines, lines


@then('"{line:Text}" is once at every backend server')
def is_once(context: Context, line: str) -> None:
    lines = world_of(context).settled_lines()
    assert lines.count(line) == 1, lines


@then('"{line:Text}" is at most once at every backend server')
def is_at_most_once(context: Context, line: str) -> None:
    lines = world_of(context).settled_lines()
    assert lines.count(line) <= 1, lines


@step('every line that "{name:Text}" was told "ok" of is at every backend server')
def acknowledged(context: Context, name: str) -> None:
    world = world_of(context)
    lines = world.settled_lines()
    expected = {line for line, told in world.notes["told"][name] if told == OK}
    assert expected, "nothing was acknowledged"
    assert expected <= set(lines), (expected, lines)


@step('no line that "{name:Text}" was told "not-run:" of is at any backend server')
def refused(context: Context, name: str) -> None:
    world = world_of(context)
    lines = set(world.settled_lines())
    told = world.notes["told"][name]
    accepted = {line for line, outcome in told if outcome != NOT_RUN}
    absent = {line for line, outcome in told if outcome == NOT_RUN} - accepted
    assert not absent & lines, (absent, lines)


@then("the lines agree at every backend server once the primary is back")
def agree(context: Context) -> None:
    world = world_of(context)
    world.settled_lines()
