"""Every decision of a stalltiller gateway.  Settings, events and actions are in `interface.py`.

Per node the gateway holds a capacity, a sum of grants and a reserve (reserve-based admission, RAC); a volume
turning active is granted its full ask, or under congestion a weighted share of the free reserve.  Requests
leave earliest due first through a per-node AIMD window.  `docs/design.md` tells what was kept of the source.
"""

from __future__ import annotations

import random
import struct
from collections import deque
from collections.abc import Callable

from stalltiller.common.decaying_mean import DecayingMean
from stalltiller.common.token_bucket import TokenBucket
from stalltiller.scheduling.actions import (
    Action,
    CancelAttempt,
    Fail,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchTargetList,
)
from stalltiller.scheduling.contention import DEMAND_SPAN, ContentionEstimator
from stalltiller.scheduling.events import (
    AttemptFinished,
    AttemptStatus,
    ClientDisconnected,
    Event,
    PeerMessage,
    Request,
    SettingsChanged,
    TimerFired,
)
from stalltiller.scheduling.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from stalltiller.scheduling.targets import Target, TargetId, TargetListKind, TargetListUpdate, TargetStatus

# --- The design's figures -------------------------------------------------------------------------
RESERVE_SHARE = 0.30  # of capacity: the reserve when whole (the design's start value)
K1, K2_SHARE = 2.0, 1.0  # psi's base, and k2 over 1/capacity: a grant halves for each 1/k2 of reserve in use
RELEASE_EVERY, RELEASE_SHARE = 2.0, 0.1  # s without a congested test until this share of the reserve goes
RETEST_EVERY = 0.5  # s between tests of an active volume: asks change and capacity is not steady
IDLE_AFTER = 1.0  # s without work at a node after which a volume is idle there
# --- Window ---------------------------------------------------------------------------------------
CEILING = 12.0  # requests out at one node: some times what one gateway's part of a node can serve at once
RUN_SPAN = 0.03  # s from its first send in which more requests for the same data may follow past the window
FLOOR = 0.05  # requests: below one, sends beyond reservations are paced, one each latency / window
START_WINDOW = 4.0  # requests: a guess between floor and ceiling until answers tell
LATE_SHARE = 0.2  # of the tightest aim: a mean-sized answer slower than this shows a queue at the node
DEEP_SHARE = 0.4  # of the tightest aim: the same where the window is one or less and the queue is others'
SLOW_GAIN = 0.02  # weight of a new answer in what a class takes over the mean
MEAN_GAIN = 0.1  # weight of a new answer in a node's mean latency: about the last ten count
REACH_SHARE = 0.6  # of the mean latency: the least a request needs to be held to be in reach of its aim
WAIT_SHARE = 1.2  # of the mean latency: a client that will not wait this long for an answer gets no attempt
LATE_PATIENCE = 0.05  # s past its aim for which an attempt may still hold its place in the window
LONG_SHARE = 3.0  # of the mean latency: an attempt sent late gets at least this long
UNTRIED = 0.5  # s without an attempt after which what is known of a node's latency is forgotten
PASSED = 3  # answers to later sends at the same node after which an attempt may be lost: nodes take turns
LOST_SHARE, LOST_MARGIN = 2.0, 0.01  # of what such an attempt takes as a rule, and s on top: then it is lost
# --- Buckets and estimates ------------------------------------------------------------------------
PRIOR_UNITS = 3.0  # mean requests' worth of belief in the even split before any news
FORGET_AFTER = 30.0  # s after its last request at which a volume is forgotten: by then its averages are gone
SWEEP_EVERY = 5.0  # s between looks for what can be forgotten
KEEP_SHARE = 0.9  # of a limit's burst, less a largest request, that only the classes worth most may spend
BUCKET_DEPTH = 1.0  # s of a grant or reservation slice that may be saved up, plus one largest request
# --- Leases of limit tokens, where gateways may talk ------------------------------------------------
LEASE_EVERY = 0.06  # s between asks of a gateway short of tokens: a few times a message's way and back
LEASE_SLOWEST = 1.0  # s: asks that bring nothing come half as often each time, down to this
LEASE_ASKS = 3  # gateways asked at once
LEASE_KEEP = 0.5  # s of its own demand that a lender keeps
LEASE_PARTS = 16  # of a unit: tokens travel in whole parts, rounded down
MESSAGE = struct.Struct("<BQIH")  # kind, volume, number of the ask, parts of units
ASK, GRANT = 1, 2  # kinds of message
# --- Time -----------------------------------------------------------------------------------------
POLL = 0.01  # s between looks at waiting requests
HALF = 0.5  # of a client's time: a request of which no node had the whole by then is given up
ANSWER_MARGIN = 0.02  # s before the deadline at which a held request is failed at the latest
COLD_SAFETY = 0.8  # of the cold budget that is used: arrival times at the node differ from send times
COLD_EASE, COLD_LEAST = 1.5, 0.05  # a part halved by a full or slow cold node: gain a good answer, least
SUBSCRIBE_AFTER = 0.5  # s (and up to twice that) until a failed subscription is opened again
PAUSE_FIRST, PAUSE_LONGEST = 0.03, 0.15  # s without sends to a node that refused unseen; doubles up to this
TIMER_POLL, TIMER_WATCH = 1, 2  # timer tokens
NEVER_EXECUTED = (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED)
UNSURE_END = (AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED)
IN_RESERVATION, IN_GRANT, BEYOND = 0, 1, 2  # order of service when the window is full


