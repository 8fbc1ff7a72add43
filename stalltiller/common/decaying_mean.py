"""An exponentially weighted moving average of a rate."""

from __future__ import annotations

# The integral of 0.5 ** (t / half_life) over all t >= 0 is half_life / ln 2.
INVERSE_LN_2 = 1.4427


class DecayingMean:
    """An exponentially decayed sum that is read as a rate; `half_life` is in seconds."""

    def __init__(self, updated_at: float, half_life: float) -> None:
        self._half_life = half_life
        self.total = 0.0
        self._updated_at = updated_at

    def add(self, now: float, amount: float) -> None:
        """Add an amount; `now` must not be earlier than in the call before."""
        self._decay(now)
        self.total += amount

    def rate(self, now: float) -> float:
        """Return the amount per second over about the last half-life."""
        self._decay(now)
        return self.total / (self._half_life * INVERSE_LN_2)

    def set_rate(self, now: float, rate: float) -> None:
        """Replace the sum so that the rate at `now` is `rate`."""
        self.total = rate * self._half_life * INVERSE_LN_2
        self._updated_at = now

    def _decay(self, now: float) -> None:
        self.total *= 0.5 ** ((now - self._updated_at) / self._half_life)
        self._updated_at = now
