"""The scheduler of one initiator, described in `docs/design.md`."""

from stalltiller.scheduling import actions, events, state, target_load
from stalltiller.scheduling.admission import VolumeAdmission
from stalltiller.scheduling.settings import DeduplicationScope, Idempotency, RequestClass
from stalltiller.scheduling.state import PendingRequest, TargetState, Volume, VolumeAllocation
from stalltiller.scheduling.target_load import NEVER_EXECUTED, SLOW_RESPONSE_FRACTION, TargetLoad
from stalltiller.scheduling.targets import Target, TargetId, TargetListKind, TargetListUpdate, TargetStatus

# The window starts with the first send for a key; later sends for the same key do not extend it.
SAME_KEY_WINDOW_SECONDS = 0.03  # within it, requests for that key may exceed the concurrency limit
LATE_ATTEMPT_GRACE_SECONDS = 0.05  # an attempt may stay in flight this long past its objective
MIN_ATTEMPT_LATENCY_FACTOR = 3.0  # an attempt sent late gets at least this multiple of the mean latency
LATENCY_EXPIRY_SECONDS = 0.5  # a high latency of a target without attempts for this long is discarded
VOLUME_EXPIRY_SECONDS = 30.0  # an unused volume is removed after this: its averages have decayed by then
CLEANUP_INTERVAL_SECONDS = 5.0  # interval between removals of unused state
WATCH_RETRY_DELAY_SECONDS = 0.5  # minimum delay (maximum: twice that) before a failed watch is reopened
POLL_INTERVAL_SECONDS = 0.01  # interval between checks of queued and unassigned requests
POLL_TIMER = 1  # timer token
WATCH_TIMER = 2  # timer token
FINAL_RESPONSE_MARGIN_SECONDS = 0.02  # the final response is due this long before the deadline
MIN_LATENCY_FRACTION = 0.6  # a response takes at least this fraction of the mean latency
# No attempt starts for a client that waits no longer than this multiple of the mean latency.
MIN_CLIENT_WAIT_FACTOR = 1.2
# A request that no target has fully received in this fraction of the client's time is rejected or failed.
MAX_UNSENT_FRACTION = 0.5
# An overtaken attempt counts as lost after this multiple of its expected latency, plus the margin.
LOST_ATTEMPT_LATENCY_FACTOR = 2.0
LOST_ATTEMPT_MARGIN_SECONDS = 0.01


