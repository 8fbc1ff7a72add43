"""Leases on top of the log: who holds what, told by the log alone.  Pure.

No clock is in the log, so all voters come to the same table.  Time enters at two ends: a holder stops by its
own clock before the time is over (`Holder`), and the leader has a lease ended on the log only after it is
(`Keeper`).  Each grant has a token that grows: whatever takes an effect refuses an older one (`Gate`).
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

RATE_ERROR = 0.01  # by which a second of a machine's clock may be longer or shorter than a true one
MOST_SESSIONS = 10000


@dataclass(slots=True, frozen=True)
class Command:
    """What a client asks: acquire, renew, release or (the leader's) expire.

    A client numbers its commands by session: one that comes twice is answered as before and done once.
    """

    what: str
    lease: str
    holder: str = ""
    ttl: float = 0.0  # s, of acquire
    token: int = 0  # of renew, release and expire
    renewed: int = 0  # of expire: the last renewal that the leader knew of
    session: str = ""
    number: int = 0


@dataclass(slots=True, frozen=True)
class Lease:
    holder: str
    token: int  # the log's index of its grant
    ttl: float
    renewed: int = 0  # the log's index of its last renewal


@dataclass(slots=True)
class Table:
    """The state machine: `apply` is called with each committed command, in order, on every voter."""

    leases: dict[str, Lease] = field(default_factory=dict)
    answers: dict[str, tuple[int, int]] = field(default_factory=dict)  # by session: last number, its answer

    def apply(self, index: int, command: Command) -> int:
        """Do a command; the token that its client holds now, 0 for none."""
        if command.session:
            number, answer = self.answers.get(command.session, (-1, 0))
            if command.number <= number:
                return answer if command.number == number else 0
        answer = self._do(index, command)
        if command.session:
            self.answers.pop(command.session, None)  # the newest last
            self.answers[command.session] = command.number, answer
            while len(self.answers) > MOST_SESSIONS:
                del self.answers[next(iter(self.answers))]
        return answer

    def _do(self, index: int, command: Command) -> int:
        held = self.leases.get(command.lease)
        if command.what == "acquire":
            if held is None and command.ttl > 0:
                self.leases[command.lease] = Lease(command.holder, index, command.ttl)
                return index
            return 0
        if held is None or held.token != command.token:
            return 0
        if command.what == "renew":
            self.leases[command.lease] = replace(held, renewed=index)
            return held.token
        # A renewal may have come on the log before this end of it: its holder is told yes, so it holds on.
        if command.what == "release" or held.renewed == command.renewed:
            del self.leases[command.lease]
        return 0


@dataclass(slots=True)
class Keeper:
    """The leader's watch over leases: which have run out.

    A new leader knows nothing of renewals before it led, so for it each lease begins anew.  A renewal counts
    from when it was applied here, which is after its holder sent it.
    """

    seen: dict[str, tuple[Lease, float]] = field(default_factory=dict)  # and since when it stands as it is

    def begin(self, now: float, table: Table) -> None:
        """This voter leads from now on."""
        self.seen = {name: (lease, now) for name, lease in table.leases.items()}

    def applied(self, now: float, table: Table, command: Command) -> None:
        """A command was done."""
        lease = table.leases.get(command.lease)
        if lease is None:
            self.seen.pop(command.lease, None)
        elif self.seen.get(command.lease, (None, 0.0))[0] != lease:
            self.seen[command.lease] = lease, now

    def ended(self, now: float, table: Table) -> list[Command]:
        """Commands that end what has run out."""
        found = []
        for name, lease in table.leases.items():
            known, since = self.seen.setdefault(name, (lease, now))
            if known == lease and now - since > lease.ttl * (1 + RATE_ERROR):
                found.append(Command("expire", name, token=lease.token, renewed=lease.renewed))
        return found


@dataclass(slots=True)
class Holder:
    """One lease as its holder knows it, by its own clock."""

    lease: str
    ttl: float
    token: int = 0
    until: float = float("-inf")
    dropped_at: float = float("-inf")

    def holds(self, now: float) -> bool:
        """Whether it may act now.  Ask right before each effect: it may have stood still meanwhile."""
        return self.token > 0 and now < self.until

    def answered(self, sent_at: float, token: int) -> None:
        """An acquire or renew sent at a time was answered; the lease lasts from that time on.

        What was sent before it was dropped counts no more: a renewal's late answer would bring back what has
        been released meanwhile.
        """
        if sent_at <= self.dropped_at:
            return
        end = sent_at + self.ttl * (1 - RATE_ERROR)
        self.until = max(end, self.until) if token == self.token else end
        self.token = token

    def drop(self, now: float) -> int:
        """Hold it no more; its token, to release it with.  It must be dropped before the release is sent."""
        token, self.token, self.until, self.dropped_at = self.token, 0, float("-inf"), now
        return token


@dataclass(slots=True)
class Gate:
    """Stands before whatever takes effects under a lease: none of an older grant than the newest seen."""

    newest: int = 0

    def takes(self, token: int) -> bool:
        if token < self.newest or token <= 0:
            return False
        self.newest = token
        return True
