"""Start, signal and stop the processes of a deployment by name."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from .const import POLL_SECONDS, READY_TIMEOUT_SECONDS, STOP_TIMEOUT_SECONDS
from .errors import TestbedError


@dataclass(slots=True)
class _Process:
    role: str
    arguments: list[str]
    ready_file: Path | None
    popen: subprocess.Popen[bytes]


class ProcessTable:
    """Start this project's programs and stop only the started processes."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, _Process] = {}

    def start(
        self, name: str, role: str, arguments: list[str], has_ready_file: bool
    ) -> None:
        """Start a program; ``ready`` waits until it serves requests."""
        ready_file = self._folder / f"{name}.ready" if has_ready_file else None
        if ready_file is not None:
            ready_file.unlink(missing_ok=True)
            arguments = [*arguments, "--ready-file", str(ready_file)]
        self._processes[name] = _Process(
            role, arguments, ready_file, self._spawn(name, arguments)
        )

    def restart(self, name: str) -> None:
        """Start a program again with the same arguments, killing it if it runs."""
        process = self._processes[name]
        self.kill(name)
        if process.ready_file is not None:
            process.ready_file.unlink(missing_ok=True)
        process.popen = self._spawn(name, process.arguments)

    def ready(self, name: str) -> Mapping[str, str]:
        """Wait for a program's ready file and return the addresses in it.

        Raises:
            TestbedError: the process ended, or did not write the file in time.
        """
        process = self._processes[name]
        assert process.ready_file is not None
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            text = process.ready_file.read_text() if process.ready_file.exists() else ""
            if text.endswith("}"):
                addresses: dict[str, str] = json.loads(text)
                return addresses
            if process.popen.poll() is not None:
                break
            time.sleep(POLL_SECONDS)
        raise TestbedError(
            f"{name} did not start; its log ends:\n{self.log_tail(name)}"
        )

    def pids(self) -> list[tuple[str, str, int]]:
        """Return role, name and process id of every process."""
        return [
            (process.role, name, process.popen.pid)
            for name, process in self._processes.items()
        ]

    def pid(self, name: str) -> int:
        """Return a process's id."""
        return self._processes[name].popen.pid

    def is_running(self, name: str) -> bool:
        """Return whether a process is still running."""
        return self._processes[name].popen.poll() is None

    def kill(self, name: str) -> None:
        """Kill a process immediately, as a failure of its machine would."""
        popen = self._processes[name].popen
        if popen.poll() is None:
            popen.send_signal(signal.SIGKILL)
        popen.wait()

    def freeze(self, name: str) -> None:
        """Suspend a process with ``SIGSTOP``; its sockets stay open."""
        os.kill(self.pid(name), signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a frozen process."""
        os.kill(self.pid(name), signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Ask a process to shut down gracefully."""
        self._processes[name].popen.terminate()

    def wait(self, name: str, seconds: float) -> int:
        """Wait until a process ends and return its exit status."""
        return self._processes[name].popen.wait(seconds)

    def log(self, name: str) -> str:
        """Return the log of a process."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def log_tail(self, name: str, lines: int = 15) -> str:
        """Return the last lines of a process's log."""
        return "\n".join(self.log(name).splitlines()[-lines:])

    def stop_all(self) -> None:
        """Stop every process, frozen ones too; kill those that do not end in time."""
        for process in self._processes.values():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for name, process in self._processes.items():
            try:
                process.popen.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                self.kill(name)

    def _spawn(self, name: str, arguments: list[str]) -> subprocess.Popen[bytes]:
        program = Path(sys.executable).parent / arguments[0]
        with (self._folder / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                [str(program), *arguments[1:]],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
