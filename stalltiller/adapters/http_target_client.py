"""The platform's HTTP/1.1 target side: connections that send attempts to targets.

Each `TargetConnection` owns the state of its connection and of the attempt on it.  It reports the result of
each attempt to the engine once, unless the attempt was abandoned.  A long response is passed on to the client
while it still arrives (`ResponseStream`); for the engine its attempt is then finished.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from stalltiller.adapters.http_payload import SMALL_BODY_BYTES, Payload
from stalltiller.adapters.pooled_target_client import RESPONSE_STALL_TIMEOUT_SECONDS, PooledTargetClient
from stalltiller.adapters.response_stream import ResponseStream
from stalltiller.protocol import http
from stalltiller.protocol.platform import AnswerFields
from stalltiller.routing.engine import Engine
from stalltiller.routing.ports import Attempt, AttemptResult
from stalltiller.scheduling import AttemptStatus, Settings
from stalltiller.transport.buffers import BufferPool, MemoryBudget
from stalltiller.transport.connection import Connection

# Between these times after a response a second copy of it may be on its way, which would pass for the
# response to the next request.  A request that follows at once arrives before it, and a target that has a
# request waiting does not answer the one before again.
REUSE_DELAY_SECONDS = (0.001, 0.006)
# A long response is passed on from here; one without a known length only past SMALL_BODY_BYTES.
STREAM_THRESHOLD_BYTES = 8 * 1024
SLOW_RESPONSE_SECONDS = 0.02  # after its head: a response that still arrives is passed on with fewer bytes
STREAM_STALL_TIMEOUT_SECONDS = 5.0  # how long a target may send nothing of a response that is passed on
BODY_PIECE_BYTES = 64 * 1024  # of a long request body, written at once
MIN_ATTEMPT_TIMEOUT_SECONDS = 0.001  # X-Timeout names at least this


class TargetConnection(Connection):
    """A connection to a target with one attempt in flight at a time."""

    def __init__(self, target_client: HttpTargetClient) -> None:
        super().__init__(target_client.buffers)
        self._target_client = target_client
        self._reader = http.Reader(response=True)
        self._unsent_body = memoryview(b"")  # what of a long body is not written yet
        self._attempt: Attempt | None = None  # the one in flight
        self._stream: ResponseStream | None = None
        self._streamed_attempt: Attempt | None = None  # whose response is being passed on
        self._reserved_bytes = 0  # in the client's budget of responses
        self._response_started_at = 0.0  # when the response's head came
        self._last_progress_at = 0.0  # when bytes of the response came last
        self._stall_timer: asyncio.TimerHandle | None = None

    # --- Sending ---
    def start_exchange(self, attempt: Attempt) -> None:
        """Send an attempt's request."""
        self._attempt = attempt
        payload: Payload = attempt.payload
        timeout = max(MIN_ATTEMPT_TIMEOUT_SECONDS, attempt.expires_at - self._target_client.loop.time())
        fields = {"Host": payload.host, "X-Request-ID": payload.request_id, "X-Timeout": f"{timeout:.3f}"}
        if payload.deduplication_key is not None:
            fields["Idempotency-Key"] = payload.deduplication_key
        head = http.request_head(payload.method, payload.target, fields, len(payload.body))
        if len(payload.body) <= SMALL_BODY_BYTES:
            self.write(head + payload.body)
            return
        self._unsent_body = memoryview(payload.body)
        self.write(head)
        self._write_body()

    def _write_body(self) -> None:
        """Write as much of a long body as the kernel takes.  Guards against a second copy of all of it."""
        while self._unsent_body and self.flushed and not self.is_closing:
            piece = self._unsent_body[:BODY_PIECE_BYTES]
            self._unsent_body = self._unsent_body[BODY_PIECE_BYTES:]
            self.write(piece)

    def resume_writing(self) -> None:
        """Go on with the body once the kernel has taken everything written."""
        self.flushed = True
        self._write_body()
        self.resume_processing()

    def is_fully_sent(self) -> bool:
        """Return whether the kernel has taken the whole request."""
        return self.flushed and not self._unsent_body

    def abandon(self) -> bool:
        """Give the attempt up and return whether it may have been executed.

        One that is given up in the middle of its transfer counts as executed: only a connection that the
        target broke proves otherwise.
        """
        self._attempt = None
        self._unsent_body = memoryview(b"")
        self.abort()
        return True

    # --- Receiving ---
    def on_data(self, data: memoryview) -> int:
        """Parse the response; return the number of bytes consumed."""
        if self._stream is not None:
            return self._pass_on(data)
        if self._attempt is None:
            self.abort()  # a target sends nothing unless it has a request
            return len(data)
        had_head = self._reader.begun
        try:
            consumed = self._reader.feed(data)
        except http.HttpError as error:
            self._fail_attempt(str(error))
            return len(data)
        if not self._reserve(len(self._reader.body)):
            self._fail_attempt("no memory left for the answer")
            return len(data)
        self._last_progress_at = self._target_client.loop.time()
        if not had_head:
            self._response_started_at = self._last_progress_at
        if self._reader.done:
            self._finish_response()
        elif self._reader.begun and self._should_stream():
            self._start_stream()
        elif self._reader.begun and self._stall_timer is None:
            self._stall_timer = self._target_client.loop.call_later(
                RESPONSE_STALL_TIMEOUT_SECONDS, self._check_stall
            )
        return consumed

    def on_buffer_full(self) -> None:
        """Fail the attempt: the response's head does not fit."""
        self._fail_attempt("answer head over the limit")

    def eof_received(self) -> bool:
        """Abort; a close would go on writing to a target that has stopped."""
        self.abort()
        return False

    def on_disconnected(self, error: Exception | None) -> None:
        """End the response or the attempt; only some responses are complete with the connection's end."""
        # A reset never ends a response well.
        is_complete = error is None and self._reader.begun and self._reader.finish()
        if self._stream is not None:
            if is_complete:
                self._finish_stream(reuse=False)
            else:
                self._fail_stream()
            return
        if self._attempt is None:
            self._reserve(0)
            return
        if is_complete:
            self._finish_response()
            return
        # Only a break before the last byte was written proves that the target never began.
        never_executed = not self.is_fully_sent() and not self._reader.begun
        status = AttemptStatus.CONNECT_FAILED if never_executed else AttemptStatus.RESET
        self._finish_attempt(AttemptResult(status), reuse=False)

    def _reserve(self, size: int) -> bool:
        """Reserve memory for the response's body so far; return whether the budget suffices."""
        change = size - self._reserved_bytes
        self._reserved_bytes = size
        return self._target_client.response_budget.adjust(change)

    # --- The end of an attempt ---
    def _finish_response(self) -> None:
        head = self._reader.head
        assert head is not None
        info = self._target_client.answer_fields.parse(head)
        body = bytes(self._reader.body) if info.status is AttemptStatus.OK else None
        # A response that came before the request was sent leaves the connection in no known state.
        reuse = head.keeps_alive() and self._reader.done and self.is_fully_sent()
        self._finish_attempt(AttemptResult(info.status, body, info.other_units, info.report), reuse)

    def _fail_attempt(self, text: str) -> None:
        self._target_client.log_bad_response(self._attempt, text)
        self._finish_attempt(AttemptResult(AttemptStatus.ERROR), reuse=False)

    def _finish_attempt(self, result: AttemptResult, reuse: bool) -> None:
        attempt = self._attempt
        assert attempt is not None
        self._attempt = None
        self._unsent_body = memoryview(b"")
        is_lost = result.status is AttemptStatus.RESET and not self._reader.begun
        self._target_client.pool.record_use(attempt, is_lost)
        self._reader.reset()
        self._reserve(0)
        if reuse and not self.is_closing:
            self._target_client.pool.release(attempt, self)
        else:
            attempt.channel = None
            self.abort()
        self._target_client.engine.attempt_finished(attempt, result)

    # --- Responses that are passed on ---
    def _should_stream(self) -> bool:
        """Return whether to pass the response on as it arrives: after that it can't be tried again.

        Guards against targets that write slowly: 64 KiB of chunks took up to 1.1 s, and it is the first bytes
        of a long response that its client waits for.  A response that stops short sends no more bytes and is
        tried again.
        """
        length = self._reader.length
        if length is not None and length <= SMALL_BODY_BYTES:
            return False
        threshold = SMALL_BODY_BYTES if length is None else STREAM_THRESHOLD_BYTES
        is_slow = self._last_progress_at - self._response_started_at >= SLOW_RESPONSE_SECONDS
        return self._reader.bytes_received > threshold or (is_slow and self._reader.bytes_received > 0)

    def _start_stream(self) -> None:
        """Pass the response on from here.

        For the engine the attempt is finished: the target has done its work.
        """
        assert self._reader.head is not None
        info = self._target_client.answer_fields.parse(self._reader.head)
        if info.status is not AttemptStatus.OK:
            # Nobody wants the text of a long error.
            self._finish_attempt(AttemptResult(info.status), reuse=False)
            return
        attempt = self._attempt
        assert attempt is not None
        self._attempt = None
        self._streamed_attempt = attempt
        self._last_progress_at = self._target_client.loop.time()
        stream = ResponseStream(self, self._reader.length, self._reader.drain())
        self._stream = stream
        self._reserve(0)
        self._target_client.pool.record_use(attempt, False)
        self._target_client.engine.counts["relayed"] += 1
        result = AttemptResult(info.status, stream, info.other_units, info.report)
        self._target_client.engine.attempt_finished(attempt, result)
        if stream.sink is None:  # the client had disconnected
            self.abort_stream()
        elif not stream.wants_more:
            self._pause()
        self._restart_stream_timer()

    def _pass_on(self, data: memoryview) -> int:
        self._last_progress_at = self._target_client.loop.time()
        try:
            consumed = self._reader.feed(data)
        except http.HttpError as error:
            self._target_client.log_bad_response(self._streamed_attempt, str(error))
            self._fail_stream()
            return len(data)
        body = self._reader.drain()
        is_complete = self._reader.done
        if body:
            assert self._stream is not None and self._stream.sink is not None
            self._stream.sink.write_part(body)
        if is_complete:
            assert self._reader.head is not None
            self._finish_stream(self._reader.head.keeps_alive() and self.is_fully_sent())
        elif self._stream is not None and not self._stream.wants_more:
            self._pause()
        return consumed

    def _finish_stream(self, reuse: bool) -> None:
        stream = self._stream
        self._stream = None
        attempt = self._streamed_attempt
        self._streamed_attempt = None
        self._reader.reset()
        if reuse and not self.is_closing:
            assert attempt is not None
            self._target_client.pool.release(attempt, self)
        else:
            self.abort()
        if stream is not None:
            assert stream.sink is not None
            stream.sink.finish_stream()

    def _fail_stream(self) -> None:
        """End a response of which the rest will not arrive."""
        stream = self._stream
        assert stream is not None and stream.sink is not None
        self._stream = None
        self._target_client.engine.counts["broken_off"] += 1
        self.abort()
        stream.sink.fail_stream()

    def resume_stream(self) -> None:
        """Read on: the client has read everything so far."""
        self._last_progress_at = self._target_client.loop.time()
        self.resume_processing()

    def abort_stream(self) -> None:
        """Stop: the client has disconnected."""
        self._stream = None
        self.abort()

    # --- Responses that stop short ---
    def _restart_stream_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
        self._stall_timer = self._target_client.loop.call_later(
            STREAM_STALL_TIMEOUT_SECONDS, self._check_stall
        )

    def _check_stall(self) -> None:
        """Guard against responses that stop short on a connection that stays open.

        A read can then be sent again.
        """
        self._stall_timer = None
        if self._stream is not None:
            self._check_stream_stall(self._stream)
            return
        if self._attempt is None or not self._reader.begun:
            return
        remaining = self._last_progress_at + RESPONSE_STALL_TIMEOUT_SECONDS - self._target_client.loop.time()
        if remaining > 0:
            self._stall_timer = self._target_client.loop.call_later(remaining, self._check_stall)
            return
        self._fail_attempt("the answer stopped short")

    def _check_stream_stall(self, stream: ResponseStream) -> None:
        silence = self._target_client.loop.time() - self._last_progress_at
        if stream.wants_more and silence >= STREAM_STALL_TIMEOUT_SECONDS:
            self._target_client.log_bad_response(self._streamed_attempt, "the answer stopped short")
            self._fail_stream()
        else:
            self._restart_stream_timer()


class HttpTargetClient(PooledTargetClient):
    """Sends attempts to targets over HTTP/1.1.

    Arguments are those of `PooledTargetClient`; `max_response_bytes` bounds the memory of all responses that
    are being received.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        buffers: BufferPool,
        connect_timeout: float,
        idle_limit: float,
        max_channels: int,
        log: Callable[..., None],
        settings: Settings,
        max_response_bytes: int,
    ) -> None:
        super().__init__(
            loop, engine, buffers, connect_timeout, idle_limit, max_channels, log, REUSE_DELAY_SECONDS
        )
        self.response_budget = MemoryBudget(max_response_bytes)
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Use other settings from the next response on."""
        self.answer_fields = AnswerFields(settings)

    async def connect(self, host: str, port: int) -> TargetConnection:
        """Open a connection to a target; raises OSError if it can't be reached."""
        _, connection = await self.loop.create_connection(lambda: TargetConnection(self), host, port)
        return connection
