"""Leases in a seeded world: `python -m bench.lease_model [--seeds 10000] [--bug vote|early|token|state]`.

Three or five voters and three clients on one virtual clock, each with a clock of its own rate; messages are
lost, late, doubled and cut; voters are killed and come back with their disks, put a state in the place of the
log every few entries and send it to who lacks them; clients stand still in the middle of an effect.  After
each step: one leader a term, the same entry at a place of the log wherever it was applied, the same state
wherever the log was cut, one holder by true time, no effect taken from an older grant.  A violation is told
with its seed, which replays it.  `--bug` plants one: a vote not durable, a lease kept past its time, a token
not checked, a state that is sent and not taken.
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

from stalltiller.leases import (
    RATE_ERROR,
    Apply,
    Command,
    Cut,
    Entry,
    Gate,
    Holder,
    Keep,
    Keeper,
    Raft,
    Restore,
    Send,
)
from stalltiller.leases.codec import decode_table, encode_table

STEP, LENGTH, TTL, LEASE = 0.02, 25.0, 1.5, "allot"
PIECE = 40  # bytes of a state in one message: most take several
LOG = 8  # entries applied after which a voter cuts its log
BUGS = ("vote", "early", "token", "state")


class Violation(AssertionError):
    """A rule does not hold."""


class Voter:
    """A voter's process and its disk."""

    def __init__(self, name: str, names: tuple[str, ...], rate: float) -> None:
        self.name, self.names, self.rate = name, names, rate
        self.disk: tuple[int, str | None, list[Entry]] = (0, None, [])
        self.cut: tuple[int, int, bytes] = (0, 0, b"")  # the state on the disk: its index, its term
        self.down_until = 0.0
        self.raft: Raft | None = None

    def start(self, now: float, seed: int, bug: str | None) -> None:
        term, vote, log = self.disk
        self.raft = Raft(
            self.name,
            self.names,
            random.Random(seed),
            now * self.rate,
            term=term,
            vote=None if bug == "vote" else vote,
            log=list(log),
            base=self.cut[0],
            base_term=self.cut[1],
            state=self.cut[2],
            piece=PIECE,
        )
        self.table, self.keeper, self.led = decode_table(self.cut[2]), Keeper(), False
        self.waiting: dict[int, tuple[int, Client, float, Command]] = {}


class Client:
    """One that wants to hold the lease and acts under it."""

    def __init__(self, name: str, rate: float, bug: str | None) -> None:
        self.name, self.rate, self.numbers = name, rate, itertools.count(1)
        self.holder = Holder(LEASE, TTL * (1.6 if bug == "early" else 1.0))
        self.stopped_until = self.next_at = 0.0


