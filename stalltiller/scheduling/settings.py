"""Settings of the scheduler: request classes, volume plans and the rules of a deployment.

Durations are seconds, work is counted in units and rates in units per second.  A setting that a deployment
does not state is None, or 0 where 0 means "none".  The classes are immutable; whoever builds them owns them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from stalltiller.scheduling.targets import Target


class Idempotency(Enum):
    """What repeating a request of a class does."""

    SAFE = "safe"
    IDEMPOTENCY_KEY = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which nodes drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "cell"

    def includes(self, first: Target, other: Target) -> bool:
        """Whether `other` drops a repeat of a request that `first` has executed."""
        if self is DeduplicationScope.ALL or other.target_id == first.target_id:
            return True
        if self is DeduplicationScope.ZONE:
            return other.zone == first.zone
        return other.shard == first.shard


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A kind of request: its aim, its deadline and what a repeat of it may do.

    `writes` is None where it is not told: then each request says whether it is a write.
    """

    name: str
    latency_objective: float
    deadline: float
    priority_weight: float
    late_value_fraction: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: float
    streaming: bool
    in_order: bool
    is_write: bool | None

    @property
    def may_repeat_anywhere(self) -> bool:
        """Whether a request that may have been executed can safely go to any target again."""
        if self.idempotency is Idempotency.IDEMPOTENCY_KEY:
            return self.deduplication_scope is DeduplicationScope.ALL
        return self.idempotency is Idempotency.SAFE


@dataclass(slots=True, frozen=True)
class Plan:
    """What a volume is owed and held to, over all gateways and nodes (limit 0: no limit)."""

    name: str
    rate: float
    reservation: float
    weight: float
    price_weight: float
    limit: float
    burst: float
    slack: float


@dataclass(slots=True, frozen=True)
class Rules:
    """Figures of the rules; None where the site does not have the rule."""

    answer_slack: float
    drain_grace: float
    slow_start_initial_fraction: float
    slow_start_duration: float
    overload_factor: float
    overload_window: float
    list_poll_interval: float | None
    ordering_pause: float | None
    retry_budget_base: float | None
    retry_budget_fraction: float | None
    retry_budget_window: float | None

    def max_retries(self, request_count: float) -> float:
        """Return how many further attempts the rule allows in a window with that many requests."""
        if self.retry_budget_base is None and self.retry_budget_fraction is None:
            return math.inf
        return (self.retry_budget_base or 0) + (self.retry_budget_fraction or 0) * request_count

    def slow_start_fraction(self, age: float) -> float:
        """Return the fraction of the usual load that a target bears `age` seconds after its start."""
        initial = self.slow_start_initial_fraction
        return initial + (1 - initial) * min(1.0, age / max(self.slow_start_duration, 1e-9))


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a gateway is told when it starts."""

    initiator_index: int
    initiator_count: int
    zone: int
    tick: float
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules
    mean_units: float
    max_units: float
    slow_start_units: float
    within_share_weight: float
    beyond_share_weight: float
    meter_period: float
    other_usage_reported: bool
    list_pushed: bool
    report_fields: tuple[str, ...]
    reports_in_answers: bool
    may_probe: bool
    may_message: bool
    may_cancel: bool
    may_hedge: bool
    may_send_retry_after: bool
    max_retry_after: float
    max_attempts: int
    retries_marked: bool

    @property
    def max_priority_weight(self) -> float:
        """The highest priority weight of any class."""
        return max(item.priority_weight for item in self.classes)

    @property
    def min_latency_objective(self) -> float:
        """The shortest latency objective of any class that has one, else one second."""
        objectives = (item.latency_objective for item in self.classes if item.latency_objective > 0)
        return min(objectives, default=1.0)
