"""Load of the targets: concurrency limit (AIMD), mean latency, pauses after rejections, and slow start."""

from stalltiller.scheduling import AttemptFinished, AttemptStatus
from stalltiller.scheduling.state import PendingRequest, SchedulerState, TargetState

MAX_CONCURRENCY = 12.0  # in flight at a target: some times what one initiator's part of it serves at once
MIN_CONCURRENCY = 0.05  # below 1, requests beyond reservations are paced, one each latency / limit
LATE_FRACTION = 0.2  # of the least objective: a mean-sized answer slower than this shows a queue
CONGESTED_FRACTION = 0.4  # the same where the limit is one or less and the queue is others'
CLASS_LATENCY_GAIN = 0.02  # weight of a new answer in what a class takes over the mean
MAX_RELATIVE_LATENCY = 10.0  # a single answer counts for no more in a class's latency
MEAN_LATENCY_GAIN = 0.1  # weight of a new answer in a target's mean latency: about the last ten count
OVERTAKEN_COUNT = 3  # answers to later sends after which an attempt may be lost: targets take turns
BACKOFF_RECOVERY, MIN_OVERLOAD_BACKOFF = 1.5, 0.05  # of a slow-start share: gain a good answer, least
INITIAL_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.03, 0.15  # without sends after a rejection; doubles up to this
SLOW_START_BUDGET_FRACTION = 0.8  # that is used: arrival times at the target differ from send times
POSSIBLY_EXECUTED = frozenset({AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED})
REJECTED_EARLY = frozenset({AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED})
NEVER_REACHED = frozenset({AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED})
NEVER_EXECUTED = REJECTED_EARLY | NEVER_REACHED


class TargetLoad(SchedulerState):
    """What each target can take, as learnt from its answers."""

    def _learn(self, target: TargetState, pending: PendingRequest, result: AttemptFinished) -> None:
        status, size, is_ok = result.status, self._relative_size(pending), result.status is AttemptStatus.OK
        is_overtaken = pending.overtaken_count >= OVERTAKEN_COUNT
        if is_ok:
            self._learn_relative_latency(target, pending, result.latency / size)
        elif status is AttemptStatus.RESET or (is_overtaken and status in POSSIBLY_EXECUTED):
            target.pause_duration = 0.0  # a connection was lost; the target answers others and is no fuller
            return
        is_congested = result.latency > CONGESTED_FRACTION * self.min_objective * size
        limit = target.concurrency_limit
        is_late = is_congested or (limit > 1 and result.latency > LATE_FRACTION * self.min_objective * size)
        if status is AttemptStatus.REJECTED or is_congested:  # more initiators than this one can see
            target.overload_backoff = max(MIN_OVERLOAD_BACKOFF, target.overload_backoff / 2)
        elif is_ok:
            target.overload_backoff = min(1.0, target.overload_backoff * BACKOFF_RECOVERY)
        # A time-out counts by its length: a hasty client's says no more than an answer as slow would.
        if is_ok or (status is AttemptStatus.TIMEOUT and result.latency > target.latency):
            target.latency += MEAN_LATENCY_GAIN * (result.latency / size - target.latency)
        if status in REJECTED_EARLY or is_late:
            if self.now - target.limit_decreased_at >= target.latency:  # once a round trip
                target.limit_decreased_at = self.now
                busy = min(limit, len(target.in_flight) + 1)  # an unused limit says nothing
                target.concurrency_limit = max(MIN_CONCURRENCY if is_congested else min(1.0, limit), busy / 2)
        elif is_ok and len(target.in_flight) + 1 >= int(limit):
            target.concurrency_limit = min(MAX_CONCURRENCY, limit + min(limit, 1 / limit))
        self._update_pause(target, status)
        self._learn_usage(target, pending, result)

    def _learn_relative_latency(self, target: TargetState, pending: PendingRequest, latency: float) -> None:
        name = pending.request_class.name
        known = self.relative_latency.get(name, 1.0)
        relative = min(latency / target.latency, MAX_RELATIVE_LATENCY)
        self.relative_latency[name] = known + CLASS_LATENCY_GAIN * (relative - known)
        for other in target.in_flight.values():
            if other.sent_at >= pending.sent_at:
                break
            other.overtaken_count += 1

    def _update_pause(self, target: TargetState, status: AttemptStatus) -> None:
        """Pause a target that is down or full: failing at once, it would use up the attempts of its queue."""
        if status in REJECTED_EARLY and self.now >= target.paused_until:
            longer = max(INITIAL_PAUSE_SECONDS, 2 * target.pause_duration)
            target.pause_duration = min(MAX_PAUSE_SECONDS, longer)
            target.paused_until = self.now + target.pause_duration
        elif status not in NEVER_EXECUTED:
            target.pause_duration = 0.0

    def _learn_usage(self, target: TargetState, pending: PendingRequest, result: AttemptFinished) -> None:
        volume = pending.volume
        if result.status is AttemptStatus.OK:
            self._count_slow_start(target, -pending.request.units)
            volume.served.add(self.now, pending.request.units)
            if result.other_units > 0:
                volume.other_demand.add(self.now, result.other_units)
        if result.volume_usage is not None and not self.settings.other_usage_reported:
            rate = max(0.0, result.volume_usage * volume.plan.rate - volume.served.rate(self.now))
            volume.other_demand.set_rate(self.now, rate)

    def _is_warming_up(self, target: TargetState) -> bool:
        started_at = target.target.started_at
        return started_at is not None and self.now - started_at < self.settings.rules.slow_start_duration

    def _count_slow_start(self, target: TargetState, units: float) -> None:
        """Count units sent to a target, or served by it if negative, while it warms up."""
        if self._is_warming_up(target):
            target.slow_start_units.add(self.now, units)

    def _has_slow_start_budget(self, target: TargetState, units: float) -> bool:
        """Whether this initiator's share of what a target bears in a window has that many units left."""
        # What it served is allowed again.  A share under one request is a chance of it, drawn each turn.
        if not self._is_warming_up(target):
            return True
        rules = self.settings.rules
        window, initial = rules.overload_window, rules.slow_start_initial_fraction
        if self.now >= target.slow_start_turn_ends_at:
            self._begin_slow_start_turn(target, window)
        age = max(0.0, self.now - window - (target.target.started_at or 0.0))
        fraction = initial + (1 - initial) * min(1.0, age / max(rules.slow_start_duration, 1e-9))
        budget = self.settings.slow_start_units * fraction / max(initial, 1e-9) * SLOW_START_BUDGET_FRACTION
        share = target.slow_start_share
        if self.budget_fraction is not None:
            demand = sum(item.demand.rate(self.now) for item in target.allocations.values())
            share = self.budget_fraction(str(target.target.target_id), demand * window / budget)
        load = target.slow_start_units.total_since(self.now - window)
        return share * budget - load >= units * target.slow_start_draw

    def _begin_slow_start_turn(self, target: TargetState, window: float) -> None:
        is_first = target.slow_start_turn_ends_at == 0.0  # its length is random, so that turns are spread
        target.slow_start_turn_ends_at = self.now + window * (self.rng.random() if is_first else 1.0)
        target.slow_start_draw = self.rng.random()
        count, shard, shards = self.settings.initiator_count, target.target.shard, len(self.shards)
        others = count - 1.0  # until this process has run for a window
        if self.now - window > self.started_at:
            others = self.contention.other_initiators(self.now, shard, count, shards, window)
        target.slow_start_share, target.slow_start_others = target.overload_backoff / (1.0 + others), others
