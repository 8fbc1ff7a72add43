"""Settings of the scheduler: request classes, volume plans and the rules of a deployment.

Durations are in seconds, work is in units and rates are in units per second.  A setting that a deployment
does not state is None, or 0 where 0 means "none".  The classes are immutable.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a request of a class may be executed more than once.

    SAFE requests may be retried at any time.  Requests with an IDEMPOTENCY_KEY may be retried at targets
    that drop duplicates (see `DeduplicationScope`).  UNSAFE requests may be retried only if no earlier
    attempt can have been executed.
    """

    SAFE = "safe"
    IDEMPOTENCY_KEY = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which targets drop a duplicate of a request with an idempotency key that a target has executed.

    ALL targets, those in the ZONE of that target, or those of its SHARD.
    """

    ALL = "all"
    ZONE = "zone"
    SHARD = "cell"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests with one latency objective, deadline and retry behaviour.

    name: identifies the class; statistics of a class are kept under its name when settings change.
    latency_objective: seconds from the client's first try within which a response earns its full value.
    deadline: seconds that a client waits, over all of its tries.
    priority_weight: value of one request of mean size, relative to the other classes.
    late_value_fraction: fraction of the value that a response after the objective earns, in [0, 1].
    idempotency: whether a request may be executed again.
    deduplication_scope: for IDEMPOTENCY_KEY, which targets drop duplicates.
    deduplication_window: for IDEMPOTENCY_KEY, seconds from the first attempt for which they drop them.
    streaming: the response arrives as a stream, whose start `FirstByte` reports.
    in_order: requests of one idempotency key run one at a time, in their order of arrival.
    is_write: None if the class does not state it; each request then states whether it is a write.
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


@dataclass(slots=True, frozen=True)
class Plan:
    """The guarantees and limits of a volume, over all initiators and targets.

    name: identifies the plan when settings change.
    rate: units per second for which a volume of this plan is sized.
    reservation: units per second that earn their full value, 0 for none.
    weight: share of a target's capacity beyond the reservations, relative to other volumes.
    price_weight: factor on the value of the volume's requests.
    limit: units per second at which the limit's token bucket fills, 0 for no limit.
    burst: depth of the limit's token bucket in units.
    slack: units by which the limit's token bucket may fall below zero.
    """

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
    """Parameters of the deployment's rules; None if the deployment does not have the rule.

    answer_slack: seconds after the client's deadline within which a final response still counts.
    drain_grace: seconds after the notice of a target's drain by which requests to it must have ended.
    slow_start_initial_fraction: minimum fraction of its capacity that a target has when it starts.
    slow_start_duration: seconds from a target's start until it has its full capacity.
    overload_factor: multiple of its capacity at which a warming target fails if the load lasts for
    overload_window: this many seconds.
    list_poll_interval: maximum seconds between fetches of the target list by an initiator that polls.
    ordering_pause: seconds for which an ordered key is paused after an attempt that may still be running.
    retry_budget_base: retries allowed in a window regardless of the number of requests,
    retry_budget_fraction: and additional retries for each request accepted in the window.
    retry_budget_window: length of the retry budget's window in seconds.
    """

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


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one initiator and its deployment.

    initiator_index, initiator_count: index of this initiator, from 0, and number of initiators.
    zone: zone in which this initiator runs.
    tick: minimum seconds between batches of events.
    classes, plans: request classes and plans; requests refer to them by index.
    rules: parameters of the deployment's rules.
    mean_units, max_units: size of the mean and of the largest request.
    slow_start_units: units that all initiators together may send in `Rules.overload_window` to a target
        that has just started.
    within_share_weight: factor on the value of units beyond the reservation within the volume's share,
    beyond_share_weight: and on the value of units beyond both.
    meter_period: seconds over which `AttemptFinished.volume_usage` is counted, 0 for no meter.
    other_usage_reported: responses carry `AttemptFinished.other_units`.
    list_pushed: changes of the target list are pushed; otherwise it has to be watched or fetched.
    report_fields: names of the values in a target's load report, in order.
    reports_in_answers: responses carry load reports; otherwise only probes do, if any.
    may_probe, may_message, may_cancel, may_hedge, may_send_retry_after: which actions the deployment
        permits: probes, messages among initiators, cancelled attempts, hedged requests, and a retry delay
        with a rejection.
    max_retry_after: longest retry delay in seconds that clients follow.
    max_attempts: maximum attempts of one request, including the first.
    retries_marked: clients mark retries of an earlier request.
    """

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
