"""An instance's return among others: its turn at discovery, its door, and what it heeds of its peers' word.

What is decided lies in `recovery`; this gives it the clock, the fleet, the list and the engine.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from stalltiller.adapters.target_directory import TargetDirectory
from stalltiller.daemon.admission_gate import RecoveryAdmissionGate
from stalltiller.recovery import (
    Ask,
    Book,
    Calm,
    Caution,
    Change,
    Facts,
    Herd,
    Phases,
    Turns,
    View,
    Word,
    recall,
    remember,
)
from stalltiller.routing.engine import Engine
from stalltiller.transport.watch import BackoffPollPolicy

if TYPE_CHECKING:
    from stalltiller.fleet.membership_agent import MembershipAgent

GATHER_EVERY = 0.1  # s between looks whether it is time to judge
FRESH = 30.0  # s: a kept list older than this is served from once discovery or a peer has confirmed it
CONFIRM = 5.0  # s after the start past which it has to do, as discovery and all peers are silent
TEACH = 5.0  # s after the start for which peers' paces are better than none of one's own

Log = Callable[..., None]


class ListPollPolicy:
    """The pace of list calls in a fleet: the first and failed ones are made in turns while many come back."""

    def __init__(self, alone: BackoffPollPolicy, returning: RecoveryCoordinator) -> None:
        self._alone, self._returning = alone, returning
        self._turns = Turns(alone.poll_wait, random.Random())

    def timeout(self, waits: bool) -> float:
        return self._alone.timeout(waits)

    def initial_delay(self) -> float:
        return self._returning.hold(self._turns)

    def backoff(self, failures: int, jitter_fraction: float) -> float:
        view = self._returning.failed()
        if view.size == 1 and self._returning.herd.last_size == 1:
            return self._alone.backoff(failures, jitter_fraction)
        return self._turns.again(time.time(), view, failures)


class RecoveryCoordinator:
    """One life's return.  `calm` is what was kept of before, `paces` the targets whose pace was kept."""

    def __init__(
        self,
        name: str,
        address: str,
        engine: Engine,
        directory: TargetDirectory,
        book: Book,
        calm: Calm,
        herd: Herd,
        phases: Phases,
        log: Log,
    ) -> None:
        self.phases = phases
        self._name, self._address, self._engine, self._log = name, address, engine, log
        self._directory, self._book, self.calm, self.herd = directory, book, calm, herd
        self._loop = asyncio.get_running_loop()
        self._began = self._loop.time()
        self._node: MembershipAgent | None = None
        self._caution = Caution(address)
        self.taught: set[str] = set()  # targets whose pace is known from before or from a peer
        self._turned = False  # the turn of the first list call has been told
        self._confirmed = False  # by discovery: the list known is its newest
        self._told = False  # by a peer
        self.door = RecoveryAdmissionGate(lambda: engine.settings, lambda: engine.target_count)
        engine.set_admission_gate(self.door)

    @property
    def age(self) -> float:
        """Seconds since the start."""
        return self._loop.time() - self._began

    @property
    def view(self) -> View:
        if self._node is None:
            return View()
        members = [self._node.swim.me, *self._node.swim.table.others]
        return View.of(self._name, {member.name: member.start_time_ms / 1000 for member in members})

    @property
    def peers(self) -> tuple[tuple[str, str, int], ...]:
        """Name, host and port of the other members that run, or of those from before if there are none."""
        others = [] if self._node is None else self._node.swim.table.others
        return tuple((member.name, *member.address) for member in others) or self.calm.peers

    def joined(self, node: MembershipAgent) -> None:
        """This instance is in a fleet now."""
        self._node = node

    # --- The door ---------------------------------------------------------------------------------
    def narrow(self) -> None:
        """Begin a ramp, if this may be one of many that came back."""
        view = self.view
        if self.herd.verdict(view, self.age):
            self.door.narrow(dict(self.calm.rates), self.herd.size(view))

    def look(self) -> None:
        """Open the door once the ramp is over, or if it shows that nobody else came back."""
        ramp = self.door.ramp
        if (
            ramp is not None
            and self._book.index
            and (ramp.over(self._loop.time()) or not self.herd.verdict(self.view, self.age))
        ):
            self._log("recovery_door", open_after_s=round(self.age, 3), **self.door.open())

    # --- The list ---------------------------------------------------------------------------------
    def hold(self, turns: Turns) -> float:
        """Seconds until it is worth asking again whether the first list call may be made; 0: now."""
        if self._turned:
            return 0.0
        if self._book.index and self.herd.gathering(self.age):
            return GATHER_EVERY
        self._turned = True
        view = self.view
        herd = self.herd.verdict(view, self.age)
        rest = turns.first(time.time(), view) if herd else 0.0
        self._log(
            "recovery_turn", herd=herd, size=self.herd.size(view), young=view.young, wait_s=round(rest, 3)
        )
        return rest

    def failed(self) -> View:
        """A list call has failed: from now on peers are asked what is new."""
        self._confirmed = False
        return self.view

    def took(self, index: int, first: bool) -> None:
        """Discovery has answered, if only that nothing is new; `first`: until now no list was known."""
        self._confirmed = True
        if first and self.door.ramp is not None:
            self.door.ramp.again(self._loop.time())
        if self._caution.told(index):
            self._heed()

    def moved(self, address: str) -> None:
        """Another discovery is watched from now on."""
        self._address, self._confirmed, self._told = address, False, False
        self._caution = Caution(address)
        self._heed()

    def trusts(self, heard_at: float, ask_peers: float) -> bool:
        """Whether a list that discovery last confirmed at a Unix time is good enough for this instance to be
        ready.  The operator may have it wait so many seconds for word of a peer."""
        if self._confirmed or self._told:
            return True
        if self.age < ask_peers:
            return False
        return heard_at > time.time() - FRESH or self.age >= CONFIRM

    # --- Peers ------------------------------------------------------------------------------------
    def ask(self) -> Ask | None:
        """What to ask of peers: what has changed, as long as discovery itself does not tell."""
        return None if self._confirmed else Ask(self._address, self._book.index)

    def answer(self, ask: Ask) -> Word | None:
        """What this instance can tell one that comes back."""
        listing = self._book.listing
        if listing is None or ask.discovery != self._address:
            return None
        newer = self._book.newer(ask.index)
        changes = [target for target in listing.targets if target.started_at] if newer is None else newer
        paces, _ = self._engine.inspect_scheduler(remember)
        return Word(
            self._address,
            listing.version,
            ask.index,
            self._confirmed and newer is not None,
            tuple(Change(target.name, target.status, target.started_at) for target in changes),
            paces,
            self.calm,
        )

    def heard(self, word: Word) -> None:
        """A peer has answered."""
        listing = self._book.listing
        if listing is None or word.discovery != self._address:
            return
        self._told = self._told or self._caution.confirms(word, listing.version)
        if self._caution.took(
            word, listing.version, {each.name: each.started_at for each in listing.targets}
        ):
            self._heed()
        self.phases.learn(word.calm.share)
        if self.door.ramp is not None:
            self.door.ramp.learn(dict(word.calm.rates))
        new = tuple(pace for pace in word.paces if pace.target not in self.taught)
        if new and self.age < TEACH:
            self.taught |= {pace.target for pace in new}
            facts = Facts(self._name, self._address, time.time(), paces=new)
            self._engine.inspect_scheduler(lambda scheduler, now, wall: recall(scheduler, facts, now, wall))

    def _heed(self) -> None:
        withheld, starts = self._caution.withheld, self._caution.starts
        self._log("recovery_heeded", withheld=sorted(withheld), started=sorted(starts))
        self._directory.apply_peer_state(withheld, starts)

    def status(self) -> dict[str, object]:
        """What an operator may want to know."""
        ramp = self.door.ramp
        return {
            "ramping": ramp is not None,
            "door": {} if ramp is None else dict(ramp.counts),
            "withheld": sorted(self._caution.withheld),
        }
