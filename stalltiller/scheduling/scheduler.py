"""The scheduler of one initiator: it turns timed events into actions.  `docs/design.md` explains it."""

from stalltiller.scheduling import actions, events, state, target_load
from stalltiller.scheduling.admission import VolumeAdmission
from stalltiller.scheduling.settings import DeduplicationScope, Idempotency, RequestClass
from stalltiller.scheduling.state import PendingRequest, TargetState, Volume, VolumeAllocation
from stalltiller.scheduling.target_load import LATE_FRACTION, NEVER_EXECUTED, TargetLoad
from stalltiller.scheduling.targets import Target, TargetId, TargetListKind, TargetListUpdate, TargetStatus

SAME_KEY_SECONDS = 0.03  # from a first send, in which requests for the same data may pass the limit
LATE_PATIENCE_SECONDS = 0.05  # past its objective for which an attempt may still use the limit
MIN_ATTEMPT_FACTOR = 3.0  # of the mean latency: an attempt sent late gets at least this long
UNTRIED_SECONDS = 0.5  # without an attempt after which a target's known latency is forgotten
FORGET_SECONDS = 30.0  # after its last request, when a volume is forgotten: its averages are gone by then
SWEEP_SECONDS = 5.0  # between checks for what can be forgotten
WATCH_RETRY_SECONDS = 0.5  # (and up to twice that) until a failed watch is opened again
POLL_SECONDS = 0.01  # between checks of waiting requests
POLL_TIMER, WATCH_TIMER = 1, 2  # tokens
ANSWER_MARGIN_SECONDS = 0.02  # before the deadline, at which a pending request is failed at the latest
REACH_FRACTION = 0.6  # of the mean latency: the least that a request in reach of its objective needs
ABANDONED_FACTOR = 1.2  # of the mean latency: a client that waits no longer than this gets no attempt
UNSENT_FRACTION = 0.5  # of a client's time: a request of which no target had the whole by then is given up
LOST_FACTOR, LOST_MARGIN_SECONDS = 2.0, 0.01  # of what an overtaken attempt expectedly takes, and on top


