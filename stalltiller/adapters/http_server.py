"""The platform's wire: HTTP/1.1 from clients and to targets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from stalltiller.adapters.pooled_target_client import ANSWER_STALL, PooledTargetClient
from stalltiller.adapters.response_stream import ResponseStream
from stalltiller.protocol import http
from stalltiller.protocol.platform import AnswerFields, FieldError, RequestFields
from stalltiller.routing.engine import Engine
from stalltiller.routing.ports import Attempt, AttemptResult, ClientRequest
from stalltiller.scheduling import AttemptStatus, Settings
from stalltiller.transport.buffers import BufferPool, MemoryBudget
from stalltiller.transport.connection import Connection
from stalltiller.transport.listener import Listener

READY_PATH = "/healthz"
STALL_LIMIT = 2.5  # s that a client may take to send a request's head, and a body beside SLOWEST
SLOWEST = 48_000  # bytes a second: a body that comes more slowly is not waited for
UNREAD_LIMIT = 5.0  # s that a client may read nothing of an answer
# s after an answer from and up to which a second one may be on its way, which would pass for the next one's.
# A request that follows at once is there first, and who has one waiting does not answer the one before again.
REST = 0.001, 0.006
SMALL = 64 * 1024  # bytes: a body up to it is not counted, an answer up to it is passed on when it is whole
RELAY_FROM = 8 * 1024  # bytes of a longer answer that show it to be one: from then on it is passed on
RELAY_AFTER = 0.02  # s after its head at which one that still comes in is passed on with fewer
RELAY_STALL = 5.0  # s that a target may stand still in an answer that is being passed on
PIECE = 64 * 1024  # bytes of a long body written at once
MOST_IDS = 8192  # request ids that are remembered, and up to twice that


@dataclass(slots=True, frozen=True)
class Payload:
    """What passes from client to target unchanged."""

    method: str
    target: str
    request_id: str
    host: str
    body: bytes | bytearray
    repeat_key: str | None = None  # by which targets know a repeat, where the class has one


class RecentIds:
    """The request ids that came within the last `span` seconds, and up to twice that.

    Guards against a client that copies the id of another's request: to a target it would be a second attempt
    of that request while the first may be out.
    """

    def __init__(self, span: float) -> None:
        self.span, self._turn_at = span, 0.0
        self._new: set[str] = set()
        self._old: set[str] = set()

    def claim(self, now: float, request_id: str) -> bool:
        """Remember an id; whether it is new."""
        if now >= self._turn_at or len(self._new) >= MOST_IDS:
            self._new, self._old, self._turn_at = set(), self._new, now + self.span
        if request_id in self._new or request_id in self._old:
            return False
        self._new.add(request_id)
        return True


# --- Clients --------------------------------------------------------------------------------------
class ClientConnection(Connection):
    """One client's connection: a request at a time, each answered once."""

    def __init__(self, front: HttpServer, listener: Listener) -> None:
        super().__init__(front.buffers)
        self._front, self._listener = front, listener
        self._reader = http.Reader(response=False)
        self._request: int | None = None  # the engine's number of the request that is being served
        self._keep = True
        self._away = False
        self._overrun = False  # it sent more ahead than is kept: that is dropped, and this request its last
        self._stall: asyncio.TimerHandle | None = None
        self._began = 0.0  # when the request that is coming in did
        self._unread_bytes = self._body_bytes = 0  # counted in the front's allowances
        self._relay: ResponseStream | None = None  # the answer that is being passed on
        self._chunked = False
        self._minor = 1

    def on_connected(self) -> None:
        self._listener.add(self)

    def on_data(self, data: memoryview) -> int:
        if self._overrun:
            return len(data)
        if self._busy:
            return 0  # the next request waits until this one is answered, and its answer read
        begun = self._reader.begun
        try:
            used = self._reader.feed(data)
        except http.HttpError as error:
            self._reject(error.status, str(error))
            return len(data)
        if self._reader.done:
            self._stalled(False)
            self._listener.request_finished(self)
            self._handle()
        else:
            self._stalled(True)
            self._listener.request_started(self)
            if self._reader.begun and not (begun or self._wanted()):
                return len(data)
            if not self._hold_body(self._reader.length or self._reader.bytes_received):
                self._reject(503, "no memory left for the body")
                return len(data)
        return used

    def _wanted(self) -> bool:
        """Whether the body that follows a head is to be had.

        Guards against taking in megabytes of what is refused in the end.
        """
        try:
            self._front.fields.parse(self._reader.head, b"")
        except FieldError as error:
            self._reject(400, str(error))
            return False
        if self._reader.head.expects_continue():
            self.write(http.CONTINUE)
        return True

    def _hold_body(self, size: int) -> bool:
        """Count a body that is coming in, or is held for its request; small ones are not counted."""
        size = size if size > SMALL else 0
        change, self._body_bytes = size - self._body_bytes, size
        return self._front.bodies.adjust(change)

    @property
    def _busy(self) -> bool:
        return self._request is not None or self._relay is not None or not self.flushed

    def on_buffer_full(self) -> None:
        """Guard against one that sends much ahead and leaves: if reading stopped, nobody would see it go, and
        what it asked for would be sent on."""
        if self._busy:
            self._overrun, self._keep = True, False
            self.discard_unread()
        else:
            self._reject(431, "request head over the limit")
            self.discard_unread()

    def resume_writing(self) -> None:
        self._forget_unread()
        super().resume_writing()
        if self._relay is not None:
            self._relay.source.resume_stream()
        elif self._overrun and self._request is None:
            self.close_gracefully()

    def on_disconnected(self, error: Exception | None) -> None:
        self._listener.remove(self)
        self._stalled(False)
        self._forget_unread()
        self._hold_body(0)
        if self._relay is not None:
            self._relay.source.abort_stream()
            self._relay = None
        if self._request is not None:
            number, self._request = self._request, None
            self._front.engine.cancel(number)

    def close_if_idle(self) -> bool:
        busy = self._request is not None or self._relay is not None or self._reader.begun or not self.flushed
        if busy or self.half_closed or not self.is_clean():  # a request may wait in the kernel's buffer
            return False
        self.close_gracefully()
        return True

    def close_gracefully(self) -> None:
        if self.is_closing or self.half_closed:
            return
        self._stalled(False)
        self._reader.reset()
        self._hold_body(0)
        self._listener.closing_gracefully(self)
        super().close_gracefully()

    def is_disconnected(self) -> bool:
        return self.is_peer_closed()

    def on_request_timeout(self) -> None:
        if self.half_closed or self.is_closing or self._reader.begun:
            return  # a body has its own time
        if not self.close_if_idle():
            self._reject(408, "request not ended")

    def reject_requests(self) -> None:
        self._away = True

    def _handle(self) -> None:
        head, body = self._reader.head, self._reader.body
        self._minor = head.minor
        self._keep = head.keeps_alive()
        self._reader.reset()
        if head.target.partition("?")[0] == READY_PATH:
            self._answer(200 if self._front.ready() else 503)
        elif self._away:
            self._keep = False
            self.reject(self._front.advice)
        else:
            try:
                ask = self._front.fields.parse(head, body)
            except FieldError as error:
                self._bad(400, str(error))
                return
            if not self._front.ids.claim(self._front.loop.time(), head.fields["x-request-id"]):
                self._bad(409, "X-Request-ID is not new")
                return
            payload = Payload(
                head.method,
                head.target,
                head.fields["x-request-id"],
                head.fields.get("host", "localhost"),
                body,
                head.fields.get("idempotency-key"),
            )
            self._request = self._front.engine.submit(
                ClientRequest(
                    ask.class_index,
                    ask.plan_index,
                    ask.volume,
                    ask.units,
                    ask.volume_initiator_count,
                    ask.idempotency_key,
                    ask.shard,
                    head.method == "PUT",
                    ask.is_retry,
                    ask.timeout,
                    payload,
                    self,
                    payload.request_id,
                )
            )

    # --- The engine's answers ---
    def complete(self, answer: bytes | ResponseStream) -> None:
        if not isinstance(answer, ResponseStream):
            self._final(200, answer)
            return
        self._request, self._relay, answer.sink = None, answer, self
        self._hold_body(0)
        self._chunked = answer.length is None and self._minor == 1
        self._keep = self._keep and not self._front.stopping and (answer.length is not None or self._chunked)
        self.write(http.response_head(200, answer.length, None, not self._keep, self._chunked))
        self.write_part(answer.first)

    def write_part(self, data: bytes) -> None:
        self.write(http.encode_chunk(data) if self._chunked else data)
        self.abort_if_unread(UNREAD_LIMIT)

    def finish_stream(self) -> None:
        self._relay = None
        if self._chunked:
            self.write(http.LAST_CHUNK)
        if not self._keep or self._front.stopping:
            self.close_gracefully()
            return
        self._listener.request_finished(self)
        self.resume_processing()

    def fail_stream(self) -> None:
        self._relay = None
        self.reset()

    def abort_partial_responses(self) -> None:
        """Guard against an answer that only the connection's end would tell to be whole."""
        if self._relay is not None:
            relay, self._relay = self._relay, None
            relay.source.abort_stream()
            self.reset()

    def reject(self, retry_after: float) -> None:
        self._final(503, b"", {"Retry-After": f"{retry_after:.3f}"} if retry_after > 0 else None)

    def fail(self) -> None:
        self._final(504)

    def _final(self, status: int, body: bytes = b"", fields: dict[str, str] | None = None) -> None:
        self._request = None
        self._hold_body(0)
        self._listener.request_finished(self)
        self._answer(status, body, fields)
        self.resume_processing()

    def _bad(self, status: int, text: str) -> None:
        """A request that was read and is not taken."""
        self._hold_body(0)
        self._front.engine.counts["bad_requests"] += 1
        self._answer(status, f"{text}\n".encode())

    def _answer(self, status: int, body: bytes = b"", fields: dict[str, str] | None = None) -> None:
        close = not self._keep or self._front.stopping
        self.write(http.encode_response(status, body, fields, close))
        if not self.flushed and not self.is_closing:
            self.abort_if_unread(UNREAD_LIMIT)
            self._unread_bytes = self.transport.get_write_buffer_size()
            if not self._front.unread.adjust(self._unread_bytes):
                self.abort()
        if close:
            self.close_gracefully()

    def _forget_unread(self) -> None:
        size, self._unread_bytes = self._unread_bytes, 0
        self._front.unread.adjust(-size)

    def _reject(self, status: int, text: str) -> None:
        self._front.engine.counts["bad_requests"] += 1
        self.write(http.encode_response(status, f"{text}\n".encode(), close=True))
        self.close_gracefully()

    def _stalled(self, begun: bool) -> None:
        """Guard against clients that begin a request and never end it."""
        if begun and self._stall is None:
            self._began = self._front.loop.time()
            self._stall = self._front.loop.call_later(STALL_LIMIT, self._check_stall)
        elif not begun and self._stall is not None:
            self._stall.cancel()
            self._stall = None

    def _check_stall(self) -> None:
        left = self._began + STALL_LIMIT + self._reader.bytes_received / SLOWEST - self._front.loop.time()
        if left <= 0:
            self._reject(408, "request not ended")
        else:
            self._stall = self._front.loop.call_later(max(left, 0.05), self._check_stall)


