"""Steps in which operators limit client accounts and callers meet the limits."""

import time
from concurrent.futures import ThreadPoolExecutor

from support.callers import Caller, Reply
from support.const import NOT_RUN
from support.steps import Context, then, when, world_of
from support.world import World

CALLER_USER = "app"
Timed = tuple[float, Reply]


@when("an operator limits the account of all callers to {rate:d} operations a second")
def limit_account(context: Context, rate: int) -> None:
    account = {"users": [CALLER_USER], "rate_per_second": rate, "burst": rate}
    world_of(context).change_settings(accounts={"shop": account})


@when("an operator removes the limit")
def remove_limit(context: Context) -> None:
    world_of(context).change_settings(accounts={"shop": {"users": [CALLER_USER]}})


@when("callers at two proxies read for {seconds:d} seconds")
def read_at_two_proxies(context: Context, seconds: int) -> None:
    world = world_of(context)
    until = time.monotonic() + seconds
    proxies = world.running_proxies()[:2]
    callers = [Caller(world.deployment, proxy) for proxy in proxies for _ in range(2)]
    with ThreadPoolExecutor(len(callers)) as executor:
        runs = [executor.submit(_read_until, world, one, until) for one in callers]
    world.state["reads"] = [timed for run in runs for timed in run.result()]
    for caller in callers:
        caller.close()


@then('at most {most:d} reads of any 5 seconds were told "ok"')
def most_in_a_window(context: Context, most: int) -> None:
    reads: list[Timed] = world_of(context).state["reads"]
    served = sorted(at for at, reply in reads if reply.is_ok)
    assert served, "no read was served"
    counts = [sum(at <= one < at + 5 for one in served) for at in served]
    assert max(counts) <= most, f"{max(counts)} reads served within 5 s"


@then('every other read was told "not-run:" with a time to retry')
def others_not_run(context: Context) -> None:
    reads: list[Timed] = world_of(context).state["reads"]
    refused = [reply for _at, reply in reads if not reply.is_ok]
    assert refused, "no read was refused"
    for reply in refused:
        assert reply.outcome == NOT_RUN, reply
        assert reply.retry_after_ms, reply


@then('a read at every proxy is told "ok" {count:d} times')
def reads_everywhere(context: Context, count: int) -> None:
    world = world_of(context)
    for proxy in world.running_proxies():
        caller = Caller(world.deployment, proxy)
        for _ in range(count):
            reply = caller.run(world.select())
            assert reply.is_ok, f"{proxy.name}: {reply}"
        caller.close()


def _read_until(world: World, caller: Caller, until: float) -> list[Timed]:
    reads = []
    while time.monotonic() < until:
        reply = caller.run(world.select())
        reads.append((time.monotonic(), reply))
        if not reply.is_ok:
            time.sleep(0.02)
    return reads
