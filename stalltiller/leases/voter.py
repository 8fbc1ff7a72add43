"""One voter at work: takes what is said in turn, keeps it, and only then answers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from stalltiller.leases.codec import Answer, Ask, NotLeader, Said, decode_table, encode_table
from stalltiller.leases.messages import Action, Apply, Cut, Keep, Restore, Send
from stalltiller.leases.raft import Raft, Times
from stalltiller.leases.state_machine import Command, Keeper
from stalltiller.leases.store import VoterStore

MOST_WAITING = 1000  # messages not yet taken; more are dropped, as the network may
LOOK_EVERY = 0.05  # s between a leader's looks for leases that have run out

Log = Callable[..., None]


class Voter:
    """Runs a `Raft` and the lease table on it.

    Everything goes through one queue and one task, so what stands behind a `Keep` waits for the disk, and the
    loop does not: the disk has a thread.  If the disk fails the voter stops and answers nothing more.
    """

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        store: VoterStore,
        send: Callable[[str, Said], None],
        log: Log,
        times: Times | None = None,
        most_log: int = 2000,
    ) -> None:
        """`most_log` entries applied, a state is put in their place."""
        self.name, self._store, self._send, self._log = name, store, send, log
        self._most_log = most_log
        self._loop = asyncio.get_running_loop()
        term, vote, entries = store.load()
        base, base_term, state = store.state()
        self.raft = Raft(
            name,
            voters,
            random.Random(),
            self._loop.time(),
            times or Times(),
            term,
            vote,
            entries,
            base,
            base_term,
            state,
        )
        self.table, self._keeper = decode_table(state), Keeper()
        self._inbox: asyncio.Queue[tuple[str, Said]] = asyncio.Queue(MOST_WAITING)
        self._asked: dict[int, tuple[int, str, Command]] = {}  # by index: term, who asked, what
        self._led = self._going = False
        self._task = self._loop.create_task(self._run())

    def heard(self, sender: str, said: Said) -> None:
        """Something was said to this voter."""
        if not self._inbox.full():
            self._inbox.put_nowait((sender, said))

    def go(self) -> None:
        """This instance ends or leaves: if it leads, hand the lead on once all that was said is done."""
        self._going = True

    def status(self) -> dict[str, object]:
        """What an operator may want to know."""
        return {
            "role": self.raft.role,
            "term": self.raft.term,
            "leader": self.raft.leader,
            "log": len(self.raft.log),
            "cut": self.raft.base,
            "committed": self.raft.commit,
            "working": not self._task.done(),
            "leases": {
                name: {"holder": lease.holder, "token": lease.token, "ttl_s": lease.ttl}
                for name, lease in sorted(self.table.leases.items())
            },
        }

    async def close(self) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._store.close()

    async def _run(self) -> None:
        try:
            while True:
                now = self._loop.time()
                wait = min(LOOK_EVERY, max(0.0, self.raft.wake_at - now))
                try:
                    async with asyncio.timeout(wait):
                        sender, said = await self._inbox.get()
                except TimeoutError:
                    await self._do(self.raft.tick(self._loop.time()))
                else:
                    await self._take(sender, said)
                if self._going and self._inbox.empty():
                    self._going = False
                    await self._do(self.raft.hand_over(self._loop.time()))
                if self._led:
                    for command in self._keeper.ended(self._loop.time(), self.table):
                        await self._do(self.raft.propose(self._loop.time(), command)[1])
        except OSError as error:  # what it had promised to keep may not be kept
            self._log("lease_voter_stopped", error=str(error))

    async def _take(self, sender: str, said: Said) -> None:
        now = self._loop.time()
        if isinstance(said, Ask):
            index, actions = self.raft.propose(now, said.command)
            if index is None:
                command = said.command
                self._send(sender, NotLeader(command.session, command.number, self.raft.leader or ""))
            else:
                self._asked[index] = self.raft.term, sender, said.command
            await self._do(actions)
        elif not isinstance(said, Answer | NotLeader):
            await self._do(self.raft.step(now, sender, said))
            if now >= self.raft.wake_at:
                await self._do(self.raft.tick(now))

    async def _do(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Keep):
                await self._loop.run_in_executor(None, self._store.keep, action)
            elif isinstance(action, Cut):
                await self._loop.run_in_executor(None, self._store.cut, action)
            elif isinstance(action, Restore):
                self.table = decode_table(action.state)
                self._log("lease_state_taken", index=action.index)
            elif isinstance(action, Send):
                self._send(action.to, action.message)
            elif isinstance(action, Apply):
                self._apply(action)
        if self.raft.commit - self.raft.base >= self._most_log:  # all of it has been applied above
            await self._do(self.raft.compact(self._loop.time(), self.raft.commit, encode_table(self.table)))
        if (self.raft.role == "leader") is not self._led:
            self._led = not self._led
            self._log("lease_leader" if self._led else "lease_follower", term=self.raft.term)
            self._keeper.begin(self._loop.time(), self.table)
            self._asked.clear()

    def _apply(self, action: Apply) -> None:
        command = action.entry.command
        if command is None:
            return
        before = self.table.leases.get(command.lease)
        token = self.table.apply(action.index, command)
        self._keeper.applied(self._loop.time(), self.table, command)
        after = self.table.leases.get(command.lease)
        if self._led and (before is None or after is None or before.token != after.token) and before != after:
            self._log(
                "lease_granted" if after else "lease_ended",
                lease=command.lease,
                why=command.what,
                holder=(after or before).holder,
                token=(after or before).token,
            )
        term, sender, asked = self._asked.pop(action.index, (0, "", None))
        if asked == command and term == action.entry.term:
            self._send(sender, Answer(command.session, command.number, token))
