"""Callers who ask for hardly anything that a proxy has to deny."""

import heapq
import random
import threading
import time
from collections.abc import Generator
from typing import Final

from .const import (
    KEPT_DATABASES,
    MIN_PAUSE_SECONDS,
    QUIET_GAP_SECONDS,
    QUIET_RETRY_SECONDS,
    QUIET_SESSION_SECONDS,
    QUIET_STABLE_SHARE,
    QUIET_TICK_SECONDS,
    SETTLED_SECONDS,
    STATEMENT_GAP_SECONDS,
)
from .machines import Machine
from .record import Answer, Record
from .session import Session

READ: Final = "READ k1"
WRITE: Final = "WRITE k2 data"
SINGLE: Final = "single"
FIRST: Final = "first of"


class QuietCallers:
    """Callers with long sessions, whose transactions pause before the first statement.

    A denial makes a proxy ask control, and so brings it newer views. These callers
    connect only to databases that have been in force for some time, and the first one
    at a proxy that is denied a database tells the others.

    Args:
        port: at which proxies take callers.
        max_pause: longest time in seconds from a begin to the first statement.
        stop: set when the day ends.
    """

    def __init__(
        self, port: int, max_pause: float, record: Record, stop: threading.Event
    ) -> None:
        self._port = port
        self._max_pause = max_pause
        self._record = record
        self._stop = stop
        # Pairs of a proxy and a database that it has denied.
        self._denied: set[tuple[str, str]] = set()

    def use_on(self, edge: Machine, worker: int, sessions: int) -> None:
        """Keep a number of sessions in use until the day ends."""
        source = random.Random(f"{edge.host} quiet {worker}")
        begin = time.monotonic()
        due = [
            (begin + source.uniform(*QUIET_GAP_SECONDS), one, self._use(edge, source))
            for one in range(sessions)
        ]
        heapq.heapify(due)
        while not self._stop.is_set():
            at, one, steps = due[0]
            wait = at - time.monotonic()
            if wait > 0:
                self._stop.wait(min(wait, QUIET_TICK_SECONDS))
                continue
            pause = next(steps, None)
            if pause is None:
                pause, steps = QUIET_RETRY_SECONDS, self._use(edge, source)
            heapq.heapreplace(due, (time.monotonic() + pause, one, steps))
        for _, _, steps in due:
            steps.close()

    def settled(self, now: float) -> list[str]:
        """Return the databases that all proxies should have and none should lose."""
        versions = list(self._record.versions)
        settled: frozenset[str] = frozenset(KEPT_DATABASES)
        for one in versions:
            acknowledged = one.acknowledged_at
            if acknowledged is not None and acknowledged < now - SETTLED_SECONDS:
                settled = one.databases
        return sorted(
            one
            for one in settled & versions[-1].databases
            if one.startswith("db") or one in KEPT_DATABASES
        )

    def _use(
        self, edge: Machine, source: random.Random
    ) -> Generator[float, None, None]:
        """Use one session until it ends; give the seconds to wait between two steps."""
        life, opened_at = edge.lives, time.monotonic()
        database = self._choose(opened_at, source)
        session = Session(edge.host, self._port, database)
        self._keep(edge, life, session, session.greeting, opened_at, "start")
        until = opened_at + source.uniform(*QUIET_SESSION_SECONDS)
        try:
            word = session.greeting
            while word and word != "NODB" and time.monotonic() < until:
                yield source.uniform(*QUIET_GAP_SECONDS)
                if (edge.host, database) in self._denied:
                    return
                if source.random() < 0.5:
                    word = self._ask(edge, life, session, READ, SINGLE)
                else:
                    word = yield from self._transact(edge, life, session, source)
        finally:
            session.close()

    def _transact(
        self, edge: Machine, life: int, session: Session, source: random.Random
    ) -> Generator[float, None, str]:
        """Run a transaction; return the last answer that tells of the session."""
        begin = source.choice(("BEGIN", "BEGIN READ"))
        word = self._ask(edge, life, session, begin, SINGLE)
        if word != "READY":
            return word
        longest = self._max_pause
        yield source.uniform(min(MIN_PAUSE_SECONDS, longest), longest)
        text = source.choice((READ, WRITE)) if begin == "BEGIN" else READ
        word = self._ask(edge, life, session, text, f"{FIRST} {begin}:")
        if word == "READY":
            yield source.uniform(*STATEMENT_GAP_SECONDS)
            word = session.ask("q", READ)
        if not word:
            return ""
        end = "COMMIT" if word == "READY" and source.random() < 0.5 else "ROLLBACK"
        return session.ask("q", end)

    def _choose(self, now: float, source: random.Random) -> str:
        settled = self.settled(now)
        passing = [one for one in settled if one not in KEPT_DATABASES]
        if not passing or source.random() < QUIET_STABLE_SHARE:
            return source.choice(KEPT_DATABASES)
        return source.choice(passing)

    def _ask(
        self, edge: Machine, life: int, session: Session, text: str, way: str
    ) -> str:
        sent_at = time.monotonic()
        word = session.ask("q", text)
        self._keep(edge, life, session, word, sent_at, f"{way} {text}")
        return word

    def _keep(
        self,
        edge: Machine,
        life: int,
        session: Session,
        word: str,
        sent_at: float,
        way: str,
    ) -> None:
        now = time.monotonic()
        pair = (edge.host, session.database)
        if word == "NODB":
            self._denied.add(pair)
        elif way == "start":
            self._denied.discard(pair)
        if word and life == edge.lives:
            self._record.answers.append(
                Answer(edge.host, life, session.database, word, sent_at, now, way)
            )
