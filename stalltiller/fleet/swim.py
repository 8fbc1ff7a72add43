"""Membership: SWIM with Lifeguard's additions, without I/O.

Time, randomness and what comes in are handed to it, and it returns what is to be done, so that one seed gives
one run.  Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol"; Lifeguard (see `health`).  `docs/design/fleet.md` weighs the ways.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from stalltiller.fleet.gossip import Gossip
from stalltiller.fleet.local_health import LocalHealth, Suspicion
from stalltiller.fleet.member_table import Address, Member, MemberTable, State
from stalltiller.fleet.messages import Action, MemberEvent, Packet, PacketKind, PushPullSync, Send, Sync

PIGGYBACK = 6  # words in one datagram: what goes in 1400 bytes with the longest names
NACK_SHARE = 0.8  # of a probe's timeout after which a helper says that it has heard nothing either
STALL_SHARE = 0.5  # of a probe's interval by which a timer may be late; past it this member stood still
MOST_HELPED = 256  # probes made for others at once
FIRST_SYNC = 1.0  # s, doubling: soon after a start a member hears little, as few have heard of it
SWEEP_EVERY = 5.0  # s between looks for members to forget


@dataclass(slots=True, frozen=True)
class Settings:
    """Times in seconds."""

    seeds: tuple[Address, ...] = ()
    probe_every: float = 0.5
    probe_timeout: float = 0.2
    helpers: int = 3  # members asked to probe for this one
    suspicion: float = 4.0  # probe intervals, times log10 of the members, that a confirmed suspicion lasts
    suspicion_spread: float = 6.0  # times as long as that, one that nobody confirms lasts
    confirmations: int = 3  # that make a suspicion as short as it gets
    gossip_every: float = 0.2
    fanout: int = 3  # members told each time
    repeat: int = 4  # times log10 of the members, a word is passed on
    sync_every: float = 30.0  # between exchanges of all that is known with a member
    rejoin_every: float = 3.0  # between tries to reach seeds and members taken for dead
    forget_after: float = 120.0  # for which those that are dead or have left are remembered
    most_members: int = 1024


@dataclass(slots=True)
class Probe:
    """A probe of this member's own."""

    target: Member
    answered: bool = False
    asked: int = 0  # helpers
    nacks: int = 0  # helpers that heard nothing either, but were heard


