"""Has an instance keep what it needs to come back, take it up at its next start and tell how far it is."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from stalltiller.adapters.target_directory import TargetDirectory
from stalltiller.daemon.peer_state_exchange import PeerStateExchange
from stalltiller.daemon.recovery_coordinator import ListPollPolicy, RecoveryCoordinator
from stalltiller.protocol.discovery import TargetList
from stalltiller.recovery import Book, Calm, Facts, Herd, Phases, Refused, Store, recall, remember, usable
from stalltiller.routing.engine import Engine
from stalltiller.transport.watch import BackoffPollPolicy, PollPolicy

if TYPE_CHECKING:
    from stalltiller.fleet.membership_agent import MembershipAgent

LOOK_EVERY = 0.1  # s between looks at the counts
SAVE_GAP = 0.05  # s between savings at the least, however fast the list changes
SHARE_GAIN = 0.2  # weight of the share served just now in that of the calm

Log = Callable[..., None]


@dataclass(slots=True, frozen=True)
class RecoveryConfig:
    """The [recovery] section of an operator's file; times in seconds."""

    folder: str
    save_every: float = 2.0
    ramp: bool = True  # in a fleet: whether returns are paced
    ask_peers: float = 0.0  # for which readiness waits for word of a peer


class RecoveryService:
    """One instance's kept state.  Saving blocks a thread of its own, never the loop."""

    def __init__(
        self,
        config: RecoveryConfig,
        name: str,
        address: str,
        engine: Engine,
        directory: TargetDirectory,
        in_fleet: bool,
        log: Log,
    ) -> None:
        """Open the store and narrow the door if need be; raises OSError."""
        self._config, self._store = config, Store(config.folder)
        self._name, self._address, self._engine, self._log = name, address, engine, log
        self._loop = asyncio.get_running_loop()
        self._book, self._heard_at = Book(), 0.0
        self._kept = kept = self._load()
        calm = Calm() if kept is None else kept.calm
        self.phases = Phases(self._loop.time(), calm.share)
        paced = in_fleet and config.ramp
        # No peers are kept if it was saved before it met any.
        size = len(calm.peers) + 1 if calm.peers else engine.settings.initiator_count
        herd = Herd(size if paced else 1, killed=kept is None or not kept.closed)
        self.returning = RecoveryCoordinator(
            name, address, engine, directory, self._book, calm, herd, self.phases, log
        )
        self._paced, self._peers = paced, None
        if paced:
            self.returning.narrow()
        self._saving: asyncio.Task | None = None
        self._news = asyncio.Event()  # the list has changed: it is kept at once
        self._looking: asyncio.TimerHandle | None = None

    def _load(self) -> Facts | None:
        """The facts that may still be believed.  What must not be used is one line of the log."""
        now = time.time()
        try:
            found = self._store.load(self._name, self._address, now)
        except (Refused, OSError) as error:
            self._log("recovery_refused", reason=str(error))
            return None
        if found is None:
            return None
        kept = usable(found, now)
        self._log(
            "recovery_loaded",
            age_s=round(now - found.saved_at, 3),
            closed=found.closed,
            listing=None if kept.listing is None else kept.listing.version,
            paces=len(kept.paces),
            levels=len(kept.levels),
            peers=len(kept.calm.peers),
        )
        return kept

    def known(self, configured: TargetList | None) -> TargetList | None:
        """The newer of the list kept and the one that the configuration brought.

        Only this instance's own lists count: a target that none of them has named gets nothing.
        """
        kept = None if self._kept is None else self._kept.listing
        if kept is not None and (configured is None or configured.version < kept.version):
            configured, self._heard_at = kept, self._kept.heard_at
        if configured is not None:
            self._book.took(replace(configured, is_full=True))
        return configured

    def pace(self, alone: BackoffPollPolicy) -> PollPolicy:
        """The pace of list calls, from the one that an instance alone keeps."""
        return ListPollPolicy(alone, self.returning) if self._paced else alone

    @property
    def first_waits(self) -> bool:
        """Whether the first list call waits for news as the others do: in a fleet peers say what is new, and
        one call more from each that comes back would double what discovery gets."""
        return self._paced

    def joined(self, node: MembershipAgent) -> None:
        """This instance is in a fleet: peers may be asked, and ask."""
        self.returning.joined(node)
        kept = [(host, port) for _, host, port in self.returning.calm.peers]
        self._peers = PeerStateExchange(
            node, kept, self.returning.ask, self.returning.answer, self.returning.heard
        )

    def begin(self, is_ready: Callable[[], bool]) -> None:
        """Once the decisions know the targets: give them their facts, keep new ones from now on, and look
        whether the instance is ready though nobody may ask."""
        self._asked = is_ready
        if self._kept is not None:
            kept, self._kept = self._kept, None
            self.returning.taught = {pace.target for pace in kept.paces}
            self._log(
                "recovery_recalled",
                **self._engine.inspect_scheduler(
                    lambda scheduler, now, wall: recall(scheduler, kept, now, wall)
                ),
            )
        self._saving = self._loop.create_task(self._save_for_ever())
        self._look()

    def took(self, listing: TargetList) -> None:
        """Discovery has answered, if only that nothing is new."""
        self._heard_at = time.time()
        if listing.targets or listing.is_full:
            self._news.set()  # a target told to drain stays told, should this life end now
        first = not self._book.index
        self._book.took(listing)
        self.returning.took(listing.version, first)

    def moved(self, address: str) -> None:
        """Another discovery is watched from now on: versions of the one before mean nothing to it."""
        self._address, self._heard_at = address, 0.0
        self._book.clear()
        self.returning.moved(address)

    def is_ready(self) -> bool:
        """Whether the list known is good enough to serve from."""
        if not self._engine.target_count or not self.returning.trusts(self._heard_at, self._config.ask_peers):
            return False  # without a list it could only refuse
        if self.phases.ready(self._loop.time()):
            self._log("recovery_phase", phase="ramping", after_s=round(self.returning.age, 3))
        return True

    def status(self) -> dict[str, object]:
        """The phase, the seconds from the start until service was full (0: not yet), and of the return."""
        return {
            "phase": self.phases.phase,
            "full_after_s": round(self.phases.took, 3),
            **self.returning.status(),
        }

    def figures(self) -> dict[str, float]:
        """The same for metrics."""
        return {
            "recovery_full": float(self.phases.phase == "full"),
            "recovery_full_after_s": self.phases.took,
            "recovery_ramping": float(self.returning.door.ramp is not None),
        }

    async def end(self) -> None:
        """All is answered and nothing more will be sent: keep the last facts as of a life that ended."""
        if self._peers is not None:
            self._peers.close()
        if self._saving is not None:
            self._saving.cancel()
            await asyncio.gather(self._saving, return_exceptions=True)
        if self._looking is not None:
            self._looking.cancel()
        await self._save(closed=True)
        self._store.close()

    def _look(self) -> None:
        self._looking = self._loop.call_later(LOOK_EVERY, self._look)
        if self.phases.phase == "starting":
            self._asked()
        counts, now = self._engine.counts, self._loop.time()
        answered = sum(counts[end] for end in ("served", "refused", "failed"))
        if self.phases.counted(now, answered, counts["served"], counts["attempt_full"]):
            self._log("recovery_phase", phase="full", after_s=round(self.phases.took, 3))
        self.returning.look()

    async def _save_for_ever(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._config.save_every):
                    await self._news.wait()
            self._news.clear()
            await self._save(closed=False)
            await asyncio.sleep(SAVE_GAP)

    def _calm(self) -> Calm:
        """What to keep of the calm: a ramp and an outage teach nothing but who is there."""
        before, share = self.returning.calm, self.phases.share
        if self.phases.phase != "full" or share is None:
            return replace(before, peers=self.returning.peers)
        known = share if before.share is None else before.share
        rates = self.returning.door.load.rates(self._loop.time())
        return Calm(known + SHARE_GAIN * (share - known), rates, self.returning.peers)

    async def _save(self, closed: bool) -> None:
        paces, levels = self._engine.inspect_scheduler(remember)
        self.returning.calm = self._calm()
        facts = Facts(
            self._name,
            self._address,
            time.time(),
            closed,
            self._book.listing,
            self._heard_at,
            paces,
            levels,
            self.returning.calm,
        )
        try:
            await self._loop.run_in_executor(None, self._store.save, facts)
        except OSError as error:  # what was kept before still stands
            self._log("recovery_not_saved", error=str(error))
