"""A client of the leases: acquires and renews them, and tracks by its own clock which of them it holds."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from stalltiller.leases.codec import CommandRequest, CommandResponse, Message, NotLeader
from stalltiller.leases.holder import LeaseHolder
from stalltiller.leases.state_machine import NO_TOKEN, Command, CommandKind

RENEWALS_PER_TTL = 4  # a lease expires for its holder only if three renewals in a row are lost
MEAN_ACQUIRE_INTERVAL_SECONDS = 0.25  # pause between ACQUIRE commands while another client holds the lease
ACQUIRE_JITTER_FRACTION = 0.25  # at most, added or subtracted, so that clients do not acquire together
MAX_REDIRECTS = 3  # limits how often one command is resent to the leader that a voter names
RESPONSE_TIMEOUT_SECONDS = 0.3  # if it passes, the next command goes to a random voter
MAX_PENDING_COMMANDS = 64

Log = Callable[..., None]


class _PendingCommand(NamedTuple):
    """A command that awaits its response, when it was first sent, and how often it was redirected."""

    command: Command
    sent_at: float
    redirects: int


class LeaseClient:
    """Acquires and renews the named leases until `release`, which must be called once.

    Call `fencing_token` right before each effect and send the token with the effect: the process may have
    been suspended since the last call.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        voters: tuple[str, ...],
        leases: dict[str, float],
        send: Callable[[str, Message], None],
        log: Log,
    ) -> None:
        """`leases` maps lease names to durations in seconds; `incarnation` increases with each start."""
        self._name = name
        self._session = f"{name}/{incarnation}"
        self._voters = voters
        self._send = send
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._holders = {lease: LeaseHolder(lease, ttl) for lease, ttl in leases.items()}
        self._acquired_leases: set[str] = set()
        self._pending: dict[int, _PendingCommand] = {}  # by the command's number
        self._command_numbers = itertools.count(1)
        self._newest_response_number = 0  # responses to commands with lower numbers are ignored
        self._leader = ""
        self._tasks = [
            self._loop.create_task(self._acquire_and_renew(holder)) for holder in self._holders.values()
        ]

    def fencing_token(self, lease: str) -> int:
        """The fencing token if this initiator holds the lease now, 0 otherwise."""
        holder = self._holders[lease]
        return holder.token if holder.is_valid(self._loop.time()) else NO_TOKEN

    def valid_leases(self) -> dict[str, int]:
        """The fencing tokens of the leases held now, by lease name."""
        return {lease: token for lease in self._holders if (token := self.fencing_token(lease))}

    def handle_message(self, message: Message) -> None:
        """Handle a voter's response."""
        if not isinstance(message, CommandResponse | NotLeader) or message.session != self._session:
            return
        pending = self._pending.pop(message.number, None)
        if pending is None:
            return
        if isinstance(message, CommandResponse):
            self._handle_response(pending, message)
        else:
            self._handle_redirect(pending, message)

    def release(self) -> None:
        """Stop, and release the held leases, so that other clients need not wait until they expire."""
        for task in self._tasks:
            task.cancel()
        for lease, holder in self._holders.items():
            token = holder.release(self._loop.time())
            if token:
                self._submit(self._new_command(CommandKind.RELEASE, lease, token), self._loop.time())
            self._log_lease_change(lease)

    def _handle_response(self, pending: _PendingCommand, response: CommandResponse) -> None:
        command = pending.command
        if command.kind == CommandKind.RELEASE or response.number <= self._newest_response_number:
            return
        self._newest_response_number = response.number
        self._holders[command.lease].handle_response(pending.sent_at, response.token)
        self._log_lease_change(command.lease)

    def _handle_redirect(self, pending: _PendingCommand, response: NotLeader) -> None:
        """Resend the command to the leader that the response names; voters execute a duplicate only once.

        The command keeps the time at which it was first sent, since the lease may count from that time.
        """
        self._leader = response.leader
        if pending.redirects < MAX_REDIRECTS:
            self._submit(pending.command, pending.sent_at, pending.redirects + 1)

    def _log_lease_change(self, lease: str) -> None:
        """Log if a lease was acquired or lost since the last call."""
        token = self.fencing_token(lease)
        if bool(token) is not (lease in self._acquired_leases):
            self._acquired_leases ^= {lease}
            self._log("lease_acquired" if token else "lease_lost", lease=lease, token=token)

    async def _acquire_and_renew(self, holder: LeaseHolder) -> None:
        """Acquire a lease, and renew it while it is held."""
        while True:
            now = self._loop.time()
            self._log_lease_change(holder.lease)
            if holder.is_valid(now):
                command = self._new_command(CommandKind.RENEW, holder.lease, holder.token, holder.ttl)
                self._submit(command, now)
                await asyncio.sleep(holder.ttl / RENEWALS_PER_TTL)
            else:
                self._submit(self._new_command(CommandKind.ACQUIRE, holder.lease, NO_TOKEN, holder.ttl), now)
                await asyncio.sleep(_acquire_delay())

    def _new_command(self, kind: CommandKind, lease: str, token: int, ttl: float = 0.0) -> Command:
        number = next(self._command_numbers)
        return Command(kind, lease, self._name, ttl, token, session=self._session, number=number)

    def _submit(self, command: Command, sent_at: float, redirects: int = 0) -> None:
        """Send a command to the leader, or to a random voter if no responsive leader is known."""
        while len(self._pending) >= MAX_PENDING_COMMANDS:
            del self._pending[next(iter(self._pending))]
        self._drop_overdue_commands()
        if self._leader not in self._voters:
            self._leader = random.choice(self._voters)
        self._pending[command.number] = _PendingCommand(command, sent_at, redirects)
        self._send(self._leader, CommandRequest(command))

    def _drop_overdue_commands(self) -> None:
        """Drop the commands whose response is overdue, and the leader that did not respond to them."""
        earliest_sent_at = self._loop.time() - RESPONSE_TIMEOUT_SECONDS
        if any(pending.sent_at < earliest_sent_at for pending in self._pending.values()):
            self._leader = ""
            self._pending = {
                number: pending
                for number, pending in self._pending.items()
                if pending.sent_at >= earliest_sent_at
            }


def _acquire_delay() -> float:
    """A random time in seconds until the next ACQUIRE command."""
    jitter = 1 - ACQUIRE_JITTER_FRACTION + 2 * ACQUIRE_JITTER_FRACTION * random.random()
    return MEAN_ACQUIRE_INTERVAL_SECONDS * jitter
