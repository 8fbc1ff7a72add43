"""State of the scheduler: volumes, targets and pending requests, owned by one `Scheduler`."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from stalltiller.common import DecayingMean, KeyedQueues, SlidingWindowSum, TokenBucket
from stalltiller.scheduling import Action, Plan, Request, RequestClass, Settings, Target, TargetId
from stalltiller.scheduling.contention import HALF_LIFE_SECONDS, ContentionEstimator

# The whole reserve, as a fraction of a target's capacity: the initial value in the algorithm's source.
RESERVE_FRACTION = 0.30
INITIAL_CONCURRENCY = 4.0  # estimate of a target's concurrency limit until responses are known
TOKEN_REQUEST_INTERVAL_SECONDS = 0.06  # a few round trips of a message between initiators


# The lowest value is served first.
ServicePriority = IntEnum("ServicePriority", "RESERVATION GRANT BEST_EFFORT", start=0)
RESERVATION, GRANT, BEST_EFFORT = ServicePriority


class Volume:
    """State of one volume at this initiator, over all targets."""

    def __init__(self, plan: Plan, initiator_count: int, now: float) -> None:
        self.plan, self.initiator_count = plan, initiator_count
        self.limit, self.reservation = TokenBucket(0.0, now), TokenBucket(0.0, now)
        self.demand, self.other_demand, self.served = (DecayingMean(now, HALF_LIFE_SECONDS) for _ in range(3))
        self.requested_at = now
        self.peers: list[int] = []  # other initiators known to receive requests of the volume
        self.token_request_number = -1  # number of the last token request
        self.lenders = [0]  # initiators that granted tokens for the last request
        self.next_token_request_at = self.next_broadcast_at = now
        self.token_request_interval = self.broadcast_interval = TOKEN_REQUEST_INTERVAL_SECONDS


class VolumeAllocation:
    """A volume's grant and token bucket at one target; rates are in units per second."""

    def __init__(self, volume: Volume, now: float) -> None:
        self.volume = volume
        self.grant = self.requested_rate = 0.0
        self.bucket = TokenBucket(0.0, now)
        self.demand = DecayingMean(now, HALF_LIFE_SECONDS)
        self.last_used_at, self.grant_updated_at = now, -1e9
        self.open_count = 0  # number of requests queued or in flight


class TargetState:
    """State of one target: list entry, concurrency limit, latency, reserve, grants and queue."""

    def __init__(self, target: Target, latency: float, now: float) -> None:
        self.target = target
        self.concurrency_limit = INITIAL_CONCURRENCY
        self.latency = latency  # mean latency in seconds
        self.in_flight: dict[int, PendingRequest] = {}  # in send order
        self.queue: list[PendingRequest] = []
        self.sent_at = self.limit_decreased_at = self.uncongested_since = now
        self.allocations: dict[int, VolumeAllocation] = {}
        self.reserve_fraction = RESERVE_FRACTION
        self.slow_start_units = SlidingWindowSum()  # units sent while the target warms up, less units served
        self.slow_start_share = 0.0  # fraction of the slow-start budget that this initiator may use
        self.slow_start_other_initiators = 0.0  # estimated number of other initiators that share the budget
        self.slow_start_threshold = 0.0  # fraction of a request that the remaining budget has to cover
        self.slow_start_period_ends_at = 0.0
        self.overload_backoff = 1.0  # factor on the slow-start share
        self.pause_duration = self.paused_until = self.paced_until = 0.0
        self.recent_key, self.recent_key_until = 0, 0.0  # idempotency key of the data requested last

    @property
    def expected_wait(self) -> float:
        """Seconds until the target is expected to respond to one more request."""
        return (len(self.in_flight) + len(self.queue) + 1) * self.latency / self.concurrency_limit


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A request that this initiator has accepted and not yet responded to."""

    request: Request
    request_class: RequestClass
    volume: Volume
    due_at: float  # end of the latency objective
    deadline: float  # when the final response is due
    unsent_until: float  # if no target has fully received it by then, it is rejected or failed
    ordering_key: int  # requests of one key run one at a time; 0 for none
    max_attempts: int  # from the settings when the request arrived
    attempt_count: int = 0
    is_in_flight: bool = False
    target: TargetState | None = None  # target at which the request is queued or in flight
    possibly_executed_at: float | None = None  # send time of the first attempt that may have been executed
    possibly_executed_by: TargetState | None = None
    is_finished: bool = False
    has_spent_tokens: bool = False
    has_reached_target: bool = False
    sent_at: float = 0.0  # send time of the last attempt
    overtaken_count: int = 0  # responses to later attempts that came before the last attempt's
    is_cancelled: bool = False
    priority: ServicePriority = ServicePriority.RESERVATION


class SchedulerState:
    """State shared by all parts of the scheduler."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.rng = random.Random(seed)
        self.now = self.started_at = self.cleaned_up_at = now
        self.volumes_evicted_at = now
        self.actions: list[Action] = []
        self.targets: dict[TargetId, TargetState] = {}
        # Targets with queued requests or attempts that may be lost; polls skip all others.
        self.queued_targets: dict[TargetId, TargetState] = {}
        self.shards: dict[int, list[TargetState]] = {}
        self.volumes: dict[int, Volume] = {}
        self.pending: dict[int, PendingRequest] = {}  # including finished ones with an attempt in flight
        self.unassigned: list[PendingRequest] = []  # no ready target may serve them
        self.ordered: KeyedQueues[PendingRequest] = KeyedQueues()
        self.contention = ContentionEstimator()
        # Returns the usable fraction of a target's shared budget, given the fraction needed.
        self.budget_fraction: Callable[[str, float], float] | None = None
        self.relative_latency: dict[str, float] = {}  # by class, relative to the target's mean
        self.max_time_remaining: dict[str, float] = {}  # by class
        self.retries, self.accepted = SlidingWindowSum(), SlidingWindowSum()
        self.is_polling = self.is_watching = False
        self.are_limits_refilled = True
        self._apply_settings(settings)

    def _apply_settings(self, settings: Settings) -> None:
        """Replace the settings; the state of a class or plan is kept under its name."""
        self.settings = settings
        self.mean_units = max(settings.mean_units, 1e-9)
        classes = settings.classes
        self.max_weight = max(item.priority_weight for item in classes)
        objectives = (item.latency_objective for item in classes if item.latency_objective > 0)
        self.min_objective = min(objectives, default=1.0)
        self.relative_latency = {item.name: self.relative_latency.get(item.name, 1.0) for item in classes}
        self.max_time_remaining = {item.name: self.max_time_remaining.get(item.name, 0.0) for item in classes}
        plans = {plan.name: plan for plan in settings.plans}
        for volume in self.volumes.values():
            volume.plan = plans.get(volume.plan.name, volume.plan)

    def _relative_size(self, pending: PendingRequest) -> float:
        return max(1.0, pending.request.units / self.mean_units)
