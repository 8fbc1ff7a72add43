"""An initiator as a process with discovery and scripted targets, for shutdowns over either protocol."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Protocol

from review import stand_ins
from review.stand_ins import Discovery, Server
from tests.shutdown_play import Client, Exchange, Plan, Seen, Timeline
from tests.slow_peers import START_SECONDS, Program


class ScriptedTarget(Protocol):
    """A target of one or more exchanges; requests are known by the number of their exchange."""

    server: Server
    begun: dict[int, list[float]]  # when each attempt of a request began
    complete: dict[int, int]  # attempts of each request that came whole


class ShutdownSite:
    """One target for each exchange; with `shard_count`, the targets of the first ones serve the others too.

    Subclasses write the configuration and make targets and clients.
    """

    def __init__(self, folder: Path, plan: Plan, exchanges: list[Exchange], shard_count: int = 0) -> None:
        self.plan = plan
        self.exchanges = exchanges
        self.folder = folder
        self.shard_count = shard_count or len(exchanges)
        self.timeline = Timeline()
        self.events: list[dict] = []
        self.targets = [self.make_target(exchange) for exchange in exchanges[: self.shard_count]]
        self.discovery = Discovery(lambda event, **details: None)
        for shard, exchange in enumerate(exchanges[: self.shard_count]):
            if exchange.listed_at is None:
                self._list_target(shard)
        self.programs: list[Program] = []
        self.port = 0

    def make_target(self, exchange: Exchange) -> ScriptedTarget:
        raise NotImplementedError

    def make_client(self, number: int, exchange: Exchange) -> Client:
        raise NotImplementedError

    def write_config(self, listen: str) -> tuple[dict[str, str], tuple[str, ...]]:
        """Write a configuration; return the variables and the arguments of a process that reads it."""
        raise NotImplementedError

    def _list_target(self, shard: int) -> None:
        self.discovery.set(f"s-{shard}", self.targets[shard].server.port, shard)

    def start(self, listening: socket.socket | None = None) -> None:
        """Start the process; with a listening socket, one that has a successor."""
        port = 0 if listening is None else listening.getsockname()[1]
        self._variables, self._arguments = self.write_config(f"{stand_ins.HOST}:{port}")
        self.program = self.start_process("n1", listening, self.events)
        stand_ins.wait_until(lambda: self.program.has_logged("started"), START_SECONDS, "the initiator runs")
        listen = next(line["listen"] for line in self.events if line["event"] == "started")
        self.port = int(listen.rpartition(":")[2])
        stand_ins.wait_until(lambda: self.program.has_logged("list"), START_SECONDS, "the targets are known")

    def start_process(self, name: str, listening: socket.socket | None, events: list[dict]) -> Program:
        variables = {
            "TMPDIR": str(self.folder),
            "PYTHONUNBUFFERED": "1",
            "STALLTILLER_TRACE": "1",
            **self._variables,
        }
        descriptors: tuple[int, ...] = ()
        if listening is not None:
            descriptors = (listening.fileno(),)
            variables.update(PROXY_INHERITED_FD=str(listening.fileno()), PROXY_ADMIN=f"{stand_ins.HOST}:0")
        program = Program(name, descriptors, variables, events, self._arguments)
        self.programs.append(program)
        return program

    def connect_clients(self) -> list[Client]:
        """Open the connections of all clients; SIGTERM comes soon after."""
        clients = [self.make_client(number, exchange) for number, exchange in enumerate(self.exchanges)]
        self.timeline.start()
        return clients

    def list_late_targets(self) -> None:
        """List the targets that are not listed from the start; runs in a thread of its own."""
        late = [(item.listed_at, shard) for shard, item in enumerate(self.exchanges[: self.shard_count])]
        for listed_at, shard in sorted((at, shard) for at, shard in late if at is not None):
            self.timeline.sleep_until(listed_at)
            self._list_target(shard)

    def record_attempts(self, seen: list[Seen]) -> None:
        """Add to what the clients saw what the targets got of their requests."""
        for number, one in enumerate(seen):
            target = self.targets[number % self.shard_count]
            one.attempts = target.begun.get(number, [])
            one.complete_attempts = target.complete.get(number, 0)

    def close(self) -> None:
        for program in self.programs:
            program.kill()
        self.discovery.server.close()
        for target in self.targets:
            target.server.close()
