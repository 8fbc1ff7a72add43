"""Shuts down without losing a request: continue to serve, close idle connections, finish open requests.

Guards against ending service early: clients of this initiator have no other path to their data, and an early
exit does not bring its next start forward.  The supervisor waits for the longest deadline, at most 3 s.
Requests that have no response by then get an answer; a transfer that has begun goes on until it ends or has
stopped, or until the supervisor kills the process.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from stalltiller.daemon.process_handover import ProcessHandover
from stalltiller.daemon.protocol_adapters import ProtocolAdapters
from stalltiller.routing.engine import Engine
from stalltiller.transport.listener import Listener

KEEP_LISTENING_SECONDS = 0.5  # after SIGTERM, even without open requests: clients are notified late
MAX_DEADLINE_SECONDS = 3.0  # upper limit of the class deadlines considered
DEADLINE_MARGIN_SECONDS = 0.1  # past the longest deadline, the drain ends and open requests are finished
CLOSE_IDLE_BEFORE_END_SECONDS = 0.5  # from the first closing of idle connections to the end of the drain
LINGER_SECONDS = 0.4  # after the drain, for clients to close their connections
DRAIN_POLL_INTERVAL_SECONDS = 0.02
LINGER_POLL_INTERVAL_SECONDS = 0.01
# From the hand-over on, a process that ends may take requests for that long; its transfers may last longer.
MAX_ACCEPTING_SECONDS = MAX_DEADLINE_SECONDS + DEADLINE_MARGIN_SECONDS + LINGER_SECONDS


class GracefulShutdown:
    """Drains one initiator; it owns none of the components that it drains."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        adapters: ProtocolAdapters,
        listener: Listener,
        handover: ProcessHandover,
        log: Callable[..., None],
    ) -> None:
        self._loop = loop
        self._engine = engine
        self._adapters = adapters
        self._listener = listener
        self._handover = handover
        self._log = log

    async def drain(self, has_successor: bool) -> None:
        """Drain until no request or connection is left, or the time is up and no transfer goes on.

        With a successor, another process accepts new connections on the shared listening socket from now on;
        without one, this process accepts them until it begins to close connections.
        """
        longest_deadline = max(cls.deadline for cls in self._engine.settings.classes)
        end_time = self._loop.time() + min(longest_deadline, MAX_DEADLINE_SECONDS) + DEADLINE_MARGIN_SECONDS
        self._listener.keep_idle = True
        if has_successor:
            await self._yield_to_successor()
        await asyncio.sleep(KEEP_LISTENING_SECONDS)
        while self._loop.time() < end_time - CLOSE_IDLE_BEFORE_END_SECONDS and self._is_in_use():
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        # Without a successor, connections in the kernel's backlog are accepted and served too.
        await self._listener.stop(accept_backlog=not has_successor)
        self._adapters.server.stopping = True  # connections close after their next response
        while self._loop.time() < end_time and self._is_in_use():
            self._listener.close_idle()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        self._engine.finish_all()
        self._handover.end_claims()
        self._log_transfers_in_progress()
        await self._linger(end_time + LINGER_SECONDS)

    async def _yield_to_successor(self) -> None:
        """Let the next process accept clients; here connections close after their next response."""
        await self._listener.stop(accept_backlog=False)
        self._adapters.server.stopping = True
        self._engine.deactivate()
        if self._adapters.recent_request_ids is not None:
            self._handover.publish_claims(self._adapters.recent_request_ids, self._report_sharing_error)
        self._handover.release_lock()

    def _report_sharing_error(self, error: OSError) -> None:
        self._log("request_ids_not_shared", error=str(error))

    async def _linger(self, end_time: float) -> None:
        while len(self._listener) and (self._loop.time() < end_time or self._listener.is_transferring()):
            self._listener.close_idle()
            await asyncio.sleep(LINGER_POLL_INTERVAL_SECONDS)
        self._listener.abort_partial_responses()
        await asyncio.sleep(0)

    def _log_transfers_in_progress(self) -> None:
        if self._listener.is_transferring():
            self._log("transfers_go_on", clients=len(self._listener), open=self._engine.open_request_count)

    def _is_in_use(self) -> bool:
        return self._engine.open_request_count > 0 or len(self._listener) > 0
