"""Steps about the leader of the control group."""

import time
from typing import Any

from dogwoodspool_api import RenewRequest
from dogwoodspool_api.const import PATH_RENEW
from dogwoodspool_common import PeerRefusedError
from support.const import GROUP, POLL_SECONDS
from support.control import control_of
from support.steps import Context, given, then, when, world_of

NOT_LEADER = "not_leader"


@given("the control leader runs outside of the primary's failure domain")
def move_leader_to_other_domain(context: Context) -> None:
    world = world_of(context)
    control = control_of(context)
    home = world.primary().failure_domain
    leader = control.wait_leader()
    if leader.failure_domain != home:
        return
    control.freeze(leader)
    control.wait_leader()
    control.thaw(leader)


@when("an operator makes a change that proxy {number:d} cannot follow")
def change_unseen_by_proxy(context: Context, number: int) -> None:
    # The change answers the proxy's open poll, so that nothing later reaches the proxy.
    control_of(context).make_changes(1, {"queue_limit": 60 + number})


@when("the promotion has begun and the control leader is killed")
def kill_leader_in_promotion(context: Context) -> None:
    world = world_of(context)
    control = control_of(context)

    def has_begun() -> bool:
        leader = control.wait_leader()
        return bool(control.status(leader)["promotions"])

    world.eventually("promotion", has_begun)
    control.kill(control.wait_leader())


@when("the control leader freezes")
def freeze_leader(context: Context) -> None:
    control = control_of(context)
    leader = control.wait_leader()
    world_of(context).state["old_leader"] = leader
    control.freeze(leader)


@when("another control process leads and changes the primary")
def new_leader_promotes(context: Context) -> None:
    world = world_of(context)
    control = control_of(context)
    world.state["former_primary"] = world.primary()
    world.state["term"] = world.deployment.term(GROUP)
    assert control.wait_leader() != world.state["old_leader"]
    world.deployment.promote(GROUP)
    world.eventually(
        "new term with grants at every proxy",
        lambda: all(
            state["may_write"]
            and state["term"] > world.state["term"]
            and state["primary"] not in (None, world.state["former_primary"].name)
            for state in _group_states(context)
        ),
    )


@when("the other control processes freeze and the old leader goes on")
def resume_only_old_leader(context: Context) -> None:
    control = control_of(context)
    old = world_of(context).state["old_leader"]
    control.freeze(*control.running)
    control.thaw(old)


@then("the old leader refuses grants for {seconds:d} seconds")
def refuses_grants(context: Context, seconds: int) -> None:
    world = world_of(context)
    old = world.state["old_leader"]
    request = RenewRequest(
        proxy="proxy-1",
        incarnation="asking",
        failure_domain="fd-a",
        address="127.0.0.1:1",
        view_version=0,
    ).model_dump(mode="json")
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            answer = world.deployment.client.post(old.address, PATH_RENEW, request)
        except PeerRefusedError as error:
            assert error.code == NOT_LEADER, error
        else:
            raise AssertionError(f"the old leader renewed a grant: {answer}")
        time.sleep(POLL_SECONDS * 5)


@then("no proxy may write once its grant has run out")
def all_grants_expire(context: Context) -> None:
    world = world_of(context)
    world.eventually(
        "expiry of all grants",
        lambda: not any(map(world.deployment.may_write, world.running_proxies())),
    )


@then("no proxy goes back to the old term")
def no_proxy_in_old_term(context: Context) -> None:
    old_term = world_of(context).state["term"]
    states = _group_states(context)
    assert all(state["term"] > old_term for state in states), states


@when("the control group stands still")
def freeze_control(context: Context) -> None:
    control = control_of(context)
    control.freeze(*control.running)


@when("the control group goes on")
def thaw_control(context: Context) -> None:
    control_of(context).thaw_all()


def _group_states(context: Context) -> list[dict[str, Any]]:
    """Return the group's state as each running proxy reports it."""
    world = world_of(context)
    return [
        state
        for proxy in world.running_proxies()
        for state in world.deployment.proxy_status(proxy)["groups"]
        if state["group"] == GROUP
    ]