class World:
    def __init__(self, seed: int, bug: str | None = None) -> None:
        self.draw, self.bug, self.now, self.count = random.Random(seed), bug, 0.0, itertools.count()
        names = tuple(f"v{n}" for n in range(self.draw.choice((3, 3, 5))))
        rates = (1 - RATE_ERROR / 2, 1.0, 1 + RATE_ERROR / 2)
        self.voters = {name: Voter(name, names, self.draw.choice(rates)) for name in names}
        self.clients = [Client(f"c{n}", self.draw.choice(rates), bug) for n in range(3)]
        self.mail: list[tuple] = []
        self.cut: set[str] = set()
        self.cut_until = 0.0
        self.loss = self.draw.choice((0.0, 0.05, 0.2))
        self.leaders: dict[int, str] = {}
        self.applied: dict[int, Entry] = {}
        self.gate, self.newest, self.taken, self.restored = Gate(), 0, 0, 0
        self.states: dict[int, bytes] = {}  # at the indexes where a voter cut its log
        for voter in self.voters.values():
            voter.start(0.0, self.draw.getrandbits(32), bug)

    def post(self, one: str, other: str, what: object) -> None:
        if self.draw.random() < self.loss or (one in self.cut) != (other in self.cut):
            return
        for _ in range(1 + (self.draw.random() < 0.03)):
            late = self.draw.choice((0.005, 0.01, 0.03, 0.4 if self.draw.random() < 0.1 else 0.02))
            heapq.heappush(
                self.mail, (self.now + late * (0.5 + self.draw.random()), next(self.count), one, other, what)
            )

    def act(self, voter: Voter, actions: list) -> None:
        voted = False
        for action in actions:
            if isinstance(action, Keep):
                length = action.length - voter.cut[0]
                voter.disk = action.term, action.vote, [*voter.disk[2][:length], *action.entries]
                voted |= action.vote not in (None, voter.name) and not action.entries
            elif isinstance(action, Send):
                self.post(voter.name, action.to, action.message)
            elif isinstance(action, Apply):
                self.apply(voter, action)
            elif isinstance(action, Cut):
                log = [] if action.whole else voter.disk[2][action.index - voter.cut[0] :]
                voter.disk = *voter.disk[:2], log
                voter.cut = action.index, action.term, action.state
            elif isinstance(action, Restore):
                if self.bug != "state":
                    voter.table = decode_table(action.state)
                self.restored += 1
        raft = voter.raft
        if raft.commit - raft.base >= LOG:
            state = encode_table(voter.table)
            if self.states.setdefault(raft.commit, state) != state:
                raise Violation(f"two states at {raft.commit}")
            self.act(voter, raft.compact(self.now * voter.rate, raft.commit, state))
        if voted and self.draw.random() < 0.3:  # killed right after it has given its vote
            voter.raft, voter.down_until = None, self.now + STEP
        elif raft.role == "leader":
            if self.leaders.setdefault(raft.term, voter.name) != voter.name:
                raise Violation(f"two leaders in term {raft.term}")
            if not voter.led:
                voter.led = True
                voter.keeper.begin(self.now * voter.rate, voter.table)
        else:
            voter.led = False

    def apply(self, voter: Voter, action: Apply) -> None:
        if self.applied.setdefault(action.index, action.entry) != action.entry:
            raise Violation(f"two entries at {action.index}")
        command = action.entry.command
        if command is None:
            return
        answer = voter.table.apply(action.index, command)
        voter.keeper.applied(self.now * voter.rate, voter.table, command)
        term, client, sent_at, asked = voter.waiting.pop(action.index, (0, None, 0.0, None))
        if client is not None and term == action.entry.term and asked == command:
            self.post(voter.name, client.name, (command, sent_at, answer))

    def ask(self, client: Client, what: str) -> None:
        """Send a command to a voter drawn at random; one that does not lead drops it."""
        token = client.holder.drop(self.now * client.rate) if what == "release" else client.holder.token
        command = Command(
            what, LEASE, client.name, TTL, token, session=client.name, number=next(client.numbers)
        )
        self.post(client.name, self.draw.choice(list(self.voters)), (command, self.now * client.rate, None))

    def step(self) -> None:
        self.now += STEP
        self.faults()
        while self.mail and self.mail[0][0] <= self.now:
            _, _, one, other, what = heapq.heappop(self.mail)
            if other == "gate":
                self.effect(what)
            elif other in self.voters:
                self.voter_gets(self.voters[other], one, what)
            else:
                client = self.clients[int(other[1:])]
                if self.now < client.stopped_until:  # it reads it when it goes on
                    heapq.heappush(self.mail, (client.stopped_until, next(self.count), one, other, what))
                elif what[0].what != "release":
                    client.holder.answered(what[1], what[2])
        for voter in self.voters.values():
            if voter.raft is not None and self.now * voter.rate >= voter.raft.wake_at:
                self.act(voter, voter.raft.tick(self.now * voter.rate))
            if voter.raft is not None and voter.led:
                for command in voter.keeper.ended(self.now * voter.rate, voter.table):
                    self.act(voter, voter.raft.propose(self.now * voter.rate, command)[1])
        for client in self.clients:
            if self.now >= max(client.next_at, client.stopped_until):
                self.client_turn(client)
        holders = [client.name for client in self.clients if client.holder.holds(self.now * client.rate)]
        if len(holders) > 1:
            raise Violation(f"held by {holders}")

    def voter_gets(self, voter: Voter, sender: str, what: object) -> None:
        if voter.raft is None:
            return
        clock = self.now * voter.rate
        if isinstance(what, tuple):
            command, sent_at, _ = what
            index, actions = voter.raft.propose(clock, command)
            if index is not None:
                client = self.clients[int(sender[1:])]
                voter.waiting[index] = voter.raft.term, client, sent_at, command
            self.act(voter, actions)
        else:
            self.act(voter, voter.raft.step(clock, sender, what))

    def client_turn(self, client: Client) -> None:
        clock = self.now * client.rate
        client.next_at = self.now + 0.1 + 0.2 * self.draw.random()
        if not client.holder.holds(clock):
            client.holder.drop(clock - 1e-9)
            self.ask(client, "acquire")
            return
        if self.draw.random() < 0.02:
            self.ask(client, "release")
            return
        self.ask(client, "renew")
        if self.draw.random() < 0.05:  # stopped between the look and the effect
            client.stopped_until = self.now + 4.0 * self.draw.random()
        at = max(self.now, client.stopped_until) + 0.02 * self.draw.random()
        heapq.heappush(self.mail, (at, next(self.count), client.name, "gate", client.holder.token))

    def effect(self, token: int) -> None:
        if self.gate.takes(token) or self.bug == "token":
            self.taken += 1
            if token < self.newest:
                raise Violation(f"an effect of grant {token} after one of {self.newest}")
            self.newest = token

    def faults(self) -> None:
        for voter in self.voters.values():
            if voter.raft is not None and voter.led and self.draw.random() < 0.004:
                self.act(voter, voter.raft.hand_over(self.now * voter.rate))
            if voter.raft is None and self.now >= voter.down_until:
                voter.start(self.now, self.draw.getrandbits(32), self.bug)
            elif voter.raft is not None and self.draw.random() < 0.004:
                voter.raft, voter.down_until = None, self.now + self.draw.choice((0.05, 0.3, 2.0))
        if self.now >= self.cut_until and self.draw.random() < 0.004:
            everyone = [*self.voters, *(client.name for client in self.clients)]
            self.cut = set(self.draw.sample(everyone, self.draw.randint(1, len(everyone) - 1)))
            self.cut_until = self.now + 3.0 * self.draw.random()
        elif self.now >= self.cut_until:
            self.cut = set()


