"""The request payload and the body size limit that the HTTP server and HTTP target client share."""

from __future__ import annotations

from dataclasses import dataclass

# A request body up to this size is not counted in a memory budget and is sent to its target in one write; a
# response of known length up to this size is not streamed.
SMALL_BODY_BYTES = 64 * 1024


@dataclass(slots=True, frozen=True)
class Payload:
    """The parts of a request that are forwarded from the client to the target unchanged."""

    method: str
    target: str
    request_id: str
    host: str
    body: bytes | bytearray
    deduplication_key: str | None = None  # the Idempotency-Key field, by which targets detect duplicates
