"""The engine's door: counts what is asked in the calm, and lets the ramp of a return decide who comes in."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from stalltiller.recovery import Load, Ramp
from stalltiller.routing.ports import ClientRequest
from stalltiller.scheduling import Settings

Cell = int | None


class RecoveryAdmissionGate:
    """Stands open unless a ramp holds; never waits."""

    def __init__(self, settings: Callable[[], Settings], targets: Callable[[], int]) -> None:
        """`targets` tells how many are listed: while a ramp holds and there are none, nobody comes in."""
        self._settings, self._targets = settings, targets
        self._loop = asyncio.get_running_loop()
        self.load = Load(self._loop.time())
        self.ramp: Ramp | None = None

    def narrow(self, rates: dict[Cell, float], size: int) -> None:
        """Begin a ramp by what this instance sent before, or by its part of what a cold target bears from a
        fleet of that size."""
        settings = self._settings()
        blind = settings.slow_start_units / max(settings.rules.overload_window, 1e-3) / max(1, size)
        self.ramp = Ramp(
            self._loop.time(), rates, blind, settings.mean_units, settings.max_retry_after, random.Random()
        )

    def open(self) -> dict[str, int]:
        """End the ramp; what became of the requests that met it."""
        counts = {} if self.ramp is None else dict(self.ramp.counts)
        self.ramp = None
        return counts

    def admit(self, client_request: ClientRequest) -> float:
        """0 if a request may go on; else it is refused, with the seconds after which to return."""
        now = self._loop.time()
        self.load.add(now, client_request.shard, client_request.units)
        if self.ramp is None:
            return 0.0
        if not self._targets():
            return self.ramp.turn_away(now)
        settings = self._settings()
        best = max(cls.priority_weight for cls in settings.classes) * max(
            plan.price_weight for plan in settings.plans
        )
        worth = (
            settings.classes[client_request.class_index].priority_weight
            * settings.plans[client_request.plan_index].price_weight
            / best
        )
        return self.ramp.admit(
            now,
            client_request.shard,
            client_request.units,
            worth,
            (client_request.volume, client_request.class_index, client_request.idempotency_key),
        )

    def retry_after(self, delay: float) -> float:
        """What to tell a client whom the decisions refuse."""
        return delay if self.ramp is None else self.ramp.spread(delay)