class Volume:
    """What a gateway knows of one volume over all nodes."""

    def __init__(self, plan: Plan, hosts: int, now: float) -> None:
        self.plan, self.initiator_count = plan, hosts
        self.limit = TokenBucket(0.0, now)
        self.reservation = TokenBucket(0.0, now)
        self.demand = DecayingMean(now, DEMAND_SPAN)
        self.others = DecayingMean(now, DEMAND_SPAN)
        self.served = DecayingMean(now, DEMAND_SPAN)
        self.asked_at = now
        self.peers: list[int] = []  # gateways known to serve it too
        self.ask, self.answered = -1, [0]  # number of the last ask for tokens; who granted some
        self.ask_at = self.cry_at = now
        self.ask_gap = self.cry_gap = LEASE_EVERY


class VolumeAllocation:
    """A volume's standing at one node: the grant and what was drawn from it."""

    def __init__(self, volume: Volume, now: float) -> None:
        self.volume = volume
        self.grant = self.ask = 0.0
        self.bucket = TokenBucket(0.0, now)
        self.demand = DecayingMean(now, DEMAND_SPAN)
        self.busy_at, self.tested_at, self.open = now, -1e9, 0


class TargetState:
    """One node: its list entry, window, latency, reserve, grants and queue."""

    def __init__(self, entry: Target, latency: float, now: float) -> None:
        self.target = entry
        self.concurrency_limit, self.latency = START_WINDOW, latency
        self.in_flight_count = 0
        self.sent_at = now  # last
        self.cut_at = now
        self.allocations: dict[int, VolumeAllocation] = {}
        self.reserve = RESERVE_SHARE  # as a share of capacity
        self.quiet_at = now
        self.queue: list[PendingRequest] = []
        self.in_flight: dict[int, PendingRequest] = {}  # attempts that are out, in the order of their sends
        self.cold: deque[tuple[float, float]] = deque()  # (time, units) while cold; served ones below 0
        self.cold_net = 0.0  # units of the above within the rule's span
        self.cold_until = self.cold_part = self.cold_luck = 0.0  # this gateway's turn: end, part, draw
        self.paused = self.paused_until = self.paced_until = 0.0
        self.ease = 1.0  # of the part that the crowd leaves this gateway while the node is cold
        self.run_key, self.run_until = 0, 0.0  # the data last asked for, and until when it may be again


class PendingRequest:
    """A request that this gateway has taken and not yet answered."""

    def __init__(
        self, r: Request, cls: RequestClass, volume: Volume, due: float, deadline: float, most: int
    ) -> None:
        self.r, self.cls, self.volume, self.due, self.deadline = r, cls, volume, due, deadline
        self.attempts, self.out, self.most = 0, 0, most  # most: attempts, by the settings when it came
        self.node: TargetState | None = None  # where it waits or runs
        self.unsure_at: float | None = None  # send time of the first attempt that may have run
        self.unsure_node: TargetState | None = None
        self.over = self.drawn = self.landed = False  # landed: an attempt went whole to a node
        self.sent_at, self.passed = 0.0, 0  # of the last attempt; answers to later sends that came first
        self.cancelled, self.place = False, IN_RESERVATION
        self.half = deadline - HALF * r.time_remaining


