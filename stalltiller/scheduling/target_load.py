"""Load of the targets: concurrency limit (AIMD), mean latency, pauses after rejections, and slow start."""

from stalltiller.scheduling import AttemptFinished, AttemptStatus
from stalltiller.scheduling.state import PendingRequest, SchedulerState, TargetState

MAX_CONCURRENCY = 12.0  # several times what one initiator's part of a target serves concurrently
MIN_CONCURRENCY = 0.05  # below 1, requests beyond reservations are paced, one per latency / limit
# A mean-sized response slower than this fraction of the shortest latency objective indicates a queue.
SLOW_RESPONSE_FRACTION = 0.2
# Fraction for congestion; it alone counts at a limit of 1 or less, where other initiators cause the queue.
CONGESTED_RESPONSE_FRACTION = 0.4
RELATIVE_LATENCY_GAIN = 0.02  # weight of a new response in a class's latency relative to the mean
MAX_RELATIVE_LATENCY = 10.0  # bounds the effect of a single response on a class's relative latency
MEAN_LATENCY_GAIN = 0.1  # weight of a new response in a target's mean latency: averages about the last ten
MIN_OVERTAKEN_COUNT = 3  # targets serve requests in turn: an attempt overtaken this often may be lost
# The factor on a slow-start share halves on overload, down to the minimum, and grows per good response.
BACKOFF_RECOVERY_FACTOR = 1.5
MIN_OVERLOAD_BACKOFF = 0.05
# A target is paused after a rejection; each further one doubles the pause, up to the maximum.
INITIAL_PAUSE_SECONDS = 0.03
MAX_PAUSE_SECONDS = 0.15
SLOW_START_BUDGET_FRACTION = 0.8  # the rest is a margin: arrival times differ from send times
POSSIBLY_EXECUTED = frozenset({AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED})
REJECTED_EARLY = frozenset({AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED})
NEVER_REACHED = frozenset({AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED})
NEVER_EXECUTED = REJECTED_EARLY | NEVER_REACHED


