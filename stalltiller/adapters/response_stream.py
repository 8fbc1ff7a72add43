"""A response that is streamed to its client while it is received from its target.

The target connection owns it and is its source; the client connection becomes its sink when the engine
completes the request with it.
"""

from __future__ import annotations

from typing import Protocol

from stalltiller.routing.exchange_end import TransferProgress
from stalltiller.routing.ports import Attempt


class StreamSource(Protocol):
    """The target connection, which receives the response."""

    def received_bytes(self) -> int:
        """Return a count that changes with each byte that comes from the target."""

    def resume_stream(self) -> None:
        """Resume reading: everything written to the sink is flushed."""

    def progress(self) -> TransferProgress:
        """Return how far the response has come from its target."""

    def abort_stream(self) -> None:
        """Stop receiving: the client has disconnected or its connection is being reset."""


class StreamSink(Protocol):
    """The client connection, which sends the response."""

    flushed: bool

    def write_part(self, data: bytes) -> None:
        """Send part of the body to the client."""

    def finish_stream(self) -> None:
        """End the response: the body is complete."""

    def fail_stream(self) -> None:
        """Reset the connection so that the client detects the truncated response."""


class ResponseStream:
    """Connects a source to a sink.

    `length` is the body's length in bytes, None if it is not known in advance; `first_part` is the part of
    the body received before the stream was created.  `attempt` is the one that the response belongs to.  The
    stream goes on until the response is whole, however long that takes, or has stopped.

    Reading from the target is paused while the sink is not flushed.  Guards against long responses that
    together exceed the memory limit: each takes one buffer, however long it is and however slowly the client
    reads.
    """

    def __init__(self, source: StreamSource, length: int | None, first_part: bytes, attempt: Attempt) -> None:
        self.source = source
        self.length = length
        self.first_part = first_part
        self.attempt = attempt
        self.sink: StreamSink | None = None

    @property
    def is_sink_ready(self) -> bool:
        """Whether everything written to the sink is flushed."""
        return self.sink is not None and self.sink.flushed
