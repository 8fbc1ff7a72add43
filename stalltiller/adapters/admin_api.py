"""The administration API for operators: HTTP/1.1, one request per connection.

Holds no state of the initiator; the application passes in the handlers by method and path.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPMethod

from stalltiller.protocol import http
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.connection import Connection, TransferMonitor
from stalltiller.transport.listener import Listener

MAX_CONNECTIONS = 16  # enough for operators while using few file descriptors
REQUEST_TIMEOUT_SECONDS = 10.0  # without a byte of a request
MAX_BODY_BYTES = 1024

# Receives the request body without surrounding whitespace; returns success, or the response body.
AdminHandler = Callable[[str], bool | bytes]


class AdminConnection(Connection):
    """Handles one request in the event loop iteration that completes it, then closes the connection."""

    def __init__(
        self,
        buffers: BufferPool,
        monitor: TransferMonitor,
        handlers: dict[tuple[str, str], AdminHandler],
        listener: Listener,
    ) -> None:
        super().__init__(buffers, monitor)
        self._handlers = handlers
        self._listener = listener
        self._reader = http.Reader(response=False, max_body_bytes=MAX_BODY_BYTES)
        self._has_responded = False

    def on_connected(self) -> None:
        """Register with the listener."""
        self._listener.add(self)

    def on_disconnected(self, _error: Exception | None) -> None:
        """Unregister from the listener."""
        self._listener.remove(self)

    def on_data(self, data: memoryview) -> int:
        """Parse the request and handle it once complete; return the number of bytes consumed."""
        if self._has_responded:
            return len(data)
        try:
            consumed = self._reader.feed(data)
        except http.HttpError as error:
            self._respond(error.status)
            return len(data)
        self._listener.request_started(self)
        self.monitor.watch(self, REQUEST_TIMEOUT_SECONDS)
        if self._reader.is_complete:
            assert self._reader.head is not None
            self._handle_request(self._reader.head, bytes(self._reader.body))
        return consumed

    def on_buffer_full(self) -> None:
        """Respond with 431: the request head does not fit into the buffer."""
        self._respond(431)
        self.discard_unread()

    def _handle_request(self, head: http.Head, body: bytes) -> None:
        path = head.target.partition("?")[0]
        handler = self._handlers.get((head.method, path))
        if handler is None:
            is_known_path = any(path == known for _, known in self._handlers)
            self._respond(405 if is_known_path else 404)
            return
        try:
            result = handler(body.decode("ascii").strip())
        except UnicodeDecodeError:
            self._respond(400)
        except OSError:  # the requested change could not be persisted
            self._respond(500)
        else:
            self._respond_with_result(head.method, result)

    def _respond_with_result(self, method: str, result: bool | bytes) -> None:
        if result:
            self._respond(200, result if isinstance(result, bytes) else b"")
        else:
            self._respond(503 if method == HTTPMethod.GET else 404)

    def _respond(self, status: int, body: bytes = b"") -> None:
        self._has_responded = True
        self.write(http.encode_response(status, body, close=True))
        if not self.is_closing:
            self._listener.closing_gracefully(self)
            self.close_gracefully()

    def transferred_bytes(self) -> int:
        """Return a count that changes with each byte of the request or the response."""
        return self.acknowledged_bytes() if self.half_closed else self.received_bytes()

    # --- For the listener ---
    def is_transferring(self) -> bool:
        """Return whether the call is in progress."""
        return not self.half_closed or not self.is_delivered

    def close_if_idle(self) -> bool:
        """Return False: a connection serves only one request and is never idle."""
        return False

    def on_request_timeout(self) -> None:
        """Abort: nothing of a request has arrived in time."""
        self.abort()

    def reject_requests(self) -> None:
        """Abort: the connection limit is exceeded."""
        self.abort()

    def abort_partial_responses(self) -> None:
        """Abort: the process is shutting down."""
        self.abort()


def admin_listener(
    buffers: BufferPool, monitor: TransferMonitor, handlers: dict[tuple[str, str], AdminHandler]
) -> Listener:
    """Return the listener of the administration API; `handlers` are by method and path.

    Over the connection limit, the oldest connection that has sent nothing is closed first.
    """
    return Listener(
        lambda listener: AdminConnection(buffers, monitor, handlers, listener),
        MAX_CONNECTIONS,
        MAX_CONNECTIONS,
        first_request_timeout=REQUEST_TIMEOUT_SECONDS,
    )
