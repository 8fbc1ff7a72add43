"""Decides whether the channels to targets have room for new requests beside the responses being streamed.

A streamed response keeps its channel for as long as its target or its client is slow.  Where such responses
hold most of the channels, none will be free soon: new requests are rejected at once, and what goes on is not
cut off.  Exchanges that are not streamed free their channels soon, and the scheduler tries again meanwhile.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_STREAMED_FRACTION = 0.5  # of the channels


@dataclass(slots=True, frozen=True)
class ChannelUse:
    """How many channels there may be, whether all are in use, and how many by streamed responses."""

    max_count: int
    is_full: bool = False
    streamed_count: int = 0


def has_channel_soon(use: ChannelUse) -> bool:
    """Return whether a new request will get a channel soon."""
    return not use.is_full or use.streamed_count <= MAX_STREAMED_FRACTION * use.max_count
