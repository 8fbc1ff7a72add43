"""Admission of volumes: grants at each target, limits, and tokens that initiators lend each other."""

import math

from stalltiller.scheduling import PeerMessage, SendPeerMessage, state, token_messages
from stalltiller.scheduling.contention import HALF_LIFE_SECONDS
from stalltiller.scheduling.state import PendingRequest, SchedulerState, TargetState, Volume, VolumeAllocation
from stalltiller.scheduling.target_load import MAX_CONCURRENCY

# At a congested target, a grant halves for each capacity / exponent that is granted beyond the reserve.
CONGESTED_GRANT_BASE = 2.0
CONGESTED_GRANT_EXPONENT = 1.0
# An uncongested target releases this fraction of its whole reserve once per interval.
RESERVE_RELEASE_INTERVAL_SECONDS = 2.0
RESERVE_RELEASE_FRACTION = 0.1
GRANT_UPDATE_INTERVAL_SECONDS = 0.5  # so that grants follow changing request rates and capacities
VOLUME_IDLE_SECONDS = 1.0  # a volume without requests at a target for this long is idle there
# Weight of the prior of an even split, in mean-sized requests, until the demand of others is known.
PRIOR_REQUESTS = 3.0
BUCKET_DEPTH_SECONDS = 1.0  # a bucket holds this many seconds of its rate, plus one largest request
# Fraction of a limit's burst, less one largest request, that only classes of the highest weight may spend.
PRIORITY_BURST_FRACTION = 0.9
MAX_TOKEN_REQUEST_INTERVAL_SECONDS = 1.0  # the interval doubles up to this while no tokens are granted
MAX_LENDERS = 3  # a token request goes to at most this many known peers
MAX_VOLUMES = 8192  # whose state is kept, so that requests of ever new volumes don't use up the memory
VOLUME_EVICTION_FRACTION = 0.25  # of the volumes, at once: each eviction looks at all of them
EVICTION_INTERVAL_SECONDS = 0.05
LENDER_RETAINED_SECONDS = 0.5  # a lender retains tokens for this many seconds of its own demand


