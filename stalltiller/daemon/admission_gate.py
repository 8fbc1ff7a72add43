"""The engine's admission gate: measures each shard's load and applies the ramp after a mass restart."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from stalltiller.recovery import RecoveryRamp, ShardLoadMeter
from stalltiller.routing.ports import ClientRequest
from stalltiller.scheduling import Settings

MIN_OVERLOAD_WINDOW_SECONDS = 1e-3  # prevents a division by zero if the window is set to 0


class RecoveryAdmissionGate:
    """Admits all requests unless a ramp is in progress; never blocks."""

    def __init__(self, settings: Callable[[], Settings], target_count: Callable[[], int]) -> None:
        """Create a gate; during a ramp, no request is admitted while `target_count` returns 0."""
        self._settings = settings
        self._target_count = target_count
        self._loop = asyncio.get_running_loop()
        self.load_meter = ShardLoadMeter(self._loop.time())
        self.ramp: RecoveryRamp | None = None

    def start_ramp(self, shard_rates: dict[int | None, float], fleet_size: int) -> None:
        """Start a ramp with the rates that were requested of the shards before the restart.

        Other shards start with this member's share of the load that a newly started target can sustain from a
        fleet of `fleet_size` members.
        """
        settings = self._settings()
        overload_window = max(settings.rules.overload_window, MIN_OVERLOAD_WINDOW_SECONDS)
        self.ramp = RecoveryRamp(
            now=self._loop.time(),
            shard_rates=shard_rates,
            default_rate=settings.slow_start_units / overload_window / max(1, fleet_size),
            mean_units=settings.mean_units,
            max_retry_after=settings.max_retry_after,
            rng=random.Random(),
        )

    def end_ramp(self) -> dict[str, int]:
        """End the ramp and return the counts of its outcomes."""
        counts = {} if self.ramp is None else self.ramp.counts_by_name()
        self.ramp = None
        return counts

    def admit(self, client_request: ClientRequest) -> float:
        """Return 0 if a request is admitted, else the seconds after which its client should retry."""
        now = self._loop.time()
        self.load_meter.add(now, client_request.shard, client_request.units)
        if self.ramp is None:
            return 0.0
        if not self._target_count():
            return self.ramp.reject(now)
        class_name = self._settings().classes[client_request.class_index].name
        client = (client_request.volume, class_name, client_request.idempotency_key)
        return self.ramp.admit(
            now,
            client_request.shard,
            client_request.units,
            self._relative_priority(client_request),
            client,
        )

    def retry_after(self, delay: float) -> float:
        """Return the Retry-After for a client that the scheduler rejects with `delay` seconds."""
        return delay if self.ramp is None else self.ramp.add_jitter(delay)

    def _relative_priority(self, client_request: ClientRequest) -> float:
        """Return the weight of a request relative to the highest that the settings allow."""
        settings = self._settings()
        max_priority_weight = max(latency_class.priority_weight for latency_class in settings.classes)
        max_price_weight = max(plan.price_weight for plan in settings.plans)
        max_weight = max_priority_weight * max_price_weight
        return (
            settings.classes[client_request.class_index].priority_weight
            * settings.plans[client_request.plan_index].price_weight
            / max_weight
        )
