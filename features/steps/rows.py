"""Steps that read the backend servers without a proxy."""

from support.const import NOT_RUN, OK
from support.steps import Context, step, then, when, world_of


@when('the line "{line:Text}" appears at the primary')
def line_appears(context: Context, line: str) -> None:
    world = world_of(context)
    primary = world.primary()
    world.eventually("line at the primary", lambda: line in world.lines_at(primary))


@step('"{line:Text}" is at no backend server')
def line_is_absent(context: Context, line: str) -> None:
    lines = world_of(context).replicated_lines()
    assert line not in lines, lines


@step('"{line:Text}" is at every backend server')
def line_is_present(context: Context, line: str) -> None:
    lines = world_of(context).replicated_lines()
    assert line in lines, lines


@then('"{line:Text}" is once at every backend server')
def line_is_once(context: Context, line: str) -> None:
    lines = world_of(context).replicated_lines()
    assert lines.count(line) == 1, lines


@then('"{line:Text}" is at most once at every backend server')
def line_is_at_most_once(context: Context, line: str) -> None:
    lines = world_of(context).replicated_lines()
    assert lines.count(line) <= 1, lines


@step('every line that "{name:Text}" was told "ok" of is at every backend server')
def acknowledged_lines_are_present(context: Context, name: str) -> None:
    world = world_of(context)
    lines = world.replicated_lines()
    expected = {
        line for line, outcome in world.state["outcomes"][name] if outcome == OK
    }
    assert expected, "no write was acknowledged"
    assert expected <= set(lines), (expected, lines)


@step('no line that "{name:Text}" was told "not-run:" of is at any backend server')
def refused_lines_are_absent(context: Context, name: str) -> None:
    world = world_of(context)
    lines = set(world.replicated_lines())
    outcomes = world.state["outcomes"][name]
    accepted = {line for line, outcome in outcomes if outcome != NOT_RUN}
    absent = {line for line, outcome in outcomes if outcome == NOT_RUN} - accepted
    assert not absent & lines, (absent, lines)


@then("the lines agree at every backend server once the primary is back")
def servers_hold_same_lines(context: Context) -> None:
    world = world_of(context)
    world.replicated_lines()
