"""Run one proxy.

Usage:
  dogwoodspool-proxy [options]
  dogwoodspool-proxy --help | --version

Every option can be given as an environment variable DOGWOODSPOOL_<OPTION>, with
underscores; the option goes first.

Options:
  --name NAME               Name of this instance, the same after a restart.
  --failure-domain NAME     Where this instance runs.
  --listen HOST:PORT        Where callers connect (MySQL protocol).
  --http-listen HOST:PORT   Where HTTP answers: announcements, readiness, metrics.
  --control HOST:PORT,...   The control processes.
  --shared-key KEY          Key between the system's processes.
  --tls-certificate FILE    Certificate towards callers.
  --tls-key FILE            Its key.
  --workers N               Statements that run at a time (64).
  --max-callers N           Caller connections (4096).
  --drain-seconds SECONDS   Longest graceful shutdown (30).
  --log-level LEVEL         DEBUG, INFO, WARNING or ERROR (INFO).
  --trace-file FILE         Write a span for each hop to this file.
  --ready-file FILE         Write the addresses in use to this file once started.
"""

from dogwoodspool_common import (
    SystemClock,
    read_settings,
    run_program,
    set_up_logging,
    set_up_tracing,
    stop_event_on_signals,
    write_ready_file,
)

from .app import Proxy
from .const import PROGRAM
from .models import ProxySettings


def main() -> int:
    """Run until a signal arrives, then finish requests in flight."""
    settings = read_settings(__doc__ or "", ProxySettings)
    set_up_logging(PROGRAM, settings.name, settings.log_level)
    set_up_tracing(PROGRAM, settings.name, settings.trace_file)
    stop = stop_event_on_signals()
    proxy = Proxy(settings, SystemClock())
    proxy.set_up()
    addresses = {"address": proxy.caller_address, "http_address": proxy.http_address}
    write_ready_file(settings.ready_file, addresses)
    stop.wait()
    is_complete = proxy.drain()
    proxy.unload()
    return 0 if is_complete else 1


def run() -> None:
    """Run the program."""
    run_program(main)
