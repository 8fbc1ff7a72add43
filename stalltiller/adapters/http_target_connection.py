"""A connection to a target over HTTP/1.1, which carries one attempt at a time.

Each `TargetConnection` owns the state of its connection and of the attempt on it.  It reports the result of
each attempt to the engine once, unless the attempt was abandoned.  A long response is streamed to the client
while it is received (`ResponseStream`); the engine considers the attempt finished when streaming starts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from stalltiller.adapters.http_payload import SMALL_BODY_BYTES, Payload
from stalltiller.adapters.response_attribution import Attribution, ResponseHistory
from stalltiller.adapters.response_stream import ResponseStream
from stalltiller.protocol import http
from stalltiller.routing.exchange_end import TransferPhase, TransferProgress
from stalltiller.routing.ports import Attempt, AttemptResult
from stalltiller.routing.transfer_limits import (
    MAX_SINGLE_READ_BYTES,
    ByteArrivals,
    latest_expiry,
    sending_phase,
)
from stalltiller.scheduling import AttemptStatus
from stalltiller.transport.connection import Connection

if TYPE_CHECKING:
    from stalltiller.adapters.http_target_client import HttpTargetClient

# A long response is streamed once more than this is received; one of unknown length after SMALL_BODY_BYTES.
STREAM_THRESHOLD_BYTES = 8 * 1024
SLOW_RESPONSE_SECONDS = 0.02  # a long response that takes longer than this is streamed below the threshold
MAX_BODY_WRITE_BYTES = 64 * 1024  # size of one write of a long request body
NO_BODY = memoryview(b"")
MIN_ATTEMPT_TIMEOUT_SECONDS = 0.001  # lower bound of the X-Timeout sent to targets


class TargetConnection(Connection):
    """A connection to a target with one attempt in flight at a time."""

    def __init__(self, target_client: HttpTargetClient) -> None:
        super().__init__(target_client.buffers)
        self._target_client = target_client
        self._reader = http.Reader(response=True)
        self._unsent_body = NO_BODY  # the part of a long request body not written yet
        self._attempt: Attempt | None = None  # the attempt in flight
        self._request_start = 0  # bytes written before its request
        self._request_bytes = 0  # the size of its request
        self._history = ResponseHistory()
        self._is_discarding = False  # whether a long duplicate is being received
        self._is_early = False  # whether the response began before the request was fully sent
        self._stream: ResponseStream | None = None
        self._streamed_attempt: Attempt | None = None  # the attempt whose response is being streamed
        self._reserved_bytes = 0  # reserved in the target client's budget of responses
        self._head_received_at = 0.0
        self._arrivals: ByteArrivals | None = None  # of the response's bytes; None before the first

    # --- Sending ---
    def start_exchange(self, attempt: Attempt) -> None:
        """Send an attempt's request."""
        self._attempt = attempt
        payload: Payload = attempt.payload
        is_long = len(payload.body) > MAX_SINGLE_READ_BYTES
        expires_at = latest_expiry(attempt.deadline.due_at) if is_long else attempt.expires_at
        timeout = max(MIN_ATTEMPT_TIMEOUT_SECONDS, expires_at - self._target_client.loop.time())
        fields = {"Host": payload.host, "X-Request-ID": payload.request_id, "X-Timeout": f"{timeout:.3f}"}
        if payload.deduplication_key is not None:
            fields["Idempotency-Key"] = payload.deduplication_key
        head = http.encode_request_head(payload.method, payload.target, fields, len(payload.body))
        self._arrivals = None
        self._request_start = self._bytes_written
        self._request_bytes = len(head) + len(payload.body)
        if len(payload.body) <= SMALL_BODY_BYTES:
            self.write(head + payload.body)
            return
        self._unsent_body = memoryview(payload.body)
        self.write(head)
        self._write_body()

    def _write_body(self) -> None:
        """Write as much of a long body as the kernel accepts, which avoids buffering a copy of all of it."""
        while self._unsent_body and self.flushed and not self.is_closing:
            part = self._unsent_body[:MAX_BODY_WRITE_BYTES]
            # An empty view of the body would keep all of it in memory.
            self._unsent_body = self._unsent_body[MAX_BODY_WRITE_BYTES:] or NO_BODY
            self.write(part)

    def resume_writing(self) -> None:
        """Continue with the body once the kernel has accepted everything written."""
        self.flushed = True
        self._write_body()
        self.resume_processing()

    def is_fully_sent(self) -> bool:
        """Return whether the kernel has accepted the whole request."""
        return self.flushed and not self._unsent_body

    def progress(self) -> TransferProgress:
        """Return how far the transfer of the attempt has come."""
        sent_bytes = self.acknowledged_bytes() - self._request_start
        arrivals = self._arrivals
        if arrivals is None or self._is_discarding:
            return TransferProgress(sending_phase(sent_bytes, self._request_bytes), sent_bytes=sent_bytes)
        return TransferProgress(
            TransferPhase.RECEIVING,
            received_bytes=self._reader.bytes_received,
            idle_seconds=self._target_client.loop.time() - arrivals.last_at,
            sent_bytes=sent_bytes,
            longest_pause_seconds=arrivals.longest_pause,
            is_short=self._is_short(),
            can_pass_on=self._reader.is_head_complete,
        )

    def abandon(self) -> bool:
        """Abandon the attempt and return whether it may have been executed.

        An attempt abandoned in the middle of its transfer counts as possibly executed: only a connection
        closed by the target proves otherwise.
        """
        attempt = self._attempt
        self._attempt = None
        self._unsent_body = NO_BODY
        self.abort()
        if attempt is not None:
            self._record_unanswered(attempt)
        return True

    def is_clean(self) -> bool:
        """Return whether nothing unexpected was received and the next response can be attributed."""
        if not super().is_clean():
            if not self.is_peer_closed():
                self._report_surplus(None)
            return False
        return self._history.may_reuse(self._target_client.attributor, self._target_client.loop.time())

    # --- Receiving ---
    def on_data(self, data: memoryview) -> int:
        """Parse the response; return the number of bytes consumed."""
        if self._stream is not None:
            return self._forward(data)
        if self._attempt is None:
            self._abort_idle(len(data))
            return len(data)
        had_head = self._reader.is_head_complete
        try:
            consumed = self._reader.feed(data)
        except http.HttpError as error:
            self._fail_attempt(str(error))
            return len(data)
        self._record_arrival()
        if not had_head:
            self._head_received_at = self._target_client.loop.time()
            self._is_early = not self.is_fully_sent()
        has_memory = self._reserve(len(self._reader.body))
        if self._is_discarding:
            self._discard_received()
        elif self._reader.is_complete:
            self._finish_response()
        elif self._reader.is_head_complete and (not has_memory or self._should_stream()):
            self._start_stream()
        return consumed

    def _record_arrival(self) -> None:
        now = self._target_client.loop.time()
        self._arrivals = ByteArrivals.begin(now) if self._arrivals is None else self._arrivals.record(now)

    def _abort_idle(self, received_bytes: int) -> None:
        """Abort: data arrived although no request is in flight."""
        if not self.is_closing:
            self._report_surplus(received_bytes)
        self.abort()

    def _report_surplus(self, received_bytes: int | None) -> None:
        """Report data received while no request is in flight; its size is None if it is not read."""
        now = self._target_client.loop.time()
        surplus = self._history.record_surplus(self._target_client.attributor, now)
        if surplus is not None:
            self._target_client.report_surplus_data(surplus.target_id, surplus.idle_seconds, received_bytes)

    def on_buffer_full(self) -> None:
        """Fail the attempt: the response head does not fit into the buffer."""
        self._fail_attempt("response head over the limit")

    def eof_received(self) -> bool:
        """Abort; a graceful close would keep writing to a target that has shut down sending."""
        self.abort()
        return False

    def on_disconnected(self, error: Exception | None) -> None:
        """End the response or the attempt; only a response delimited by the connection's end is complete."""
        # A reset never completes a response.
        is_complete = error is None and self._reader.is_head_complete and self._reader.finish()
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
        # Only a connection lost before the last byte was written proves that the target did not execute it.
        never_executed = not self.is_fully_sent() and not self._reader.is_head_complete
        status = AttemptStatus.CONNECT_FAILED if never_executed else AttemptStatus.RESET
        self._finish_attempt(AttemptResult(status), reuse=False)

    def _reserve(self, size: int) -> bool:
        """Reserve memory for the body received so far; return whether the total is within the budget."""
        change = size - self._reserved_bytes
        self._reserved_bytes = size
        return self._target_client.response_budget.adjust_reservation(change)

    # --- Attribution ---
    def _is_response_to_attempt(self) -> bool:
        """Return whether the response belongs to the attempt; if not, discard it or fail the attempt."""
        head = self._reader.head
        attempt = self._attempt
        assert head is not None and attempt is not None
        if self._is_early and head.status == http.STATUS_OK:
            self._fail_attempt("the response precedes the end of the request")
            return False
        attribution = self._history.attribute(
            self._target_client.attributor,
            attempt.target_id,
            self._reader,
            self._target_client.loop.time(),
        )
        if attribution is Attribution.CURRENT:
            return True
        if attribution is Attribution.DUPLICATE and head.keeps_alive():
            self._is_discarding = True
            self._target_client.report_duplicate(attempt.target_id)
            self._discard_received()
        else:
            self._fail_attempt("the response may be a duplicate of the previous one")
        return False

    def _discard_received(self) -> None:
        """Discard what was received of a duplicate; after its end the response to the attempt follows."""
        self._reader.take_body()
        self._reserve(0)
        if self._reader.is_complete:
            self._reader.reset()
            self._arrivals = None
            self._is_discarding = False

    def _record_unanswered(self, attempt: Attempt) -> None:
        now = self._target_client.loop.time()
        if now >= attempt.expires_at:
            self._history.record_unanswered(self._target_client.attributor, attempt.target_id, now)

    # --- The end of an attempt ---
    def _finish_response(self) -> None:
        if not self._is_response_to_attempt():
            return
        head = self._reader.head
        assert head is not None
        response_info = self._target_client.response_fields.parse(head)
        body = bytes(self._reader.body) if response_info.status is AttemptStatus.OK else None
        # After a response that precedes the end of the request the state of the connection is unknown.
        reuse = head.keeps_alive() and self._reader.is_complete and self.is_fully_sent()
        self._finish_attempt(
            AttemptResult(response_info.status, body, response_info.other_units, response_info.report), reuse
        )

    def _fail_attempt(self, text: str) -> None:
        self._target_client.report_failed_response(self._attempt, text)
        self._finish_attempt(AttemptResult(AttemptStatus.ERROR), reuse=False)

    def _finish_attempt(self, result: AttemptResult, reuse: bool) -> None:
        attempt = self._attempt
        assert attempt is not None
        self._attempt = None
        self._unsent_body = NO_BODY
        is_lost = result.status is AttemptStatus.RESET and not self._reader.is_head_complete
        self._target_client.pool.record_use(attempt, is_lost)
        self._reader.reset()
        self._reserve(0)
        if reuse and not self.is_closing:
            self._release(attempt)
        else:
            attempt.channel = None
            self.abort()
        self._target_client.engine.attempt_finished(attempt, result)

    def _release(self, attempt: Attempt) -> None:
        """Return the connection to the pool after the response to an attempt."""
        self._history.record_finished(attempt.target_id, self._target_client.loop.time())
        self._target_client.pool.release(attempt, self)

    # --- Streamed responses ---
    @property
    def is_streaming(self) -> bool:
        """Whether a response is being passed on to its client as it comes."""
        return self._stream is not None

    def _is_short(self) -> bool:
        """Return whether the response is short enough to be passed on only once it is whole."""
        return self._reader.length is not None and self._reader.length <= SMALL_BODY_BYTES

    def pass_on(self) -> bool:
        """Stream a response whose head is complete, whatever its length; return False before that."""
        if self._attempt is None or not self._reader.is_head_complete or self._is_discarding:
            return False
        self._start_stream()
        return self._attempt is None

    def _should_stream(self) -> bool:
        """Return whether to stream the response from now on; after that the request can't be retried.

        Guards against targets that write slowly: 64 KiB of chunks took up to 1.1 s, and the client waits
        for the first bytes of a long response.  While only its head has come it is not streamed, so that its
        request can be retried if the connection breaks.  A short one is streamed in a drain that ends before
        the client's time: a client that has no byte by then gets an answer in its place.
        """
        assert self._attempt is not None
        if self._is_short() and not self._attempt.deadline.is_set_by_drain:
            return False
        threshold = SMALL_BODY_BYTES if self._reader.length is None else STREAM_THRESHOLD_BYTES
        is_slow = self._target_client.loop.time() - self._head_received_at >= SLOW_RESPONSE_SECONDS
        return self._reader.bytes_received > threshold or (is_slow and self._reader.bytes_received > 0)

    def _start_stream(self) -> None:
        """Stream the response from now on.

        The attempt is reported as finished, since the target has executed the request.
        """
        if not self._is_response_to_attempt():
            return
        assert self._reader.head is not None
        response_info = self._target_client.response_fields.parse(self._reader.head)
        if response_info.status is not AttemptStatus.OK:
            # The body of an error response is not needed.
            self._finish_attempt(AttemptResult(response_info.status), reuse=False)
            return
        attempt = self._attempt
        assert attempt is not None
        self._attempt = None
        self._streamed_attempt = attempt
        stream = ResponseStream(self, self._reader.length, self._reader.take_body(), attempt)
        self._stream = stream
        self._reserve(0)
        self._target_client.pool.record_use(attempt, False)
        self._target_client.engine.counts["relayed"] += 1
        result = AttemptResult(response_info.status, stream, response_info.other_units, response_info.report)
        self._target_client.engine.attempt_finished(attempt, result)
        if stream.sink is None:  # the client had disconnected
            self.abort_stream()
        elif not stream.is_sink_ready:
            self._pause_reading()

    def _forward(self, data: memoryview) -> int:
        self._record_arrival()
        try:
            consumed = self._reader.feed(data)
        except http.HttpError as error:
            self._target_client.report_failed_response(self._streamed_attempt, str(error))
            self._fail_stream()
            return len(data)
        body = self._reader.take_body()
        is_complete = self._reader.is_complete
        self._history.extend(body, is_complete)
        if body:
            assert self._stream is not None and self._stream.sink is not None
            self._stream.sink.write_part(body)
        if is_complete:
            assert self._reader.head is not None
            self._finish_stream(self._reader.head.keeps_alive() and self.is_fully_sent())
        elif self._stream is not None and not self._stream.is_sink_ready:
            self._pause_reading()
        return consumed

    def _finish_stream(self, reuse: bool) -> None:
        stream = self._stream
        self._stream = None
        attempt = self._streamed_attempt
        self._streamed_attempt = None
        self._reader.reset()
        if reuse and not self.is_closing:
            assert attempt is not None
            self._release(attempt)
        else:
            self.abort()
        if stream is not None:
            assert stream.sink is not None
            stream.sink.finish_stream()

    def _fail_stream(self) -> None:
        """End a streamed response that is truncated."""
        stream = self._stream
        assert stream is not None and stream.sink is not None
        self._stream = None
        self._target_client.engine.counts["broken_off"] += 1
        self.abort()
        stream.sink.fail_stream()

    def resume_stream(self) -> None:
        """Resume reading: the kernel has accepted everything sent to the client so far."""
        self.resume_processing()

    def abort_stream(self) -> None:
        """Abort: the client has disconnected or its connection is being reset."""
        self._stream = None
        self.abort()
