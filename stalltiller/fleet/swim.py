"""SWIM membership protocol with Lifeguard's extensions, without I/O.

Time, randomness and received messages are passed in, and each method returns the actions to execute, so runs
with the same seed are identical.  `Swim` owns the member table.  Sources: Das, Gupta, Motivala, "SWIM:
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

MAX_UPDATES_PER_PACKET = 6  # with the longest names, this many fit into 1400 bytes
# A nack is sent after this fraction of the probe timeout, so that it arrives before the origin's own timeout.
NACK_TIMEOUT_FRACTION = 0.8
# A timer that is late by more than this fraction of the probe interval means that this process did not run.
STALL_FRACTION = 0.5
MAX_INDIRECT_PROBES = 256  # concurrent probes for other members; bounds the memory that a request flood takes
INITIAL_SYNC_SECONDS = 1.0  # short, since few members know this one just after its start; doubles each time
FORGET_CHECK_SECONDS = 5.0  # interval between checks for members to forget
MIN_REJOIN_PROBABILITY = 0.1  # minimum probability of a rejoin attempt per interval, in any size of fleet
REJOINING_MEMBERS = 3  # average number of members in the fleet that attempt to rejoin per interval
DEADLINE_TOLERANCE_SECONDS = 1e-6  # allows for floating-point rounding
# Probe numbers start at a random value, so that a restarted member does not reuse its earlier numbers.
PROBE_NUMBER_BITS = 30


@dataclass(slots=True)
class _Probe:
    """A probe that this member sent on its own behalf."""

    target: Member
    is_acknowledged: bool = False
    indirect_probes: int = 0  # number requested from other members
    nacks: int = 0  # received from members that got no ack from the target either


class _IndirectProbe(NamedTuple):
    """A probe that this member sent on behalf of another."""

    origin: Address
    origin_number: int  # the probe number that the origin uses


class Swim:
    """The membership protocol of one member.  Event methods take the time in seconds and return actions.

    The caller has to call `tick` at `wake_at`.
    """

    def __init__(self, settings: SwimSettings, local_member: Member, rng: random.Random, now: float) -> None:
        self.settings = settings
        self.table = MemberTable(local_member, settings.max_members)
        self.health = LocalHealth()
        self.has_left = False
        self._rng = rng
        self._now = now
        self._gossip = GossipQueue(settings.retransmit_multiplier)
        self._suspicions: dict[str, Suspicion] = {}
        self._probe_round: list[str] = []  # names that remain to be probed in this round
        self._probe_number = rng.getrandbits(PROBE_NUMBER_BITS)
        self._probes: dict[int, _Probe] = {}
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._timers = TimerQueue()
        self._actions: list[Action] = []
        self._sync_interval = min(INITIAL_SYNC_SECONDS, settings.sync_interval_seconds)
        # Runs with the same seed are identical only if the order of these random draws stays.
        self._call_later(0.0, self._rejoin)
        self._call_later(settings.probe_interval_seconds * rng.random(), self._start_probe)
        self._call_later(settings.gossip_interval_seconds * rng.random(), self._send_gossip)
        self._call_later(self._sync_interval * (0.5 + rng.random()), self._start_sync)
        self._call_later(FORGET_CHECK_SECONDS, self._forget_stopped)

    @property
    def local_member(self) -> Member:
        """This member's current state."""
        return self.table.local_member

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
        """Handle a datagram from another member; responses go to the address that the sender advertises."""
        self._begin_event(now)
        sender = packet.sender
        self._handle_update(sender)
        self.table.update_load(sender.name, sender.start_time_ms, sender.load)
        for update in packet.updates:
            self._handle_update(update)
        if packet.kind is PacketKind.PING and packet.target == self.local_member.name:
            self._send(sender.address, PacketKind.ACK, packet.number, priority_update=sender.name)
        elif packet.kind is PacketKind.PING_REQUEST:
            self._start_indirect_probe(sender.address, packet)
        elif packet.kind is PacketKind.ACK:
            self._handle_ack(packet.number)
        elif packet.kind is PacketKind.NACK and packet.number in self._probes:
            self._probes[packet.number].nacks += 1
        return self._take_actions()

    def handle_sync(self, now: float, received: PushPullSync) -> list[Action]:
        """Merge another member's full state; members that it reports as dead become only suspects."""
        self._begin_event(now)
        self._handle_update(received.sender)
        for update in received.members:
            if update.state is MemberState.DEAD:
                self._handle_update(update.with_state(MemberState.SUSPECT, received.sender.name))
            else:
                self._handle_update(update)
        return self._take_actions()

    def full_state(self) -> PushPullSync:
        """Return this member's view of the fleet, to send to another member."""
        names = sorted(self.table.known)
        return PushPullSync(
            self.local_member,
            tuple(self.table.known[name] for name in names if name != self.local_member.name),
        )

    def leave(self, now: float) -> list[Action]:
        """Announce that this member leaves; it no longer refutes updates about itself."""
        self._begin_event(now)
        self.has_left = True
        self._update_local_member(replace(self.local_member, state=MemberState.LEFT))
        for member in self._random_others(2 * self.settings.gossip_fanout):
            self._send(member.address, PacketKind.GOSSIP, priority_update=self.local_member.name)
        return self._take_actions()

    def set_load(self, load: int) -> None:
        """Set this member's load, which every packet carries."""
        self.table.set_local_member(replace(self.local_member, load=load))

    # --- Timers, actions and packets ----------------------------------------------------------------
    def _begin_event(self, now: float) -> None:
        """Set the time and detect a stall of this process, so that it does not suspect other members.

        After a stall (process stopped, or without processor time) all timers are postponed by its duration,
        and the local health score gets worse.
        """
        delay = now - self.wake_at
        if delay > STALL_FRACTION * self.settings.probe_interval_seconds:
            self._timers.postpone_all(delay)
            for suspicion in self._suspicions.values():
                suspicion.stalled_seconds += delay
            self.health.adjust(1 + int(delay / self.settings.probe_interval_seconds))
            self._report(MemberEventKind.STALLED, self.local_member)
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
        priority_update: str | None = None,
    ) -> None:
        """Send a packet with gossip.

        If member `priority_update` is known as not alive, that update comes first, so that the member can
        refute it.
        """
        known = self.table.known.get(priority_update) if priority_update else None
        first = (known,) if known is not None and known.state is not MemberState.ALIVE else ()
        gossip = self._gossip.next_updates(MAX_UPDATES_PER_PACKET - len(first), self.table.running_count)
        packet = Packet(kind, self.local_member, number, target, address, first + gossip)
        self._actions.append(SendPacket(to, packet))

    def _random_others(self, count: int, excluded: str = "") -> list[Member]:
        """Return at most `count` of the other running members, selected at random."""
        others = self.table.other_running_members
        selected = self._rng.sample(others, min(count + 1, len(others)))
        return [member for member in selected if member.name != excluded][:count]

    # --- Probes -------------------------------------------------------------------------------------
    def _start_probe(self) -> None:
        """Probe the next member.  A round probes each member once, in a new random order."""
        interval = self.settings.probe_interval_seconds * self.health.multiplier
        target = self._next_probe_target()
        if target is None or self.has_left:
            self._call_later(interval, self._start_probe)
            return
        self._probe_number += 1
        number = self._probe_number
        probe = _Probe(target)
        self._probes[number] = probe
        self._send(target.address, PacketKind.PING, number, target.name, priority_update=target.name)
        timeout = self.settings.probe_timeout_seconds * self.health.multiplier
        self._call_later(timeout, lambda: self._request_indirect_probes(number, probe))
        self._call_later(interval, lambda: self._finish_probe(number, probe))

    def _next_probe_target(self) -> Member | None:
        for _ in range(2):  # first the rest of this round, then a new round
            while self._probe_round:
                member = self.table.known.get(self._probe_round.pop())
                if member is not None and member.is_running and member.name != self.local_member.name:
                    return member
            self._probe_round = [member.name for member in self.table.other_running_members]
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
        """End a probe and start the next; missing nacks suggest a fault of this member, not of its target."""
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
            self._handle_update(known.with_state(MemberState.SUSPECT, self.local_member.name))

    def _handle_ack(self, number: int) -> None:
        if number in self._probes:
            self._probes[number].is_acknowledged = True
        elif number in self._indirect_probes:
            indirect = self._indirect_probes.pop(number)
            self._send(indirect.origin, PacketKind.ACK, indirect.origin_number)

    def _start_indirect_probe(self, origin: Address, packet: Packet) -> None:
        """Probe a member on behalf of another, and send a nack if no ack arrives in time."""
        if len(self._indirect_probes) >= MAX_INDIRECT_PROBES:
            return
        self._probe_number += 1
        number = self._probe_number
        self._indirect_probes[number] = _IndirectProbe(origin, packet.number)
        self._send(packet.address, PacketKind.PING, number, packet.target, priority_update=packet.target)

        def send_nack() -> None:
            """Show the origin that this member is reachable, although the target has not sent an ack."""
            if number in self._indirect_probes:
                self._send(origin, PacketKind.NACK, packet.number)

        self._call_later(NACK_TIMEOUT_FRACTION * self.settings.probe_timeout_seconds, send_nack)
        self._call_later(self.settings.probe_interval_seconds, lambda: self._forget_indirect_probe(number))

    def _forget_indirect_probe(self, number: int) -> None:
        self._indirect_probes.pop(number, None)

    # --- Updates ------------------------------------------------------------------------------------
    def _handle_update(self, update: Member) -> None:
        """Merge an update about a member, and gossip it if it changed the table."""
        if update.name == self.local_member.name:
            self._handle_update_about_local_member(update)
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

    def _handle_update_about_local_member(self, update: Member) -> None:
        """Refute a wrong update about this member.

        A later start time stems from an earlier process whose clock was ahead, unless the update is about a
        running process at another address: then two processes use one name, which the operator must resolve.
        """
        if self.has_left:
            return
        if update.start_time_ms > self.local_member.start_time_ms:
            if update.address != self.local_member.address and update.is_running:
                self._report(MemberEventKind.CONFLICT, update)
                return
            self._update_local_member(
                replace(self.local_member, start_time_ms=update.start_time_ms + 1, incarnation=0)
            )
        elif update.precedence >= self.local_member.precedence and update.state is not MemberState.ALIVE:
            self._update_local_member(replace(self.local_member, incarnation=update.incarnation + 1))
            self.health.adjust(1)
            self._report(MemberEventKind.REFUTED, update)

    def _update_local_member(self, local_member: Member) -> None:
        self.table.set_local_member(local_member)
        self._gossip.add(local_member)

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
        # Every member but the suspect and its reporter can confirm the suspicion.
        confirmations = min(settings.expected_confirmations, member_count - 2)
        suspicion = Suspicion(self._now, update.reported_by, min_timeout, max_timeout, confirmations)
        self._suspicions[update.name] = suspicion
        self._check_suspicion_later(update.name, suspicion)

    def _confirm_suspicion(self, update: Member) -> None:
        """Count an independent suspicion as a confirmation, and gossip it since it shortens the timeout."""
        suspicion = self._suspicions.get(update.name)
        known = self.table.known.get(update.name)
        if suspicion is None or known is None or update.state is not MemberState.SUSPECT:
            return
        if update.precedence == known.precedence and suspicion.confirm(update.reported_by):
            self._gossip.add(update)
            self._check_suspicion_later(update.name, suspicion)

    def _check_suspicion_later(self, name: str, suspicion: Suspicion) -> None:
        """Schedule a check of a suspicion at its deadline, or in the next tick if that has passed."""
        remaining = max(0.0, suspicion.deadline - self._now)
        self._call_later(remaining, lambda: self._check_suspicion(name, suspicion))

    def _check_suspicion(self, name: str, suspicion: Suspicion) -> None:
        """Declare a member dead if this suspicion is still current and its deadline has passed."""
        if self._suspicions.get(name) is not suspicion:
            return
        if self._now < suspicion.deadline - DEADLINE_TOLERANCE_SECONDS:
            self._check_suspicion_later(name, suspicion)
            return
        self._handle_update(self.table.known[name].with_state(MemberState.DEAD, self.local_member.name))

    # --- Periodic work ------------------------------------------------------------------------------
    def _send_gossip(self) -> None:
        for member in self._random_others(self.settings.gossip_fanout):
            if len(self._gossip):
                self._send(member.address, PacketKind.GOSSIP)
        self._call_later(self.settings.gossip_interval_seconds, self._send_gossip)

    def _start_sync(self) -> None:
        """Synchronise with a random member; the interval doubles until it reaches the configured one."""
        for member in self._random_others(1):
            self._actions.append(StartSync(member.address))
        # Less often in a large fleet, as each synchronisation transfers the whole table.
        scale = max(1.0, math.log2(self.table.running_count) - 4)
        self._sync_interval = min(2 * self._sync_interval, self.settings.sync_interval_seconds * scale)
        self._call_later(self._sync_interval * (0.75 + 0.5 * self._rng.random()), self._start_sync)

    def _rejoin(self) -> None:
        """Try to reach a dead member, or a seed that is not known to be running, to heal partitions.

        Each member tries with a probability that falls with the size of the fleet; a member that knows no
        other running member tries in every interval.
        """
        running = {member.address for member in self.table.other_running_members}
        dead = [member.address for member in self.table.stopped_members if member.state is MemberState.DEAD]
        unreached = sorted({*self.settings.seeds, *dead} - running - {self.local_member.address})
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
