"""Ends service without losing a request: serve on, close connection by connection, answer what is left.

Guards against standing idle: clients of this initiator have no other way to their data, and its next start
waits for no early end.  Whoever stops the initiator waits for the longest deadline, of 3 s at most.
"""

from __future__ import annotations

import asyncio

from stalltiller.daemon.process_handover import ProcessHandover
from stalltiller.daemon.protocol_adapters import ProtocolAdapters
from stalltiller.routing.engine import Engine
from stalltiller.transport.listener import Listener

KEEP_LISTENING_SECONDS = 0.5  # after SIGTERM, though no request is open: clients learn of it late
MAX_DEADLINE_SECONDS = 3.0  # a longer deadline counts as this
GRACE_SECONDS = 0.1  # past the longest deadline, after which everything is answered and the program ends
CLOSING_SECONDS = 0.5  # before that end: when it starts to close the connections that clients keep open
LINGER_SECONDS = 0.4  # past that end, in which clients read the last responses and close
DRAIN_POLL_SECONDS = 0.02
LINGER_POLL_SECONDS = 0.01


class GracefulShutdown:
    """Drains one initiator; it owns none of the parts that it drains."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        adapters: ProtocolAdapters,
        listener: Listener,
        handover: ProcessHandover,
    ) -> None:
        self._loop = loop
        self._engine = engine
        self._adapters = adapters
        self._listener = listener
        self._handover = handover

    async def drain(self, has_successor: bool) -> None:
        """Return when nothing is left or time is up.

        With a successor, another process accepts the new connections on the same listening socket from now
        on; without, this one accepts them until it begins to close connections.
        """
        longest_deadline = max(cls.deadline for cls in self._engine.settings.classes)
        end_time = self._loop.time() + min(longest_deadline, MAX_DEADLINE_SECONDS) + GRACE_SECONDS
        self._listener.keep_idle = True
        if has_successor:
            await self._yield_to_successor()
        await asyncio.sleep(KEEP_LISTENING_SECONDS)
        while self._loop.time() < end_time - CLOSING_SECONDS and self._is_in_use():
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        # Connections that wait to be accepted now are served too.
        await self._listener.stop(take_in=not has_successor)
        self._adapters.server.stopping = True  # from now on each response ends its connection
        while self._loop.time() < end_time and self._is_in_use():
            self._listener.close_idle()
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self._engine.finish_all()
        await self._linger(end_time + LINGER_SECONDS)

    async def _yield_to_successor(self) -> None:
        """Have the next process accept clients; here each response ends its connection."""
        await self._listener.stop(take_in=False)
        self._adapters.server.stopping = True
        self._engine.deactivate()
        self._handover.release_lock()

    async def _linger(self, end_time: float) -> None:
        while self._loop.time() < end_time and len(self._listener):
            self._listener.close_idle()
            await asyncio.sleep(LINGER_POLL_SECONDS)
        self._listener.abort_partial_responses()
        await asyncio.sleep(0)

    def _is_in_use(self) -> bool:
        return self._engine.open_request_count > 0 or len(self._listener) > 0
