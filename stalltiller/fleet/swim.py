"""SWIM membership with Lifeguard's additions, without I/O.

Time, randomness and received messages are passed in, and each method returns the actions to be carried out,
so that one seed gives one run.  `Swim` owns the member table.  Sources: Das, Gupta, Motivala, "SWIM:
Scalable Weakly-consistent Infection-style Process Group Membership Protocol"; Lifeguard (see
`local_health`). `docs/design/fleet.md` compares the alternatives.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import NamedTuple

from stalltiller.fleet.gossip import GossipQueue
from stalltiller.fleet.local_health import LocalHealth, Suspicion
from stalltiller.fleet.member_table import Address, Member, MemberState, MemberTable
from stalltiller.fleet.messages import (
    Action,
    MemberEvent,
    MemberEventKind,
    Packet,
    PacketKind,
    PushPullSync,
    SendPacket,
    StartSync,
)
from stalltiller.fleet.swim_settings import SwimSettings
from stalltiller.fleet.timer_queue import TimerQueue

MAX_UPDATES_PER_PACKET = 6  # what fits into 1400 bytes with the longest names
NACK_TIMEOUT_FRACTION = 0.8  # of a probe timeout: the nack arrives before the origin's own timeout
STALL_FRACTION = 0.5  # of a probe interval: a timer that is later means that this process did not run
MAX_INDIRECT_PROBES = 256  # made for others at once, so that a flood of requests costs bounded memory
INITIAL_SYNC_SECONDS = 1.0  # doubling: just after a start few members have heard of this one
FORGET_CHECK_SECONDS = 5.0  # between checks for members to be forgotten
MIN_REJOIN_PROBABILITY = 0.1  # of a try each interval, however large the fleet is
REJOINING_MEMBERS = 3  # members of the fleet that try in one interval, on average
DEADLINE_TOLERANCE_SECONDS = 1e-6  # rounding of a float
PROBE_NUMBER_BITS = 30  # random start, so that a restarted member does not repeat the numbers of before


@dataclass(slots=True)
class _Probe:
    """A probe of this member's own."""

    target: Member
    is_acknowledged: bool = False
    indirect_probes: int = 0  # requested from other members
    nacks: int = 0  # members that had no answer either, but were heard themselves


class _IndirectProbe(NamedTuple):
    """A probe made for another member."""

    origin: Address
    origin_number: int  # the probe's number at its origin


