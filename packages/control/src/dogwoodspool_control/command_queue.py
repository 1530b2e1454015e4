"""Queue of commands that a separate thread commits one after another."""

import threading
from collections import OrderedDict

from dogwoodspool_common import Clock, log_event

from .commands import Command
from .const import (
    ACCEPTED_PAUSE_SECONDS,
    MAX_PENDING_COMMANDS,
    REJECTED_PAUSE_SECONDS,
)
from .errors import ControlError
from .node import ControlNode


class CommandQueue:
    """Commit commands that several components may request at the same time.

    A command that is queued or was committed a moment ago is not queued again. A
    commit can take long when a disk or a peer is slow, and must not block the thread
    that detects failures.
    """

    def __init__(self, clock: Clock, node: ControlNode) -> None:
        self._clock = clock
        self._node = node
        self._changed = threading.Condition()
        self._waiting: OrderedDict[str, Command] = OrderedDict()
        self._paused_until: dict[str, float] = {}
        self._is_closed = False
        self._thread = threading.Thread(
            target=self._run, name="command-queue", daemon=True
        )

    def set_up(self) -> None:
        """Start the thread."""
        self._thread.start()

    def unload(self) -> None:
        """Stop after the commit in progress."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()
        self._thread.join()

    def offer(self, command: Command) -> None:
        """Queue a command, unless it was queued recently or the queue is full."""
        key = repr(command)
        now = self._clock.now()
        with self._changed:
            if key in self._waiting or self._paused_until.get(key, now) > now:
                return
            if len(self._waiting) >= MAX_PENDING_COMMANDS:
                return
            self._waiting[key] = command
            self._changed.notify_all()

    def clear(self) -> None:
        """Drop the commands queued under an earlier leadership."""
        with self._changed:
            self._waiting.clear()
            self._paused_until.clear()

    def commit_next(self) -> None:
        """Commit the oldest queued command, if any."""
        with self._changed:
            if not self._waiting:
                return
            key, command = next(iter(self._waiting.items()))
        pause = self._commit(command)
        now = self._clock.now()
        with self._changed:
            self._waiting.pop(key, None)
            self._paused_until = {
                known: until
                for known, until in self._paused_until.items()
                if until > now
            }
            self._paused_until[key] = now + pause

    def _commit(self, command: Command) -> float:
        kind = type(command).__name__
        try:
            outcome = self._node.propose(command)
        except ControlError as error:
            log_event("command_not_committed", command=kind, reason=error)
            return ACCEPTED_PAUSE_SECONDS
        if outcome.is_accepted:
            log_event("command_committed", command=kind, index=outcome.index)
            return ACCEPTED_PAUSE_SECONDS
        log_event(
            "command_rejected", level="WARNING", command=kind, reason=outcome.message
        )
        return REJECTED_PAUSE_SECONDS

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._waiting and not self._is_closed:
                    self._clock.wait(self._changed, 1.0)
                if self._is_closed:
                    return
            self.commit_next()
