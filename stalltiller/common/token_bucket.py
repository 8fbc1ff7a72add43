"""A token bucket (RFC 2697 calls its depth the committed burst size) on a clock that the caller supplies."""

from __future__ import annotations


class TokenBucket:
    """Tokens that accrue at a rate up to a depth.

    Rate and depth are arguments of each refill, since both may change between refills.  The owner may lower
    the level below zero; refills then make up the deficit first.
    """

    def __init__(self, level: float, updated_at: float) -> None:
        self.level = level
        self.updated_at = updated_at

    def refill(self, now: float, rate: float, depth: float) -> float:
        """Add `rate` tokens per second since the last refill, up to `depth`, and return the new level."""
        self.level = min(depth, self.level + rate * (now - self.updated_at))
        self.updated_at = now
        return self.level
