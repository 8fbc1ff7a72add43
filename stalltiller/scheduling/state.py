"""State of the scheduler: volumes, targets and pending requests.  One `Scheduler` owns and changes it."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from stalltiller.common import DecayingMean, KeyedQueues, SlidingWindowSum, TokenBucket
from stalltiller.scheduling import Action, Plan, Request, RequestClass, Settings, Target, TargetId
from stalltiller.scheduling.contention import HALF_LIFE_SECONDS, ContentionEstimator

RESERVE_FRACTION = 0.30  # of a target's capacity: the whole reserve (the source's start value)
INITIAL_CONCURRENCY = 4.0  # in flight at a target: a guess until answers are known
TOKEN_REQUEST_SECONDS = 0.06  # between requests for tokens: a few times a message's round trip


ServicePriority = IntEnum("ServicePriority", "RESERVATION GRANT BEST_EFFORT", start=0)  # in order of service
RESERVATION, GRANT, BEST_EFFORT = ServicePriority


class Volume:
    """What an initiator knows of one volume over all targets."""

    def __init__(self, plan: Plan, initiator_count: int, now: float) -> None:
        self.plan, self.initiator_count = plan, initiator_count
        self.limit, self.reservation = TokenBucket(0.0, now), TokenBucket(0.0, now)
        self.demand, self.other_demand, self.served = (DecayingMean(now, HALF_LIFE_SECONDS) for _ in range(3))
        self.requested_at = now
        self.peers: list[int] = []  # initiators known to serve it too
        self.token_request_number, self.lenders = -1, [0]  # of the last request; who granted some
        self.next_token_request_at = self.next_broadcast_at = now
        self.token_request_interval = self.broadcast_interval = TOKEN_REQUEST_SECONDS


class VolumeAllocation:
    """A volume's grant at one target, and what was spent of it; rates are in units per second."""

    def __init__(self, volume: Volume, now: float) -> None:
        self.volume = volume
        self.grant = self.requested_rate = 0.0
        self.bucket = TokenBucket(0.0, now)
        self.demand = DecayingMean(now, HALF_LIFE_SECONDS)
        self.used_at, self.tested_at = now, -1e9
        self.open_count = 0  # requests queued or in flight


class TargetState:
    """One target: its list entry, concurrency limit, latency, reserve, grants and queue."""

    def __init__(self, target: Target, latency: float, now: float) -> None:
        self.target = target
        self.concurrency_limit = INITIAL_CONCURRENCY
        self.latency = latency  # mean, in seconds
        self.in_flight: dict[int, PendingRequest] = {}  # in the order of their sends
        self.queue: list[PendingRequest] = []
        self.sent_at = self.limit_decreased_at = self.uncongested_since = now
        self.allocations: dict[int, VolumeAllocation] = {}
        self.reserve_fraction = RESERVE_FRACTION
        self.slow_start_units = SlidingWindowSum()  # sent while it warms up, less those served
        self.slow_start_share = self.slow_start_others = 0.0  # of the budget; initiators that share it
        self.slow_start_draw = self.slow_start_turn_ends_at = 0.0  # the part of a request that has to fit
        self.overload_backoff = 1.0  # factor on the share
        self.pause_duration = self.paused_until = self.paced_until = 0.0
        self.recent_key, self.recent_key_until = 0, 0.0  # the data requested last

    @property
    def expected_wait(self) -> float:
        """Seconds until it would answer one more request."""
        return (len(self.in_flight) + len(self.queue) + 1) * self.latency / self.concurrency_limit


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A request that this initiator has accepted and not yet answered."""

    request: Request
    request_class: RequestClass
    volume: Volume
    due_at: float  # when the latency objective ends
    deadline: float
    ordering_key: int  # requests of one key go one by one; 0 for none
    max_attempts: int  # by the settings when it came
    attempt_count: int = 0
    is_in_flight: bool = False
    target: TargetState | None = None  # where it waits or runs
    possibly_executed_at: float | None = None  # send time of the first attempt that may have run
    possibly_executed_by: TargetState | None = None
    is_finished: bool = False
    has_spent_tokens: bool = False
    has_reached_target: bool = False
    sent_at: float = 0.0  # the last attempt
    overtaken_count: int = 0  # answers to later sends that came before the last attempt's
    is_cancelled: bool = False
    priority: ServicePriority = ServicePriority.RESERVATION


class SchedulerState:
    """What all parts of the scheduler share."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.rng = random.Random(seed)
        self.now = self.started_at = self.swept_at = now
        self.actions: list[Action] = []
        self.targets: dict[TargetId, TargetState] = {}
        self.queued: dict[TargetId, TargetState] = {}  # targets with queues: the others cost nothing
        self.shards: dict[int, list[TargetState]] = {}
        self.volumes: dict[int, Volume] = {}
        self.pending: dict[int, PendingRequest] = {}  # the answered ones, too, while attempts are in flight
        self.waiting: list[PendingRequest] = []  # no target holds their shard now
        self.ordered: KeyedQueues[PendingRequest] = KeyedQueues()
        self.contention = ContentionEstimator()
        self.budget_fraction: Callable[[str, float], float] | None = None  # from peers, by fraction needed
        self.relative_latency: dict[str, float] = {}  # by class, over the target's mean
        self.max_time_remaining: dict[str, float] = {}  # by class
        self.retries, self.accepted = SlidingWindowSum(), SlidingWindowSum()
        self.is_polling = self.is_watching = False
        self.are_limits_refilled = True
        self._apply_settings(settings)

    def _apply_settings(self, settings: Settings) -> None:
        """Go by other settings; what is known of a class or plan stays with its name."""
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
