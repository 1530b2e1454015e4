"""Steps about backend servers that are added, removed or moved."""

import time

import pymysql
from dogwoodspool_common import HttpError
from dogwoodspool_testbed import StandinHandle
from support.callers import Caller
from support.const import GROUP, POLL_SECONDS, TIMEOUT_SECONDS
from support.control import control_of
from support.steps import Context, step, then, when, world_of

# Control removes a silent replica after 30 s.
DROPPED_SECONDS = 90.0
DOWN_SECONDS = 1.2
UP_SECONDS = 0.4


@when('one more replica "{name:Text}" is started')
def start_replica(context: Context, name: str) -> None:
    standin = world_of(context).deployment.start_replica(GROUP)
    assert standin.name == name, standin


@then('every proxy knows the server "{name:Text}"')
def is_known(context: Context, name: str) -> None:
    world = world_of(context)

    def knows_all() -> bool:
        return all(
            name in {one["server"] for one in status["backends"]}
            for status in map(world.deployment.proxy_status, world.running_proxies())
        )

    world.eventually(f"{name} at every proxy", knows_all)


@when('the replica "{name:Text}" is killed and starts again at another port')
def restart_at_other_port(context: Context, name: str) -> None:
    world = world_of(context)
    old = world.standin(name)
    assert old != world.primary()
    new = world.restart_standin(old)
    assert new.address != old.address, new


@then('the new address of the replica "{name:Text}" is known to control')
def address_is_known(context: Context, name: str) -> None:
    world = world_of(context)
    address = str(world.standin(name).address)
    world.eventually(
        f"new address of {name}", lambda: _servers(context).get(name) == address
    )


@then("all backend servers come to the same position")
def servers_reach_same_position(context: Context) -> None:
    world_of(context).replicated_lines()


@when('the link from "{domain:Text}" to the primary goes down and up {count:d} times')
def flap_link(context: Context, domain: str, count: int) -> None:
    world = world_of(context)
    primary = world.primary()
    assert primary.failure_domain != domain, primary
    world.state["former_primary"] = primary
    world.state["term"] = world.deployment.term(GROUP)
    for _number in range(count):
        world.fault([primary], cut_failure_domains=[domain])
        time.sleep(DOWN_SECONDS)
        world.fault([primary], cut_failure_domains=[])
        time.sleep(UP_SECONDS)


@then('"{name:Text}" is the primary')
def is_primary(context: Context, name: str) -> None:
    view = control_of(context).committed()
    groups = [] if view is None else view.groups
    found = [group.primary for group in groups if group.name == GROUP]
    assert found == [name], found


@when('the replica "{name:Text}" is killed')
def kill_replica(context: Context, name: str) -> None:
    world_of(context).deployment.processes.kill(name)


@when('all servers of the group "{group:Text}" are killed')
def kill_group(context: Context, group: str) -> None:
    world = world_of(context)
    world.state["lost_primary"] = world.deployment.primary(group).name
    for standin in _standins(context, group):
        world.deployment.processes.kill(standin.name)


@then('the server "{name:Text}" is dropped in the end')
def is_dropped(context: Context, name: str) -> None:
    world_of(context).eventually(
        f"removal of {name}", lambda: name not in _servers(context), DROPPED_SECONDS
    )


@then('the primary of the group "{group:Text}" is still known for {seconds:d} seconds')
def is_still_known(context: Context, group: str, seconds: int) -> None:
    name = world_of(context).state["lost_primary"]
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        servers = _servers(context)
        assert name in servers, (group, servers)
        time.sleep(POLL_SECONDS * 10)


@when('all servers of the group "{group:Text}" start again at other ports')
def restart_group(context: Context, group: str) -> None:
    for standin in _standins(context, group):
        world_of(context).restart_standin(standin)


@step('the group "{group:Text}" takes writes again')
def takes_writes(context: Context, group: str) -> None:
    world = world_of(context)
    caller = Caller(world.deployment, world.proxy(1), group)
    sql = "CREATE TABLE IF NOT EXISTS again (id INT PRIMARY KEY)"
    try:
        world.eventually(
            f"write in {group}", lambda: caller.run(sql).is_ok, TIMEOUT_SECONDS * 2
        )
    except (HttpError, pymysql.MySQLError) as error:
        raise AssertionError(error) from error
    finally:
        caller.close()


def _servers(context: Context) -> dict[str, str]:
    view = control_of(context).committed()
    servers = [] if view is None else view.servers
    return {server.server: server.address for server in servers}


def _standins(context: Context, group: str) -> list[StandinHandle]:
    standins = world_of(context).deployment.standins
    return [standin for standin in standins if standin.group == group]
