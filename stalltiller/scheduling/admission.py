"""Admission of volumes: grants at each target (RAC), limits, and tokens that initiators lend each other."""

from stalltiller.scheduling import PeerMessage, SendPeerMessage, state, token_messages
from stalltiller.scheduling.contention import HALF_LIFE_SECONDS
from stalltiller.scheduling.state import PendingRequest, SchedulerState, TargetState, Volume, VolumeAllocation
from stalltiller.scheduling.target_load import MAX_CONCURRENCY

PSI_BASE, PSI_EXPONENT = 2.0, 1.0  # a grant halves for each capacity / exponent of reserve in use
RESERVE_RELEASE_SECONDS, RESERVE_RELEASE_FRACTION = 2.0, 0.1  # without congestion, until that part goes
RETEST_SECONDS = 0.5  # between tests of an active volume: rates change and capacity is not steady
IDLE_SECONDS = 1.0  # without work at a target after which a volume is idle there
PRIOR_REQUESTS = 3.0  # mean requests' worth of belief in the even split before others' demand is known
BUCKET_DEPTH_SECONDS = 1.0  # of a grant or reservation slice that may be saved up, plus a largest request
PRIORITY_FRACTION = 0.9  # of a limit's burst, less a largest request, that only the top classes may spend
MAX_TOKEN_REQUEST_SECONDS = 1.0  # requests that bring nothing come half as often each time, down to this
MAX_LENDERS = 3  # initiators asked at once
LENDER_KEEP_SECONDS = 0.5  # of its own demand that a lender keeps


