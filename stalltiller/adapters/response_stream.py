"""An answer that is passed on to its client while it still comes in from its target."""

from __future__ import annotations

from typing import Protocol


class StreamSource(Protocol):
    """Where the answer comes from."""

    def resume_stream(self) -> None:
        """The client has read what there was: read on."""

    def abort_stream(self) -> None:
        """The client has gone: nobody wants the rest."""


class StreamSink(Protocol):
    """Where the answer goes to."""

    flushed: bool

    def write_part(self, data: bytes) -> None:
        """Pass some of the body on."""

    def finish_stream(self) -> None:
        """The body has ended."""

    def fail_stream(self) -> None:
        """The rest will not come: end so that the client can tell."""


class ResponseStream:
    """Joins the two ends.

    The target is read only while the client has read all so far.  Guards against answers that are together
    far above the memory limit: each takes one buffer, however long it is and however slowly it is read.
    """

    def __init__(self, source: StreamSource, length: int | None, first: bytes) -> None:
        self.source, self.length, self.first = source, length, first  # length: None if not known ahead
        self.sink: StreamSink | None = None

    @property
    def wants_more(self) -> bool:
        return self.sink is not None and self.sink.flushed
