"""The latest exchange on a client's connection, as the log describes it when the initiator ends it."""

from __future__ import annotations

from dataclasses import dataclass, replace

from stalltiller.adapters.response_stream import ResponseStream
from stalltiller.protocol import http
from stalltiller.routing.exchange_end import EndRule, ExchangeEnd, TransferPhase, TransferProgress


@dataclass(slots=True)
class ClientExchange:
    """A request and its response.

    `response_start` counts the bytes written before the response.  `request_number` is the engine's
    identifier and `label` the client's.  `client_deadline` is when the client's time is over, on the loop's
    clock; None if the request was not submitted.
    """

    response_start: int = 0
    request_number: int | None = None
    label: str = ""
    client_deadline: float | None = None

    def response_ended(
        self, rule: EndRule, now: float, stream: ResponseStream | None, written: int, acknowledged: int
    ) -> ExchangeEnd:
        """Return the end of the response; `written` and `acknowledged` count the connection's bytes."""
        delivered_bytes = max(0, acknowledged - self.response_start)
        if stream is None:
            progress = TransferProgress(
                TransferPhase.RECEIVING, written - self.response_start, delivered_bytes=delivered_bytes
            )
        else:
            progress = replace(stream.source.progress(), delivered_bytes=delivered_bytes)
        target = None if stream is None else stream.attempt.target_id
        remaining = None if self.client_deadline is None else self.client_deadline - now
        return ExchangeEnd(rule, self.request_number, self.label, target, progress, remaining)


def request_ended(rule: EndRule, reader: http.Reader) -> ExchangeEnd:
    """Return the end of a request that is not whole."""
    label = "" if reader.head is None else reader.head.fields.get("x-request-id", "")
    progress = TransferProgress(TransferPhase.SENDING, reader.bytes_received)
    return ExchangeEnd(rule, None, label, None, progress, None)