class VolumeAdmission(SchedulerState):
    """What each volume may spend: reserve-based admission control per target, and its part of the limit."""

    def _capacity(self, target: TargetState) -> float:
        return MAX_CONCURRENCY * self.mean_units / target.latency  # units per second at the largest limit

    def _initiator_share(self, volume: Volume) -> float:
        prior = PRIOR_REQUESTS * max(self.settings.mean_units, 1.0) / HALF_LIFE_SECONDS
        own, others = volume.demand.rate(self.now), volume.other_demand.rate(self.now)
        return (own + prior / volume.initiator_count) / (own + others + prior)

    def _rates(self, allocation: VolumeAllocation) -> tuple[float, float]:
        """The requested rate and the reservation slice of a volume at a target, in units per second."""
        volume, plan = allocation.volume, allocation.volume.plan
        demand = allocation.demand.rate(self.now)
        spread = min(1.0, (demand + 1e-9) / (volume.demand.rate(self.now) + 1e-9))
        share = self._initiator_share(volume)
        requested = max(plan.rate * share * spread, demand)
        if plan.limit > 0:
            requested = min(requested, plan.limit / volume.initiator_count)
        return requested, plan.reservation * share * spread

    def _update_grant(self, target: TargetState, allocation: VolumeAllocation) -> None:
        """The congested test: the whole rate, or psi by weight, never under the reservation slice."""
        if self.now - allocation.tested_at < RETEST_SECONDS:
            return
        allocation.tested_at = self.now
        self._reclaim_idle_grants(target)
        capacity = self._capacity(target)
        granted = sum(item.grant for item in target.allocations.values()) - allocation.grant
        requested, reserved = self._rates(allocation)
        allocation.requested_rate = requested
        releases = int((self.now - target.uncongested_since) / RESERVE_RELEASE_SECONDS)
        target.uncongested_since += releases * RESERVE_RELEASE_SECONDS
        released = releases * RESERVE_RELEASE_FRACTION * state.RESERVE_FRACTION
        target.reserve_fraction = max(0.0, target.reserve_fraction - released)
        if granted <= capacity - target.reserve_fraction * capacity:
            allocation.grant = requested
            return
        target.reserve_fraction, target.uncongested_since = state.RESERVE_FRACTION, self.now
        reserve = state.RESERVE_FRACTION * capacity
        free = max(0.0, min(reserve, capacity - granted))
        psi = free / PSI_BASE ** ((granted - reserve) * PSI_EXPONENT / capacity)
        weights = [item.volume.plan.weight for item in target.allocations.values()]
        weighted = psi * allocation.volume.plan.weight / max(sum(weights) / len(weights), 1e-9)
        allocation.grant = max(min(weighted, requested), min(reserved, requested))

    def _reclaim_idle_grants(self, target: TargetState) -> None:
        """Idle volumes hand their grants back to degraded ones by remaining ratio (RWR)."""
        found = target.allocations
        idle = [key for key, a in found.items() if not a.open_count and self.now - a.used_at > IDLE_SECONDS]
        freed = sum(found.pop(key).grant for key in idle)
        degraded = [item for item in found.values() if item.grant < item.requested_rate]
        total = sum(1 - item.grant / item.requested_rate for item in degraded)
        for item in degraded:
            gain = freed * (1 - item.grant / item.requested_rate) / total
            item.grant = min(item.requested_rate, item.grant + gain)

    def _service_priority(self, target: TargetState, pending: PendingRequest) -> state.ServicePriority:
        """By any level above zero: asking for all units would let small requests starve large ones."""
        volume, allocation = pending.volume, target.allocations[pending.request.volume]
        rate, grant, max_units = volume.plan.reservation, allocation.grant, self.settings.max_units
        rate *= self._initiator_share(volume)
        if volume.reservation.refill(self.now, rate, rate * BUCKET_DEPTH_SECONDS + max_units) > 0:
            return state.RESERVATION
        level = allocation.bucket.refill(self.now, grant, grant * BUCKET_DEPTH_SECONDS + max_units)
        return state.GRANT if level > 0 else state.BEST_EFFORT

    def _has_limit_tokens(self, pending: PendingRequest) -> bool:
        """Most is reserved for the top classes: one that can wait would spend what they earn more with."""
        volume, plan = pending.volume, pending.volume.plan
        if plan.limit <= 0:
            return True
        reserved = PRIORITY_FRACTION * max(0.0, plan.burst / volume.initiator_count - self.settings.max_units)
        is_low = pending.request_class.priority_weight < self.max_weight
        if self._refill_limit(volume) >= pending.request.units + reserved * is_low:
            return True
        if self.settings.may_message:
            self._request_tokens(pending.request.volume, volume)
        return False

    def _refill_limit(self, volume: Volume) -> float:
        rate = volume.plan.limit / volume.initiator_count if self.are_limits_refilled else 0.0
        return volume.limit.refill(self.now, rate, volume.plan.burst / volume.initiator_count)

    def _request_tokens(self, volume_id: int, volume: Volume) -> None:
        """Ask some known peers of a volume, or now and then every initiator while not all peers are known."""
        if self.now < volume.next_token_request_at or volume.initiator_count < 2:
            return
        slower = min(2 * volume.token_request_interval, MAX_TOKEN_REQUEST_SECONDS)
        interval = volume.token_request_interval = state.TOKEN_REQUEST_SECONDS if volume.lenders else slower
        volume.next_token_request_at = self.now + interval * (0.75 + 0.5 * self.rng.random())
        volume.token_request_number, volume.lenders = self.rng.getrandbits(32), []
        missing = volume.plan.burst / volume.initiator_count - volume.limit.level
        receivers: list[int | None] = self.rng.sample(volume.peers, min(MAX_LENDERS, len(volume.peers)))
        units = missing / max(1, len(receivers))
        if len(volume.peers) < volume.initiator_count - 1 and self.now >= volume.next_broadcast_at:
            volume.broadcast_interval *= 4  # seldom, as every initiator receives it
            volume.next_broadcast_at = self.now + volume.broadcast_interval
            receivers, units = [None], missing / (volume.initiator_count - 1)
        message = token_messages.encode_request(volume_id, volume.token_request_number, units)
        self.actions += [SendPeerMessage(receiver, message) for receiver in receivers]

    def _handle_peer_message(self, event: PeerMessage) -> None:
        """Lend tokens that are not needed here, or take those granted."""
        # They leave the lender's bucket before they travel, and count once for each lender of the last
        # request, so a message that is lost, doubled or late never creates any.
        sender, settings = event.sender_index, self.settings
        is_peer = 0 <= sender < settings.initiator_count and sender != settings.initiator_index
        message = token_messages.decode(event.data)
        volume = None if message is None else self.volumes.get(message.volume_id)
        if not is_peer or message is None or volume is None or volume.plan.limit <= 0:
            return
        is_known = sender in volume.peers
        if not is_known and len(volume.peers) < volume.initiator_count - 1:
            volume.peers.append(sender)
        level = self._refill_limit(volume)
        if message.kind is token_messages.Kind.REQUEST:
            granted = min(message.units, level - LENDER_KEEP_SECONDS * volume.demand.rate(self.now))
            if granted > 0 or not is_known:  # an empty grant makes this initiator known
                grant, units = token_messages.encode_grant(message, max(0.0, granted))
                volume.limit.level -= units
                self.actions.append(SendPeerMessage(sender, grant))
        elif message.request_number == volume.token_request_number and sender not in volume.lenders:
            if message.units:
                volume.lenders.append(sender)
            volume.limit.level = min(volume.plan.burst / volume.initiator_count, level + message.units)
