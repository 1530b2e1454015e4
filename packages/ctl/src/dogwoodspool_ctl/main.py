"""Entry point of the operators' command line."""

import json
import os
import sys
from collections.abc import Callable, Mapping
from typing import Any, Final, TextIO

from docopt import docopt
from dogwoodspool_common import (
    JsonClient,
    RequestSigner,
    SystemClock,
    read_settings,
    run_program,
)
from dogwoodspool_settings import SettingsTreeError

from . import account_commands, apply_commands, cluster_commands, settings_commands
from .const import ExitCode
from .context import Command, Context
from .control import Control
from .control_client import ControlClient
from .errors import CtlError
from .models import CtlSettings

USAGE: Final = """Operate dogwoodspool.

Usage:
  dogwoodspool-ctl [options] plan DIR
  dogwoodspool-ctl [options] apply DIR [--yes] [--wait]
  dogwoodspool-ctl [options] get PATH [--explain]
  dogwoodspool-ctl [options] set PATH KEY=VALUE... [--wait]
  dogwoodspool-ctl [options] history [PATH]
  dogwoodspool-ctl [options] rollback PATH VERSION [--wait]
  dogwoodspool-ctl [options] status
  dogwoodspool-ctl [options] rollout
  dogwoodspool-ctl [options] accounts
  dogwoodspool-ctl [options] promote GROUP [--to=SERVER]
  dogwoodspool-ctl [options] drain PROXY
  dogwoodspool-ctl [options] forget PROXY
  dogwoodspool-ctl [options] voters list
  dogwoodspool-ctl [options] voters add ID HOST:PORT
  dogwoodspool-ctl [options] voters remove ID
  dogwoodspool-ctl -h | --help
  dogwoodspool-ctl --version

Options:
  --control=HOST:PORT,...  Control processes, separated by commas.
  --shared-key=KEY         Key that all processes of the system share; better given
                           in the environment, since flags show in process lists.
  --author=NAME            Who asks, for the history.
  --timeout-s=SECONDS      Longest wait for control, and for --wait.
  --json                   Write JSON instead of text.
  --yes                    Apply without asking.
  --wait                   Wait until the change is in force at every proxy.
  --explain                Show each value in force and where it comes from.
  --to=SERVER              The backend server that becomes the primary.

KEY=VALUE takes a YAML value; users.NAME and statements.NAME name one of them, an
empty VALUE inherits again, and '{file: PATH}' or '{env: NAME}' reads a secret.

Environment: DOGWOODSPOOL_CONTROL, DOGWOODSPOOL_SHARED_KEY, DOGWOODSPOOL_AUTHOR and
DOGWOODSPOOL_TIMEOUT_S.

Exit codes: 0 done; 1 bad usage; 2 bad settings, arguments or declarations; 3 control
(or the proxy to drain) gave no answer; 4 conflict with another change; 5 rejected;
6 accepted, but not in force everywhere in time; 7 not confirmed.
"""

COMMANDS: Final[Mapping[str, Command]] = {
    "plan": apply_commands.run_plan,
    "apply": apply_commands.run_apply,
    "get": settings_commands.run_get,
    "set": settings_commands.run_set,
    "accounts": account_commands.run_accounts,
    "history": settings_commands.run_history,
    "rollback": settings_commands.run_rollback,
    "status": cluster_commands.run_status,
    "rollout": cluster_commands.run_rollout,
    "promote": cluster_commands.run_promote,
    "drain": cluster_commands.run_drain,
    "forget": cluster_commands.run_forget,
    "voters": cluster_commands.run_voters,
}


def main() -> int:
    """Run one command with the process's arguments and environment."""
    return execute(sys.argv[1:], os.environ, sys.stdout, ask_operator)


def run() -> None:
    """Run the program."""
    run_program(main)


def execute(
    arguments: list[str],
    environment: Mapping[str, str],
    output: TextIO,
    confirm: Callable[[str], bool],
) -> int:
    """Run one command and return its exit code.

    Raises:
        SettingsError: flags or environment variables do not validate.
    """
    settings = read_settings(USAGE, CtlSettings, arguments, environment)
    parsed = docopt(USAGE, argv=arguments)
    is_json = bool(parsed["--json"])

    def show(line: str) -> None:
        if not is_json:
            output.write(f"{line}\n")
            output.flush()

    caller = JsonClient(RequestSigner(settings.key))
    clock = SystemClock()
    client = ControlClient(settings.addresses, caller, clock, settings.timeout_s)
    context = Context(
        control=Control(client),
        caller=caller,
        settings=settings,
        clock=clock,
        environment=environment,
        show=show,
        confirm=confirm,
    )
    command = next(run for name, run in COMMANDS.items() if parsed[name])
    try:
        report = command(context, parsed)
    except (CtlError, SettingsTreeError) as error:
        exit_code = getattr(error, "exit_code", ExitCode.BAD_SETTINGS)
        _write_error(output if is_json else sys.stderr, error, exit_code, is_json)
        return exit_code
    finally:
        caller.close()
    if is_json:
        output.write(json.dumps(report.data) + "\n")
    for line in report.lines:
        show(line)
    return ExitCode.DONE


def ask_operator(question: str) -> bool:
    """Ask on the terminal; without a terminal the answer is no."""
    if not sys.stdin.isatty():
        return False
    return input(f"{question} [y/N] ").strip().lower() == "y"


def _write_error(
    output: TextIO, error: Exception, exit_code: ExitCode, is_json: bool
) -> None:
    if not is_json:
        output.write(f"{exit_code.name.lower()}: {error}\n")
        return
    details: dict[str, Any] = getattr(error, "details", {})
    body = {"error": exit_code.name.lower(), "message": str(error), **details}
    output.write(json.dumps(body) + "\n")
