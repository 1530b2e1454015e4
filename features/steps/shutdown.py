"""Steps about a proxy that is asked to stop."""

import urllib3
from support.const import TIMEOUT_SECONDS
from support.steps import Context, then, when, world_of


@then("that proxy exits with status {status:d}")
def proxy_exits(context: Context, status: int) -> None:
    world = world_of(context)
    name = world.state["proxy"].name
    found = world.deployment.processes.wait(name, TIMEOUT_SECONDS)
    assert found == status, found


@then(
    '"{ready:Text}" of that proxy answers {refusal:d} while "{live:Text}" answers '
    "{ok:d}"
)
def health_endpoints_answer(
    context: Context, ready: str, refusal: int, live: str, ok: int
) -> None:
    found = [_status(context, path) for path in (ready, live)]
    assert found == [refusal, ok], found


@when('the line "{line:Text}" is being written at the primary')
def line_is_being_written(context: Context, line: str) -> None:
    world = world_of(context)
    primary = world.primary()
    world.eventually(
        f"{line} in flight", lambda: world.diagnostics(primary)["slots_in_use"] > 0
    )


def _status(context: Context, path: str) -> int:
    proxy = world_of(context).state["proxy"]
    url = f"http://{proxy.http_address}{path}"
    return urllib3.request("GET", url, timeout=5.0, retries=False).status
