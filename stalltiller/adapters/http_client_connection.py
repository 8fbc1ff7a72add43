"""A client's HTTP/1.1 connection: receives requests, submits them to the engine and sends their responses.

Each `ClientConnection` owns the state of its connection; `HttpServer` owns what connections share.  A
connection serves one request at a time and sends exactly one response to each.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from stalltiller.adapters.client_exchange import ClientExchange, request_ended
from stalltiller.adapters.http_payload import SMALL_BODY_BYTES
from stalltiller.adapters.http_requests import (
    READY_PATH,
    build_client_request,
    may_be_health_check,
    retry_after_fields,
)
from stalltiller.adapters.response_stream import ResponseStream
from stalltiller.protocol import http
from stalltiller.protocol.platform import FieldError
from stalltiller.routing.exchange_end import EndRule
from stalltiller.routing.transfer_limits import REQUEST_IDLE_LIMIT_SECONDS
from stalltiller.transport.connection import Connection
from stalltiller.transport.listener import Listener

if TYPE_CHECKING:
    from stalltiller.adapters.http_server import HttpServer


class ClientConnection(Connection):
    """One client's connection, which serves one request at a time."""

    def __init__(self, server: HttpServer, listener: Listener) -> None:
        super().__init__(server.buffers, server.engine.monitor)
        self._server = server
        self._listener = listener
        self._reader = http.Reader(response=False)
        self._request_number: int | None = None  # the engine's identifier of the request in progress
        self._exchange = ClientExchange()  # the latest one
        self._keep_alive = True
        self._rejects_requests = False  # the connection limit is exceeded: each request gets 503
        # The client pipelined more than the buffer holds: further input is dropped, and the connection closes
        # after the current request.
        self._discards_input = False
        self._unread_bytes = 0  # reserved in the server's budget of unread responses
        self._body_bytes = 0  # reserved in the server's budget of request bodies
        self._stream: ResponseStream | None = None  # the response being streamed
        self._is_chunked = False
        self._http_minor_version = 1

    # --- Receiving ---
    def on_connected(self) -> None:
        """Register with the listener."""
        self._listener.add(self)

    def on_data(self, data: memoryview) -> int:
        """Parse the next request; return the number of bytes consumed."""
        if self._discards_input:
            return len(data)
        if self._is_busy:
            return 0  # the next request waits until the response to this one is flushed
        if self._rejects_requests and not may_be_health_check(data):
            self._reject_excess()
            return len(data)
        had_head = self._reader.is_head_complete
        try:
            consumed = self._reader.feed(data)
        except http.HttpError as error:
            self._reject_and_close(error.status, str(error))
            return len(data)
        if self._reader.is_complete:
            self._listener.request_finished(self)
            self._handle_request()
            return consumed
        self.monitor.watch(self, REQUEST_IDLE_LIMIT_SECONDS)
        self._listener.request_started(self)
        if self._reader.is_head_complete and not had_head and not self._accept_head():
            return len(data)
        if not self._reserve_body(self._reader.length or self._reader.bytes_received):
            fields = retry_after_fields(self._server.max_retry_after)
            self._reject_and_close(503, "no memory left for the body", fields)
            return len(data)
        return consumed

    # --- Progress ---
    def _watch(self) -> None:
        """Have the transfer in progress monitored, if any."""
        if self.is_closing or self.half_closed:
            return  # `close_gracefully` has the rest monitored
        if self._stream is not None or not self.flushed:
            self.monitor.watch(self)
        elif self._is_receiving:
            self.monitor.watch(self, REQUEST_IDLE_LIMIT_SECONDS)
        else:
            self.monitor.unwatch(self)

    @property
    def _is_receiving(self) -> bool:
        """Whether a part of a request has come."""
        return self._request_number is None and (self.has_unread_data or self._reader.is_head_complete)

    def transferred_bytes(self) -> int:
        """Return a count that changes with each byte of the request or the response in progress."""
        if self._stream is not None:
            return self._stream.source.received_bytes() + self.acknowledged_bytes()
        is_sending = not self.flushed or self.half_closed
        return self.acknowledged_bytes() if is_sending else self._bytes_received

    def is_transferring(self) -> bool:
        """Return whether a request or a response is in progress."""
        if self.half_closed:
            return not self.is_delivered
        return self._is_busy or self._is_receiving

    def on_stopped(self) -> None:
        """End a request or a response that does not go on, so that its client can tell."""
        if self.half_closed:
            super().on_stopped()
        elif self._stream is not None or not self.flushed:
            is_unread = not self.is_delivered
            rule = EndRule.RESPONSE_UNREAD if is_unread else EndRule.RESPONSE_STOPPED
            now = self._server.loop.time()
            end = self._exchange.response_ended(
                rule, now, self._stream, self._bytes_written, self.acknowledged_bytes()
            )
            self._server.engine.report_exchange_end(end)
            self._server.engine.counts["broken_off"] += 1
            self.abort()
        else:
            self._server.engine.report_exchange_end(request_ended(EndRule.REQUEST_STALLED, self._reader))
            self._reject_and_close(408, "request not ended")

    def _accept_head(self) -> bool:
        """Validate a request's head and return whether to receive its body.

        Guards against receiving megabytes of a request that is rejected in the end.
        """
        head = self._reader.head
        assert head is not None
        try:
            self._server.request_fields.parse(head, b"")
        except FieldError as error:
            self._reject_and_close(400, str(error))
            return False
        if head.expects_continue():
            self.write(http.CONTINUE)
        return True

    def _reserve_body(self, size: int) -> bool:
        """Set the memory reserved for the request's body; a size of 0 releases it.

        The reservation grows as the body arrives and is held until the response starts.  Bodies of up to
        SMALL_BODY_BYTES are not counted.  Returns whether the total is within the budget.
        """
        reserved = size if size > SMALL_BODY_BYTES else 0
        change = reserved - self._body_bytes
        self._body_bytes = reserved
        return self._server.request_body_budget.adjust_reservation(change)

    @property
    def _is_busy(self) -> bool:
        return self._request_number is not None or self._stream is not None or not self.flushed

    def on_buffer_full(self) -> None:
        """Drop input that a client pipelines beyond the buffer, and close after the current request.

        Guards against a client that pipelines a lot and disconnects: with reading paused its disconnect would
        go unnoticed, and its requests would still be sent to targets.
        """
        if self._is_busy:
            self._discards_input = True
            self._keep_alive = False
            self.discard_unread()
        else:
            self._reject_and_close(431, "request head over the limit")
            self.discard_unread()

    def resume_writing(self) -> None:
        """Continue once the kernel has accepted everything that was written."""
        self._release_unread()
        super().resume_writing()
        self._watch()
        if self._stream is not None:
            self._stream.source.resume_stream()
        elif self._discards_input and self._request_number is None:
            self.close_gracefully()
        else:
            self._close_if_stopping()

    def _close_if_stopping(self) -> None:
        """Close an idle connection if the process shuts down; one with an unread request stays open."""
        if self._server.stopping:
            self.close_if_idle()

    def on_disconnected(self, _error: Exception | None) -> None:
        """Release all reservations and cancel the request in progress."""
        self._listener.remove(self)
        self._release_unread()
        self._reserve_body(0)
        self._abort_stream()
        self._release_request_id()
        if self._request_number is not None:
            number = self._request_number
            self._request_number = None
            self._server.engine.cancel(number)

    # --- For the listener ---
    def close_if_idle(self) -> bool:
        """Close between requests and return whether the connection was idle."""
        if self._is_busy or self._reader.is_head_complete:
            return False
        if self.half_closed or not self.is_clean():  # a request may be unread in the kernel's buffer
            return False
        self.close_gracefully()
        return True

    def close_gracefully(self) -> None:
        """Shut down sending once the written bytes are sent, and drop further input."""
        if self.is_closing or self.half_closed:
            return
        self._reader.reset()
        self._reserve_body(0)
        self._listener.closing_gracefully(self)
        super().close_gracefully()

    def abort(self) -> None:
        """Close immediately; a response that is not sent in full is reset, so that it does not look whole."""
        if self._stream is None and self.flushed:
            super().abort()
        else:
            self._abort_stream()
            self.reset()

    def on_request_timeout(self) -> None:
        """Close: nothing of a first request has arrived in time, unless the kernel holds a part of it."""
        self.close_if_idle()

    def reject_requests(self) -> None:
        """Respond to the next request with 503, as soon as a part of it comes, and close."""
        self._rejects_requests = True

    def _reject_excess(self) -> None:
        """Respond with 503 to what has come of a request, and close: there are too many connections."""
        fields = retry_after_fields(self._server.max_retry_after)
        self.write(http.encode_response(503, b"", fields, close=True))
        self.close_gracefully()

    def abort_partial_responses(self) -> None:
        """Reset the connection if a response is not sent in full.

        Guards against an orderly close that would make a truncated response look complete when the end of the
        connection delimits its body.
        """
        if self._stream is not None or not self.flushed:
            self.abort()

    # --- Requests ---
    def _handle_request(self) -> None:
        head = self._reader.head
        assert head is not None
        body = self._reader.body
        self._http_minor_version = head.minor_version
        self._keep_alive = head.keeps_alive()
        self._reader.reset()
        self.monitor.unwatch(self)
        self._exchange = ClientExchange(self._bytes_written)
        if head.target.partition("?")[0] == READY_PATH:
            self._write_response(200 if self._server.is_ready() else 503)
        elif self._rejects_requests:
            self._reject_excess()
        else:
            self._submit(head, body)

    def _submit(self, head: http.Head, body: bytearray) -> None:
        """Validate a request and submit it to the engine."""
        try:
            request_info = self._server.request_fields.parse(head, body)
        except FieldError as error:
            self._reject_bad_request(400, str(error))
            return
        if not self._server.can_hold_response():
            self._reserve_body(0)
            self._write_response(503, fields=retry_after_fields(self._server.max_retry_after))
            return
        request_id = head.fields["x-request-id"]
        if not self._server.recent_request_ids.claim(self._server.loop.time(), request_id):
            self._reject_bad_request(409, "X-Request-ID is not new")
            return
        client_request = build_client_request(head, body, request_info, self)
        self._request_number = self._server.engine.submit(client_request)
        self._exchange.label = request_id
        self._exchange.request_number = self._request_number
        self._exchange.client_deadline = self._server.engine.client_deadline(self._request_number)

    # --- Responses from the engine ---
    def is_disconnected(self) -> bool:
        """Return whether the client has closed, even if the event loop has not reported it yet."""
        return self.is_peer_closed()

    def complete(self, response: bytes | ResponseStream) -> None:
        """Send a target's response, or start to stream it."""
        if not isinstance(response, ResponseStream):
            self._finish_request(200, response)
            return
        self._request_number = None
        self._stream = response
        response.sink = self
        self._reserve_body(0)
        self._is_chunked = response.length is None and self._http_minor_version == 1
        has_framing = response.length is not None or self._is_chunked
        self._keep_alive = self._keep_alive and not self._server.stopping and has_framing
        self.write(
            http.encode_response_head(200, response.length, None, not self._keep_alive, self._is_chunked)
        )
        self.monitor.watch(self)
        if not has_framing:
            self.set_reset_on_close(True)  # until the response is whole
        if response.first_part:
            self.write_part(response.first_part)

    def reject(self, retry_after: float) -> None:
        """Respond with 503, and with Retry-After in seconds if it is above zero."""
        self._finish_request(503, b"", retry_after_fields(retry_after))

    def fail(self) -> None:
        """Respond with 504: the request may have been executed."""
        self._finish_request(504)

    def _release_request_id(self) -> None:
        """Let the identifier of the latest request, whose exchange is over, be forgotten some time later."""
        self._server.recent_request_ids.release(self._exchange.label)

    def _finish_request(self, status: int, body: bytes = b"", fields: dict[str, str] | None = None) -> None:
        self._request_number = None
        self._release_request_id()
        self._reserve_body(0)
        self._listener.request_finished(self)
        self._write_response(status, body, fields)
        self.resume_processing()

    # --- StreamSink ---
    def write_part(self, data: bytes) -> None:
        """Send part of the body of a streamed response."""
        self.write(http.encode_chunk(data) if self._is_chunked else data)

    def finish_stream(self) -> None:
        """End a streamed response and continue with the next request, which may have come meanwhile."""
        self._stream = None
        self._release_request_id()
        self.set_reset_on_close(False)
        if self._is_chunked:
            self.write(http.LAST_CHUNK)
        self._watch()
        if not self._keep_alive:
            self.close_gracefully()
            return
        self._listener.request_finished(self)
        self.resume_processing()
        self._close_if_stopping()

    def fail_stream(self) -> None:
        """Reset the connection, so that the client sees that the response is incomplete."""
        self._stream = None
        self.reset()

    def _abort_stream(self) -> None:
        """Stop receiving the response that is being streamed, if any."""
        if self._stream is not None:
            stream = self._stream
            self._stream = None
            stream.source.abort_stream()

    # --- Writing responses ---
    def _reject_bad_request(self, status: int, text: str) -> None:
        """Reject an invalid request that was received completely; the connection stays open."""
        self._reserve_body(0)
        self._server.engine.counts["bad_requests"] += 1
        self._write_response(status, f"{text}\n".encode())

    def _reject_and_close(self, status: int, text: str, fields: dict[str, str] | None = None) -> None:
        """Reject a request without receiving the rest of it and close the connection."""
        self._server.engine.counts["bad_requests"] += 1
        self.write(http.encode_response(status, f"{text}\n".encode(), fields, close=True))
        self.close_gracefully()

    def _write_response(self, status: int, body: bytes = b"", fields: dict[str, str] | None = None) -> None:
        close = not self._keep_alive or self._server.stopping
        self.write(http.encode_response(status, body, fields, close))
        if not self.flushed and not self.is_closing:
            self.monitor.watch(self)
            assert self.transport is not None
            self._unread_bytes = self.transport.get_write_buffer_size()
            if not self._server.unread_response_budget.adjust_reservation(self._unread_bytes):
                self.abort()
        if close:
            self.close_gracefully()

    def _release_unread(self) -> None:
        size = self._unread_bytes
        self._unread_bytes = 0
        self._server.unread_response_budget.adjust_reservation(-size)