class TargetLoad(SchedulerState):
    """Estimates the capacity of each target from the results of attempts."""

    def _update_load(self, target: TargetState, pending: PendingRequest, result: AttemptFinished) -> None:
        status, size, is_ok = result.status, self._relative_size(pending), result.status is AttemptStatus.OK
        is_overtaken = pending.overtaken_count >= MIN_OVERTAKEN_COUNT
        if is_ok:
            self._update_relative_latency(target, pending, result.latency / size)
        elif status is AttemptStatus.RESET or (is_overtaken and status in POSSIBLY_EXECUTED):
            # A lost connection is no sign of load: the target responds to other requests.
            target.pause_duration = 0.0
            return
        is_congested = result.latency > CONGESTED_RESPONSE_FRACTION * self.min_objective * size
        limit = target.concurrency_limit
        is_slow = is_congested or (
            limit > 1 and result.latency > SLOW_RESPONSE_FRACTION * self.min_objective * size
        )
        if status is AttemptStatus.REJECTED or is_congested:  # a sign of more initiators than estimated
            target.overload_backoff = max(MIN_OVERLOAD_BACKOFF, target.overload_backoff / 2)
        elif is_ok:
            target.overload_backoff = min(1.0, target.overload_backoff * BACKOFF_RECOVERY_FACTOR)
        # A timeout counts as a response of the same latency: an early one does not show a slow target.
        if is_ok or (status is AttemptStatus.TIMEOUT and result.latency > target.latency):
            target.latency += MEAN_LATENCY_GAIN * (result.latency / size - target.latency)
        if status in REJECTED_EARLY or is_slow:
            if self.now - target.limit_decreased_at >= target.latency:  # once a round trip
                target.limit_decreased_at = self.now
                used_limit = min(limit, len(target.in_flight) + 1)  # the unused part is untested
                target.concurrency_limit = max(
                    MIN_CONCURRENCY if is_congested else min(1.0, limit), used_limit / 2
                )
        elif is_ok and len(target.in_flight) + 1 >= int(limit):
            target.concurrency_limit = min(MAX_CONCURRENCY, limit + min(limit, 1 / limit))
        self._update_pause(target, status)
        self._update_usage(target, pending, result)

    def _update_relative_latency(self, target: TargetState, pending: PendingRequest, latency: float) -> None:
        name = pending.request_class.name
        previous = self.relative_latency.get(name, 1.0)
        relative = min(latency / target.latency, MAX_RELATIVE_LATENCY)
        self.relative_latency[name] = previous + RELATIVE_LATENCY_GAIN * (relative - previous)
        for other in target.in_flight.values():
            if other.sent_at >= pending.sent_at:
                break
            other.overtaken_count += 1

    def _update_pause(self, target: TargetState, status: AttemptStatus) -> None:
        """Pause a target that is down or overloaded: its fast failures would use up the queue's attempts."""
        if status in REJECTED_EARLY and self.now >= target.paused_until:
            duration = max(INITIAL_PAUSE_SECONDS, 2 * target.pause_duration)
            target.pause_duration = min(MAX_PAUSE_SECONDS, duration)
            target.paused_until = self.now + target.pause_duration
        elif status not in NEVER_EXECUTED:
            target.pause_duration = 0.0

    def _update_usage(self, target: TargetState, pending: PendingRequest, result: AttemptFinished) -> None:
        volume = pending.volume
        if result.status is AttemptStatus.OK:
            self._count_slow_start_units(target, -pending.request.units)
            volume.served.add(self.now, pending.request.units)
            if result.other_units > 0:
                volume.other_demand.add(self.now, result.other_units)
        if result.volume_usage is not None and not self.settings.other_usage_reported:
            rate = max(0.0, result.volume_usage * volume.plan.rate - volume.served.rate(self.now))
            volume.other_demand.set_rate(self.now, rate)

    def _is_warming_up(self, target: TargetState) -> bool:
        started_at = target.target.started_at
        return started_at is not None and self.now - started_at < self.settings.rules.slow_start_duration

    def _count_slow_start_units(self, target: TargetState, units: float) -> None:
        """Count units sent to a warming target; a negative number counts units that it served."""
        if self._is_warming_up(target):
            target.slow_start_units.add(self.now, units)

    def _has_slow_start_budget(self, target: TargetState, units: float) -> bool:
        """Whether this initiator's share of a warming target's budget in a window covers `units`."""
        # Served units return to the budget.  A share smaller than a request admits it with the probability
        # share / request: a random threshold is drawn for each period.
        if not self._is_warming_up(target):
            return True
        rules = self.settings.rules
        window, initial = rules.overload_window, rules.slow_start_initial_fraction
        if self.now >= target.slow_start_period_ends_at:
            self._begin_slow_start_period(target, window)
        age = max(0.0, self.now - window - (target.target.started_at or 0.0))
        fraction = initial + (1 - initial) * min(1.0, age / max(rules.slow_start_duration, 1e-9))
        budget = self.settings.slow_start_units * fraction / max(initial, 1e-9) * SLOW_START_BUDGET_FRACTION
        share = target.slow_start_share
        if self.budget_fraction is not None:
            demand = sum(item.demand.rate(self.now) for item in target.allocations.values())
            share = self.budget_fraction(str(target.target.target_id), demand * window / budget)
        load = target.slow_start_units.total_since(self.now - window)
        return share * budget - load >= units * target.slow_start_threshold

    def _begin_slow_start_period(self, target: TargetState, window: float) -> None:
        # The first period has a random length, so that the periods of initiators are spread.
        is_first = target.slow_start_period_ends_at == 0.0
        target.slow_start_period_ends_at = self.now + window * (self.rng.random() if is_first else 1.0)
        target.slow_start_threshold = self.rng.random()
        count, shard, shards = self.settings.initiator_count, target.target.shard, len(self.shards)
        others = count - 1.0  # no estimate until this process has run for a window
        if self.now - window > self.started_at:
            others = self.contention.other_initiators(self.now, shard, count, shards, window)
        target.slow_start_share, target.slow_start_other_initiators = (
            target.overload_backoff / (1.0 + others),
            others,
        )
