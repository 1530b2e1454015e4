"""Run one backend server of a stand-in database group.

Usage:
  dogwoodspool-standin [options]
  dogwoodspool-standin (-h | --help)

Each option --NAME has the environment variable DOGWOODSPOOL_NAME.

Options:
  --name NAME                  Name of the server, unique in the system.
  --group NAME                 Its database group.
  --failure-domain NAME        Where it runs.
  --data-folder PATH           Folder of its rows, log and state.
  --shared-key KEY             Shared key of the system's processes.
  --listen HOST:PORT           Where callers connect; port 0 takes a free one.
  --control-listen HOST:PORT   Where fault switches and diagnostics answer.
  --announce-to ADDRESSES      Entry instances, HOST:PORT,HOST:PORT.
  --announce-interval-ms MS    Time between announcements.
  --user NAME                  Name of the callers' user.
  --password TEXT              Its password.
  --slots N                    Statements that run at a time.
  --connections N              Connections that it takes.
  --connect-delay-ms MS        Time that a new connection takes.
  --statement-ms MS            Service time of a statement.
  --lock-wait-ms MS            Wait for another transaction's write lock.
  --replication-lag-ms MS      Time that a replica holds each entry back.
  --latency-ms MS              One-way delay of commands and answers.
  --role ROLE                  primary or replica, at the very first start.
  --follow HOST:PORT           Primary to follow, at the very first start.
  --ready-file PATH            Write the addresses as JSON once ready.
  --log-level LEVEL            Lowest level of events that are written.
  -h --help                    Show this.
"""

from dogwoodspool_common import (
    SettingsError,
    SystemClock,
    read_settings,
    run_program,
    set_up_logging,
    stop_event_on_signals,
    write_ready_file,
)

from .const import PROGRAM
from .errors import StorageError
from .server import StandinServer
from .settings import StandinSettings


def main() -> int:
    """Serve until a stop signal is received."""
    settings = read_settings(__doc__ or "", StandinSettings)
    set_up_logging(PROGRAM, settings.name, settings.log_level)
    stop = stop_event_on_signals()
    server = _start(settings)
    addresses = {
        "address": server.address,
        "control_address": server.control_address,
    }
    write_ready_file(settings.ready_file, addresses)
    stop.wait()
    server.unload()
    return 0


def run() -> None:
    """Run the program and exit with its status."""
    run_program(main)


def _start(settings: StandinSettings) -> StandinServer:
    try:
        server = StandinServer(settings, SystemClock())
        server.set_up()
    except (OSError, StorageError) as error:
        raise SettingsError(f"cannot start: {error}") from error
    return server
