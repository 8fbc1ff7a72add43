"""The second address: HTTP/1.1 calls of the operators, one to a connection."""

from __future__ import annotations

from collections.abc import Callable

from stalltiller.protocol import http
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.connection import Connection
from stalltiller.transport.listener import Listener

MAX_CALLERS = 16  # connections at once
CALL_LIMIT = 10.0  # s that a caller may take over its call
MAX_CALL = 1024  # bytes of a call's body

Act = Callable[[str], bool | bytes]  # takes the call's body, stripped; whether the answer is yes, or its body


class AdminConnection(Connection):
    """One call: it is answered in the turn of the loop in which it is whole, and the connection closed."""

    def __init__(self, buffers: BufferPool, calls: dict[tuple[str, str], Act], listener: Listener) -> None:
        super().__init__(buffers)
        self._calls, self._listener = calls, listener
        self._reader = http.Reader(response=False, limit=MAX_CALL)
        self._answered = False

    def on_connected(self) -> None:
        self._listener.add(self)

    def on_disconnected(self, error: Exception | None) -> None:
        self._listener.remove(self)

    def on_data(self, data: memoryview) -> int:
        if self._answered:
            return len(data)
        try:
            used = self._reader.feed(data)
        except http.HttpError as error:
            self._answer(error.status)
            return len(data)
        if self._reader.done:
            self._answer(*self._act(self._reader.head, bytes(self._reader.body)))
        return used

    def on_buffer_full(self) -> None:
        self._answer(431)
        self.discard_unread()

    def _act(self, head: http.Head, body: bytes) -> tuple[int, bytes]:
        path = head.target.partition("?")[0]
        act = self._calls.get((head.method, path))
        if act is None:
            return (405 if any(path == known for _, known in self._calls) else 404), b""
        try:
            yes = act(body.decode("ascii").strip())
        except UnicodeDecodeError:
            return 400, b""
        except OSError:  # what was asked for can't be kept
            return 500, b""
        if yes:
            return 200, yes if isinstance(yes, bytes) else b""
        return (503 if head.method == "GET" else 404), b""

    def _answer(self, status: int, body: bytes = b"") -> None:
        self._answered = True
        self.write(http.encode_response(status, body, close=True))
        if not self.is_closing:
            self._listener.closing_gracefully(self)
            self.close_gracefully()

    # --- The listener's side ---
    def close_if_idle(self) -> bool:
        return False

    def on_request_timeout(self) -> None:
        self.abort()

    def reject_requests(self) -> None:
        self.abort()

    def abort_partial_responses(self) -> None:
        self.abort()


def admin_listener(buffers: BufferPool, calls: dict[tuple[str, str], Act]) -> Listener:
    """Listens for calls.  Callers that say nothing make room for others, the oldest first."""
    return Listener(
        lambda listener: AdminConnection(buffers, calls, listener),
        MAX_CALLERS,
        MAX_CALLERS,
        first_request_timeout=CALL_LIMIT,
    )
