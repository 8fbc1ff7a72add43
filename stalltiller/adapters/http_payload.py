"""What the HTTP server side and the HTTP target side share: the request's payload and its size classes."""

from __future__ import annotations

from dataclasses import dataclass

# A request body up to this size is neither counted in a memory budget nor written to its target in pieces;
# a response up to this size is passed to its client in one piece.
SMALL_BODY_BYTES = 64 * 1024


@dataclass(slots=True, frozen=True)
class Payload:
    """What passes from the client to the target unchanged."""

    method: str
    target: str
    request_id: str
    host: str
    body: bytes | bytearray
    deduplication_key: str | None = None  # the Idempotency-Key field by which targets recognise a repeat
