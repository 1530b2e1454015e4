"""Steps about late, truncated, large and malformed requests and answers."""

import errno
import re
import socket
from pathlib import Path

import mysql.connector
import pymysql
from dogwoodspool_testbed import ProxyHandle
from dogwoodspool_testbed.const import CALLER_PASSWORD, CALLER_USER
from pymysql.cursors import SSCursor
from support.const import GROUP, PROMPT_REPLY_SECONDS, TIMEOUT_SECONDS
from support.steps import Context, caller_of, given, then, when, world_of

FIRST_ROWS = 10
MEGABYTE = 1024 * 1024
MALFORMED = (
    b"\xff\xff\xff\x05" + b"\x00" * 64,
    b"\x05\x00\x00\x01\x03SELE",
    b"GET / HTTP/1.1\r\nHost: proxy\r\n\r\n",
)


@when(
    '"{name:Text}" asks for {count:d} different numbers within {short:d} and '
    "{long:d} ms in turn"
)
def ask_numbers(context: Context, name: str, count: int, short: int, long: int) -> None:
    caller = caller_of(context, name)
    asked = []
    for number in range(count):
        limit = long if number % 2 else short
        reply = caller.run(f"SELECT {1000 + number} AS n", deadline_ms=limit)
        asked.append((1000 + number, reply))
    world_of(context).state["number_replies"] = asked


@then('each answer to "{name:Text}" has the number that was asked for')
def answers_match(context: Context, name: str) -> None:
    for number, reply in world_of(context).state["number_replies"]:
        if reply.is_ok:
            assert reply.rows == ((number,),), (number, str(reply))


@then('"{name:Text}" was answered at least {count:d} times')
def answered(context: Context, name: str, count: int) -> None:
    replies = [reply for _, reply in world_of(context).state["number_replies"]]
    answers = [reply for reply in replies if reply.is_ok]
    assert len(answers) >= count, [str(reply) for reply in replies]


@given('a caller "{name:Text}" at proxy {number:d} that reads row by row')
def connect_row_by_row(context: Context, name: str, number: int) -> None:
    world = world_of(context)
    world.caller(name, world.proxy(number), cursorclass=SSCursor)


@when(
    '"{name:Text}" begins to read {count:d} rows of {size:d} bytes within {limit:d} ms'
)
def begin_to_read(
    context: Context, name: str, count: int, size: int, limit: int
) -> None:
    world = world_of(context)
    world.state["peak_memory"] = _peak_memory(context, caller_of(context, name).proxy)
    cursor = caller_of(context, name).connection.cursor()
    cursor.execute(
        f"/*deadline_ms='{limit}'*/ WITH RECURSIVE numbers AS (SELECT 1 AS i UNION "
        f"ALL SELECT i + 1 FROM numbers WHERE i < {count}) "
        f"SELECT i, '{'x' * size}' FROM numbers"
    )
    world.state["cursor"] = cursor
    world.state["row_count"] = count
    world.state["first_rows"] = [cursor.fetchone() for _ in range(FIRST_ROWS)]


@then('"{name:Text}" gets all the rows')
def gets_all_rows(context: Context, name: str) -> None:
    state = world_of(context).state
    numbers = [row[0] for row in state["first_rows"]]
    numbers += [row[0] for row in state["cursor"]]
    assert numbers == list(range(1, state["row_count"] + 1)), len(numbers)


@then('"{name:Text}" gets an error instead of the rest of the rows')
def gets_error(context: Context, name: str) -> None:
    state = world_of(context).state
    rows = len(state["first_rows"])
    try:
        rows += sum(1 for _row in state["cursor"])
    except pymysql.MySQLError as error:
        assert "unknown:" in str(error), error
        return
    raise AssertionError(
        f"result ended without an error after {rows} of {state['row_count']} rows"
    )


@then("the memory of proxy {number:d} has grown by less than {limit:d} MB")
def memory_bounded(context: Context, number: int, limit: int) -> None:
    world = world_of(context)
    grown = _peak_memory(context, world.proxy(number)) - world.state["peak_memory"]
    assert grown < limit * MEGABYTE, f"grown by {grown / MEGABYTE:.0f} of {limit} MB"


@when("a caller sends proxy {number:d} a packet of {size:d} MB")
def send_large(context: Context, number: int, size: int) -> None:
    world = world_of(context)
    caller = world.caller("large", world.proxy(number), max_allowed_packet=1 << 30)
    caller.run(f"SELECT '{'x' * size * MEGABYTE}'")


@when("a caller sends proxy {number:d} malformed packets")
def send_malformed(context: Context, number: int) -> None:
    world = world_of(context)
    address = world.proxy(number).address
    ends = []
    for data in MALFORMED:
        with socket.create_connection((address.host, address.port)) as connection:
            connection.settimeout(TIMEOUT_SECONDS)
            connection.recv(4096)
            connection.sendall(data)
            _end_sending(connection)
            ends.append(_read_to_end(connection))
    world.state["connection_ends"] = ends


@then("the callers with the malformed packets are cut off")
def malformed_senders_are_disconnected(context: Context) -> None:
    ends = world_of(context).state["connection_ends"]
    assert len(ends) == len(MALFORMED) and all(ends), ends


@when("prepared statements write and read these lines at proxy {number:d}")
def run_prepared_statements(context: Context, number: int) -> None:
    world = world_of(context)
    address = world.proxy(number).address
    connection = mysql.connector.connect(
        host=address.host,
        port=address.port,
        user=CALLER_USER,
        password=CALLER_PASSWORD,
        database=GROUP,
        use_pure=True,
        autocommit=True,
        connection_timeout=int(PROMPT_REPLY_SECONDS),
    )
    read = []
    cursor = connection.cursor(prepared=True)
    for row in context.table:
        line = row["line"]
        try:
            cursor.execute(f"INSERT INTO {world.table} (body) VALUES (?)", (line,))
            cursor.execute(f"SELECT body FROM {world.table} WHERE body = ?", (line,))
            read.append((line, [value for (value,) in cursor.fetchall()]))
        except mysql.connector.Error as error:
            read.append((line, str(error)))
    connection.close()
    world.state["prepared_rows"] = read


@then("each line was read as it was written")
def lines_read_as_written(context: Context) -> None:
    for line, read in world_of(context).state["prepared_rows"]:
        assert read == [line], (line, read)


def _peak_memory(context: Context, proxy: ProxyHandle) -> int:
    pid = world_of(context).deployment.processes.pid(proxy.name)
    status = Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found.group(1)) * 1024


def _end_sending(connection: socket.socket) -> None:
    """Send the end of input, unless the proxy has already reset the connection."""
    try:
        connection.shutdown(socket.SHUT_WR)
    except OSError as error:
        if error.errno != errno.ENOTCONN:
            raise


def _read_to_end(connection: socket.socket) -> bool:
    """Return whether the peer closes the connection before the time-out."""
    try:
        while connection.recv(4096):
            pass
    except ConnectionError:
        return True
    except TimeoutError:
        return False
    return True
