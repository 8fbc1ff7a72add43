"""One voter: runs Raft and the lease state machine on the event loop, the disk and the network."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from stalltiller.leases.actions import (
    Action,
    ApplyEntry,
    PersistSnapshot,
    PersistState,
    RestoreSnapshot,
    SendMessage,
)
from stalltiller.leases.codec import (
    CommandRequest,
    CommandResponse,
    Message,
    NotLeader,
    decode_state_machine,
    encode_state_machine,
)
from stalltiller.leases.expiry import LeaseExpiryTracker
from stalltiller.leases.raft import Raft
from stalltiller.leases.raft_state import RaftTimeouts, Role
from stalltiller.leases.state_machine import Command, Lease
from stalltiller.leases.store import VoterStore

MAX_QUEUED_MESSAGES = 1000  # further messages are dropped, which Raft tolerates like a loss in the network
EXPIRY_CHECK_INTERVAL_SECONDS = 0.05  # short compared with a lease, so expiry is delayed little
DEFAULT_MAX_LOG_ENTRIES = 2000

Log = Callable[..., None]


class _PendingCommand(NamedTuple):
    """A command in the log whose client awaits the response."""

    term: int
    client: str
    command: Command


@dataclass(slots=True, frozen=True)
class VoterStatus:
    """A voter's state for operators."""

    role: Role
    term: int
    leader: str | None
    log_length: int
    snapshot_index: int
    commit_index: int
    is_running: bool
    leases: dict[str, Lease]

    def to_json(self) -> dict[str, object]:
        """The JSON form in the response to `GET /_fleet/leases`; its keys must not change."""
        return {
            "role": self.role.value,
            "term": self.term,
            "leader": self.leader,
            "log": self.log_length,
            "cut": self.snapshot_index,
            "committed": self.commit_index,
            "working": self.is_running,
            "leases": {
                name: {"holder": lease.holder, "token": lease.token, "ttl_s": lease.ttl}
                for name, lease in sorted(self.leases.items())
            },
        }