class VolumeAdmission(SchedulerState):
    """Reserve-based admission control (RAC) of volumes per target, and this initiator's part of limits."""

    def _has_room_for_volume(self) -> bool:
        """Return whether the state of one more volume may be kept, after removing state not in use."""
        if (
            len(self.volumes) >= MAX_VOLUMES
            and self.now >= self.volumes_evicted_at + EVICTION_INTERVAL_SECONDS
        ):
            self.volumes_evicted_at = self.now
            self._evict_volumes()
        return len(self.volumes) < MAX_VOLUMES

    def _evict_volumes(self) -> None:
        """Remove those of the volumes without open requests that were requested longest ago."""
        in_use = {pending.request.volume for pending in self.pending.values()}
        unused = [
            (volume.requested_at, volume_id)
            for volume_id, volume in self.volumes.items()
            if volume_id not in in_use and self._is_limit_refilled(volume)
        ]
        for _, volume_id in sorted(unused)[: int(VOLUME_EVICTION_FRACTION * MAX_VOLUMES)]:
            del self.volumes[volume_id]
        self.contention.prune(-math.inf, self.volumes)

    def _is_limit_refilled(self, volume: Volume) -> bool:
        """Whether a volume's bucket is full again, so that nothing is gained by forgetting what it spent."""
        plan = volume.plan
        return plan.limit <= 0 or (self.now - volume.requested_at) * plan.limit >= plan.burst

    def _capacity(self, target: TargetState) -> float:
        # In units per second, at the maximum concurrency.
        return MAX_CONCURRENCY * self.mean_units / target.latency

    def _initiator_share(self, volume: Volume) -> float:
        prior = PRIOR_REQUESTS * max(self.settings.mean_units, 1.0) / HALF_LIFE_SECONDS
        own, others = volume.demand.rate(self.now), volume.other_demand.rate(self.now)
        return (own + prior / volume.initiator_count) / (own + others + prior)

    def _requested_and_reserved_rates(self, allocation: VolumeAllocation) -> tuple[float, float]:
        """Return a volume's requested rate and part of its reservation at a target, in units per second."""
        volume, plan = allocation.volume, allocation.volume.plan
        demand = allocation.demand.rate(self.now)
        spread = min(1.0, (demand + 1e-9) / (volume.demand.rate(self.now) + 1e-9))
        share = self._initiator_share(volume)
        requested = max(plan.rate * share * spread, demand)
        if plan.limit > 0:
            requested = min(requested, plan.limit / volume.initiator_count)
        return requested, plan.reservation * share * spread

    def _update_grant(self, target: TargetState, allocation: VolumeAllocation) -> None:
        """Grant the requested rate, or at a congested target psi by weight, but at least the reserved rate.

        `psi` is the part of the free reserve for a volume of mean weight.
        """
        if self.now - allocation.grant_updated_at < GRANT_UPDATE_INTERVAL_SECONDS:
            return
        allocation.grant_updated_at = self.now
        self._reclaim_idle_grants(target)
        capacity = self._capacity(target)
        granted = sum(item.grant for item in target.allocations.values()) - allocation.grant
        requested, reserved = self._requested_and_reserved_rates(allocation)
        allocation.requested_rate = requested
        releases = int((self.now - target.uncongested_since) / RESERVE_RELEASE_INTERVAL_SECONDS)
        target.uncongested_since += releases * RESERVE_RELEASE_INTERVAL_SECONDS
        released = releases * RESERVE_RELEASE_FRACTION * state.RESERVE_FRACTION
        target.reserve_fraction = max(0.0, target.reserve_fraction - released)
        if granted <= capacity - target.reserve_fraction * capacity:
            allocation.grant = requested
            return
        target.reserve_fraction, target.uncongested_since = state.RESERVE_FRACTION, self.now
        reserve = state.RESERVE_FRACTION * capacity
        free = max(0.0, min(reserve, capacity - granted))
        psi = free / CONGESTED_GRANT_BASE ** ((granted - reserve) * CONGESTED_GRANT_EXPONENT / capacity)
        weights = [item.volume.plan.weight for item in target.allocations.values()]
        weighted = psi * allocation.volume.plan.weight / max(sum(weights) / len(weights), 1e-9)
        allocation.grant = max(min(weighted, requested), min(reserved, requested))

    def _reclaim_idle_grants(self, target: TargetState) -> None:
        """Redistribute the grants of idle volumes to degraded ones by their remaining ratio (RWR)."""
        allocations = target.allocations
        idle = [
            volume_id
            for volume_id, item in allocations.items()
            if not item.open_count and self.now - item.last_used_at > VOLUME_IDLE_SECONDS
        ]
        freed = sum(allocations.pop(volume_id).grant for volume_id in idle)
        degraded = [item for item in allocations.values() if item.grant < item.requested_rate]
        total = sum(1 - item.grant / item.requested_rate for item in degraded)
        for item in degraded:
            gain = freed * (1 - item.grant / item.requested_rate) / total
            item.grant = min(item.requested_rate, item.grant + gain)

    def _service_priority(self, target: TargetState, pending: PendingRequest) -> state.ServicePriority:
        """Return the priority of the first bucket with a positive level.

        If a bucket had to hold all units of a request, small requests would starve large ones.
        """
        volume, allocation = pending.volume, target.allocations[pending.request.volume]
        rate, grant, max_units = volume.plan.reservation, allocation.grant, self.settings.max_units
        rate *= self._initiator_share(volume)
        if volume.reservation.refill(self.now, rate, rate * BUCKET_DEPTH_SECONDS + max_units) > 0:
            return state.RESERVATION
        level = allocation.bucket.refill(self.now, grant, grant * BUCKET_DEPTH_SECONDS + max_units)
        return state.GRANT if level > 0 else state.BEST_EFFORT

    def _has_limit_tokens(self, pending: PendingRequest) -> bool:
        """Whether the limit admits a request; most of its burst is reserved for the top classes.

        Classes with long objectives would otherwise spend tokens that earn more in the top classes.
        """
        volume, plan = pending.volume, pending.volume.plan
        if plan.limit <= 0:
            return True
        reserved = PRIORITY_BURST_FRACTION * max(
            0.0, plan.burst / volume.initiator_count - self.settings.max_units
        )
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
        """Request tokens from known peers, or rarely from all initiators while some peers are unknown."""
        if self.now < volume.next_token_request_at or volume.initiator_count < 2:
            return
        longer = min(2 * volume.token_request_interval, MAX_TOKEN_REQUEST_INTERVAL_SECONDS)
        interval = state.TOKEN_REQUEST_INTERVAL_SECONDS if volume.lenders else longer
        volume.token_request_interval = interval
        volume.next_token_request_at = self.now + interval * (0.75 + 0.5 * self.rng.random())
        volume.token_request_number, volume.lenders = self.rng.getrandbits(32), []
        missing = volume.plan.burst / volume.initiator_count - volume.limit.level
        receivers: list[int | None] = self.rng.sample(volume.peers, min(MAX_LENDERS, len(volume.peers)))
        units = missing / max(1, len(receivers))
        if len(volume.peers) < volume.initiator_count - 1 and self.now >= volume.next_broadcast_at:
            volume.broadcast_interval *= 4  # broadcasts are rare because every initiator receives them
            volume.next_broadcast_at = self.now + volume.broadcast_interval
            receivers, units = [None], missing / (volume.initiator_count - 1)
        message = token_messages.encode_request(volume_id, volume.token_request_number, units)
        self.actions += [SendPeerMessage(receiver, message) for receiver in receivers]

    def _handle_peer_message(self, event: PeerMessage) -> None:
        """Grant tokens that this initiator does not need, or add granted tokens to the limit's bucket."""
        # Tokens leave the lender's bucket before the grant is sent, and count once per lender of the last
        # request, so a message that is lost, duplicated or late never creates tokens.
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
            granted = min(message.units, level - LENDER_RETAINED_SECONDS * volume.demand.rate(self.now))
            if granted > 0 or not is_known:  # an empty grant makes this initiator known to the sender
                grant, units = token_messages.encode_grant(message, max(0.0, granted))
                volume.limit.level -= units
                self.actions.append(SendPeerMessage(sender, grant))
        elif message.request_number == volume.token_request_number and sender not in volume.lenders:
            if message.units:
                volume.lenders.append(sender)
            volume.limit.level = min(volume.plan.burst / volume.initiator_count, level + message.units)