class Scheduler(VolumeAdmission, TargetLoad):
    """The decisions of one initiator: `handle` turns timed events into actions."""

    def activate(self, now: float) -> None:
        """Count tokens from now on.  Guards against spending what the process before has spent already."""
        self.started_at = now

    def deactivate(self) -> None:
        """Spend what was saved up: tokens that accrue from now on are another process's."""
        self.are_limits_refilled = False

    def handle(self, now: float, new_events: list[events.Event]) -> list[actions.Action]:
        """Take the events of one moment and return what to do about them, in order (probes are not used)."""
        self.now, self.actions = now, []
        if not self.is_watching and not self.settings.list_pushed:
            self.is_watching = True
            self.actions.append(actions.WatchTargetList(True))
        if now - self.swept_at >= SWEEP_SECONDS:
            self._forget_unused()
        touched: dict[TargetId, TargetState] = {}
        for event in new_events:
            touched |= {target.target.target_id: target for target in self._dispatch(event) if target}
        for target_id, target in touched.items():
            self._serve(target)
            if self._cancel_lost_attempts(target) or target.queue:
                self.queued[target_id] = target
            else:
                self.queued.pop(target_id, None)
        for pending in list(self.waiting):  # at once: a later try may have less time left than a poll takes
            is_late = now + ANSWER_MARGIN_SECONDS >= min(pending.due_at, pending.deadline)
            if is_late or self._is_unsent_too_long(pending):
                self._give_up(pending)
        if not self.is_polling and (self.waiting or self.queued):
            self.is_polling = True
            self.actions.append(actions.SetTimer(POLL_TIMER, POLL_SECONDS))
        return self.actions

    def _dispatch(self, event: events.Event) -> list[TargetState | None]:
        """Apply an event; returns the targets that may serve requests after it."""
        match event:
            case events.Request():
                return [self._accept(event)]
            case events.AttemptFinished():
                return [self._finish_attempt(event)]
            case events.ClientDisconnected(request_id) if request_id in self.pending:
                return [self._close(self.pending[request_id])]
            case events.TimerFired(token) if token == WATCH_TIMER:
                self.actions.append(actions.WatchTargetList(True))
            case events.TimerFired():
                self.is_polling = False
                return list(self.queued.values())
            case events.SettingsChanged(settings):
                self._apply_settings(settings)
            case events.PeerMessage() if self.settings.may_message:
                self._handle_peer_message(event)
            case TargetListUpdate():
                self._update_targets(event)
                return list(self.queued.values())
        return []

    def _update_targets(self, update: TargetListUpdate) -> None:
        """Follow the list; a target that drains or is removed gets nothing more from this moment."""
        if update.kind is TargetListKind.FAILED:
            self.actions.append(actions.SetTimer(WATCH_TIMER, WATCH_RETRY_SECONDS * (1 + self.rng.random())))
            return
        for entry in update.targets:
            self._update_target(entry)
        named = {entry.target_id for entry in update.targets}
        for target_id, target in list(self.targets.items()):
            is_left_out = update.kind is not TargetListKind.DELTA and target_id not in named
            if is_left_out or target.target.status is TargetStatus.REMOVED:
                del self.targets[target_id]
            if target_id not in self.targets or target.target.status is TargetStatus.DRAINING:
                for pending in target.queue:
                    target.allocations[pending.request.volume].open_count -= 1
                self.waiting += target.queue
                target.queue = []
                self.queued.pop(target_id, None)
        self.shards = {}
        for target in self.targets.values():
            if target.target.status is TargetStatus.READY:
                self.shards.setdefault(target.target.shard, []).append(target)
        waiting, self.waiting = self.waiting, []
        for pending in waiting:
            self._enqueue(pending)

    def _update_target(self, entry: Target) -> None:
        target = self.targets.get(entry.target_id)
        if target is not None:
            if entry.started_at != target.target.started_at:
                target.concurrency_limit = state.INITIAL_CONCURRENCY
            target.target = entry
        elif entry.status is not TargetStatus.REMOVED:
            self.targets[entry.target_id] = TargetState(entry, LATE_FRACTION * self.min_objective, self.now)

    def _forget_unused(self) -> None:
        """Forget what nobody requests any more; a volume not until its limit's bucket is full again."""
        self.swept_at = self.now
        for target in self.targets.values():
            self._reclaim_idle_grants(target)
        for volume_id, volume in list(self.volumes.items()):
            unused_for, plan = self.now - volume.requested_at, volume.plan
            if unused_for > FORGET_SECONDS and (plan.limit <= 0 or unused_for * plan.limit >= plan.burst):
                del self.volumes[volume_id]
        since = self.now - max(FORGET_SECONDS, self.settings.rules.overload_window)
        self.contention.forget(since, self.volumes)
        self.ordered.forget_pauses(self.now)

    def _accept(self, request: events.Request) -> TargetState | None:
        now, settings, count = self.now, self.settings, request.volume_initiator_count
        request_class = settings.classes[request.class_index]
        if settings.rules.retry_budget_window is not None:
            self.accepted.add(now, 1)
        if request.volume not in self.volumes:
            self.volumes[request.volume] = Volume(settings.plans[request.plan_index], count, self.started_at)
        volume = self.volumes[request.volume]
        if count > volume.initiator_count:
            volume.limit.level *= volume.initiator_count / count
            volume.initiator_count = count
        volume.demand.add(now, request.units)
        volume.requested_at = now
        deadline = now + request.time_remaining
        due_at = min(self._objective_ends_at(request, request_class), deadline - ANSWER_MARGIN_SECONDS)
        key, attempts = request.idempotency_key if request_class.in_order else 0, settings.max_attempts
        pending = PendingRequest(request, request_class, volume, due_at, deadline, key, attempts)
        self.pending[request.request_id] = pending
        if request.shard is not None:
            self.contention.record(now, request.shard, request.volume, count)
        self.ordered.append(key, pending)
        return self._enqueue(pending)

    def _objective_ends_at(self, request: events.Request, request_class: RequestClass) -> float:
        """Counted from a client's first try: a later one has less time left, but at least the objective."""
        name, remaining = request_class.name, request.time_remaining
        longest = min(max(self.max_time_remaining[name], remaining), request_class.deadline)
        self.max_time_remaining[name] = longest
        elapsed = max(0.0, longest - remaining) if remaining >= request_class.latency_objective else 0.0
        return self.now + request_class.latency_objective - elapsed

    def _enqueue(self, pending: PendingRequest) -> TargetState | None:
        target = pending.target = self._choose_target(pending)
        if target is None:
            self.waiting.append(pending)
            return None
        if pending.request.volume not in target.allocations:
            target.allocations[pending.request.volume] = VolumeAllocation(pending.volume, self.now)
        allocation = target.allocations[pending.request.volume]
        allocation.demand.add(self.now, pending.request.units)
        allocation.used_at = self.now
        allocation.open_count += 1
        self._update_grant(target, allocation)
        target.queue.append(pending)
        self.queued[target.target.target_id] = target
        return target

    def _choose_target(self, pending: PendingRequest) -> TargetState | None:
        """The ready target of the shard that would answer first; one that warms up only if all do."""
        shard = pending.request.shard
        found = self.targets.values() if shard is None else self.shards.get(shard, [])
        found = [t for t in found if t.target.status is TargetStatus.READY and self._may_repeat(pending, t)]
        warm = [target for target in found if not self._is_warming_up(target)] or found
        return min(warm, key=lambda t: (t.expected_wait, t.target.target_id), default=None)

    def _serve(self, target: TargetState) -> None:
        if target.target.status is not TargetStatus.READY or target.target.target_id not in self.targets:
            return
        if not target.in_flight and self.now - target.sent_at >= UNTRIED_SECONDS:
            # Guards against a target avoided for good: never tried again, it is never seen to have recovered.
            target.latency = min(target.latency, LATE_FRACTION * self.min_objective)
        while True:
            for pending in target.queue:
                pending.priority = self._service_priority(target, pending)
            target.queue.sort(key=lambda item: (item.priority, item.due_at, item.request.request_id))
            first = next((item for item in target.queue if self._may_send(target, item)), None)
            if first is None:
                break
            self._send(target, first)
        for pending in self._requests_to_shed(target):
            self._give_up(pending)

    def _may_send(self, target: TargetState, pending: PendingRequest) -> bool:
        limit, key = target.concurrency_limit, pending.request.idempotency_key
        if self.now < target.paused_until or len(target.in_flight) >= target_load.MAX_CONCURRENCY:
            return False
        # What a target has just taken is cheap for it to take again, but not after others' requests.
        is_recent = key == target.recent_key and self.now < target.recent_key_until
        if pending.attempt_count or pending.priority is state.BEST_EFFORT or not is_recent:
            is_paced = limit < 1 and pending.priority is not state.RESERVATION
            if len(target.in_flight) >= max(1, int(limit)) or (is_paced and self.now < target.paced_until):
                return False
        is_first_of_key = self.ordered.may_run(pending.ordering_key, pending, self.now)
        if not is_first_of_key or self._will_be_abandoned(target, pending):
            return False
        if pending.attempt_count and not (self._may_repeat(pending, target) and self._has_retry_budget()):
            return False
        has_tokens = pending.has_spent_tokens or self._has_limit_tokens(pending)
        return has_tokens and self._has_slow_start_budget(target, pending.request.units)

    def _send(self, target: TargetState, pending: PendingRequest) -> None:
        request, volume, key = pending.request, pending.volume, pending.request.idempotency_key
        if pending.attempt_count and self.settings.rules.retry_budget_window is not None:
            self.retries.add(self.now, 1)
        if not pending.has_spent_tokens:
            pending.has_spent_tokens = True
            volume.limit.level -= request.units
            if pending.priority is state.RESERVATION:
                volume.reservation.level -= request.units
            target.allocations[request.volume].bucket.level -= request.units
        self._count_slow_start(target, request.units)
        if pending.possibly_executed_at is None:
            pending.possibly_executed_at, pending.possibly_executed_by = self.now, target
        if key and (key != target.recent_key or self.now >= target.recent_key_until):
            target.recent_key, target.recent_key_until = key, self.now + SAME_KEY_SECONDS
        target.paced_until = self.now + target.latency / target.concurrency_limit * (0.5 + self.rng.random())
        pending.attempt_count += 1
        pending.is_in_flight, pending.is_cancelled, pending.overtaken_count = True, False, 0
        pending.sent_at = target.sent_at = self.now
        target.queue.remove(pending)
        target.in_flight[request.request_id] = pending
        # An attempt is given up soon after its objective: its place is worth more than a late answer.
        wanted = max(pending.due_at, self.now + MIN_ATTEMPT_FACTOR * target.latency) + LATE_PATIENCE_SECONDS
        expires_at = min(pending.deadline, wanted)
        self.actions.append(actions.StartAttempt(request.request_id, target.target.target_id, expires_at))

    def _requests_to_shed(self, target: TargetState) -> list[PendingRequest]:
        """The least valuable of each request out of reach and those before it (Moore and Hodgson)."""
        limit, reach = target.concurrency_limit, target.latency * REACH_FRACTION
        ahead = float(len(target.in_flight) >= max(1, int(limit)))
        considered, shed = list[PendingRequest](), []
        for pending in target.queue:
            considered.append(pending)
            is_out_of_reach = self.now + reach > pending.due_at or self._is_unsent_too_long(pending)
            is_out_of_reach = is_out_of_reach or self._will_be_abandoned(target, pending)
            start = self.now + ahead / max(1.0, limit) * target.latency
            if limit < 1 and pending.priority is not state.RESERVATION:
                start = max(start, target.paced_until)
            ahead += pending.request.units / self.mean_units
            if is_out_of_reach or start + reach > pending.due_at:
                cheapest = pending if is_out_of_reach else min(reversed(considered), key=self._value)
                considered.remove(cheapest)
                ahead -= cheapest.request.units / self.mean_units
                shed.append(cheapest)
        return shed

    def _will_be_abandoned(self, target: TargetState, pending: PendingRequest) -> bool:
        """Guards against clients that give up early and repeat at once: work for them serves nobody."""
        expected = ABANDONED_FACTOR * target.latency * self._relative_size(pending)
        return self.now + expected >= pending.deadline - ANSWER_MARGIN_SECONDS

    def _is_unsent_too_long(self, pending: PendingRequest) -> bool:
        unsent_until = pending.deadline - UNSENT_FRACTION * pending.request.time_remaining
        return not pending.has_reached_target and self.now + POLL_SECONDS >= unsent_until

    def _value(self, pending: PendingRequest) -> float:
        """What a unit of a request earns, as far as this initiator can tell."""
        factors = (1.0, self.settings.within_share_weight, self.settings.beyond_share_weight)
        weight = factors[pending.priority] * pending.request_class.priority_weight
        return weight * pending.volume.plan.price_weight

    def _finish_attempt(self, result: events.AttemptFinished) -> TargetState | None:
        pending = self.pending.get(result.request_id)
        if pending is None or pending.target is None or not pending.is_in_flight:
            return None
        pending.is_in_flight, target = False, pending.target
        pending.has_reached_target |= result.status not in target_load.NEVER_REACHED
        target.in_flight.pop(result.request_id, None)
        allocation = target.allocations.get(pending.request.volume)
        if allocation is not None:
            allocation.open_count -= 1
            allocation.used_at = self.now
        self._learn(target, pending, result)
        if result.status in target_load.POSSIBLY_EXECUTED:
            self.ordered.pause(pending.ordering_key, self.now + (self.settings.rules.ordering_pause or 0.0))
        if pending.is_finished:
            self._forget(pending)
        elif result.request_done:
            self._close(pending)
        else:
            self._retry_or_give_up(pending, result.status)
        return self.targets.get(result.target_id)

    def _cancel_lost_attempts(self, target: TargetState) -> bool:
        """Cancel attempts that a target's later answers have overtaken; whether some may become lost."""
        # Guards against connections that fall silent while the target answers what was sent after, in turn.
        has_suspects = False
        for request_id, pending in target.in_flight.items():
            is_over = pending.is_finished or pending.is_cancelled
            is_safe = pending.request_class.idempotency is Idempotency.SAFE
            if is_over or not is_safe or pending.overtaken_count < target_load.OVERTAKEN_COUNT:
                continue
            relative = self.relative_latency.get(pending.request_class.name, 1.0)
            expected = target.latency * relative * self._relative_size(pending)
            if self.now - pending.sent_at < LOST_FACTOR * expected + LOST_MARGIN_SECONDS:
                has_suspects = True
            elif self.settings.may_cancel and self._has_attempts_left(pending):
                pending.is_cancelled = True
                self.actions.append(actions.CancelAttempt(request_id, pending.attempt_count - 1))
        return has_suspects

    def _has_attempts_left(self, pending: PendingRequest) -> bool:
        return pending.attempt_count < min(pending.max_attempts, self.settings.max_attempts)

    def _may_repeat(self, pending: PendingRequest, target: TargetState) -> bool:
        """Whether a request that may have run may go to a target (rule: no duplicated effect)."""
        request_class, executed_by = pending.request_class, pending.possibly_executed_by
        executed_at = pending.possibly_executed_at
        if request_class.idempotency is Idempotency.SAFE or executed_at is None or executed_by is None:
            return True
        is_late = self.now > executed_at + request_class.deduplication_window - ANSWER_MARGIN_SECONDS
        if request_class.idempotency is Idempotency.UNSAFE or is_late:
            return False
        scope, first, other = request_class.deduplication_scope, executed_by.target, target.target
        is_same_zone, is_same_shard = other.zone == first.zone, other.shard == first.shard
        is_in_scope = is_same_zone if scope is DeduplicationScope.ZONE else is_same_shard
        return is_in_scope or scope is DeduplicationScope.ALL or other.target_id == first.target_id

    def _has_retry_budget(self) -> bool:
        rules = self.settings.rules
        base, fraction = rules.retry_budget_base, rules.retry_budget_fraction
        if rules.retry_budget_window is None:
            return True
        start = self.now - rules.retry_budget_window
        allowed = (base or 0) + (fraction or 0) * self.accepted.total_since(start)
        return self.retries.total_since(start) + 1 <= allowed or (base is None and fraction is None)

    def _retry_or_give_up(self, pending: PendingRequest, status: events.AttemptStatus) -> None:
        is_first = pending.attempt_count == 1
        if status in NEVER_EXECUTED:
            is_keyed = pending.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            if is_first or not is_keyed:  # only a keyed request is sent again after one that may have run
                pending.possibly_executed_at = pending.possibly_executed_by = None
            if status is events.AttemptStatus.NOT_STARTED and is_first:
                pending.volume.limit.level += pending.request.units
                pending.has_spent_tokens = False
        is_in_time = self.now + ANSWER_MARGIN_SECONDS < pending.due_at
        can_run = pending.possibly_executed_at is None or self._choose_target(pending) is not None
        if self._has_attempts_left(pending) and is_in_time and can_run and self._has_retry_budget():
            self._enqueue(pending)
        else:
            self._give_up(pending)

    def _give_up(self, pending: PendingRequest) -> None:
        """Reject a request where that is harmless, else fail it."""
        request_id, settings, request_class = pending.request.request_id, self.settings, pending.request_class
        is_keyed = request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        is_harmless = pending.possibly_executed_at is None or request_class.idempotency is Idempotency.SAFE
        may_reject = is_harmless or (is_keyed and request_class.deduplication_scope is DeduplicationScope.ALL)
        # The longest delay that clients heed: a try after a rejection seldom has its objective in reach.
        retry_after = settings.max_retry_after if settings.may_send_retry_after else 0.0
        answer = actions.Reject(request_id, retry_after) if may_reject else actions.Fail(request_id)
        self.actions.append(answer)
        self._close(pending)

    def _close(self, pending: PendingRequest) -> TargetState | None:
        if pending.is_finished:
            return None
        pending.is_finished, target = True, pending.target
        if target is not None and pending in target.queue:
            target.queue.remove(pending)
            target.allocations[pending.request.volume].open_count -= 1
        if pending in self.waiting:
            self.waiting.remove(pending)
        self._forget(pending)
        return target

    def _forget(self, pending: PendingRequest) -> None:
        if not pending.is_in_flight:
            del self.pending[pending.request.request_id]
            self.ordered.remove(pending.ordering_key, pending)
