"""Finds out which requests crash the server, and tells the other nodes.

Answers requests that crash each server that runs them, and that come again.
"""

import asyncio
from collections.abc import Callable
import secrets

from rhubarblead import messages
from rhubarblead.events import catalog
from rhubarblead.requests import poison
from rhubarblead.router import http_client
from rhubarblead.router import journal
from rhubarblead.router import tasks
from rhubarblead.router import wire

GATHER_S = 0.1
"""Within it, all connections of a server that has crashed are reset."""


class CrashWatch:
    """Judges requests by the crashes here and elsewhere."""

    __slots__ = (
        "_broadcast",
        "_finder",
        "_journal",
        "_now_ms",
        "_pool",
        "_reset",
    )

    def __init__(
        self,
        *,
        pool: http_client.Pool,
        events: journal.Journal,
        now_ms: Callable[[], int],
        broadcast: Callable[[wire.Message], None],
    ) -> None:
        """Makes a watch that suspects nothing.

        Args:
            pool: Connections to the server beside this node.
            events: The journal.
            now_ms: The clock.
            broadcast: Sends a message to all nodes.
        """
        self._pool = pool
        self._journal = events
        self._now_ms = now_ms
        self._broadcast = broadcast
        self._finder = poison.PoisonFinder()
        self._reset: set[int] = set()

    def is_condemned(self, work: wire.Work) -> bool:
        """Tells whether a request has crashed several servers."""
        if not self._finder.has_suspects():
            return False
        judged = self._finder.judge(find_fingerprint(work), self._now_ms())
        return judged is poison.Judgement.CONDEMNED

    def take_answer(self, work: wire.Work) -> None:
        """Clears a request that the server has answered."""
        if self._finder.has_suspects():
            self._finder.take_answer(find_fingerprint(work))

    def take_reset(self, work: wire.Work) -> None:
        """Takes note that the connection of a running request was closed."""
        if not self._reset:
            tasks.start(self._find_out(), name="crash", events=self._journal)
        self._reset.add(find_fingerprint(work))

    def take_suspects(self, message: wire.Suspects) -> None:
        """Takes a crash at another node."""
        self._finder.take_suspect(
            messages.SuspectReport(
                crash_id=message.crash_id,
                fingerprints=tuple(message.fingerprints),
                is_alone=len(message.fingerprints) == 1,
            ),
            self._now_ms(),
        )

    async def _find_out(self) -> None:
        """Tells a crash from a server that has only closed connections."""
        await asyncio.sleep(GATHER_S)
        fingerprints, self._reset = self._reset, set()
        connection = await self._pool.open()
        if connection is not None:
            self._pool.give_back(connection)
            return
        crash_id = secrets.token_hex(8)
        self._finder.take_crash(
            crash_id=crash_id,
            fingerprints=fingerprints,
            now_ms=self._now_ms(),
        )
        self._journal.emit(
            catalog.Event.SERVER_CRASHED,
            crash_id=crash_id,
            running_count=len(fingerprints),
        )
        self._broadcast(
            wire.Suspects(crash_id=crash_id, fingerprints=sorted(fingerprints))
        )


def find_fingerprint(work: wire.Work) -> int:
    """Finds what a request has in common with its repetitions."""
    return poison.find_fingerprint(
        work.method.decode("latin-1"), work.target.decode("latin-1"), work.body
    )
