"""Steps of transactions."""

from support.const import GROUP
from support.steps import Context, caller_of, given, step, then, when, world_of


@when('"{name:Text}" begins a transaction')
def begin(context: Context, name: str) -> None:
    reply = caller_of(context, name).run("BEGIN")
    assert reply.is_ok, reply


@given('"{name:Text}" has begun a transaction with the line "{line:Text}"')
def has_begun(context: Context, name: str, line: str) -> None:
    begin(context, name)
    reply = caller_of(context, name).run(world_of(context).insert(line))
    assert reply.is_ok, reply


@when('"{name:Text}" begins a read-only transaction')
def begin_read_only(context: Context, name: str) -> None:
    reply = caller_of(context, name).run("START TRANSACTION READ ONLY")
    assert reply.is_ok, reply


@when('"{name:Text}" commits')
def commit(context: Context, name: str) -> None:
    caller_of(context, name).run("COMMIT")


@step('"{name:Text}" commits and is told "{outcome:Text}"')
def commit_with(context: Context, name: str, outcome: str) -> None:
    reply = caller_of(context, name).run("COMMIT", deadline_ms=20_000)
    assert reply.outcome == outcome.rstrip(":"), reply


@when('"{name:Text}" rolls back')
def roll_back(context: Context, name: str) -> None:
    reply = caller_of(context, name).run("ROLLBACK")
    assert reply.is_ok, reply


@when('"{name:Text}" vanishes')
def vanish(context: Context, name: str) -> None:
    caller_of(context, name).vanish()


@when('the server of "{name:Text}"\'s transaction announces that it leaves')
def server_leaves(context: Context, name: str) -> None:
    world = world_of(context)
    proxy = caller_of(context, name).proxy
    usage = world.deployment.proxy_status(proxy)["backends"]
    held = [one["server"] for one in usage if one["in_use"]]
    replicas = [world.standin(server) for server in held]
    primary = world.primary()
    assert [one for one in replicas if one != primary], usage
    world.fault([one for one in replicas if one != primary], leaving=True)
    world.eventually(
        "leaving in force",
        lambda: any(
            server.is_leaving
            for server in world.deployment.view().servers
            if server.group == GROUP
        ),
    )


@then('"{name:Text}" has read the line "{line:Text}"')
def has_read_line(context: Context, name: str, line: str) -> None:
    reply = caller_of(context, name).last
    assert reply.is_ok and (line,) in reply.rows, reply