class Voter:
    """Runs a `Raft` and applies its committed entries to the lease state machine.

    One task handles all messages from one queue, so the actions after a persisting action wait for the disk.
    Disk writes run in a thread and do not block the event loop.  If the disk fails, the voter stops and sends
    no more responses.
    """

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        store: VoterStore,
        send: Callable[[str, Message], None],
        log: Log,
        timeouts: RaftTimeouts | None = None,
        max_log_entries: int = DEFAULT_MAX_LOG_ENTRIES,
    ) -> None:
        """Start the voter from its store, which it owns.

        It takes a snapshot after `max_log_entries` applied entries.
        """
        self.name = name
        self._store = store
        self._send = send
        self._log = log
        self._max_log_entries = max_log_entries
        self._loop = asyncio.get_running_loop()
        persistent_state = store.load_state()
        snapshot = store.load_snapshot()
        self.raft = Raft(
            name, voters, random.Random(), self._loop.time(), persistent_state, snapshot, timeouts
        )
        self.state_machine = decode_state_machine(snapshot.state)
        self._expiry_tracker = LeaseExpiryTracker()
        self._inbox: asyncio.Queue[tuple[str, Message]] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self._pending: dict[int, _PendingCommand] = {}  # by log index
        self._is_leading = False
        self._leadership_transfer_requested = False
        self._task = self._loop.create_task(self._run())

    def handle_message(self, sender: str, message: Message) -> None:
        """Queue a message from another voter or a client."""
        if not self._inbox.full():
            self._inbox.put_nowait((sender, message))

    def transfer_leadership(self) -> None:
        """Transfer the leadership, if this voter leads, once all queued messages are handled.

        Call it before the initiator shuts down or leaves the fleet.
        """
        self._leadership_transfer_requested = True

    def status(self) -> VoterStatus:
        """The voter's state for operators."""
        return VoterStatus(
            role=self.raft.role,
            term=self.raft.term,
            leader=self.raft.leader,
            log_length=len(self.raft.log),
            snapshot_index=self.raft.snapshot_index,
            commit_index=self.raft.commit_index,
            is_running=not self._task.done(),
            leases=self.state_machine.leases,
        )

    async def close(self) -> None:
        """Stop the voter and close its store."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._store.close()

    async def _run(self) -> None:
        try:
            while True:
                await self._run_once()
        except OSError as error:  # the state that responses rely on may not be durable
            self._log("lease_voter_stopped", error=str(error))

    async def _run_once(self) -> None:
        """Handle one message or the timer, then a requested leadership transfer and expired leases."""
        seconds_to_timer = max(0.0, self.raft.timer_at - self._loop.time())
        try:
            async with asyncio.timeout(min(EXPIRY_CHECK_INTERVAL_SECONDS, seconds_to_timer)):
                sender, message = await self._inbox.get()
        except TimeoutError:
            await self._execute(self.raft.tick(self._loop.time()))
        else:
            await self._process_message(sender, message)
        if self._leadership_transfer_requested and self._inbox.empty():
            self._leadership_transfer_requested = False
            await self._execute(self.raft.transfer_leadership(self._loop.time()))
        if self._is_leading:
            await self._expire_leases()

    async def _expire_leases(self) -> None:
        for command in self._expiry_tracker.expiry_commands(self._loop.time(), self.state_machine):
            _, actions = self.raft.propose(self._loop.time(), command)
            await self._execute(actions)

    async def _process_message(self, sender: str, message: Message) -> None:
        now = self._loop.time()
        if isinstance(message, CommandRequest):
            await self._propose(now, sender, message.command)
        elif not isinstance(message, CommandResponse | NotLeader):
            await self._execute(self.raft.step(now, sender, message))
            if now >= self.raft.timer_at:
                await self._execute(self.raft.tick(now))

    async def _propose(self, now: float, client: str, command: Command) -> None:
        index, actions = self.raft.propose(now, command)
        if index is None:
            self._send(client, NotLeader(command.session, command.number, self.raft.leader or ""))
        else:
            self._pending[index] = _PendingCommand(self.raft.term, client, command)
        await self._execute(actions)

    async def _execute(self, actions: list[Action]) -> None:
        """Execute actions in order, each one after the previous one has completed."""
        for action in actions:
            await self._execute_action(action)
        if self.raft.commit_index - self.raft.snapshot_index >= self._max_log_entries:
            await self._take_snapshot()
        if (self.raft.role is Role.LEADER) is not self._is_leading:
            self._handle_leadership_change()

    async def _execute_action(self, action: Action) -> None:
        if isinstance(action, PersistState):
            await self._loop.run_in_executor(None, self._store.persist_state, action)
        elif isinstance(action, PersistSnapshot):
            await self._loop.run_in_executor(None, self._store.persist_snapshot, action)
        elif isinstance(action, RestoreSnapshot):
            self.state_machine = decode_state_machine(action.state)
            self._log("lease_snapshot_installed", index=action.index)
        elif isinstance(action, SendMessage):
            self._send(action.to, action.message)
        elif isinstance(action, ApplyEntry):
            self._apply(action)

    async def _take_snapshot(self) -> None:
        """Compact the log; all committed entries have been applied by now."""
        snapshot = encode_state_machine(self.state_machine)
        await self._execute(self.raft.compact(self._loop.time(), self.raft.commit_index, snapshot))

    def _handle_leadership_change(self) -> None:
        """Handle this voter's election as the leader, or the end of its leadership."""
        self._is_leading = not self._is_leading
        self._log("lease_leader_elected" if self._is_leading else "lease_leader_deposed", term=self.raft.term)
        self._expiry_tracker.start(self._loop.time(), self.state_machine)
        self._pending.clear()

    def _apply(self, action: ApplyEntry) -> None:
        """Apply a committed command, and respond to its client if this voter proposed it."""
        command = action.entry.command
        if not isinstance(command, Command):
            return  # the first entry of a leader's term
        lease_before = self.state_machine.leases.get(command.lease)
        token = self.state_machine.apply(action.index, command)
        self._expiry_tracker.observe(self._loop.time(), self.state_machine, command)
        if self._is_leading:
            self._log_lease_change(command, lease_before)
        pending = self._pending.pop(action.index, None)
        if pending is not None and pending.command == command and pending.term == action.entry.term:
            self._send(pending.client, CommandResponse(command.session, command.number, token))

    def _log_lease_change(self, command: Command, lease_before: Lease | None) -> None:
        """Log that a lease was granted or has ended; renewals are not logged."""
        lease_after = self.state_machine.leases.get(command.lease)
        token_before = None if lease_before is None else lease_before.token
        token_after = None if lease_after is None else lease_after.token
        lease = lease_after or lease_before
        if lease is None or token_before == token_after:
            return
        self._log(
            "lease_ended" if lease_after is None else "lease_granted",
            lease=command.lease,
            reason=command.kind,
            holder=lease.holder,
            token=lease.token,
        )