class Scheduler:
    """The decisions of one gateway: `handle` turns timed events into actions."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.random = random.Random(seed)
        self.now = now
        self.targets: dict[TargetId, TargetState] = {}
        self.shards: dict[int, list[TargetState]] = {}
        self.volumes: dict[int, Volume] = {}
        self.pending: dict[int, PendingRequest] = {}  # those answered, too, while attempts are out
        self.contention = ContentionEstimator()
        self.budget_fraction: Callable[[str, float], float] | None = (
            None  # a fleet's: part of a budget, by part needed
        )
        self.waiting: list[PendingRequest] = []  # no node holds their shard now
        self.orders: dict[int, deque[PendingRequest]] = {}
        self.rest_until: dict[int, float] = {}
        self.extra: deque[float] = deque()
        self.taken: deque[float] = deque()
        self.slowness: dict[str, float] = {}  # by class: what an attempt takes, over the node's mean latency
        self.full_left: dict[str, float] = {}  # by class
        self._retune(settings)
        self.queued: dict[TargetId, TargetState] = {}  # nodes with requests in line: the others cost nothing
        self.polling = False
        self.started = self.swept_at = now
        self.watching, self.filling = False, True  # filling: the buckets of the limits
        self.actions: list[Action] = []

    def _retune(self, settings: Settings) -> None:
        """Go by other settings; what is known of a class or plan stays with its name."""
        self.settings = settings
        self.mean = max(settings.mean_units, 1e-9)  # units of a usual request
        self.best = max(c.priority_weight for c in settings.classes)
        self.tightest = min(
            (c.latency_objective for c in settings.classes if c.latency_objective > 0), default=1.0
        )
        self.slowness = {c.name: self.slowness.get(c.name, 1.0) for c in settings.classes}
        self.full_left = {c.name: self.full_left.get(c.name, 0.0) for c in settings.classes}
        plans = {plan.name: plan for plan in settings.plans}
        for volume in self.volumes.values():
            volume.plan = plans.get(volume.plan.name, volume.plan)

    def activate(self, now: float) -> None:
        """Count tokens from now on.  Guards against spending what the process before has spent already."""
        self.started = now

    def deactivate(self) -> None:
        self.filling = False  # spend what was saved up: what comes in from now on is another process's

    # --- Entry ------------------------------------------------------------------------------------
    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Take the events of one moment and return what to do about them, in order (probes are not used)."""
        self.now, self.actions = now, []
        if not self.watching and not self.settings.list_pushed:
            self.watching = True
            self.actions.append(WatchTargetList(True))
        if now - self.swept_at >= SWEEP_EVERY:
            self._sweep()
        touched: dict[TargetId, TargetState] = {}
        for event in events:
            node = None
            if isinstance(event, Request):
                node = self._take(event)
            elif isinstance(event, AttemptFinished):
                node = self._outcome(event)
            elif isinstance(event, TimerFired):
                if event.token == TIMER_WATCH:
                    self.actions.append(WatchTargetList(True))
                else:
                    self.polling = False
                    touched.update(self.queued)
            elif isinstance(event, SettingsChanged):
                self._retune(event.settings)
            elif isinstance(event, PeerMessage) and self.settings.may_message:
                self._message(event)
            elif isinstance(event, TargetListUpdate):
                self._list_news(event)
                touched.update(self.queued)
            elif isinstance(event, ClientDisconnected):
                held = self.pending.get(event.request_id)
                if held is not None and not held.over:
                    node = held.node
                    self._close(held)
            if node is not None:
                touched[node.target.target_id] = node
        for name, node in touched.items():
            self._serve(node)
            if self._drop_lost(node) or node.queue:
                self.queued[name] = node
            else:
                self.queued.pop(name, None)
        if self.waiting:  # at once, too: a later try may arrive with less time left than a poll takes
            self._poll()
        if not self.polling and (self.waiting or self.queued):
            self.polling = True
            self.actions.append(SetTimer(TIMER_POLL, POLL))
        return self.actions

    # --- Node list --------------------------------------------------------------------------------
    def _list_news(self, news: TargetListUpdate) -> None:
        """Follow the list; a node that drains or is gone gets nothing more from this moment."""
        if news.kind is TargetListKind.FAILED:
            self.actions.append(SetTimer(TIMER_WATCH, SUBSCRIBE_AFTER * (1 + self.random.random())))
            return
        listed = {entry.target_id: entry for entry in news.targets}
        for entry in news.targets:
            node = self.targets.get(entry.target_id)
            if node is None and entry.status is not TargetStatus.REMOVED:
                self.targets[entry.target_id] = TargetState(entry, LATE_SHARE * self.tightest, self.now)
            elif node is not None:
                if entry.started_at != node.target.started_at:
                    node.concurrency_limit = START_WINDOW
                node.target = entry
        for name, node in list(self.targets.items()):
            entry = listed.get(name)
            missing = entry is None and news.kind is not TargetListKind.DELTA
            if missing or (entry is not None and entry.status is TargetStatus.REMOVED):
                del self.targets[name]
                self._strand(node)
            elif node.target.status is TargetStatus.DRAINING:
                self._strand(node)
        self.shards = {}
        for node in self.targets.values():
            if node.target.status is TargetStatus.READY:
                self.shards.setdefault(node.target.shard, []).append(node)
        again, self.waiting = self.waiting, []
        for held in again:
            self._enqueue(held)

    def _strand(self, node: TargetState) -> None:
        for held in node.queue:
            node.allocations[held.r.volume].open -= 1
        self.waiting += node.queue
        node.queue = []
        self.queued.pop(node.target.target_id, None)

    def _cold(self, node: TargetState) -> bool:
        started = node.target.started_at
        return started is not None and self.now - started < self.settings.rules.slow_start_duration

    def _cold_room(self, node: TargetState, units: float) -> bool:
        """Whether that many units may go to a cold node within the rule's span.  All share what is borne in
        any case, growing with the slowest warming allowed; a part under one request is a chance of one, drawn
        once a span.  What the node served within the span is allowed again on top."""
        if not self._cold(node):
            return True
        rules = self.settings.rules
        while node.cold and node.cold[0][0] <= self.now - rules.overload_window:
            node.cold_net -= node.cold.popleft()[1]
        if self.now >= node.cold_until:
            first = node.cold_until == 0.0  # the first turn has a random part of a span, so turns are spread
            node.cold_until = self.now + rules.overload_window * (self.random.random() if first else 1.0)
            node.cold_luck = self.random.random()
            node.cold_part = (
                node.ease / self.settings.initiator_count
            )  # before this gateway has lived for a span
            if self.now - rules.overload_window > self.started:
                node.cold_part = node.ease / (
                    1.0
                    + self.contention.other_initiators(
                        self.now,
                        node.target.shard,
                        self.settings.initiator_count,
                        len(self.shards),
                        rules.overload_window,
                    )
                )
        age = max(0.0, self.now - rules.overload_window - (node.target.started_at or 0.0))
        share = rules.slow_start_initial_fraction + (1 - rules.slow_start_initial_fraction) * min(
            1.0, age / max(rules.slow_start_duration, 1e-9)
        )
        budget = (
            self.settings.slow_start_units
            * share
            / max(rules.slow_start_initial_fraction, 1e-9)
            * COLD_SAFETY
        )
        part = (
            node.cold_part
            if self.budget_fraction is None
            else self.budget_fraction(
                str(node.target.target_id),
                sum(share.demand.rate(self.now) for share in node.allocations.values())
                * rules.overload_window
                / budget,
            )
        )
        return part * budget - node.cold_net >= units * node.cold_luck

    def _cold_count(self, node: TargetState, units: float) -> None:
        """Count units sent to a node, or served by it if negative, while it is cold."""
        if self._cold(node):
            node.cold.append((self.now, units))
            node.cold_net += units

    def _sweep(self) -> None:
        """Forget what nobody asks for any more; a volume not until its limit's bucket is full again."""
        self.swept_at = self.now
        for node in self.targets.values():
            self._idle(node)
        for name, volume in list(self.volumes.items()):
            quiet, plan = self.now - volume.asked_at, volume.plan
            if quiet > FORGET_AFTER and (plan.limit <= 0 or quiet * plan.limit >= plan.burst):
                del self.volumes[name]
        since = self.now - max(FORGET_AFTER, self.settings.rules.overload_window)
        self.contention.forget(since, self.volumes)
        self.rest_until = {key: at for key, at in self.rest_until.items() if at > self.now}

    # --- Taking a request -------------------------------------------------------------------------
    def _take(self, r: Request) -> TargetState | None:
        cls, plan = self.settings.classes[r.class_index], self.settings.plans[r.plan_index]
        if self.settings.rules.retry_budget_window is not None:
            self.taken.append(self.now)
        volume = self.volumes.get(r.volume)
        if volume is None:
            volume = self.volumes[r.volume] = Volume(plan, r.volume_initiator_count, self.started)
        if r.volume_initiator_count > volume.initiator_count:
            volume.limit.level *= volume.initiator_count / r.volume_initiator_count
            volume.initiator_count = r.volume_initiator_count
        due, deadline = self._due(r, cls), self.now + r.time_remaining
        held = self.pending[r.request_id] = PendingRequest(
            r, cls, volume, min(due, deadline - ANSWER_MARGIN), deadline, self.settings.max_attempts
        )
        volume.demand.add(self.now, r.units)
        volume.asked_at = self.now
        if r.shard is not None:
            self.contention.record(self.now, r.shard, r.volume, r.volume_initiator_count)
        if cls.in_order and r.idempotency_key:
            self.orders.setdefault(r.idempotency_key, deque()).append(held)
        return self._enqueue(held)

    def _due(self, r: Request, cls: RequestClass) -> float:
        """When the aim ends, from the client's first try on.  A later try has less time left than a first of
        its class; one that ends before its own aim would is a first one, of a client that waits shortly."""
        full = self.full_left[cls.name] = min(max(self.full_left[cls.name], r.time_remaining), cls.deadline)
        return (
            self.now
            + cls.latency_objective
            - (max(0.0, full - r.time_remaining) if r.time_remaining >= cls.latency_objective else 0.0)
        )

    def _enqueue(self, held: PendingRequest) -> TargetState | None:
        """Put a request in line at the node that can serve it."""
        node = held.node = self._choose(held)
        if node is None:
            self.waiting.append(held)
            return None
        name = held.r.volume
        share = node.allocations.get(name)
        if share is None:
            share = node.allocations[name] = VolumeAllocation(held.volume, self.now)
        share.demand.add(self.now, held.r.units)
        share.busy_at = self.now
        share.open += 1
        self._test(node, name, share)
        node.queue.append(held)
        self.queued[node.target.target_id] = node
        return node

    def _choose(self, held: PendingRequest) -> TargetState | None:
        r = held.r
        nodes = (
            self.shards.get(r.shard, [])
            if r.shard is not None
            else [n for n in self.targets.values() if n.target.status is TargetStatus.READY]
        )
        if held.unsure_at is not None:
            nodes = [n for n in nodes if self._may_repeat(held, n)]
        warm = [n for n in nodes if not self._cold(n)] or nodes
        return min(
            warm,
            key=lambda n: (
                (n.in_flight_count + len(n.queue) + 1) * n.latency / n.concurrency_limit,
                n.target.target_id,
            ),
            default=None,
        )

    def _may_repeat(self, held: PendingRequest, node: TargetState) -> bool:
        """Whether a request that may have run may go to a node (rule: no duplicated effect)."""
        cls, first = held.cls, held.unsure_node
        if cls.idempotency is Idempotency.SAFE or held.unsure_at is None or first is None:
            return True
        if (
            cls.idempotency is Idempotency.UNSAFE
            or self.now > held.unsure_at + cls.deduplication_window - ANSWER_MARGIN
        ):
            return False
        return (
            cls.deduplication_scope is DeduplicationScope.ALL
            or node.target.target_id == first.target.target_id
            or (cls.deduplication_scope is DeduplicationScope.ZONE and node.target.zone == first.target.zone)
            or (
                cls.deduplication_scope is DeduplicationScope.SHARD
                and node.target.shard == first.target.shard
            )
        )

    # --- Grants (RAC) -----------------------------------------------------------------------------
    def _capacity(self, node: TargetState) -> float:
        """Units per second that the window's ceiling carries at the node's mean latency."""
        return CEILING * self.mean / node.latency

    def _part(self, volume: Volume) -> float:
        """This gateway's part of a volume's traffic; the even split until there is news of others."""
        prior = PRIOR_UNITS * max(self.settings.mean_units, 1.0) / DEMAND_SPAN
        own, others = volume.demand.rate(self.now), volume.others.rate(self.now)
        return (own + prior / volume.initiator_count) / (own + others + prior)

    def _slices(self, node: TargetState, share: VolumeAllocation) -> tuple[float, float]:
        """The ask and the reservation slice of a volume at a node, in units per second."""
        volume, plan = share.volume, share.volume.plan
        here = share.demand.rate(self.now)
        spread = min(1.0, (here + 1e-9) / (volume.demand.rate(self.now) + 1e-9))
        part = self._part(volume)
        ask = max(plan.rate * part * spread, here)
        if plan.limit > 0:
            ask = min(ask, plan.limit / volume.initiator_count)
        return ask, plan.reservation * part * spread

    def _test(self, node: TargetState, name: int, share: VolumeAllocation) -> None:
        """The congested test: a full ask, or psi by weight, never under the reservation slice."""
        if self.now - share.tested_at < RETEST_EVERY:
            return
        share.tested_at = self.now
        self._idle(node)
        capacity = self._capacity(node)
        used = sum(s.grant for s in node.allocations.values()) - share.grant
        ask, slice_ = self._slices(node, share)
        share.ask = ask
        quiet = int((self.now - node.quiet_at) / RELEASE_EVERY)  # spells: each releases a part of the reserve
        node.quiet_at += quiet * RELEASE_EVERY
        node.reserve = max(0.0, node.reserve - quiet * RELEASE_SHARE * RESERVE_SHARE)
        reserve = node.reserve * capacity
        if used <= capacity - reserve:
            share.grant = ask
            return
        node.reserve, node.quiet_at = RESERVE_SHARE, self.now
        reserve = node.reserve * capacity
        free = max(0.0, min(reserve, capacity - used))
        psi = free / K1 ** ((used - reserve) * K2_SHARE / capacity)
        mean = sum(s.volume.plan.weight for s in node.allocations.values()) / len(node.allocations)
        share.grant = max(min(psi * share.volume.plan.weight / max(mean, 1e-9), ask), min(slice_, ask))

    def _idle(self, node: TargetState) -> None:
        """Idle volumes hand their grants back to degraded ones by remaining ratio (RWR)."""
        idle = [n for n, s in node.allocations.items() if not s.open and self.now - s.busy_at > IDLE_AFTER]
        freed = sum(node.allocations.pop(name).grant for name in idle)
        degraded = [s for s in node.allocations.values() if s.grant < s.ask]
        total = sum(1 - s.grant / s.ask for s in degraded)
        for s in degraded:
            s.grant = min(s.ask, s.grant + freed * (1 - s.grant / s.ask) / total)

    # --- Serving a node ---------------------------------------------------------------------------
    def _serve(self, node: TargetState) -> None:
        """Send what the window allows, then give up what is out of reach."""
        if node.target.status is not TargetStatus.READY or node.target.target_id not in self.targets:
            return
        if not node.in_flight_count and self.now - node.sent_at >= UNTRIED:
            # Guards against a node avoided for good: never tried again, it is never seen to have recovered.
            node.latency = min(node.latency, LATE_SHARE * self.tightest)
        while True:
            for held in node.queue:
                held.place = self._rank(node, held)
            node.queue.sort(key=lambda h: (h.place, h.due, h.r.request_id))
            first = next((held for held in node.queue if self._allowed(node, held)), None)
            if first is None:
                break
            self._send(node, first)
        self._shed(node)

    def _rank(self, node: TargetState, held: PendingRequest) -> int:
        """Whether a request lies within its reservation slice, its grant or beyond.  Any level above zero
        will do: asking for all units at once would let a volume's small requests starve its large ones."""
        volume, share = held.volume, node.allocations[held.r.volume]
        rate = volume.plan.reservation * self._part(volume)
        if volume.reservation.refill(self.now, rate, rate * BUCKET_DEPTH + self.settings.max_units) > 0:
            return IN_RESERVATION
        depth = share.grant * BUCKET_DEPTH + self.settings.max_units
        return IN_GRANT if share.bucket.refill(self.now, share.grant, depth) > 0 else BEYOND

    def _allowed(self, node: TargetState, held: PendingRequest) -> bool:
        """Whether window, pauses and every rule let a request go now."""
        if self.now < node.paused_until or node.in_flight_count >= CEILING:
            return False
        # What a node has just taken is cheap for it to take again, but not after others' requests.
        if (
            held.attempts
            or held.place is BEYOND
            or held.r.idempotency_key != node.run_key
            or self.now >= node.run_until
        ):
            if node.in_flight_count >= max(1, int(node.concurrency_limit)):
                return False
            if (
                node.concurrency_limit < 1
                and held.place is not IN_RESERVATION
                and self.now < node.paced_until
            ):
                return False
        if self._hopeless(node, held):
            return False
        if held.attempts and not (self._may_repeat(held, node) and self._budget_room()):
            return False
        if held.cls.in_order and held.r.idempotency_key:
            line = self.orders[held.r.idempotency_key]
            if line[0] is not held or self.rest_until.get(held.r.idempotency_key, self.now) > self.now:
                return False
        return (held.drawn or self._limit_room(held)) and self._cold_room(node, held.r.units)

    def _hopeless(self, node: TargetState, held: PendingRequest) -> bool:
        """Whether the client will have left before the node answers: such work serves nobody.  Guards against
        clients that give up early and repeat at once; spares a slow node."""
        size = max(1.0, held.r.units / self.mean)
        return self.now + WAIT_SHARE * node.latency * size >= held.deadline - ANSWER_MARGIN

    def _limit_room(self, held: PendingRequest) -> bool:
        """Whether this gateway's part of the limit has the units: limit and burst over the host count, empty
        at first, as a restart must not mint a burst.  Most of it is kept for the classes worth most: a class
        that can wait for units would spend what those that can't wait earn more with."""
        volume, plan = held.volume, held.volume.plan
        if plan.limit <= 0:
            return True
        keep = KEEP_SHARE * max(0.0, plan.burst / volume.initiator_count - self.settings.max_units)
        if self._tokens(volume) >= held.r.units + keep * (held.cls.priority_weight < self.best):
            return True
        if self.settings.may_message:
            self._borrow(held.r.volume, volume)
        return False

    def _tokens(self, volume: Volume) -> float:
        rate = volume.plan.limit / volume.initiator_count if self.filling else 0.0
        return volume.limit.refill(self.now, rate, volume.plan.burst / volume.initiator_count)

    def _borrow(self, name: int, volume: Volume) -> None:
        """Ask other gateways of a volume for tokens: all gateways while some of its own are not known."""
        if self.now < volume.ask_at or volume.initiator_count < 2:
            return
        volume.ask_gap = LEASE_EVERY if volume.answered else min(2 * volume.ask_gap, LEASE_SLOWEST)
        volume.ask_at = self.now + volume.ask_gap * (0.75 + 0.5 * self.random.random())
        volume.ask, volume.answered = self.random.getrandbits(32), []
        short = volume.plan.burst / volume.initiator_count - volume.limit.level
        asked: list[int | None] = self.random.sample(volume.peers, min(LEASE_ASKS, len(volume.peers)))
        each = short / max(1, len(asked))
        if len(volume.peers) < volume.initiator_count - 1 and self.now >= volume.cry_at:
            volume.cry_gap *= 4  # dear: every gateway hears it
            volume.cry_at = self.now + volume.cry_gap
            asked, each = [None], short / (volume.initiator_count - 1)
        for peer in asked:
            self._tell(peer, ASK, name, volume.ask, each)

    def _tell(self, peer: int | None, kind: int, name: int, number: int, units: float) -> float:
        """Send a message and return the units that it carries."""
        parts = min(65535, int(units * LEASE_PARTS))
        self.actions.append(SendPeerMessage(peer, MESSAGE.pack(kind, name, number, parts)))
        return parts / LEASE_PARTS

    def _message(self, message: PeerMessage) -> None:
        """Lend tokens not needed here, or take those lent.  They leave the lender's bucket before they travel
        and count only for the last ask and once for each lender, so what is lost, doubled, late or meant for
        an earlier life destroys tokens, never mints.  No bucket rises above its part of the burst."""
        sender, volume = message.sender_index, None
        if (
            len(message.data) == MESSAGE.size
            and 0 <= sender < self.settings.initiator_count
            and sender != self.settings.initiator_index
        ):
            kind, name, number, parts = MESSAGE.unpack(message.data)
            volume = self.volumes.get(name)
        if volume is None or volume.plan.limit <= 0 or kind not in (ASK, GRANT):
            return
        known = sender in volume.peers
        if not known and len(volume.peers) < volume.initiator_count - 1:
            volume.peers.append(sender)
        level = self._tokens(volume)
        if kind == ASK:
            give = min(parts / LEASE_PARTS, level - LEASE_KEEP * volume.demand.rate(self.now))
            if give > 0 or not known:  # an empty grant makes this gateway known
                volume.limit.level -= self._tell(sender, GRANT, name, number, max(0.0, give))
        elif number == volume.ask and sender not in volume.answered:
            if parts:
                volume.answered.append(sender)
            volume.limit.level = min(volume.plan.burst / volume.initiator_count, level + parts / LEASE_PARTS)

    def _budget_room(self) -> bool:
        """Whether the site's budget for further attempts, if it states one, has room for one more."""
        rules = self.settings.rules
        if rules.retry_budget_window is None or (
            rules.retry_budget_base is None and rules.retry_budget_fraction is None
        ):
            return True
        start = self.now - rules.retry_budget_window
        for times in (self.extra, self.taken):
            while times and times[0] <= start:
                times.popleft()
        return len(self.extra) + 1 <= (rules.retry_budget_base or 0) + (
            rules.retry_budget_fraction or 0
        ) * len(self.taken)

    def _send(self, node: TargetState, held: PendingRequest) -> None:
        node.queue.remove(held)
        r, volume, share = held.r, held.volume, node.allocations[held.r.volume]
        if held.attempts and self.settings.rules.retry_budget_window is not None:
            self.extra.append(self.now)
        if not held.drawn:
            held.drawn = True
            volume.limit.level -= r.units
            if held.place == IN_RESERVATION:
                volume.reservation.level -= r.units
            share.bucket.level -= r.units
        self._cold_count(node, r.units)
        if held.unsure_at is None:
            held.unsure_at, held.unsure_node = self.now, node
        if r.idempotency_key and (r.idempotency_key != node.run_key or self.now >= node.run_until):
            node.run_key, node.run_until = r.idempotency_key, self.now + RUN_SPAN
        node.paced_until = self.now + node.latency / node.concurrency_limit * (0.5 + self.random.random())
        held.attempts += 1
        held.out += 1
        held.sent_at, held.passed, held.cancelled = self.now, 0, False
        node.in_flight_count += 1
        node.in_flight[r.request_id], node.sent_at = held, self.now
        # An attempt is given up soon after its aim: its place in the window is worth more than a late answer.
        expires = min(held.deadline, max(held.due, self.now + LONG_SHARE * node.latency) + LATE_PATIENCE)
        self.actions.append(StartAttempt(r.request_id, node.target.target_id, expires))

    def _shed(self, node: TargetState) -> None:
        """Give up the least worthy of each request out of reach and those before it (Moore and Hodgson)."""
        ahead, width = (
            float(node.in_flight_count >= max(1, int(node.concurrency_limit))),
            max(1.0, node.concurrency_limit),
        )
        kept, lost = [], []
        for held in node.queue:
            kept.append(held)
            alone = (
                self.now + node.latency * REACH_SHARE > held.due
                or self._late(held)
                or self._hopeless(node, held)
            )
            start = self.now + ahead / width * node.latency
            if node.concurrency_limit < 1 and held.place is not IN_RESERVATION:
                start = max(start, node.paced_until)
            ahead += held.r.units / self.mean
            if alone or start + REACH_SHARE * node.latency > held.due:
                least = held if alone else min(reversed(kept), key=self._worth)
                kept.remove(least)
                ahead -= least.r.units / self.mean
                lost.append(least)
        for held in lost:
            self._give_up(held)

    def _late(self, held: PendingRequest) -> bool:
        """Whether half of a client's time is over, or will be by the next look, and no node had it."""
        return not held.landed and self.now + POLL >= held.half

    def _worth(self, held: PendingRequest) -> float:
        """What a unit of a request earns, as far as this gateway can tell."""
        due = (1.0, self.settings.within_share_weight, self.settings.beyond_share_weight)[held.place]
        return due * held.cls.priority_weight * held.volume.plan.price_weight

    def _drop_lost(self, node: TargetState) -> bool:
        """Give up attempts that a node's later answers have passed; whether some may become lost.  Guards
        against connections that fall silent while the node answers what was sent after, in turn."""
        suspect = False
        for held in node.in_flight.values():
            if (
                held.passed < PASSED
                or held.over
                or held.cancelled
                or held.cls.idempotency is not Idempotency.SAFE
            ):
                continue
            usual = node.latency * self.slowness.get(held.cls.name, 1.0) * max(1.0, held.r.units / self.mean)
            if self.now - held.sent_at < LOST_SHARE * usual + LOST_MARGIN:
                suspect = True
            elif self.settings.may_cancel and held.attempts < min(held.most, self.settings.max_attempts):
                held.cancelled = True
                self.actions.append(CancelAttempt(held.r.request_id, held.attempts - 1))
        return suspect

    # --- Outcomes ---------------------------------------------------------------------------------
    def _outcome(self, o: AttemptFinished) -> TargetState | None:
        held, node = self.pending.get(o.request_id), self.targets.get(o.target_id)
        if held is None or held.out == 0:
            return None
        held.out -= 1
        held.landed |= o.status not in (AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED)
        at = held.node
        if at is not None:
            at.in_flight_count -= 1
            at.in_flight.pop(o.request_id, None)
            share = at.allocations.get(held.r.volume)
            if share is not None:
                share.open -= 1
                share.busy_at = self.now
            self._learn(at, held, o)
        if o.status in UNSURE_END and held.cls.in_order and held.r.idempotency_key:
            pause = self.settings.rules.ordering_pause or 0.0
            self.rest_until[held.r.idempotency_key] = max(
                self.rest_until.get(held.r.idempotency_key, 0.0), self.now + pause
            )
        if held.over:
            self._forget(held)
        elif o.request_done:
            self._close(held)
        else:
            self._again(held, o)
        return node

    def _learn(self, node: TargetState, held: PendingRequest, o: AttemptFinished) -> None:
        """Window and latency from one outcome; volume news from an answer."""
        size = max(1.0, held.r.units / self.mean)
        if o.status is AttemptStatus.OK:
            slow = o.latency / size / node.latency
            known = self.slowness.get(held.cls.name, 1.0)
            self.slowness[held.cls.name] = known + SLOW_GAIN * (min(slow, 10.0) - known)
            for other in node.in_flight.values():
                if other.sent_at >= held.sent_at:
                    break
                other.passed += 1
        elif o.status is AttemptStatus.RESET or (held.passed >= PASSED and o.status in UNSURE_END):
            node.paused = 0.0  # a connection was lost; the node answers others and is no fuller for it
            return
        deep = o.latency > DEEP_SHARE * self.tightest * size
        if o.status is AttemptStatus.REJECTED or deep:  # more ask than this gateway can see
            node.ease = max(COLD_LEAST, node.ease / 2)
        elif o.status is AttemptStatus.OK:
            node.ease = min(1.0, node.ease * COLD_EASE)
        late = deep or (node.concurrency_limit > 1 and o.latency > LATE_SHARE * self.tightest * size)
        if o.status is AttemptStatus.OK or (o.status is AttemptStatus.TIMEOUT and o.latency > node.latency):
            node.latency += MEAN_GAIN * (o.latency / size - node.latency)
        # A time-out counts by its length: a hasty client's says no more than an answer as slow would.
        if o.status in (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET) or late:
            if self.now - node.cut_at >= node.latency:  # once a round trip
                node.cut_at = self.now
                used = min(
                    node.concurrency_limit, node.in_flight_count + 1
                )  # a wide window says nothing of one who seldom sends
                node.concurrency_limit = max(FLOOR if deep else min(1.0, node.concurrency_limit), used / 2)
        elif o.status is AttemptStatus.OK and node.in_flight_count + 1 >= int(node.concurrency_limit):
            node.concurrency_limit = min(
                CEILING, node.concurrency_limit + min(node.concurrency_limit, 1 / node.concurrency_limit)
            )
        # A node that is down, full or unreachable fails at once and would use up the attempts of what waits.
        if o.status in (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED):
            if self.now >= node.paused_until:
                node.paused = min(PAUSE_LONGEST, max(PAUSE_FIRST, 2 * node.paused))
                node.paused_until = self.now + node.paused
        elif o.status is not AttemptStatus.NOT_STARTED:
            node.paused = 0.0
        volume = held.volume
        if o.status is AttemptStatus.OK:
            self._cold_count(node, -held.r.units)
            volume.served.add(self.now, held.r.units)
            if o.other_units > 0:
                volume.others.add(self.now, o.other_units)
        if o.volume_usage is not None and not self.settings.other_usage_reported:
            rate = max(0.0, o.volume_usage * volume.plan.rate - volume.served.rate(self.now))
            volume.others.set_rate(self.now, rate)

    def _again(self, held: PendingRequest, o: AttemptFinished) -> None:
        """Whether a request whose attempt failed is sent once more or gets its final answer."""
        if o.status in NEVER_EXECUTED:
            # Only a keyed request goes out again after one that may have run; others, turned away, never ran.
            if held.attempts == 1 or held.cls.idempotency is not Idempotency.IDEMPOTENCY_KEY:
                held.unsure_at = held.unsure_node = None
            if o.status is AttemptStatus.NOT_STARTED and held.attempts == 1:
                held.volume.limit.level += held.r.units
                held.drawn = False
        more = (
            held.attempts < min(held.most, self.settings.max_attempts) and self.now + ANSWER_MARGIN < held.due
        )
        bound = held.unsure_at is not None and self._choose(held) is None
        if not more or bound or not self._budget_room():
            self._give_up(held)
        else:
            self._enqueue(held)

    # --- Final answers ----------------------------------------------------------------------------
    def _refusable(self, held: PendingRequest) -> bool:
        return (
            held.unsure_at is None
            or held.cls.idempotency is Idempotency.SAFE
            or (
                held.cls.idempotency is Idempotency.IDEMPOTENCY_KEY
                and held.cls.deduplication_scope is DeduplicationScope.ALL
            )
        )

    def _give_up(self, held: PendingRequest) -> None:
        """The final answer at once: refused with advice where that is harmless, else failed."""
        if self._refusable(held):
            # The longest advice that clients heed: a try after a refusal seldom has its aim in reach.
            self.actions.append(
                Reject(
                    held.r.request_id,
                    self.settings.max_retry_after if self.settings.may_send_retry_after else 0.0,
                )
            )
        else:
            self.actions.append(Fail(held.r.request_id))
        self._close(held)

    def _close(self, held: PendingRequest) -> None:
        held.over = True
        if held.node is not None and held in held.node.queue:
            held.node.queue.remove(held)
            held.node.allocations[held.r.volume].open -= 1
        if held in self.waiting:
            self.waiting.remove(held)
        self._forget(held)

    def _forget(self, held: PendingRequest) -> None:
        if held.out:
            return
        del self.pending[held.r.request_id]
        line = (
            self.orders.get(held.r.idempotency_key) if held.cls.in_order and held.r.idempotency_key else None
        )
        if line is not None and held in line:
            line.remove(held)
            if not line:
                del self.orders[held.r.idempotency_key]

    def _poll(self) -> None:
        """Requests that no node can serve are given up once their aim is out of reach."""
        for held in list(self.waiting):
            if self.now + ANSWER_MARGIN >= min(held.due, held.deadline) or self._late(held):
                self._give_up(held)
