"""Settings of the scheduler: request classes, volume plans and the rules of a deployment.

Durations are seconds, work is counted in units and rates in units per second.  A setting that a deployment
does not state is None, or 0 where 0 means "none".  The classes are immutable; whoever builds them owns them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What repeating a request of a class does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which nodes drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A kind of request: its aim, its deadline and what a repeat of it may do.

    `writes` is None where it is not told: then each request says whether it is a write.
    """

    name: str
    aim: float
    deadline: float
    worth: float
    late_share: float
    effect: Effect
    scope: Scope
    keep: float
    streaming: bool
    in_order: bool
    writes: bool | None


@dataclass(slots=True, frozen=True)
class Plan:
    """What a volume is owed and held to, over all gateways and nodes (limit 0: no limit)."""

    name: str
    rate: float
    reservation: float
    weight: float
    price: float
    limit: float
    burst: float
    slack: float


@dataclass(slots=True, frozen=True)
class Rules:
    """Figures of the rules; None where the site does not have the rule."""

    answer_slack: float
    drain_grace: float
    cold_share: float
    cold_time: float
    tip_multiple: float
    tip_time: float
    ask_every: float | None
    order_pause: float | None
    budget_free: float | None
    budget_share: float | None
    budget_window: float | None


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a gateway is told when it starts."""

    gateway: int
    gateways: int
    zone: int
    tick: float
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules
    mean_units: float
    largest_units: float
    cold_units: float
    share_worth: float
    spare_worth: float
    meter_period: float
    others_told: bool
    list_pushed: bool
    report_fields: tuple[str, ...]
    reports_in_answers: bool
    may_probe: bool
    may_message: bool
    may_cancel: bool
    may_copy: bool
    may_advise: bool
    max_advice: float
    max_attempts: int
    retries_marked: bool