class Scheduler(VolumeAdmission, TargetLoad):
    """Decides which requests of one initiator are sent, queued, rejected and retried."""

    def activate(self, now: float) -> None:
        """Accrue tokens from `now` on: the previous process may have spent those that accrued before."""
        self.started_at = now

    def deactivate(self) -> None:
        """Stop accruing limit tokens: later ones belong to the next process.  Saved ones may be spent."""
        self.are_limits_refilled = False

    def handle(self, now: float, new_events: list[events.Event]) -> list[actions.Action]:
        """Handle the events of one moment and return the resulting actions in order (probes are not used)."""
        self.now, self.actions = now, []
        if not self.is_watching and not self.settings.list_pushed:
            self.is_watching = True
            self.actions.append(actions.WatchTargetList(True))
        if now - self.cleaned_up_at >= CLEANUP_INTERVAL_SECONDS:
            self._remove_unused_state()
        affected_targets: dict[TargetId, TargetState] = {}
        for event in new_events:
            affected_targets |= {
                target.target.target_id: target for target in self._dispatch(event) if target
            }
        for target_id, target in affected_targets.items():
            self._serve_queue(target)
            if self._cancel_lost_attempts(target) or target.queue:
                self.queued_targets[target_id] = target
            else:
                self.queued_targets.pop(target_id, None)
        # Checked in each batch, not only at polls: a retry may have less time left than the poll interval.
        for pending in list(self.unassigned):
            is_late = now + FINAL_RESPONSE_MARGIN_SECONDS >= min(pending.due_at, pending.deadline)
            if is_late or self._is_send_overdue(pending):
                self._reject_or_fail(pending)
        if not self.is_polling and (self.unassigned or self.queued_targets):
            self.is_polling = True
            self.actions.append(actions.SetTimer(POLL_TIMER, POLL_INTERVAL_SECONDS))
        return self.actions

    def _dispatch(self, event: events.Event) -> list[TargetState | None]:
        """Apply an event and return the targets that may send requests after it."""
        match event:
            case events.Request():
                return [self._accept(event)]
            case events.AttemptFinished():
                return [self._finish_attempt(event)]
            case events.ClientDisconnected(request_id) if request_id in self.pending:
                return [self._finish_request(self.pending[request_id])]
            case events.DeadlineShortened() | events.ResponseDue() if event.request_id in self.pending:
                return [self._handle_deadline(event, self.pending[event.request_id])]
            case events.TimerFired(token) if token == WATCH_TIMER:
                self.actions.append(actions.WatchTargetList(True))
            case events.TimerFired():
                self.is_polling = False
                return list(self.queued_targets.values())
            case events.SettingsChanged(settings):
                self._apply_settings(settings)
            case events.PeerMessage() if self.settings.may_message:
                self._handle_peer_message(event)
            case TargetListUpdate():
                self._update_targets(event)
                return list(self.queued_targets.values())
        return []

    def _update_targets(self, update: TargetListUpdate) -> None:
        """Apply an update of the target list; a draining or removed target gets no further attempts."""
        if update.kind is TargetListKind.FAILED:
            self.actions.append(
                actions.SetTimer(WATCH_TIMER, WATCH_RETRY_DELAY_SECONDS * (1 + self.rng.random()))
            )
            return
        for entry in update.targets:
            self._update_target(entry)
        listed_ids = {entry.target_id for entry in update.targets}
        for target_id, target in list(self.targets.items()):
            is_missing = update.kind is not TargetListKind.DELTA and target_id not in listed_ids
            if is_missing or target.target.status is TargetStatus.REMOVED:
                del self.targets[target_id]
            if target_id not in self.targets or target.target.status is TargetStatus.DRAINING:
                for pending in target.queue:
                    target.allocations[pending.request.volume].open_count -= 1
                self.unassigned += target.queue
                target.queue = []
                self.queued_targets.pop(target_id, None)
        self.shards = {}
        for target in self.targets.values():
            if target.target.status is TargetStatus.READY:
                self.shards.setdefault(target.target.shard, []).append(target)
        unassigned, self.unassigned = self.unassigned, []
        for pending in unassigned:
            self._enqueue(pending)

    def _update_target(self, entry: Target) -> None:
        target = self.targets.get(entry.target_id)
        if target is not None:
            if entry.started_at != target.target.started_at:
                target.concurrency_limit = state.INITIAL_CONCURRENCY
            target.target = entry
        elif entry.status is not TargetStatus.REMOVED:
            self.targets[entry.target_id] = TargetState(
                entry, SLOW_RESPONSE_FRACTION * self.min_objective, self.now
            )

    def _remove_unused_state(self) -> None:
        """Remove unused shards and volumes; a volume with a limit is kept until its bucket is full again."""
        self.cleaned_up_at = self.now
        for target in self.targets.values():
            self._reclaim_idle_grants(target)
        for volume_id, volume in list(self.volumes.items()):
            is_unused = self.now - volume.requested_at > VOLUME_EXPIRY_SECONDS
            if is_unused and self._is_limit_refilled(volume):
                del self.volumes[volume_id]
        since = self.now - max(VOLUME_EXPIRY_SECONDS, self.settings.rules.overload_window)
        self.contention.prune(since, self.volumes)
        self.ordered.remove_expired_pauses(self.now)

    def _accept(self, request: events.Request) -> TargetState | None:
        now, settings, count = self.now, self.settings, request.volume_initiator_count
        request_class = settings.classes[request.class_index]
        if settings.rules.retry_budget_window is not None:
            self.accepted.add(now, 1)
        volume = self.volumes.get(request.volume)
        is_unknown = volume is None
        if volume is None:
            volume = Volume(settings.plans[request.plan_index], count, self.started_at)
        if count > volume.initiator_count:
            volume.limit.level *= volume.initiator_count / count
            volume.initiator_count = count
        volume.demand.add(now, request.units)
        volume.requested_at = now
        client_deadline = now + request.time_remaining
        deadline = min(client_deadline, now + request.response_due_in)
        due_at = min(self._objective_due_at(request, request_class), deadline - FINAL_RESPONSE_MARGIN_SECONDS)
        key, attempts = request.idempotency_key if request_class.in_order else 0, settings.max_attempts
        unsent_until = client_deadline - MAX_UNSENT_FRACTION * request.time_remaining
        pending = PendingRequest(
            request, request_class, volume, due_at, deadline, unsent_until, key, attempts
        )
        self.pending[request.request_id] = pending
        if is_unknown and not self._has_room_for_volume():
            self._reject_or_fail(pending)
            return None
        self.volumes[request.volume] = volume
        if request.shard is not None:
            self.contention.record(now, request.shard, request.volume, count)
        self.ordered.append(key, pending)
        return self._enqueue(pending)

    def _handle_deadline(
        self, event: events.DeadlineShortened | events.ResponseDue, pending: PendingRequest
    ) -> TargetState | None:
        """Shorten the time of a request, or respond if it is over and no attempt is in flight.

        What can't be done by a shorter deadline is rejected in this batch.
        """
        if isinstance(event, events.DeadlineShortened):
            pending.deadline = min(pending.deadline, self.now + event.response_due_in)
            pending.due_at = min(pending.due_at, pending.deadline - FINAL_RESPONSE_MARGIN_SECONDS)
        elif not pending.is_finished and not pending.is_in_flight:
            self._reject_or_fail(pending)
        return pending.target

    def _objective_due_at(self, request: events.Request, request_class: RequestClass) -> float:
        """Return the time at which the latency objective, counted from the client's first try, ends.

        A retry has less time left than the longest seen for the class, but at least the objective.
        """
        name, remaining = request_class.name, request.time_remaining
        max_remaining = min(max(self.max_time_remaining[name], remaining), request_class.deadline)
        self.max_time_remaining[name] = max_remaining
        elapsed = max(0.0, max_remaining - remaining) if remaining >= request_class.latency_objective else 0.0
        return self.now + request_class.latency_objective - elapsed

    def _enqueue(self, pending: PendingRequest) -> TargetState | None:
        target = pending.target = self._choose_target(pending)
        if target is None:
            self.unassigned.append(pending)
            return None
        if pending.request.volume not in target.allocations:
            target.allocations[pending.request.volume] = VolumeAllocation(pending.volume, self.now)
        allocation = target.allocations[pending.request.volume]
        allocation.demand.add(self.now, pending.request.units)
        allocation.last_used_at = self.now
        allocation.open_count += 1
        self._update_grant(target, allocation)
        target.queue.append(pending)
        self.queued_targets[target.target.target_id] = target
        return target

    def _choose_target(self, pending: PendingRequest) -> TargetState | None:
        """Return the ready target of the shard with the shortest wait; a warming one only if all warm up."""
        shard = pending.request.shard
        candidates = self.targets.values() if shard is None else self.shards.get(shard, [])
        candidates = [
            item
            for item in candidates
            if item.target.status is TargetStatus.READY and self._may_repeat(pending, item)
        ]
        preferred = [item for item in candidates if not self._is_warming_up(item)] or candidates
        return min(preferred, key=lambda item: (item.expected_wait, item.target.target_id), default=None)

    def _serve_queue(self, target: TargetState) -> None:
        if target.target.status is not TargetStatus.READY or target.target.target_id not in self.targets:
            return
        if not target.in_flight and self.now - target.sent_at >= LATENCY_EXPIRY_SECONDS:
            # Without new attempts, a target whose latency was high once would be avoided forever.
            target.latency = min(target.latency, SLOW_RESPONSE_FRACTION * self.min_objective)
        while True:
            for pending in target.queue:
                pending.priority = self._service_priority(target, pending)
            target.queue.sort(key=lambda item: (item.priority, item.due_at, item.request.request_id))
            sendable = next((item for item in target.queue if self._may_send(target, item)), None)
            if sendable is None:
                break
            self._send(target, sendable)
        for pending in self._requests_to_shed(target):
            self._reject_or_fail(pending)

    def _may_send(self, target: TargetState, pending: PendingRequest) -> bool:
        limit, key = target.concurrency_limit, pending.request.idempotency_key
        if self.now < target.paused_until or len(target.in_flight) >= target_load.MAX_CONCURRENCY:
            return False
        # Data that a target has just accessed is cheap to access again until requests for other data follow.
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
        self._count_slow_start_units(target, request.units)
        if pending.possibly_executed_at is None:
            pending.possibly_executed_at, pending.possibly_executed_by = self.now, target
        if key and (key != target.recent_key or self.now >= target.recent_key_until):
            target.recent_key, target.recent_key_until = key, self.now + SAME_KEY_WINDOW_SECONDS
        target.paced_until = self.now + target.latency / target.concurrency_limit * (0.5 + self.rng.random())
        pending.attempt_count += 1
        pending.is_in_flight, pending.is_cancelled, pending.overtaken_count = True, False, 0
        pending.sent_at = target.sent_at = self.now
        target.queue.remove(pending)
        target.in_flight[request.request_id] = pending
        # An attempt expires soon after its objective: its slot is worth more than a late response.
        useful_until = (
            max(pending.due_at, self.now + MIN_ATTEMPT_LATENCY_FACTOR * target.latency)
            + LATE_ATTEMPT_GRACE_SECONDS
        )
        expires_at = min(pending.deadline, useful_until)
        self.actions.append(actions.StartAttempt(request.request_id, target.target.target_id, expires_at))

    def _requests_to_shed(self, target: TargetState) -> list[PendingRequest]:
        """Return queued requests to shed, by the algorithm of Moore and Hodgson.

        For each request that would miss its objective, the least valuable of it and those before it is shed.
        """
        limit, min_latency = target.concurrency_limit, target.latency * MIN_LATENCY_FRACTION
        requests_ahead = float(len(target.in_flight) >= max(1, int(limit)))
        considered, shed = list[PendingRequest](), []
        for pending in target.queue:
            considered.append(pending)
            must_be_shed = self.now + min_latency > pending.due_at or self._is_send_overdue(pending)
            must_be_shed = must_be_shed or self._will_be_abandoned(target, pending)
            starts_at = self.now + requests_ahead / max(1.0, limit) * target.latency
            if limit < 1 and pending.priority is not state.RESERVATION:
                starts_at = max(starts_at, target.paced_until)
            requests_ahead += pending.request.units / self.mean_units
            if must_be_shed or starts_at + min_latency > pending.due_at:
                cheapest = pending if must_be_shed else min(reversed(considered), key=self._value_per_unit)
                considered.remove(cheapest)
                requests_ahead -= cheapest.request.units / self.mean_units
                shed.append(cheapest)
        return shed

    def _will_be_abandoned(self, target: TargetState, pending: PendingRequest) -> bool:
        """Whether the client will time out before a response: clients that retry early would waste work."""
        expected = MIN_CLIENT_WAIT_FACTOR * target.latency * self._relative_size(pending)
        return self.now + expected >= pending.deadline - FINAL_RESPONSE_MARGIN_SECONDS

    def _is_send_overdue(self, pending: PendingRequest) -> bool:
        is_overdue = self.now + POLL_INTERVAL_SECONDS >= pending.unsent_until
        return is_overdue and not pending.has_reached_target

    def _value_per_unit(self, pending: PendingRequest) -> float:
        """Return the estimated value of a unit of a request."""
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
            allocation.last_used_at = self.now
        self._update_load(target, pending, result)
        if result.status in target_load.POSSIBLY_EXECUTED:
            self.ordered.pause(pending.ordering_key, self.now + (self.settings.rules.ordering_pause or 0.0))
        if pending.is_finished:
            self._remove_pending(pending)
        elif result.request_done:
            self._finish_request(pending)
        else:
            self._retry_or_finish(pending, result.status)
        return self.targets.get(result.target_id)

    def _cancel_lost_attempts(self, target: TargetState) -> bool:
        """Cancel overtaken attempts that are probably lost; return whether others may become lost."""
        # A connection may stall while the target, which serves requests in turn, responds to later ones.
        has_suspects = False
        for request_id, pending in target.in_flight.items():
            is_ended = pending.is_finished or pending.is_cancelled
            is_safe = pending.request_class.idempotency is Idempotency.SAFE
            if is_ended or not is_safe or pending.overtaken_count < target_load.MIN_OVERTAKEN_COUNT:
                continue
            relative = self.relative_latency.get(pending.request_class.name, 1.0)
            expected = target.latency * relative * self._relative_size(pending)
            if (
                self.now - pending.sent_at
                < LOST_ATTEMPT_LATENCY_FACTOR * expected + LOST_ATTEMPT_MARGIN_SECONDS
            ):
                has_suspects = True
            elif self.settings.may_cancel and self._has_attempts_left(pending):
                pending.is_cancelled = True
                self.actions.append(actions.CancelAttempt(request_id, pending.attempt_count - 1))
        return has_suspects

    def _has_attempts_left(self, pending: PendingRequest) -> bool:
        return pending.attempt_count < min(pending.max_attempts, self.settings.max_attempts)

    def _may_repeat(self, pending: PendingRequest, target: TargetState) -> bool:
        """Whether a request may be sent to a target without a risk of being executed twice."""
        request_class, executed_by = pending.request_class, pending.possibly_executed_by
        executed_at = pending.possibly_executed_at
        if request_class.idempotency is Idempotency.SAFE or executed_at is None or executed_by is None:
            return True
        is_late = self.now > executed_at + request_class.deduplication_window - FINAL_RESPONSE_MARGIN_SECONDS
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

    def _retry_or_finish(self, pending: PendingRequest, status: events.AttemptStatus) -> None:
        is_first = pending.attempt_count == 1
        if status in NEVER_EXECUTED:
            is_keyed = pending.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            if is_first or not is_keyed:  # only a keyed request is retried after a possible execution
                pending.possibly_executed_at = pending.possibly_executed_by = None
            if status is events.AttemptStatus.NOT_STARTED and is_first:
                pending.volume.limit.level += pending.request.units
                pending.has_spent_tokens = False
        is_in_time = self.now + FINAL_RESPONSE_MARGIN_SECONDS < pending.due_at
        can_run = pending.possibly_executed_at is None or self._choose_target(pending) is not None
        if self._has_attempts_left(pending) and is_in_time and can_run and self._has_retry_budget():
            self._enqueue(pending)
        else:
            self._reject_or_fail(pending)

    def _reject_or_fail(self, pending: PendingRequest) -> None:
        """Reject a request if a retry by the client is harmless, otherwise fail it."""
        request_id, settings, request_class = pending.request.request_id, self.settings, pending.request_class
        is_keyed = request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        is_harmless = pending.possibly_executed_at is None or request_class.idempotency is Idempotency.SAFE
        may_reject = is_harmless or (is_keyed and request_class.deduplication_scope is DeduplicationScope.ALL)
        # The longest delay that clients follow: a retry after a rejection seldom meets its objective.
        retry_after = settings.max_retry_after if settings.may_send_retry_after else 0.0
        response = actions.Reject(request_id, retry_after) if may_reject else actions.Fail(request_id)
        self.actions.append(response)
        self._finish_request(pending)

    def _finish_request(self, pending: PendingRequest) -> TargetState | None:
        if pending.is_finished:
            return None
        pending.is_finished, target = True, pending.target
        if target is not None and pending in target.queue:
            target.queue.remove(pending)
            target.allocations[pending.request.volume].open_count -= 1
        if pending in self.unassigned:
            self.unassigned.remove(pending)
        self._remove_pending(pending)
        return target

    def _remove_pending(self, pending: PendingRequest) -> None:
        if not pending.is_in_flight:
            del self.pending[pending.request.request_id]
            self.ordered.remove(pending.ordering_key, pending)