def play(seed: int, bug: str | None = None) -> tuple[int, str | None, int, int]:
    """One schedule: its seed, what was violated, how many effects were taken, and states from others."""
    world = World(seed, bug)
    try:
        while world.now < LENGTH:
            world.step()
    except Violation as violation:
        return seed, f"{violation} at {world.now:.2f} s", world.taken, world.restored
    return seed, None, world.taken, world.restored


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--bug", choices=BUGS)
    options = parser.parse_args()
    began, found, taken, restored = time.monotonic(), [], 0, 0
    seeds = range(options.first, options.first + options.seeds)
    with concurrent.futures.ProcessPoolExecutor() as pool:
        for seed, wrong, effects, states in pool.map(partial(play, bug=options.bug), seeds, chunksize=20):
            taken, restored = taken + effects, restored + states
            if wrong is not None:
                found.append(seed)
                if len(found) <= 5:
                    print(json.dumps({"seed": seed, "violation": wrong}), flush=True)
    print(
        json.dumps(
            {
                "bug": options.bug,
                "seeds": options.seeds,
                "violations": len(found),
                "first": found[0] if found else None,
                "effects": taken,
                "states": restored,
                "took_s": round(time.monotonic() - began, 1),
            }
        )
    )


if __name__ == "__main__":
    main()
