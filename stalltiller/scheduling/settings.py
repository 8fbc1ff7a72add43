"""Settings of the scheduler: request classes, volume plans and the rules of a deployment.

Durations are seconds, work is counted in units and rates in units per second.  A setting that a deployment
does not state is None, or 0 where 0 means "none".  The classes are immutable; whoever builds them owns them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a request of a class may be executed more than once.

    SAFE requests may be repeated at will.  Requests with an IDEMPOTENCY_KEY may be repeated where the
    targets drop the repeat (see `DeduplicationScope`).  UNSAFE requests may be repeated only after every
    earlier attempt has proved never to have been executed.
    """

    SAFE = "safe"
    IDEMPOTENCY_KEY = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which targets drop the repeat of a request with an idempotency key that one of them has executed.

    ALL of them, those of its ZONE, or those of its SHARD.
    """

    ALL = "all"
    ZONE = "zone"
    SHARD = "cell"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A kind of request: its latency objective, its deadline and what a repeat of it may do.

    name: identifies the class; what is learnt of a class stays with its name when settings change.
    latency_objective: seconds from the client's first try within which an answer earns its full value.
    deadline: seconds that a client waits, over all of its tries.
    priority_weight: value of one request of mean size, relative to the other classes.
    late_value_fraction: part of the value that an answer after the objective earns, in [0, 1].
    idempotency: whether a request may be executed again.
    deduplication_scope: for IDEMPOTENCY_KEY, which targets drop repeats.
    deduplication_window: for IDEMPOTENCY_KEY, seconds from the first attempt for which they do.
    streaming: the answer arrives as a stream, which `FirstByte` reports.
    in_order: requests of one idempotency key run one at a time, in their order of arrival.
    is_write: None if the class does not state it; each request then says whether it is a write.
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
    """What a volume is guaranteed and limited to, over all initiators and targets.

    name: identifies the plan when settings change.
    rate: units per second for which such a volume is sized.
    reservation: units per second that earn their full value, 0 for none.
    weight: the volume's share of what a target serves beyond the reservations, relative to other volumes.
    price_weight: factor on the value of its requests.
    limit: units per second at which the limit's token bucket fills, 0 for no limit.
    burst: depth of this bucket in units.
    slack: units by which the bucket may fall below zero.
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
    """Figures of the deployment's rules; None where it does not have the rule.

    answer_slack: seconds after the client's deadline within which a final answer still counts.
    drain_grace: seconds after the notice that a target drains by which requests to it must have ended.
    slow_start_initial_fraction: fraction of its capacity that a target has at its start, at least.
    slow_start_duration: seconds after its start by which it has its full capacity.
    overload_factor: multiple of its capacity at which a warming target fails,
    overload_window: if it is sent that much for this many seconds.
    list_poll_interval: seconds after which an initiator that polls has to fetch the target list again.
    ordering_pause: seconds for which a key rests after an attempt that may still be running.
    retry_budget_base: further attempts allowed in a window however few the requests,
    retry_budget_fraction: and for each request accepted in it.
    retry_budget_window: length of this window in seconds.
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
    """All that an initiator knows of its deployment.

    initiator_index, initiator_count: its place among the initiators, from 0, and their number.
    zone: where it runs.
    tick: seconds between batches of events, at least.
    classes, plans: by their index, which requests carry.
    rules: the figures of the deployment's rules.
    mean_units, max_units: size of the mean and of the largest request.
    slow_start_units: units that a target which has just started bears in `Rules.overload_window`, sent by
        all initiators together.
    within_share_weight: factor on the value of units beyond the reservation within the volume's share,
    beyond_share_weight: and beyond both.
    meter_period: seconds over which `AttemptFinished.volume_usage` is counted, 0 for no meter.
    other_usage_reported: answers carry `AttemptFinished.other_units`.
    list_pushed: changes of the target list arrive unasked; else it has to be watched or fetched.
    report_fields: names of the values of a target's load report, in its order.
    reports_in_answers: answers carry load reports; else only probes do, if any.
    may_probe, may_message, may_cancel, may_hedge, may_send_retry_after: which actions the deployment
        permits: probes, messages among initiators, cancelled attempts, two attempts of a request at once,
        and a delay with a rejection.
    max_retry_after: longest such delay in seconds that clients follow.
    max_attempts: attempts of one request, the first included.
    retries_marked: clients mark a request that repeats an earlier one.
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
