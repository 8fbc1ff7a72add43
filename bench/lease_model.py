"""Simulates leases under faults: `python -m bench.lease_model [--seeds 10000] [--bug BUG]`.

Three or five voters and three clients share one virtual clock, each reading it at its own rate.
Messages are lost, delayed, duplicated and cut off by partitions; voters are killed and restart with their
disks, compact their logs every few entries and send snapshots to voters that lack entries; clients are
suspended between the check of a lease and an effect.

After each step these invariants must hold: at most one leader per term; the same entry applied at an index by
all voters; the same state in all snapshots at an index; at most one holder by true time; no effect accepted
from an earlier grant.  A violation is printed with its seed, which reproduces it.

`--bug` adds a bug that the simulation must find: `vote`, a vote is not durable; `early`, a lease is held past
its duration; `token`, a token is not checked; `state`, a snapshot is not restored.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import heapq
import itertools
import json
import random
import time
from functools import partial
from typing import NamedTuple

from stalltiller.leases import (
    CLOCK_RATE_ERROR_FRACTION,
    Action,
    ApplyEntry,
    Command,
    CommandKind,
    FencingTokenGuard,
    LeaseExpiryTracker,
    LeaseHolder,
    LogEntry,
    PersistentState,
    PersistSnapshot,
    PersistState,
    Raft,
    RaftMessage,
    RestoreSnapshot,
    Role,
    SendMessage,
    Snapshot,
)
from stalltiller.leases.codec import decode_state_machine, encode_state_machine

STEP_SECONDS = 0.02
RUN_SECONDS = 25.0
TTL_SECONDS = 1.5
LEASE = "allot"
CLIENT_COUNT = 3
SNAPSHOT_CHUNK_BYTES = 40  # small, so that most snapshots need several messages
MAX_LOG_ENTRIES = 8  # small, so that logs are compacted often
BUGS = ("vote", "early", "token", "state")
EARLY_BUG_TTL_FACTOR = 1.6
EFFECT_RECEIVER = "effect receiver"  # checks the tokens of effects
MAX_PRINTED_VIOLATIONS = 5

# Probabilities of faults, per step for each voter or the network, or per event.
KILL_PROBABILITY = 0.004
TRANSFER_PROBABILITY = 0.004
PARTITION_PROBABILITY = 0.004
KILL_AFTER_VOTE_PROBABILITY = 0.3
DUPLICATE_PROBABILITY = 0.03
LONG_DELAY_PROBABILITY = 0.1
RELEASE_PROBABILITY = 0.02
SUSPEND_PROBABILITY = 0.05


class InvariantViolationError(AssertionError):
    """An invariant does not hold."""


class ClientMessage(NamedTuple):
    """A command from a client to a voter, or the response with the resulting token."""

    command: Command
    sent_at: float  # on the client's clock
    token: int | None


class Delivery(NamedTuple):
    """A message in flight; the sequence number orders messages that are due at the same time."""

    due_at: float
    sequence: int
    sender: str
    receiver: str
    content: RaftMessage | ClientMessage | int  # an int is the token of an effect


class PendingCommand(NamedTuple):
    """A command in a voter's log whose client awaits the response."""

    term: int
    client: Client
    sent_at: float
    command: Command


class SimulationResult(NamedTuple):
    """The result of one seed's schedule of faults."""

    seed: int
    violation: str | None
    executed_effects: int
    installed_snapshots: int


class Voter:
    """A voter's process and its disk; the process is down while `raft` is None."""

    def __init__(self, name: str, names: tuple[str, ...], clock_rate: float) -> None:
        self.name = name
        self.names = names
        self.clock_rate = clock_rate
        self.disk = PersistentState()
        self.disk_snapshot = Snapshot()
        self.down_until = 0.0
        self.raft: Raft | None = None

    def start(self, now: float, seed: int, bug: str | None) -> None:
        """Start the process from its disk."""
        state = self.disk._replace(voted_for=None) if bug == "vote" else self.disk
        self.raft = Raft(
            self.name,
            self.names,
            random.Random(seed),
            now * self.clock_rate,
            state,
            self.disk_snapshot,
            snapshot_chunk_bytes=SNAPSHOT_CHUNK_BYTES,
        )
        self.state_machine = decode_state_machine(self.disk_snapshot.state)
        self.expiry_tracker = LeaseExpiryTracker()
        self.is_leading = False
        self.pending: dict[int, PendingCommand] = {}  # by log index

    def kill(self, down_until: float) -> None:
        """Kill the process; its disk remains."""
        self.raft = None
        self.down_until = down_until

    def persist_state(self, action: PersistState) -> None:
        """Write the term, the vote and the log to the disk."""
        retained = action.last_retained_index - self.disk_snapshot.last_index
        entries = [*self.disk.entries[:retained], *action.entries]
        self.disk = PersistentState(action.term, action.voted_for, entries)

    def persist_snapshot(self, action: PersistSnapshot) -> None:
        """Write a snapshot to the disk and delete the entries that it replaces."""
        entries = (
            [] if action.discard_log else self.disk.entries[action.index - self.disk_snapshot.last_index :]
        )
        self.disk = self.disk._replace(entries=entries)
        self.disk_snapshot = Snapshot(action.index, action.term, action.state)


