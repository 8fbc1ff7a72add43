"""Shuts down without losing a request: continue to serve, close idle connections, finish open requests.

Guards against ending service early: clients of this initiator have no other path to their data, and an early
exit does not bring its next start forward.  Every response is due at the end of the drain
(`routing/drain_schedule.py`), which the engine enforces; a response that has begun goes on until it ends or
has stopped, or until the supervisor kills the process.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from stalltiller.daemon.process_handover import ProcessHandover
from stalltiller.daemon.protocol_adapters import ProtocolAdapters
from stalltiller.routing.drain_schedule import DrainSchedule, drain_schedule
from stalltiller.routing.engine import Engine
from stalltiller.transport.listener import Listener

DRAIN_POLL_INTERVAL_SECONDS = 0.02
LINGER_POLL_INTERVAL_SECONDS = 0.01
MAX_RESPONSE_POLLS = 5  # at the end of the drain, each LINGER_POLL_INTERVAL_SECONDS long
MILLISECONDS_PER_SECOND = 1000


class GracefulShutdown:
    """Drains one initiator; it owns none of the components that it drains.

    `begin_drain` and then `drain` are called once the process has been told to end.
    """

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
        self._schedule: DrainSchedule | None = None

    def begin_drain(self, signalled_at: float) -> DrainSchedule:
        """Let all responses be due by the end of a drain; return its schedule.

        `signalled_at` is the loop time of the signal.  Only the first call counts: neither later signals nor
        new settings move the end.
        """
        if self._schedule is None:
            self._schedule = drain_schedule(signalled_at, self._adapters.longest_deadline)
            now = self._loop.time()
            self._log(
                "drain_started",
                open=self._engine.open_request_count,
                ends_in_ms=round(MILLISECONDS_PER_SECOND * (self._schedule.ends_at - now), 1),
                held_up_ms=round(MILLISECONDS_PER_SECOND * (now - signalled_at), 1),
            )
            self._engine.begin_drain(self._schedule.ends_at)
        return self._schedule

    async def drain(self, has_successor: bool) -> None:
        """Drain until no request or connection is left, or the time is up and no transfer goes on.

        With a successor, another process accepts new connections on the shared listening socket from now on;
        without one, this process accepts them until it begins to close connections.
        """
        schedule = self.begin_drain(self._loop.time())
        self._listener.keep_idle = True
        if has_successor:
            await self._yield_to_successor()
        await asyncio.sleep(max(0.0, schedule.keep_listening_until - self._loop.time()))
        while self._loop.time() < schedule.close_idle_at and self._is_in_use():
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        # Without a successor, connections in the kernel's backlog are accepted and served too.
        await self._listener.stop(accept_backlog=not has_successor)
        self._adapters.server.stopping = True  # connections close after their next response
        while self._loop.time() < schedule.ends_at and self._is_in_use():
            self._listener.close_idle()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        await self._wait_for_responses()
        self._engine.finish_all()
        self._handover.end_claims()
        self._log_transfers_in_progress()
        await self._linger(schedule.linger_until)

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

    async def _wait_for_responses(self) -> None:
        """Let the engine give the responses that are due at the end of the drain.

        It is given turns of the loop, not a time: after a suspension it has to have run first.
        """
        for _ in range(MAX_RESPONSE_POLLS):
            if not self._engine.open_request_count:
                return
            await asyncio.sleep(LINGER_POLL_INTERVAL_SECONDS)

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
