"""A response that is passed on to its client while it still arrives from its target.

Owned by the connection to the target, which is its source; the client's connection becomes its sink when the
engine completes the request with it.
"""

from __future__ import annotations

from typing import Protocol


class StreamSource(Protocol):
    """The end at which the response arrives from the target."""

    def resume_stream(self) -> None:
        """Read on: the client has read everything sent so far."""

    def abort_stream(self) -> None:
        """Stop: the client has disconnected, nobody wants the rest."""


class StreamSink(Protocol):
    """The end at which the response leaves for the client."""

    flushed: bool

    def write_part(self, data: bytes) -> None:
        """Send some of the body to the client."""

    def finish_stream(self) -> None:
        """End the response: the body is complete."""

    def fail_stream(self) -> None:
        """End the connection so that the client sees that the rest will not arrive."""


class ResponseStream:
    """Joins the two ends.

    `length` is the body's length in bytes, None if it is not known in advance; `first_part` is what of the
    body had arrived when the stream was created.

    The target is read only while the client has read everything so far.  Guards against responses that are
    together far above the memory limit: each takes one buffer, however long it is and however slowly it is
    read.
    """

    def __init__(self, source: StreamSource, length: int | None, first_part: bytes) -> None:
        self.source = source
        self.length = length
        self.first_part = first_part
        self.sink: StreamSink | None = None

    @property
    def wants_more(self) -> bool:
        """Whether the client has read everything sent so far."""
        return self.sink is not None and self.sink.flushed