class Client:
    """A client that tries to hold the lease and executes effects under it."""

    def __init__(self, name: str, clock_rate: float, bug: str | None) -> None:
        self.name = name
        self.clock_rate = clock_rate
        self.command_numbers = itertools.count(1)
        self.holder = LeaseHolder(LEASE, TTL_SECONDS * (EARLY_BUG_TTL_FACTOR if bug == "early" else 1.0))
        self.suspended_until = 0.0
        self.next_run_at = 0.0


class Simulation:
    """Voters, clients and the network between them; all random choices come from the seed."""

    def __init__(self, seed: int, bug: str | None = None) -> None:
        self.rng = random.Random(seed)
        self.bug = bug
        self.now = 0.0
        self.sequence_numbers = itertools.count()
        names = tuple(f"v{n}" for n in range(self.rng.choice((3, 3, 5))))
        clock_rates = (1 - CLOCK_RATE_ERROR_FRACTION / 2, 1.0, 1 + CLOCK_RATE_ERROR_FRACTION / 2)
        self.voters = {name: Voter(name, names, self.rng.choice(clock_rates)) for name in names}
        self.clients = [Client(f"c{n}", self.rng.choice(clock_rates), bug) for n in range(CLIENT_COUNT)]
        self.network: list[Delivery] = []  # a heap
        self.partition: set[str] = set()  # the names that are cut off from all others
        self.partitioned_until = 0.0
        self.loss_probability = self.rng.choice((0.0, 0.05, 0.2))
        self.leaders: dict[int, str] = {}  # by term
        self.applied: dict[int, LogEntry] = {}  # by index
        self.snapshots: dict[int, bytes] = {}  # by the index up to which a voter compacted its log
        self.guard = FencingTokenGuard()
        self.newest_effect_token = 0
        self.executed_effects = 0
        self.installed_snapshots = 0
        for voter in self.voters.values():
            voter.start(0.0, self.rng.getrandbits(32), bug)

    def step(self) -> None:
        """Advance the clock by one step and run everything that is due."""
        self.now += STEP_SECONDS
        self.inject_faults()
        while self.network and self.network[0].due_at <= self.now:
            self.deliver(heapq.heappop(self.network))
        for voter in self.voters.values():
            self.run_timers(voter)
        for client in self.clients:
            if self.now >= max(client.next_run_at, client.suspended_until):
                self.run_client(client)
        self.check_holders()

    def check_holders(self) -> None:
        """Check that at most one client holds the lease."""
        holders = [
            client.name for client in self.clients if client.holder.is_valid(self.now * client.clock_rate)
        ]
        if len(holders) > 1:
            raise InvariantViolationError(f"lease held by {holders}")

    # --- The network ------------------------------------------------------------------------------------
    def send(self, sender: str, receiver: str, content: RaftMessage | ClientMessage) -> None:
        """Send a message, which may be lost, delayed or duplicated."""
        if self.rng.random() < self.loss_probability:
            return
        if (sender in self.partition) != (receiver in self.partition):
            return
        for _ in range(1 + (self.rng.random() < DUPLICATE_PROBABILITY)):
            occasionally_long_delay = 0.4 if self.rng.random() < LONG_DELAY_PROBABILITY else 0.02
            delay = self.rng.choice((0.005, 0.01, 0.03, occasionally_long_delay))
            due_at = self.now + delay * (0.5 + self.rng.random())
            self.schedule(due_at, sender, receiver, content)

    def schedule(
        self, due_at: float, sender: str, receiver: str, content: RaftMessage | ClientMessage | int
    ) -> None:
        """Schedule a message or an effect for delivery at `due_at`."""
        delivery = Delivery(due_at, next(self.sequence_numbers), sender, receiver, content)
        heapq.heappush(self.network, delivery)

    def deliver(self, delivery: Delivery) -> None:
        """Deliver a message or an effect to its receiver."""
        if isinstance(delivery.content, int):
            self.execute_effect(delivery.content)
        elif delivery.receiver in self.voters:
            self.deliver_to_voter(self.voters[delivery.receiver], delivery.sender, delivery.content)
        elif isinstance(delivery.content, ClientMessage):
            self.deliver_to_client(self.client(delivery.receiver), delivery, delivery.content)

    def client(self, name: str) -> Client:
        """The client with this name."""
        return self.clients[int(name[1:])]

    def deliver_to_client(self, client: Client, delivery: Delivery, response: ClientMessage) -> None:
        """Deliver a response to a client; a suspended client reads it when it resumes."""
        if self.now < client.suspended_until:
            self.schedule(client.suspended_until, delivery.sender, delivery.receiver, response)
        elif response.command.kind != CommandKind.RELEASE:
            client.holder.handle_response(response.sent_at, response.token or 0)

    def deliver_to_voter(self, voter: Voter, sender: str, content: RaftMessage | ClientMessage) -> None:
        """Deliver a message to a voter, unless it is down; only a leader accepts commands."""
        if voter.raft is None:
            return
        voter_time = self.now * voter.clock_rate
        if not isinstance(content, ClientMessage):
            self.execute(voter, voter.raft.step(voter_time, sender, content))
            return
        index, actions = voter.raft.propose(voter_time, content.command)
        if index is not None:
            client = self.client(sender)
            voter.pending[index] = PendingCommand(voter.raft.term, client, content.sent_at, content.command)
        self.execute(voter, actions)

    # --- Voters -----------------------------------------------------------------------------------------
    def run_timers(self, voter: Voter) -> None:
        """Run a voter's timer if it is due, and expire leases if it leads."""
        voter_time = self.now * voter.clock_rate
        if voter.raft is not None and voter_time >= voter.raft.timer_at:
            self.execute(voter, voter.raft.tick(voter_time))
        if voter.raft is not None and voter.is_leading:
            for command in voter.expiry_tracker.expiry_commands(voter_time, voter.state_machine):
                self.execute(voter, voter.raft.propose(voter_time, command)[1])

    def execute(self, voter: Voter, actions: list[Action]) -> None:
        """Execute a voter's actions, compact its log and check that its term has no other leader."""
        has_voted = False
        for action in actions:
            self.execute_action(voter, action)
            if isinstance(action, PersistState):
                has_voted |= action.voted_for not in (None, voter.name) and not action.entries
        raft = voter.raft
        assert raft is not None, "a voter that is down has no actions"
        if raft.commit_index - raft.snapshot_index >= MAX_LOG_ENTRIES:
            self.compact(voter, raft)
        if has_voted and self.rng.random() < KILL_AFTER_VOTE_PROBABILITY:
            voter.kill(self.now + STEP_SECONDS)
        elif raft.role is Role.LEADER:
            self.observe_leader(voter, raft.term)
        else:
            voter.is_leading = False

    def execute_action(self, voter: Voter, action: Action) -> None:
        """Execute one action."""
        if isinstance(action, PersistState):
            voter.persist_state(action)
        elif isinstance(action, SendMessage):
            self.send(voter.name, action.to, action.message)
        elif isinstance(action, ApplyEntry):
            self.apply(voter, action)
        elif isinstance(action, PersistSnapshot):
            voter.persist_snapshot(action)
        elif isinstance(action, RestoreSnapshot):
            if self.bug != "state":
                voter.state_machine = decode_state_machine(action.state)
            self.installed_snapshots += 1

    def compact(self, voter: Voter, raft: Raft) -> None:
        """Compact a voter's log; all voters must have the same state at this index."""
        index = raft.commit_index
        state = encode_state_machine(voter.state_machine)
        if self.snapshots.setdefault(index, state) != state:
            raise InvariantViolationError(f"two states for log index {index}")
        self.execute(voter, raft.compact(self.now * voter.clock_rate, index, state))

    def observe_leader(self, voter: Voter, term: int) -> None:
        """Record that a voter leads; no other may have led in its term."""
        if self.leaders.setdefault(term, voter.name) != voter.name:
            raise InvariantViolationError(f"two leaders in term {term}")
        if not voter.is_leading:
            voter.is_leading = True
            voter.expiry_tracker.start(self.now * voter.clock_rate, voter.state_machine)

    def apply(self, voter: Voter, action: ApplyEntry) -> None:
        """Apply an entry at a voter; all voters must apply the same entry at its index."""
        if self.applied.setdefault(action.index, action.entry) != action.entry:
            raise InvariantViolationError(f"two entries for log index {action.index}")
        command = action.entry.command
        if not isinstance(command, Command):
            return  # the first entry of a leader's term
        token = voter.state_machine.apply(action.index, command)
        voter.expiry_tracker.observe(self.now * voter.clock_rate, voter.state_machine, command)
        pending = voter.pending.pop(action.index, None)
        if pending is not None and pending.term == action.entry.term and pending.command == command:
            response = ClientMessage(command, pending.sent_at, token)
            self.send(voter.name, pending.client.name, response)

    # --- Clients ----------------------------------------------------------------------------------------
    def run_client(self, client: Client) -> None:
        """Let a client acquire, renew or release the lease, and execute an effect while it holds it."""
        client_time = self.now * client.clock_rate
        client.next_run_at = self.now + 0.1 + 0.2 * self.rng.random()
        if not client.holder.is_valid(client_time):
            client.holder.release(client_time - 1e-9)  # so that the response to this acquire is accepted
            self.send_command(client, CommandKind.ACQUIRE)
            return
        if self.rng.random() < RELEASE_PROBABILITY:
            self.send_command(client, CommandKind.RELEASE)
            return
        self.send_command(client, CommandKind.RENEW)
        if self.rng.random() < SUSPEND_PROBABILITY:  # between the check of the lease and the effect
            client.suspended_until = self.now + 4.0 * self.rng.random()
        effect_at = max(self.now, client.suspended_until) + 0.02 * self.rng.random()
        self.schedule(effect_at, client.name, EFFECT_RECEIVER, client.holder.token)

    def send_command(self, client: Client, kind: CommandKind) -> None:
        """Send a command to a random voter."""
        client_time = self.now * client.clock_rate
        is_release = kind is CommandKind.RELEASE
        token = client.holder.release(client_time) if is_release else client.holder.token
        number = next(client.command_numbers)
        command = Command(kind, LEASE, client.name, TTL_SECONDS, token, session=client.name, number=number)
        voter = self.rng.choice(list(self.voters))
        self.send(client.name, voter, ClientMessage(command, client_time, None))

    def execute_effect(self, token: int) -> None:
        """Execute an effect if the guard accepts its token; no effect of an earlier grant may be executed."""
        if not self.guard.accept(token) and self.bug != "token":
            return
        self.executed_effects += 1
        if token < self.newest_effect_token:
            raise InvariantViolationError(
                f"an effect with token {token} after one with {self.newest_effect_token}"
            )
        self.newest_effect_token = token

    # --- Faults -----------------------------------------------------------------------------------------
    def inject_faults(self) -> None:
        """Transfer leadership, kill and restart voters, start and end a partition."""
        for voter in self.voters.values():
            self.inject_voter_fault(voter)
        if self.now < self.partitioned_until:
            return
        if self.rng.random() < PARTITION_PROBABILITY:
            names = [*self.voters, *(client.name for client in self.clients)]
            self.partition = set(self.rng.sample(names, self.rng.randint(1, len(names) - 1)))
            self.partitioned_until = self.now + 3.0 * self.rng.random()
        else:
            self.partition = set()

    def inject_voter_fault(self, voter: Voter) -> None:
        """Transfer a leader's leadership, restart a voter that is down or kill one that is up."""
        if voter.raft is not None and voter.is_leading and self.rng.random() < TRANSFER_PROBABILITY:
            self.execute(voter, voter.raft.transfer_leadership(self.now * voter.clock_rate))
        if voter.raft is None and self.now >= voter.down_until:
            voter.start(self.now, self.rng.getrandbits(32), self.bug)
        elif voter.raft is not None and self.rng.random() < KILL_PROBABILITY:
            voter.kill(self.now + self.rng.choice((0.05, 0.3, 2.0)))


