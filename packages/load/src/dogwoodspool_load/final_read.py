"""Create the tables of a run, and read them directly from the primaries after it."""

import time

import pymysql
from dogwoodspool_common import Phase
from dogwoodspool_testbed import Deployment, TestbedError

from .const import FINAL_READ_TIMEOUT_SECONDS
from .errors import LoadError
from .models import GroupFinal, Table
from .rows import CREATE_TABLES, final_row, final_statement

POLL_SECONDS = 0.1


def create_tables(deployment: Deployment) -> None:
    """Create the tables of a run in each group and wait until replicas have them."""
    for group in deployment.shape.groups:
        with (
            deployment.connect(deployment.proxies[0], group) as connection,
            connection.cursor() as cursor,
        ):
            for statement in CREATE_TABLES:
                cursor.execute(statement)
        for standin in deployment.standins:
            if standin.group == group:
                deployment.wait_for(
                    f"tables at {standin.name}",
                    lambda one=standin: _has_tables(deployment, one.name),  # type: ignore[misc]
                )


def read_final(deployment: Deployment) -> list[GroupFinal]:
    """Read every group's tables from its primary.

    Raises:
        LoadError: a group's primary could not be read within
            ``FINAL_READ_TIMEOUT_SECONDS``.
    """
    return [_read_group(deployment, group) for group in deployment.shape.groups]


def _has_tables(deployment: Deployment, name: str) -> bool:
    standin = next(one for one in deployment.standins if one.name == name)
    try:
        with (
            deployment.connect_directly(standin) as connection,
            connection.cursor() as cursor,
        ):
            for table in Table:
                cursor.execute(f"SELECT COUNT(*) FROM {table}")
    except pymysql.MySQLError:
        return False
    return True


def _read_group(deployment: Deployment, group: str) -> GroupFinal:
    deadline = time.monotonic() + FINAL_READ_TIMEOUT_SECONDS
    while True:
        try:
            return _read_once(deployment, group)
        except (pymysql.MySQLError, TestbedError, LoadError) as error:
            if time.monotonic() > deadline:
                raise LoadError(
                    f"final read of group {group!r} failed for "
                    f"{FINAL_READ_TIMEOUT_SECONDS:g} s: {error}"
                ) from error
            time.sleep(POLL_SECONDS)


def _read_once(deployment: Deployment, group: str) -> GroupFinal:
    state = next(one for one in deployment.view().groups if one.name == group)
    if state.phase is not Phase.STEADY:
        raise LoadError(f"{group} is in phase {state.phase}")
    primary = next(one for one in deployment.standins if one.name == state.primary)
    rows = []
    with (
        deployment.connect_directly(primary) as connection,
        connection.cursor() as cursor,
    ):
        for table in Table:
            cursor.execute(final_statement(table))
            rows += [final_row(table, row) for row in cursor.fetchall()]
    return GroupFinal(
        group=group,
        term=state.term,
        rows=tuple(rows),
        term_starts=tuple(start.value() for start in state.term_starts),
    )
