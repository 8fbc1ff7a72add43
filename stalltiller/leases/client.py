"""One instance that wants to hold leases: asks the voters, renews, knows by its own clock what it holds."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable

from stalltiller.leases.codec import Answer, Ask, NotLeader, Said
from stalltiller.leases.state_machine import Command, Holder

RENEWALS = 4  # in a lease's time
ASK_EVERY = 0.25  # s between tries to acquire a lease that another holds
TRIES = 3  # voters asked one after another when told that one does not lead
SILENCE = 0.3  # s without an answer after which another voter is asked
MOST_OPEN = 64  # commands not yet answered

Log = Callable[..., None]


class Client:
    """Tries to hold the leases named, as long as it runs.

    Ask `holds` right before each effect and send the token with it: the process may have stood still.
    """

    def __init__(
        self,
        name: str,
        life: int,
        voters: tuple[str, ...],
        leases: dict[str, float],
        send: Callable[[str, Said], None],
        log: Log,
    ) -> None:
        self._name, self._session, self._voters = name, f"{name}/{life}", voters
        self._send, self._log = send, log
        self._loop = asyncio.get_running_loop()
        self._holders = {lease: Holder(lease, ttl) for lease, ttl in leases.items()}
        self._held: set[str] = set()
        self._open: dict[int, tuple[Command, float, int]] = {}  # by number: what, when sent, tries
        self._numbers = itertools.count(1)
        self._newest = 0  # number of the newest answer: an older one is out of date
        self._leader = ""
        self._tasks = [self._loop.create_task(self._keep(holder)) for holder in self._holders.values()]

    def holds(self, lease: str) -> int:
        """The token under which this instance may act now; 0 if it may not."""
        holder = self._holders[lease]
        return holder.token if holder.holds(self._loop.time()) else 0

    def heard(self, said: Said) -> None:
        """A voter has answered."""
        if isinstance(said, Answer | NotLeader) and said.session == self._session:
            command, sent_at, tries = self._open.pop(said.number, (None, 0.0, 0))
            if command is None:
                return
            if isinstance(said, Answer):
                if command.what != "release" and said.number > self._newest:
                    self._newest = said.number
                    self._holders[command.lease].answered(sent_at, said.token)
                    self._note(command.lease)
                return
            self._leader = said.leader
            if tries < TRIES:  # the same command and the time it was first sent: voters do it once
                self._put(command, sent_at, tries + 1)

    def status(self) -> dict[str, int]:
        """The tokens of the leases held now."""
        return {lease: token for lease in self._holders if (token := self.holds(lease))}

    def release(self) -> None:
        """Stop, and give back what is held, so that another may hold it at once."""
        for task in self._tasks:
            task.cancel()
        for lease, holder in self._holders.items():
            token = holder.drop(self._loop.time())
            if token:
                self._put(self._command("release", lease, token), self._loop.time(), 0)
            self._note(lease)

    def _note(self, lease: str) -> None:
        """Log what has changed."""
        token = self.holds(lease)
        if bool(token) is not (lease in self._held):
            self._held ^= {lease}
            self._log("lease_held" if token else "lease_lost", lease=lease, token=token)

    async def _keep(self, holder: Holder) -> None:
        while True:
            now = self._loop.time()
            self._note(holder.lease)
            if holder.holds(now):
                self._put(self._command("renew", holder.lease, holder.token, holder.ttl), now, 0)
                await asyncio.sleep(holder.ttl / RENEWALS)
            else:
                self._put(self._command("acquire", holder.lease, 0, holder.ttl), now, 0)
                await asyncio.sleep(ASK_EVERY * (0.75 + 0.5 * random.random()))

    def _command(self, what: str, lease: str, token: int, ttl: float = 0.0) -> Command:
        return Command(what, lease, self._name, ttl, token, session=self._session, number=next(self._numbers))

    def _put(self, command: Command, sent_at: float, tries: int) -> None:
        while len(self._open) >= MOST_OPEN:
            del self._open[next(iter(self._open))]
        now = self._loop.time()
        if any(sent < now - SILENCE for _, sent, _ in self._open.values()):
            self._leader = ""  # it does not answer
            self._open = {n: each for n, each in self._open.items() if each[1] >= now - SILENCE}
        if self._leader not in self._voters:
            self._leader = random.choice(self._voters)
        self._open[command.number] = command, sent_at, tries
        self._send(self._leader, Ask(command))
