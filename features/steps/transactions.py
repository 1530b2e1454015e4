"""Steps about transactions."""

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


def begin_read_only(context: Context, name: str) -> None:
    reply = caller_of(context, name).run("START TRANSACTION READ ONLY")
    assert reply.is_ok, reply


@when('"{name:Text}" commits')
def commit(context: Context, name: str) -> None:
    caller_of(context, name).run("COMMIT")


@step('"{name:Text}" commits and is told "{outcome:Text}"')
def commit_is_told(context: Context, name: str, outcome: str) -> None:
    reply = caller_of(context, name).run("COMMIT", deadline_ms=20_000)
    assert reply.outcome == outcome.rstrip(":"), reply


@when('"{name:Text}" rolls back')
def roll_back(context: Context, name: str) -> None:
    reply = caller_of(context, name).run("ROLLBACK")
    assert reply.is_ok, reply


@when('"{name:Text}" vanishes')
def disconnect(context: Context, name: str) -> None:
    caller_of(context, name).disconnect()


@when('"{name:Text}" reads in a transaction on a replica')
def read_on_replica(context: Context, name: str) -> None:
    """Begin again if the transaction runs on the primary.

    A read may go to the primary as long as no replica is known to have the line.
    """
    world = world_of(context)

    def is_on_replica() -> bool:
        begin_read_only(context, name)
        reply = caller_of(context, name).run(world.select())
        assert reply.is_ok, reply
        if _replicas_in_use(context, name):
            return True
        commit(context, name)
        return False

    world.eventually("a transaction on a replica", is_on_replica)


@when('the server of "{name:Text}"\'s transaction announces that it leaves')
def server_leaves(context: Context, name: str) -> None:
    world = world_of(context)
    held = _replicas_in_use(context, name)
    assert held, world.deployment.proxy_status(caller_of(context, name).proxy)
    world.fault(map(world.standin, held), leaving=True)

    def is_in_force() -> bool:
        servers = world.deployment.view().servers
        return held <= {server.server for server in servers if server.is_leaving}

    world.eventually("leaving server in the view", is_in_force)


def _replicas_in_use(context: Context, name: str) -> set[str]:
    world = world_of(context)
    usage = world.deployment.proxy_status(caller_of(context, name).proxy)["backends"]
    in_use = {one["server"] for one in usage if one["in_use"]}
    return {one.name for one in world.replicas()} & in_use


@then('"{name:Text}" reads from the primary as soon as it can')
def reads_primary(context: Context, name: str) -> None:
    """Read as an unknown session, for which only the primary is known to be fresh."""
    world = world_of(context)
    caller = caller_of(context, name)
    world.eventually(
        "answer from the primary", lambda: caller.run(world.select()).is_ok
    )


@then('"{name:Text}" has read the line "{line:Text}"')
def has_read_line(context: Context, name: str, line: str) -> None:
    reply = caller_of(context, name).last
    assert reply.is_ok and (line,) in reply.rows, reply