def simulate(seed: int, bug: str | None = None) -> SimulationResult:
    """Run one seed's schedule of faults until its end or its first violation."""
    simulation = Simulation(seed, bug)
    violation = None
    try:
        while simulation.now < RUN_SECONDS:
            simulation.step()
    except InvariantViolationError as error:
        violation = f"{error} at {simulation.now:.2f} s"
    return SimulationResult(seed, violation, simulation.executed_effects, simulation.installed_snapshots)


def run(seeds: range, bug: str | None) -> dict[str, object]:
    """Simulate all seeds; print the first violations and return the totals."""
    started_at = time.monotonic()
    violating_seeds = []
    executed_effects = 0
    installed_snapshots = 0
    with concurrent.futures.ProcessPoolExecutor() as pool:
        for result in pool.map(partial(simulate, bug=bug), seeds, chunksize=20):
            executed_effects += result.executed_effects
            installed_snapshots += result.installed_snapshots
            if result.violation is None:
                continue
            violating_seeds.append(result.seed)
            if len(violating_seeds) <= MAX_PRINTED_VIOLATIONS:
                print(json.dumps({"seed": result.seed, "violation": result.violation}), flush=True)
    return {
        "bug": bug,
        "seeds": len(seeds),
        "violations": len(violating_seeds),
        "first": violating_seeds[0] if violating_seeds else None,
        "effects": executed_effects,
        "states": installed_snapshots,
        "took_s": round(time.monotonic() - started_at, 1),
    }


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--bug", choices=BUGS)
    options = parser.parse_args()
    print(json.dumps(run(range(options.first, options.first + options.seeds), options.bug)))


if __name__ == "__main__":
    main()