class Swim:
    """The membership of one member.  Each method takes the time and returns actions, in order.

    `wake_at` is the time at which `tick` wants to be called next.
    """

    def __init__(self, settings: Settings, me: Member, draw: random.Random, now: float) -> None:
        self.settings, self._draw, self._now = settings, draw, now
        self.table = MemberTable(me, settings.most_members)
        self.health = LocalHealth()
        self._gossip = Gossip(settings.repeat)
        self._suspicions: dict[str, Suspicion] = {}
        self._round: list[str] = []  # names still to be probed in this round
        self._number = draw.getrandbits(30)
        self._probes: dict[int, Probe] = {}
        self._helped: dict[int, tuple[Address, int]] = {}  # own number: who asked, and that one's number
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._timer_number = 0
        self._actions: list[Action] = []
        self.left = False
        self._after(0.0, self._rejoin)
        self._after(settings.probe_every * draw.random(), self._probe)
        self._after(settings.gossip_every * draw.random(), self._spread)
        self._sync_wait = min(FIRST_SYNC, settings.sync_every)
        self._after(self._sync_wait * (0.5 + draw.random()), self._sync)
        self._after(SWEEP_EVERY, self._forget)

    @property
    def me(self) -> Member:
        return self.table.me

    @property
    def wake_at(self) -> float:
        return self._timers[0][0]

    # --- What comes in ------------------------------------------------------------------------------
    def tick(self, now: float) -> list[Action]:
        """Do what is due."""
        self._begin(now)
        while self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2]()
        return self._end()

    def packet(self, now: float, packet: Packet) -> list[Action]:
        """A datagram of another member of this fleet has come; it is answered at the address it tells."""
        self._begin(now)
        self._word(packet.sender)
        self.table.load(packet.sender.name, packet.sender.start_time_ms, packet.sender.load)
        for word in packet.updates:
            self._word(word)
        if packet.kind is PacketKind.PING and packet.target == self.me.name:
            self._send(packet.sender.address, PacketKind.ACK, packet.number, about=packet.sender.name)
        elif packet.kind is PacketKind.REQUEST:
            self._help(packet.sender.address, packet)
        elif packet.kind is PacketKind.ACK:
            self._acked(packet.number)
        elif packet.kind is PacketKind.NACK and packet.number in self._probes:
            self._probes[packet.number].nacks += 1
        return self._end()

    def exchange(self, now: float, theirs: PushPullSync) -> list[Action]:
        """All that another member knows has come.  Its word of a death counts as a suspicion only."""
        self._begin(now)
        self._word(theirs.sender)
        for word in theirs.members:
            dead = word.state is State.DEAD
            self._word(word.now(State.SUSPECT, theirs.sender.name) if dead else word)
        return self._end()

    def all_known(self) -> PushPullSync:
        """All that this member knows, for another."""
        return PushPullSync(
            self.me,
            tuple(self.table.known[name] for name in sorted(self.table.known) if name != self.me.name),
        )

    def leave(self, now: float) -> list[Action]:
        """Tell that this member leaves; from then on it refutes nothing."""
        self._begin(now)
        self.left = True
        self._me(replace(self.me, state=State.LEFT))
        for member in self._some(2 * self.settings.fanout):
            self._send(member.address, PacketKind.GOSSIP, about=self.me.name)
        return self._end()

    def set_load(self, load: int) -> None:
        """This member's load as of now; it travels with what is sent anyway."""
        self.table.set_me(replace(self.me, load=load))

    # --- Turns --------------------------------------------------------------------------------------
    def _begin(self, now: float) -> None:
        """Guards against taking others for dead after this member stood still (stopped, or out of its
        turn): what was due meanwhile is put off by as long, and it trusts itself less."""
        late = now - self.wake_at
        if late > STALL_SHARE * self.settings.probe_every:
            self._timers = [(at + late, number, act) for at, number, act in self._timers]
            for suspicion in self._suspicions.values():
                suspicion.delay += late
            self.health.change(1 + int(late / self.settings.probe_every))
            self._notice("stalled", self.me)
        self._now = now

    def _end(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions

    def _after(self, wait: float, act: Callable[[], None]) -> None:
        self._timer_number += 1
        heapq.heappush(self._timers, (self._now + wait, self._timer_number, act))

    def _notice(self, event: str, member: Member) -> None:
        self._actions.append(MemberEvent(event, member))

    def _send(
        self,
        to: Address,
        kind: PacketKind,
        number: int = 0,
        target: str = "",
        address: Address = ("", 0),
        about: str | None = None,
    ) -> None:
        """Send a packet with news, first that on `about` unless it is well: it must know."""
        known = self.table.known.get(about) if about else None
        first = (known,) if known is not None and known.state is not State.ALIVE else ()
        news = first + self._gossip.take(PIGGYBACK - len(first), self.table.size)
        self._actions.append(Send(to, Packet(kind, self.me, number, target, address, news)))

    def _some(self, count: int, but: str = "") -> list[Member]:
        """So many of the others that run, drawn at random."""
        others = self.table.others
        drawn = self._draw.sample(others, min(count + 1, len(others)))
        return [member for member in drawn if member.name != but][:count]

    # --- Probes -------------------------------------------------------------------------------------
    def _probe(self) -> None:
        """Begin a probe.  Each member is probed once in a round, in an order drawn anew for each round."""
        interval = self.settings.probe_every * self.health.factor
        target = self._next_target()
        if target is None or self.left:
            self._after(interval, self._probe)
            return
        self._number += 1
        number, probe = self._number, Probe(target)
        self._probes[number] = probe
        self._send(target.address, PacketKind.PING, number, target.name, about=target.name)
        patience = self.settings.probe_timeout * self.health.factor
        self._after(patience, lambda: self._ask_helpers(number, probe))
        self._after(interval, lambda: self._probe_over(number, probe))

    def _next_target(self) -> Member | None:
        for _ in range(2):
            while self._round:
                member = self.table.known.get(self._round.pop())
                if member is not None and member.running and member.name != self.me.name:
                    return member
            self._round = [member.name for member in self.table.others]
            self._draw.shuffle(self._round)
        return None

    def _ask_helpers(self, number: int, probe: Probe) -> None:
        if probe.answered:
            return
        helpers = self._some(self.settings.helpers, probe.target.name)
        probe.asked = len(helpers)
        for helper in helpers:
            self._send(helper.address, PacketKind.REQUEST, number, probe.target.name, probe.target.address)

    def _probe_over(self, number: int, probe: Probe) -> None:
        """End a probe: helpers not heard at all speak against this member, not against its target."""
        del self._probes[number]
        if probe.answered:
            self.health.change(-1)
        else:
            self.health.change(probe.asked - probe.nacks if probe.asked else 1)
            known = self.table.known.get(probe.target.name)
            if known is not None and known.running and known.start_time_ms == probe.target.start_time_ms:
                self._word(known.now(State.SUSPECT, self.me.name))
        self._probe()

    def _acked(self, number: int) -> None:
        if number in self._probes:
            self._probes[number].answered = True
        elif number in self._helped:
            asker, theirs = self._helped.pop(number)
            self._send(asker, PacketKind.ACK, theirs)

    def _help(self, source: Address, packet: Packet) -> None:
        """Probe a member for another one, and say so if it is not heard in time."""
        if len(self._helped) >= MOST_HELPED:
            return
        self._number += 1
        number = self._number
        self._helped[number] = source, packet.number
        self._send(packet.address, PacketKind.PING, number, packet.target, about=packet.target)

        def unheard() -> None:
            if self._helped.get(number) is not None:
                self._send(source, PacketKind.NACK, packet.number)

        self._after(NACK_SHARE * self.settings.probe_timeout, unheard)
        self._after(self.settings.probe_every, lambda: self._helped.pop(number, None))

    # --- Words --------------------------------------------------------------------------------------
    def _word(self, word: Member) -> None:
        """Hear what is said of a member."""
        if word.name == self.me.name:
            self._about_me(word)
            return
        old = self.table.known.get(word.name)
        if not self.table.put(self._now, word):
            self._confirm(word)
            return
        self._gossip.add(word)
        suspicion = self._suspicions.pop(word.name, None)
        if word.state is State.SUSPECT:
            self._suspect(word)
        if old is None or (old.start_time_ms != word.start_time_ms and word.running):
            self._notice("joined", word)
        elif old.state is not word.state and (word.state is not State.ALIVE or suspicion or not old.running):
            self._notice(word.state.name.lower(), word)

    def _about_me(self, word: Member) -> None:
        """Refute what is wrong.  A later life that is dead was this one's forerunner with a clock ahead."""
        if self.left:
            return
        if word.start_time_ms > self.me.start_time_ms:
            if word.address != self.me.address and word.running:
                self._notice("conflict", word)  # two processes of one name: the operator's to settle
                return
            self._me(replace(self.me, start_time_ms=word.start_time_ms + 1, incarnation=0))
        elif word.order >= self.me.order and word.state is not State.ALIVE:
            self._me(replace(self.me, incarnation=word.incarnation + 1))
            self.health.change(1)
            self._notice("refuted", word)

    def _me(self, me: Member) -> None:
        self.table.set_me(me)
        self._gossip.add(me)

    def _suspect(self, word: Member) -> None:
        settings = self.settings
        least = settings.suspicion * max(1.0, math.log10(max(1, self.table.size))) * settings.probe_every
        wanted = min(settings.confirmations, self.table.size - 2)  # all but the two concerned may confirm
        suspicion = Suspicion(self._now, word.by, least, settings.suspicion_spread * least, wanted)
        self._suspicions[word.name] = suspicion
        self._after(suspicion.end - self._now, lambda: self._judge(word.name, suspicion))

    def _confirm(self, word: Member) -> None:
        """Hear another's suspicion of a member under suspicion; it is passed on, as it shortens the wait."""
        suspicion, known = self._suspicions.get(word.name), self.table.known.get(word.name)
        if suspicion is None or word.state is not State.SUSPECT or word.order != known.order:
            return
        if suspicion.confirm(word.by):
            self._gossip.add(word)
            self._after(max(0.0, suspicion.end - self._now), lambda: self._judge(word.name, suspicion))

    def _judge(self, name: str, suspicion: Suspicion) -> None:
        """Take a member for dead if it is still under that suspicion and its time is over."""
        if self._suspicions.get(name) is not suspicion:
            return
        if self._now < suspicion.end - 1e-6:
            self._after(suspicion.end - self._now, lambda: self._judge(name, suspicion))
            return
        self._word(self.table.known[name].now(State.DEAD, self.me.name))

    # --- Now and then -------------------------------------------------------------------------------
    def _spread(self) -> None:
        for member in self._some(self.settings.fanout):
            if len(self._gossip):
                self._send(member.address, PacketKind.GOSSIP)
        self._after(self.settings.gossip_every, self._spread)

    def _sync(self) -> None:
        for member in self._some(1):
            self._actions.append(Sync(member.address))
        scale = max(1.0, math.log2(self.table.size) - 4)  # seldom in a large fleet: an exchange holds it all
        self._sync_wait = min(2 * self._sync_wait, self.settings.sync_every * scale)
        self._after(self._sync_wait * (0.75 + 0.5 * self._draw.random()), self._sync)

    def _rejoin(self) -> None:
        """Try to reach a seed not known to run, or a member taken for dead: so a partition heals.

        Each member tries now and then only, the more seldom the larger its fleet is; one that is alone tries
        at each turn.
        """
        running = {member.address for member in self.table.others}
        dead = [m.address for m in self.table.ended if m.state is State.DEAD]
        lost = sorted({*self.settings.seeds, *dead} - running - {self.me.address})
        if lost and not self.left and self._draw.random() < max(0.1, 3 / self.table.size):
            self._actions.append(Sync(self._draw.choice(lost)))
        self._after(self.settings.rejoin_every * (0.5 + self._draw.random() / 2), self._rejoin)

    def _forget(self) -> None:
        for member in self.table.ended:
            if self._now - self.table.since[member.name] > self.settings.forget_after:
                self.table.drop(member.name)
        self._after(SWEEP_EVERY, self._forget)
