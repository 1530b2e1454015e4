"""Steps that cause failures of backend servers, control and proxies."""

from support.const import GROUP, TIMEOUT_SECONDS
from support.steps import Context, given, step, when, world_of


@step('the replica "{name:Text}" has stopped to replicate')
def stop_replication(context: Context, name: str) -> None:
    world = world_of(context)
    world.fault([world.standin(name)], stop_replication=True)


@when("every replica stops to replicate")
def stop_all_replication(context: Context) -> None:
    world = world_of(context)
    world.fault(world.replicas(), stop_replication=True)


@when("every replica replicates again")
def start_all_replication(context: Context) -> None:
    world = world_of(context)
    world.fault(world.replicas(), stop_replication=False)


@given('the replica "{name:Text}" is frozen')
def freeze(context: Context, name: str) -> None:
    world = world_of(context)
    world.fault([world.standin(name)], freeze=True)


@when('the replica "{name:Text}" returns with its old data')
def thaw_with_old_data(context: Context, name: str) -> None:
    world = world_of(context)
    world.fault([world.standin(name)], stop_replication=True, freeze=False)


@when("the primary freezes")
def freeze_primary(context: Context) -> None:
    world = world_of(context)
    world.fault([world.primary()], freeze=True)


@when("the primary is killed")
def kill_primary(context: Context) -> None:
    world = world_of(context)
    world.deployment.processes.kill(world.primary().name)


@when('the primary is changed to "{name:Text}"')
def change_primary(context: Context, name: str) -> None:
    world = world_of(context)
    world.deployment.promote(GROUP, name)
    world.eventually("change of primary", lambda: world.primary_name() == name)
    world.deployment.wait_for(
        "grants at every proxy",
        lambda: all(map(world.deployment.may_write, world.running_proxies())),
    )


@step("statements take {milliseconds:d} ms at every backend server")
def slow_statements(context: Context, milliseconds: int) -> None:
    world = world_of(context)
    world.fault(world.running_standins(), statement_ms=milliseconds)


@when("every connection to the backend servers falls silent")
def silence_connections(context: Context) -> None:
    world = world_of(context)
    world.fault(world.running_standins(), silence_connections=True)


@when("every connection to the backend servers is cut")
def cut_connections(context: Context) -> None:
    """Drop the open connections while new ones work.

    The proxies are suspended meanwhile, so that none of them connects at the moment
    at which new connections are refused.
    """
    world = world_of(context)
    processes = world.deployment.processes
    names = [proxy.name for proxy in world.running_proxies()]
    for name in names:
        processes.freeze(name)
    try:
        world.fault(world.running_standins(), refuse_connections=True)
        world.fault(world.running_standins(), refuse_connections=False)
    finally:
        for name in names:
            processes.thaw(name)


@when("all control processes are frozen")
def freeze_control(context: Context) -> None:
    processes = world_of(context).deployment.processes
    for control in world_of(context).deployment.controls:
        processes.freeze(control.name)
        context.add_cleanup(processes.thaw, control.name)


@given('the setting "{name:Text}" is {value:d}')
def change_setting(context: Context, name: str, value: int) -> None:
    world_of(context).change_settings(**{name: value})


@given("a proxy that can be ended")
def extra_proxy(context: Context) -> None:
    world = world_of(context)
    deployment = world.deployment
    name = f"proxy-{len(deployment.proxies) + 1}"
    proxy = deployment.start_proxy(name, "fd-a")
    world.state["proxy"] = proxy
    deployment.wait_for("grants", lambda: deployment.may_write(proxy))


@when("that proxy is killed")
def kill_proxy(context: Context) -> None:
    world = world_of(context)
    world.deployment.processes.kill(world.state["proxy"].name)


@step("that proxy is asked to stop")
def terminate_proxy(context: Context) -> None:
    world = world_of(context)
    world.deployment.processes.terminate(world.state["proxy"].name)
    world.eventually("drain", lambda: "drain_started" in _log(context), TIMEOUT_SECONDS)


def _log(context: Context) -> str:
    world = world_of(context)
    return world.deployment.processes.log(world.state["proxy"].name)