class HttpServer:
    """Clients over HTTP/1.1."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        buffers: BufferPool,
        settings: Settings,
        ready: Callable[[], bool],
        unread: int,
        bodies: int,
    ) -> None:
        self.unread = MemoryBudget(unread)  # bytes of answers that clients do not read
        self.bodies = MemoryBudget(bodies)  # bytes of long bodies, as they come and until they are answered
        self.loop, self.engine, self.buffers, self.ready = loop, engine, buffers, ready
        self.ids = RecentIds(0.0)
        self.stopping = False
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        self.fields = RequestFields(settings)
        self.advice = settings.max_retry_after if settings.may_send_retry_after else 0.0
        self.ids.span = max(cls.deadline for cls in settings.classes)

    def connection(self, listener: Listener) -> ClientConnection:
        return ClientConnection(self, listener)


# --- Targets --------------------------------------------------------------------------------------
class TargetConnection(Connection):
    """A connection to a target that carries one attempt at a time."""

    def __init__(self, carrier: HttpTargetClient) -> None:
        super().__init__(carrier.buffers)
        self._carrier = carrier
        self._reader = http.Reader(response=True)
        self._out = memoryview(b"")  # what of a long body is not written yet
        self._relay: ResponseStream | None = None
        self._answered: Attempt | None = None  # whose answer is being passed on
        self._held = 0  # bytes counted in the carrier's allowance
        self._begun_at = self._moved_at = 0.0  # when the answer's head came, and its last bytes
        self._stall: asyncio.TimerHandle | None = None
        self._attempt: Attempt | None = None

    def start_exchange(self, attempt: Attempt) -> None:
        self._attempt = attempt
        payload: Payload = attempt.payload
        left = max(0.001, attempt.expires_at - self._carrier.loop.time())
        fields = {"Host": payload.host, "X-Request-ID": payload.request_id, "X-Timeout": f"{left:.3f}"}
        if payload.repeat_key is not None:
            fields["Idempotency-Key"] = payload.repeat_key
        head = http.request_head(payload.method, payload.target, fields, len(payload.body))
        if len(payload.body) <= SMALL:
            self.write(head + payload.body)
            return
        self._out = memoryview(payload.body)
        self.write(head)
        self._write_on()

    def _write_on(self) -> None:
        """Write as much of a long body as the target takes.  Guards against a second copy of all of it."""
        while self._out and self.flushed and not self.is_closing:
            part, self._out = self._out[:PIECE], self._out[PIECE:]
            self.write(part)

    def resume_writing(self) -> None:
        self.flushed = True
        self._write_on()
        self.resume_processing()

    def is_fully_sent(self) -> bool:
        return self.flushed and not self._out

    def abandon(self) -> bool:
        """What was given up in the middle of its transfer counts as run: only a break proves otherwise."""
        self._attempt, self._out = None, memoryview(b"")
        self.abort()
        return True

    def on_data(self, data: memoryview) -> int:
        if self._relay is not None:
            return self._pass_on(data)
        if self._attempt is None:
            self.abort()  # a target speaks only when asked
            return len(data)
        begun = self._reader.begun
        try:
            used = self._reader.feed(data)
        except http.HttpError as error:
            self._carrier.log_bad_response(self._attempt, str(error))
            self._conclude(AttemptResult(AttemptStatus.ERROR), keep=False)
            return len(data)
        if not self._hold(len(self._reader.body)):
            self._carrier.log_bad_response(self._attempt, "no memory left for the answer")
            self._conclude(AttemptResult(AttemptStatus.ERROR), keep=False)
            return len(data)
        self._moved_at = self._carrier.loop.time()
        if not begun:
            self._begun_at = self._moved_at
        if self._reader.done:
            self._finish()
        elif self._reader.begun and self._is_long():
            self._begin_relay()
        elif self._reader.begun and self._stall is None:
            self._stall = self._carrier.loop.call_later(ANSWER_STALL, self._check_stall)
        return used

    def _is_long(self) -> bool:
        """Whether an answer is to be passed on as it comes: such a one can't be tried again.

        Guards against targets that write slowly: 64 KiB of chunks took up to 1.1 s, and it is the first bytes
        of a long answer that its client waits for.  One that stops short sends no more and is tried again.
        """
        if self._reader.length is not None and self._reader.length <= SMALL:
            return False
        enough = SMALL if self._reader.length is None else RELAY_FROM
        slow = self._moved_at - self._begun_at >= RELAY_AFTER
        return self._reader.bytes_received > enough or (slow and self._reader.bytes_received > 0)

    def _begin_relay(self) -> None:
        """Pass the answer on from here.  For the engine the attempt is over: the target has done its work."""
        told = self._carrier.fields.parse(self._reader.head)
        if told.status is not AttemptStatus.OK:
            self._conclude(AttemptResult(told.status), keep=False)  # nobody wants the text of a long error
            return
        attempt, self._attempt = self._attempt, None
        self._answered, self._moved_at = attempt, self._carrier.loop.time()
        relay = self._relay = ResponseStream(self, self._reader.length, self._reader.drain())
        self._hold(0)
        self._carrier.pool.record_use(attempt, False)
        self._carrier.engine.counts["relayed"] += 1
        self._carrier.engine.attempt_finished(
            attempt, AttemptResult(told.status, relay, told.other_units, told.report)
        )
        if relay.sink is None:  # its client had left
            self.abort_stream()
        elif not relay.wants_more:
            self._pause()
        self._watch_relay()

    def _watch_relay(self) -> None:
        if self._stall is not None:
            self._stall.cancel()
        self._stall = self._carrier.loop.call_later(RELAY_STALL, self._check_stall)

    def _pass_on(self, data: memoryview) -> int:
        self._moved_at = self._carrier.loop.time()
        try:
            used = self._reader.feed(data)
        except http.HttpError as error:
            self._carrier.log_bad_response(self._answered, str(error))
            self._break_off()
            return len(data)
        part, done = self._reader.drain(), self._reader.done
        if part:
            self._relay.sink.write_part(part)
        if done:
            self._end_relay(self._reader.head.keeps_alive() and self.flushed and not self._out)
        elif self._relay is not None and not self._relay.wants_more:
            self._pause()
        return used

    def _end_relay(self, keep: bool) -> None:
        relay, self._relay = self._relay, None
        attempt, self._answered = self._answered, None
        self._reader.reset()
        if keep and not self.is_closing:
            self._carrier.pool.release(attempt, self)
        else:
            self.abort()
        if relay is not None:
            relay.sink.finish_stream()

    def _break_off(self) -> None:
        """The rest of an answer that was begun will not come."""
        relay, self._relay = self._relay, None
        self._carrier.engine.counts["broken_off"] += 1
        self.abort()
        relay.sink.fail_stream()

    def resume_stream(self) -> None:
        self._moved_at = self._carrier.loop.time()
        self.resume_processing()

    def abort_stream(self) -> None:
        self._relay = None
        self.abort()

    def _check_stall(self) -> None:
        """Guard against answers that stop short on a connection that stays open: a read can be sent again."""
        self._stall = None
        if self._relay is not None:
            waits = self._relay.wants_more and self._carrier.loop.time() - self._moved_at >= RELAY_STALL
            if waits:
                self._carrier.log_bad_response(self._answered, "the answer stopped short")
                self._break_off()
            else:
                self._watch_relay()
            return
        if self._attempt is None or not self._reader.begun:
            return
        left = self._moved_at + ANSWER_STALL - self._carrier.loop.time()
        if left > 0:
            self._stall = self._carrier.loop.call_later(left, self._check_stall)
            return
        self._carrier.log_bad_response(self._attempt, "the answer stopped short")
        self._conclude(AttemptResult(AttemptStatus.ERROR), keep=False)

    def _hold(self, size: int) -> bool:
        change, self._held = size - self._held, size
        return self._carrier.allowance.adjust(change)

    def on_buffer_full(self) -> None:
        self._carrier.log_bad_response(self._attempt, "answer head over the limit")
        self._conclude(AttemptResult(AttemptStatus.ERROR), keep=False)

    def eof_received(self) -> bool:
        self.abort()  # not close(): that would go on writing to a target that has stopped
        return False

    def on_disconnected(self, error: Exception | None) -> None:
        whole = error is None and self._reader.begun and self._reader.finish()  # a reset ends nothing well
        if self._relay is not None:
            if whole:
                self._end_relay(keep=False)
            else:
                self._break_off()
            return
        if self._attempt is None:
            self._hold(0)
            return
        if whole:
            self._finish()
            return
        # Only a break before the last byte was written proves that the target never began.
        never = (not self.flushed or bool(self._out)) and not self._reader.begun
        self._conclude(
            AttemptResult(AttemptStatus.CONNECT_FAILED if never else AttemptStatus.RESET), keep=False
        )

    def _finish(self) -> None:
        head = self._reader.head
        told = self._carrier.fields.parse(head)
        answer = bytes(self._reader.body) if told.status is AttemptStatus.OK else None
        # An answer that came before the request was out leaves the connection in no known state.
        keep = head.keeps_alive() and self._reader.done and self.flushed and not self._out
        self._conclude(AttemptResult(told.status, answer, told.other_units, told.report), keep)

    def _conclude(self, ending: AttemptResult, keep: bool) -> None:
        attempt, self._attempt = self._attempt, None
        self._out = memoryview(b"")
        self._carrier.pool.record_use(
            attempt, ending.status is AttemptStatus.RESET and not self._reader.begun
        )
        self._reader.reset()
        self._hold(0)
        if keep and not self.is_closing:
            self._carrier.pool.release(attempt, self)
        else:
            attempt.channel = None
            self.abort()
        self._carrier.engine.attempt_finished(attempt, ending)


class HttpTargetClient(PooledTargetClient):
    """Carries attempts to targets over HTTP/1.1."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        buffers: BufferPool,
        connect_timeout: float,
        idle_limit: float,
        most: int,
        log: Callable[..., None],
        settings: Settings,
        memory: int,
    ) -> None:
        super().__init__(loop, engine, buffers, connect_timeout, idle_limit, most, log, REST)
        self.allowance = MemoryBudget(memory)
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        self.fields = AnswerFields(settings)

    async def connect(self, host: str, port: int) -> TargetConnection:
        _, connection = await self.loop.create_connection(lambda: TargetConnection(self), host, port)
        return connection
