"""Load of the targets: concurrency limit (AIMD), mean latency, pauses after rejections, and slow start."""

from stalltiller.scheduling import AttemptFinished, AttemptStatus
from stalltiller.scheduling.events import NEVER_EXECUTED, POSSIBLY_EXECUTED, REJECTED_EARLY
from stalltiller.scheduling.state import PendingRequest, SchedulerState, TargetState

MAX_CONCURRENCY = 12.0  # in flight at a target: some times what one initiator's part of it serves at once
MIN_CONCURRENCY = 0.05  # below 1, requests beyond reservations are paced, one each latency / limit
LATE_FRACTION, CONGESTED_FRACTION = 0.2, 0.4  # of the least objective: slower is a queue; is that of others
MAX_RELATIVE_LATENCY = 10.0  # a single answer counts for no more in a class's latency
CLASS_LATENCY_GAIN, MEAN_LATENCY_GAIN = 0.02, 0.1  # weight of a new answer for a class, and a target
OVERTAKEN_COUNT = 3  # answers to later sends after which an attempt may be lost: targets take turns
BACKOFF_RECOVERY, MIN_OVERLOAD_BACKOFF = 1.5, 0.05  # of the slow-start back-off: gain a good answer, least
BACKOFF_EXPONENT = 0.4  # by which it cuts the share: all initiators see a slow answer and back off together
INITIAL_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.03, 0.15  # without sends after a rejection; doubles up to this
ANY_VALUE_FRACTION = 0.5  # of a share of several requests, that is used whatever they are worth
BUDGET_FRACTION, CHANCE_FACTOR = 0.8, 0.5  # of the requests that a warming target bears, and of their root


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
        self._learn_usage(pending, result)

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

    def _learn_usage(self, pending: PendingRequest, result: AttemptFinished) -> None:
        volume = pending.volume
        if result.status is AttemptStatus.OK:
            volume.served.add(self.now, pending.request.units)
            if result.other_units > 0:
                volume.other_demand.add(self.now, result.other_units)
        if result.volume_usage is not None and not self.settings.other_usage_reported:
            rate = max(0.0, result.volume_usage * volume.plan.rate - volume.served.rate(self.now))
            volume.other_demand.set_rate(self.now, rate)

    def _is_warming_up(self, target: TargetState) -> bool:
        started_at = target.target.started_at
        return started_at is not None and self.now - started_at < self.settings.rules.slow_start_duration

    def _has_slow_start_budget(self, target: TargetState, pending: PendingRequest) -> bool:
        """Whether a request fits this initiator's share of a window; an answer returns nothing to it."""
        if not self._is_warming_up(target):
            return True
        window, shard, units = self.settings.rules.overload_window, target.target.shard, pending.request.units
        if self.now >= target.slow_start_turn_ends_at:
            self._begin_slow_start_turn(target, window)
        budget = self._slow_start_budget(target, window)
        demand = self.mean_units * self.contention.requests(self.now, shard, window, self.started_at)
        own = target.slow_start_share * budget
        if self.budget_fraction is not None:
            own = budget * self.budget_fraction(str(target.target.target_id), demand / max(budget, 1e-9))
        if pending.fits_slow_start is None:  # decided once a turn: tries would add up to more than the share
            rank = self.recent_values.rank(self._value(pending), units, self.rng.random())
            pending.fits_slow_start = rank * max(demand, self.mean_units) <= own
        load = target.slow_start_units.total_since(self.now - window)
        return load + units <= (max(own, units) if pending.fits_slow_start else ANY_VALUE_FRACTION * own)

    def _slow_start_budget(self, target: TargetState, window: float) -> float:
        """Units that all initiators together may send to a target in a window."""
        rules, initial = self.settings.rules, self.settings.rules.slow_start_initial_fraction
        age = max(0.0, self.now - window - (target.target.started_at or 0.0))
        fraction = initial + (1 - initial) * min(1.0, age / max(rules.slow_start_duration, 1e-9))
        borne = self.settings.slow_start_units * fraction / max(initial, 1e-9) / self.mean_units
        return (BUDGET_FRACTION * borne + CHANCE_FACTOR * borne**0.5) * self.mean_units

    def _begin_slow_start_turn(self, target: TargetState, window: float) -> None:
        target.slow_start_turn_ends_at = self.now + window
        for pending in target.queue:
            pending.fits_slow_start = None
        count, shard, shards = self.settings.initiator_count, target.target.shard, len(self.shards)
        others = count - 1.0  # until this process has run for a window
        if self.now - window > self.started_at:
            others = self.contention.other_initiators(self.now, shard, count, shards, window)
        backoff = target.overload_backoff**BACKOFF_EXPONENT
        target.slow_start_share, target.slow_start_others = backoff / (1.0 + others), others