class Swim:
    """The membership protocol of one member.  Each method takes the time (seconds) and returns actions.

    `wake_at` is the time at which `tick` is to be called next.
    """

    def __init__(self, settings: SwimSettings, me: Member, rng: random.Random, now: float) -> None:
        self.settings = settings
        self.table = MemberTable(me, settings.max_members)
        self.health = LocalHealth()
        self.has_left = False
        self._rng = rng
        self._now = now
        self._gossip = GossipQueue(settings.retransmit_multiplier)
        self._suspicions: dict[str, Suspicion] = {}
        self._probe_round: list[str] = []  # names still to be probed in this round
        self._probe_number = rng.getrandbits(PROBE_NUMBER_BITS)
        self._probes: dict[int, _Probe] = {}
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._timers = TimerQueue()
        self._actions: list[Action] = []
        self._sync_interval = min(INITIAL_SYNC_SECONDS, settings.sync_interval_seconds)
        # The order of these draws is part of "one seed, one run".
        self._call_later(0.0, self._rejoin)
        self._call_later(settings.probe_interval_seconds * rng.random(), self._start_probe)
        self._call_later(settings.gossip_interval_seconds * rng.random(), self._send_gossip)
        self._call_later(self._sync_interval * (0.5 + rng.random()), self._start_sync)
        self._call_later(FORGET_CHECK_SECONDS, self._forget_stopped)

    @property
    def me(self) -> Member:
        """This member as it is now."""
        return self.table.me

    @property
    def wake_at(self) -> float:
        """The time at which the next timer is due."""
        return self._timers.next_due_at

    # --- Events -------------------------------------------------------------------------------------
    def tick(self, now: float) -> list[Action]:
        """Run the timers that are due."""
        self._begin_event(now)
        while (callback := self._timers.pop_due(now)) is not None:
            callback()
        return self._take_actions()

    def handle_packet(self, now: float, packet: Packet) -> list[Action]:
        """Handle a datagram of another member; it is answered at the address that its sender advertises."""
        self._begin_event(now)
        sender = packet.sender
        self._handle_update(sender)
        self.table.update_load(sender.name, sender.start_time_ms, sender.load)
        for update in packet.updates:
            self._handle_update(update)
        if packet.kind is PacketKind.PING and packet.target == self.me.name:
            self._send(sender.address, PacketKind.ACK, packet.number, about=sender.name)
        elif packet.kind is PacketKind.PING_REQUEST:
            self._start_indirect_probe(sender.address, packet)
        elif packet.kind is PacketKind.ACK:
            self._handle_ack(packet.number)
        elif packet.kind is PacketKind.NACK and packet.number in self._probes:
            self._probes[packet.number].nacks += 1
        return self._take_actions()

    def handle_sync(self, now: float, received: PushPullSync) -> list[Action]:
        """Merge all that another member knows.  A death it reports counts as a suspicion only."""
        self._begin_event(now)
        self._handle_update(received.sender)
        for update in received.members:
            if update.state is MemberState.DEAD:
                self._handle_update(update.with_state(MemberState.SUSPECT, received.sender.name))
            else:
                self._handle_update(update)
        return self._take_actions()

    def full_state(self) -> PushPullSync:
        """All that this member knows, to be sent to another."""
        names = sorted(self.table.known)
        return PushPullSync(self.me, tuple(self.table.known[name] for name in names if name != self.me.name))

    def leave(self, now: float) -> list[Action]:
        """Announce that this member leaves; from then on it refutes nothing."""
        self._begin_event(now)
        self.has_left = True
        self._update_me(replace(self.me, state=MemberState.LEFT))
        for member in self._random_others(2 * self.settings.gossip_fanout):
            self._send(member.address, PacketKind.GOSSIP, about=self.me.name)
        return self._take_actions()

    def set_load(self, load: int) -> None:
        """Set this member's load; it travels with whatever is sent next."""
        self.table.set_me(replace(self.me, load=load))

    # --- Timers, actions and packets ----------------------------------------------------------------
    def _begin_event(self, now: float) -> None:
        """Set the time; if this process did not run meanwhile, do not blame the others.

        After a stall (stopped, or without processor time) all timers are postponed by as much, and local
        health gets worse.
        """
        delay = now - self.wake_at
        if delay > STALL_FRACTION * self.settings.probe_interval_seconds:
            self._timers.postpone_all(delay)
            for suspicion in self._suspicions.values():
                suspicion.stalled_seconds += delay
            self.health.adjust(1 + int(delay / self.settings.probe_interval_seconds))
            self._report(MemberEventKind.STALLED, self.me)
        self._now = now

    def _take_actions(self) -> list[Action]:
        actions = self._actions
        self._actions = []
        return actions

    def _call_later(self, delay: float, callback: Callable[[], None]) -> None:
        self._timers.call_at(self._now + delay, callback)

    def _report(self, kind: MemberEventKind, member: Member) -> None:
        self._actions.append(MemberEvent(kind, member))

    def _send(
        self,
        to: Address,
        kind: PacketKind,
        number: int = 0,
        target: str = "",
        address: Address = ("", 0),
        about: str | None = None,
    ) -> None:
        """Send a packet with updates; one on member `about` comes first if it is not alive, to be refuted."""
        known = self.table.known.get(about) if about else None
        first = (known,) if known is not None and known.state is not MemberState.ALIVE else ()
        gossip = self._gossip.next_updates(MAX_UPDATES_PER_PACKET - len(first), self.table.running_count)
        packet = Packet(kind, self.me, number, target, address, first + gossip)
        self._actions.append(SendPacket(to, packet))

    def _random_others(self, count: int, excluded: str = "") -> list[Member]:
        """At most `count` of the other running members, drawn at random."""
        others = self.table.others
        drawn = self._rng.sample(others, min(count + 1, len(others)))
        return [member for member in drawn if member.name != excluded][:count]

    # --- Probes -------------------------------------------------------------------------------------
    def _start_probe(self) -> None:
        """Probe the next member.  Each is probed once in a round; each round has a new random order."""
        interval = self.settings.probe_interval_seconds * self.health.multiplier
        target = self._next_probe_target()
        if target is None or self.has_left:
            self._call_later(interval, self._start_probe)
            return
        self._probe_number += 1
        number = self._probe_number
        probe = _Probe(target)
        self._probes[number] = probe
        self._send(target.address, PacketKind.PING, number, target.name, about=target.name)
        timeout = self.settings.probe_timeout_seconds * self.health.multiplier
        self._call_later(timeout, lambda: self._request_indirect_probes(number, probe))
        self._call_later(interval, lambda: self._finish_probe(number, probe))

    def _next_probe_target(self) -> Member | None:
        for _ in range(2):  # what is left of this round, then a new one
            while self._probe_round:
                member = self.table.known.get(self._probe_round.pop())
                if member is not None and member.is_running and member.name != self.me.name:
                    return member
            self._probe_round = [member.name for member in self.table.others]
            self._rng.shuffle(self._probe_round)
        return None

    def _request_indirect_probes(self, number: int, probe: _Probe) -> None:
        if probe.is_acknowledged:
            return
        target = probe.target
        proxies = self._random_others(self.settings.indirect_probe_count, target.name)
        probe.indirect_probes = len(proxies)
        for proxy in proxies:
            self._send(proxy.address, PacketKind.PING_REQUEST, number, target.name, target.address)

    def _finish_probe(self, number: int, probe: _Probe) -> None:
        """End a probe and start the next; missing nacks speak against this member, not against its target."""
        del self._probes[number]
        if probe.is_acknowledged:
            self.health.adjust(-1)
        else:
            self.health.adjust(probe.indirect_probes - probe.nacks if probe.indirect_probes else 1)
            self._suspect_unless_restarted(probe.target)
        self._start_probe()

    def _suspect_unless_restarted(self, target: Member) -> None:
        known = self.table.known.get(target.name)
        if known is not None and known.is_running and known.start_time_ms == target.start_time_ms:
            self._handle_update(known.with_state(MemberState.SUSPECT, self.me.name))

    def _handle_ack(self, number: int) -> None:
        if number in self._probes:
            self._probes[number].is_acknowledged = True
        elif number in self._indirect_probes:
            indirect = self._indirect_probes.pop(number)
            self._send(indirect.origin, PacketKind.ACK, indirect.origin_number)

    def _start_indirect_probe(self, origin: Address, packet: Packet) -> None:
        """Probe a member for another one, and send a nack if there is no answer in time."""
        if len(self._indirect_probes) >= MAX_INDIRECT_PROBES:
            return
        self._probe_number += 1
        number = self._probe_number
        self._indirect_probes[number] = _IndirectProbe(origin, packet.number)
        self._send(packet.address, PacketKind.PING, number, packet.target, about=packet.target)

        def send_nack() -> None:
            """Tell the member that asked that this one is alive, though its target has not answered."""
            if number in self._indirect_probes:
                self._send(origin, PacketKind.NACK, packet.number)

        self._call_later(NACK_TIMEOUT_FRACTION * self.settings.probe_timeout_seconds, send_nack)
        self._call_later(self.settings.probe_interval_seconds, lambda: self._forget_indirect_probe(number))

    def _forget_indirect_probe(self, number: int) -> None:
        self._indirect_probes.pop(number, None)

    # --- Updates ------------------------------------------------------------------------------------
    def _handle_update(self, update: Member) -> None:
        """Merge an update on a member, and gossip it if it is new."""
        if update.name == self.me.name:
            self._handle_update_on_me(update)
            return
        known = self.table.known.get(update.name)
        if not self.table.merge(self._now, update):
            self._confirm_suspicion(update)
            return
        self._gossip.add(update)
        suspicion = self._suspicions.pop(update.name, None)
        if update.state is MemberState.SUSPECT:
            self._start_suspicion(update)
        if known is None or (known.start_time_ms != update.start_time_ms and update.is_running):
            self._report(MemberEventKind.JOINED, update)
        elif known.state is not update.state and (
            update.state is not MemberState.ALIVE or suspicion or not known.is_running
        ):
            self._report(MemberEventKind[update.state.name], update)

    def _handle_update_on_me(self, update: Member) -> None:
        """Refute an update that is wrong.

        One with a later start time is of a process before this one whose clock was ahead, unless it runs at
        another address: then two processes have one name, which the operator has to settle.
        """
        if self.has_left:
            return
        if update.start_time_ms > self.me.start_time_ms:
            if update.address != self.me.address and update.is_running:
                self._report(MemberEventKind.CONFLICT, update)
                return
            self._update_me(replace(self.me, start_time_ms=update.start_time_ms + 1, incarnation=0))
        elif update.precedence >= self.me.precedence and update.state is not MemberState.ALIVE:
            self._update_me(replace(self.me, incarnation=update.incarnation + 1))
            self.health.adjust(1)
            self._report(MemberEventKind.REFUTED, update)

    def _update_me(self, me: Member) -> None:
        self.table.set_me(me)
        self._gossip.add(me)

    # --- Suspicions ---------------------------------------------------------------------------------
    def _start_suspicion(self, update: Member) -> None:
        settings = self.settings
        member_count = self.table.running_count
        min_timeout = (
            settings.suspicion_multiplier
            * max(1.0, math.log10(max(1, member_count)))
            * settings.probe_interval_seconds
        )
        max_timeout = settings.max_suspicion_multiplier * min_timeout
        # All but the suspected member and its reporter may confirm.
        confirmations = min(settings.expected_confirmations, member_count - 2)
        suspicion = Suspicion(self._now, update.reported_by, min_timeout, max_timeout, confirmations)
        self._suspicions[update.name] = suspicion
        self._check_suspicion_later(update.name, suspicion)

    def _confirm_suspicion(self, update: Member) -> None:
        """Count an independent suspicion as a confirmation; it is gossiped, as it shortens the timeout."""
        suspicion = self._suspicions.get(update.name)
        known = self.table.known.get(update.name)
        if suspicion is None or known is None or update.state is not MemberState.SUSPECT:
            return
        if update.precedence == known.precedence and suspicion.confirm(update.reported_by):
            self._gossip.add(update)
            self._check_suspicion_later(update.name, suspicion)

    def _check_suspicion_later(self, name: str, suspicion: Suspicion) -> None:
        """Check a suspicion at its deadline, or in the next tick if that has passed."""
        remaining = max(0.0, suspicion.deadline - self._now)
        self._call_later(remaining, lambda: self._check_suspicion(name, suspicion))

    def _check_suspicion(self, name: str, suspicion: Suspicion) -> None:
        """Declare a member dead if this suspicion still holds and its deadline has passed."""
        if self._suspicions.get(name) is not suspicion:
            return
        if self._now < suspicion.deadline - DEADLINE_TOLERANCE_SECONDS:
            self._check_suspicion_later(name, suspicion)
            return
        self._handle_update(self.table.known[name].with_state(MemberState.DEAD, self.me.name))

    # --- Periodic work ------------------------------------------------------------------------------
    def _send_gossip(self) -> None:
        for member in self._random_others(self.settings.gossip_fanout):
            if len(self._gossip):
                self._send(member.address, PacketKind.GOSSIP)
        self._call_later(self.settings.gossip_interval_seconds, self._send_gossip)

    def _start_sync(self) -> None:
        """Synchronise with one member; the interval doubles from a short one to that of the settings."""
        for member in self._random_others(1):
            self._actions.append(StartSync(member.address))
        # Less often in a large fleet, as each synchronisation holds the whole table.
        scale = max(1.0, math.log2(self.table.running_count) - 4)
        self._sync_interval = min(2 * self._sync_interval, self.settings.sync_interval_seconds * scale)
        self._call_later(self._sync_interval * (0.75 + 0.5 * self._rng.random()), self._start_sync)

    def _rejoin(self) -> None:
        """Try to reach a seed that is not known to run, or a dead member: so a partition heals.

        Each member tries at random, less often in a larger fleet; one that is alone tries in each interval.
        """
        running = {member.address for member in self.table.others}
        dead = [member.address for member in self.table.stopped_members if member.state is MemberState.DEAD]
        unreached = sorted({*self.settings.seeds, *dead} - running - {self.me.address})
        probability = max(MIN_REJOIN_PROBABILITY, REJOINING_MEMBERS / self.table.running_count)
        if unreached and not self.has_left and self._rng.random() < probability:
            self._actions.append(StartSync(self._rng.choice(unreached)))
        interval = self.settings.rejoin_interval_seconds
        self._call_later(interval * (0.5 + self._rng.random() / 2), self._rejoin)

    def _forget_stopped(self) -> None:
        for member in self.table.stopped_members:
            if self._now - self.table.state_changed_at[member.name] > self.settings.forget_after_seconds:
                self.table.remove(member.name)
        self._call_later(FORGET_CHECK_SECONDS, self._forget_stopped)
