"""One lease as seen by the client that tries to hold it."""

from __future__ import annotations

from dataclasses import dataclass

from stalltiller.leases.clock_rate import CLOCK_RATE_ERROR_FRACTION
from stalltiller.leases.state_machine import NO_TOKEN


@dataclass(slots=True)
class LeaseHolder:
    """Determines by its own clock whether it holds a lease; times and `ttl` are in seconds."""

    lease: str
    ttl: float
    token: int = NO_TOKEN
    valid_until: float = float("-inf")
    released_at: float = float("-inf")

    def is_valid(self, now: float) -> bool:
        """Whether the holder may act now.

        Check it right before each effect: the process may have been suspended since the last check.
        """
        return self.token > NO_TOKEN and now < self.valid_until

    def handle_response(self, sent_at: float, token: int) -> None:
        """Handle the response to an acquire or a renewal; the lease is valid from `sent_at` on.

        The response to a command sent before the release is ignored: a delayed renewal must not restore a
        lease that has been released in the meantime.
        """
        if sent_at <= self.released_at:
            return
        valid_until = sent_at + self.ttl * (1 - CLOCK_RATE_ERROR_FRACTION)
        self.valid_until = max(valid_until, self.valid_until) if token == self.token else valid_until
        self.token = token

    def release(self, now: float) -> int:
        """Stop holding the lease, and return its token for the release command.

        Call it before that command is sent.
        """
        token = self.token
        self.token = NO_TOKEN
        self.valid_until = float("-inf")
        self.released_at = now
        return token
