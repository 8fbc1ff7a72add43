"""The administration address: HTTP/1.1 calls of the operators, one per connection.

Owns no state of the initiator; the application passes in the calls by method and path.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPMethod

from stalltiller.protocol import http
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.connection import Connection
from stalltiller.transport.listener import Listener

MAX_CONNECTIONS = 16  # at once: enough for operators, and few descriptors
CALL_TIMEOUT_SECONDS = 10.0  # how long a call may take to arrive
MAX_BODY_BYTES = 1024  # of a call

# Takes the call's body without surrounding white space; returns whether it succeeded, or the answer's body.
AdminCall = Callable[[str], bool | bytes]


class AdminConnection(Connection):
    """One call, answered in the turn of the loop in which it is complete; then the connection is closed."""

    def __init__(
        self, buffers: BufferPool, calls: dict[tuple[str, str], AdminCall], listener: Listener
    ) -> None:
        super().__init__(buffers)
        self._calls = calls
        self._listener = listener
        self._reader = http.Reader(response=False, limit=MAX_BODY_BYTES)
        self._is_answered = False

    def on_connected(self) -> None:
        """Register with the listener."""
        self._listener.add(self)

    def on_disconnected(self, _error: Exception | None) -> None:
        """Unregister from the listener."""
        self._listener.remove(self)

    def on_data(self, data: memoryview) -> int:
        """Parse the call and answer it once complete; return the number of bytes consumed."""
        if self._is_answered:
            return len(data)
        try:
            consumed = self._reader.feed(data)
        except http.HttpError as error:
            self._answer(error.status)
            return len(data)
        if self._reader.done:
            assert self._reader.head is not None
            self._run_call(self._reader.head, bytes(self._reader.body))
        return consumed

    def on_buffer_full(self) -> None:
        """Answer 431: the call's head does not fit."""
        self._answer(431)
        self.discard_unread()

    def _run_call(self, head: http.Head, body: bytes) -> None:
        path = head.target.partition("?")[0]
        call = self._calls.get((head.method, path))
        if call is None:
            is_known_path = any(path == known for _, known in self._calls)
            self._answer(405 if is_known_path else 404)
            return
        try:
            result = call(body.decode("ascii").strip())
        except UnicodeDecodeError:
            self._answer(400)
        except OSError:  # what the call asked for can't be stored
            self._answer(500)
        else:
            self._answer_result(head.method, result)

    def _answer_result(self, method: str, result: bool | bytes) -> None:
        if result:
            self._answer(200, result if isinstance(result, bytes) else b"")
        else:
            self._answer(503 if method == HTTPMethod.GET else 404)

    def _answer(self, status: int, body: bytes = b"") -> None:
        self._is_answered = True
        self.write(http.encode_response(status, body, close=True))
        if not self.is_closing:
            self._listener.closing_gracefully(self)
            self.close_gracefully()

    # --- For the listener ---
    def close_if_idle(self) -> bool:
        """Return False: a connection is open for its one call only."""
        return False

    def on_request_timeout(self) -> None:
        """Abort: no complete call has arrived in time."""
        self.abort()

    def reject_requests(self) -> None:
        """Abort: there are too many connections."""
        self.abort()

    def abort_partial_responses(self) -> None:
        """Abort: the program ends."""
        self.abort()


def admin_listener(buffers: BufferPool, calls: dict[tuple[str, str], AdminCall]) -> Listener:
    """Return the listener for calls, by method and path.

    Connections that send nothing make room for others, the oldest first.
    """
    return Listener(
        lambda listener: AdminConnection(buffers, calls, listener),
        MAX_CONNECTIONS,
        MAX_CONNECTIONS,
        first_request_timeout=CALL_TIMEOUT_SECONDS,
    )
