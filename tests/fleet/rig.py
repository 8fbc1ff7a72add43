"""Several real processes of the program, started as an operator would, with faults between them.

A test is a short script of steps and faults.  If it fails, the log of all processes is printed, merged and in
order of time.  The rig ends only what it started.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import re
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from stalltiller.leases.store import create_voter_store
from stalltiller.protocol import http
from tests.fleet.proxy import Proxy
from tests.stand_ins import Discovery, HttpTarget, read_message

ROOT = Path(__file__).parent.parent.parent
FILE = (ROOT / "deploy" / "fleet.toml").read_text()
FLEET = "campus"
TTL = 1.5  # s of a lease
PATIENCE = 40.0  # s that a condition may take: many times what it takes on an idle machine


def free_ports(count: int) -> list[int]:
    """Ports that nobody listens at, over TCP and UDP, under those that the system gives to connections: one
    of these could be taken by a client of the test before its process starts."""
    held, ports = [], []
    for port in random.sample(range(12000, 32000), 2000):
        one, two = socket.socket(), socket.socket(type=socket.SOCK_DGRAM)
        held += [one, two]
        with contextlib.suppress(OSError):
            one.bind(("127.0.0.1", port))
            two.bind(("127.0.0.1", port))
            ports.append(port)
        if len(ports) == count:
            break
    for each in held:
        each.close()
    return ports


class Process:
    """One member: its file, its ports, its process and all lines of its log."""

    def __init__(self, name: str, folder: Path, seeds: list[int], ports: list[int]) -> None:
        self.name, self.folder, self.seeds = name, folder, seeds
        self.listen, self.admin, self.own, self.gate = ports
        self.file, self.store = folder / f"{name}.toml", folder / f"{name}.kept"
        self.log: list[dict] = []
        self.process: asyncio.subprocess.Process | None = None
        self.reading: asyncio.Task | None = None

    def write(self, discovery: int, size: int, **changes: str) -> None:
        here, seeds = "127.0.0.1", ", ".join(f'"127.0.0.1:{port}"' for port in self.seeds)
        text = FILE if "folder" in changes else re.sub(r"^\[recovery\](.|\n)*?\n\n", "", FILE, flags=re.M)
        for old, new in [
            (f'^listen = "{here}:7946".*', f'listen = "{here}:{self.own}"\nadvertise = "{here}:{self.gate}"'),
            ("^seeds = .*", f"seeds = [{seeds}]"),
            ('^name = "n1"', f'name = "{self.name}"'),
            *(
                (rf"{here}:{old}\b", f"{here}:{new}")
                for old, new in (  # whole: 30005 begins with 3000
                    (3000, self.listen),
                    (9600, self.admin),
                    (8500, discovery),
                )
            ),
            ("^position = .*", f"position = {self.name[1:]}"),
            ("^balancers = .*", f"balancers = {size}"),
            *((f"^{key} = .*", f"{key} = {value}") for key, value in changes.items()),
        ]:
            text, found = re.subn(old, new, text, flags=re.M)
            assert found, old
        self.file.write_text(text)

    def vote(self, voters: list[str]) -> None:
        """Give the file a section of leases, and a voter its store."""
        folder = self.folder / f"{self.name}.voter"
        if self.name in voters:
            create_voter_store(str(folder), self.name)
        text = self.file.read_text()
        section = (
            f'[leases]\nvoters = {json.dumps(voters)}\nfolder = "{folder}"\n'
            f"ttl_s = {TTL}\nmost_log = 20\n\n"
        )
        self.file.write_text(text.replace("# The settings, with", section + "# The settings, with"))

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "stalltiller",
            "serve",
            str(self.file),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, "TMPDIR": str(self.folder)},
        )
        self.reading = asyncio.create_task(self._read(self.process.stdout))

    async def _read(self, stream: asyncio.StreamReader) -> None:
        async for line in stream:
            try:
                self.log.append(json.loads(line))
            except ValueError:
                text = line.decode(errors="replace")
                self.log.append({"time": time.time(), "name": self.name, "event": text})

    def send(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    async def kill(self) -> None:
        self.send(signal.SIGKILL)
        await self.process.wait()

    def said(self, event: str, of: str | None = None) -> list[dict]:
        return [line for line in self.log if line["event"] == event and of in (None, line.get("member"))]

    async def _call(self, path: str) -> http.Reader | None:
        """A call's answer at the second address; None if there is none."""
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
                writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".encode())
                message = await read_message(reader, response=True)
                writer.close()
                return message
        return None

    async def ask(self, path: str) -> object:
        """The body of an answer; None if there is none."""
        message = await self._call(path)
        return None if message is None else json.loads(bytes(message.body) or b"null")

    async def status(self, path: str) -> int | None:
        """The status of an answer; None if there is none."""
        message = await self._call(path)
        return None if message is None else message.head.status

    async def seen(self) -> dict[str, int]:
        """Whom it takes to run, and the life of each."""
        found = await self.ask("/_fleet/members")
        return {m["name"]: m["life"] for m in found or [] if m["state"] in ("alive", "suspect")}


async def exchange(
    port: int,
    number: int,
    shard: int = 0,
    plan: str = "standard",
    hosts: int = 1,
    volume: int | None = None,
    data: int | None = None,
) -> http.Head:
    """The head of the answer to a read of some data at the member that serves there; of one of four volumes,
    if none is named."""
    volume = number % 4 if volume is None else volume
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        http.encode_request(
            "GET",
            f"/order-read/{number if data is None else data:x}",
            {
                "Host": "h",
                "X-Request-ID": f"id{number}",
                "Tier": plan,
                "X-Timeout": "1.2",
                "IO-Info": f"volume={volume:x},units=1,shard={shard},hosts={hosts}",
            },
            b"",
        )
    )
    try:
        return (await read_message(reader, response=True)).head
    finally:
        writer.transport.abort()


async def read(port: int, number: int, shard: int = 0, **how: object) -> int:
    """The status of one read."""
    return (await exchange(port, number, shard, **how)).status


async def patient(port: int, number: int, patience: float = 1.2, **how: object) -> list[float]:
    """What a client is told that returns when it is told to, for some seconds: the advice of each refusal,
    and 0.0 if it is served in the end; -1.0 stands for a try that nobody answered."""
    end, told = time.monotonic() + patience, []
    for attempt in itertools.count():
        try:
            head = await exchange(port, number + (attempt << 40), data=number, **how)
            if head.status == 200:
                return [*told, 0.0]
            told.append(float(head.fields.get("retry-after", "0.2")))
        except (OSError, EOFError):
            told.append(-1.0)
        wait = told[-1] if told[-1] > 0 else 0.2
        if time.monotonic() + wait >= end:
            return told
        await asyncio.sleep(wait)


class Rig:
    """So many members, two stand-in targets and a discovery."""

    def __init__(self, size: int, folder: Path, **changes: str) -> None:
        ports = free_ports(4 * size)
        seeds = [ports[3], ports[7]]
        changes = {"probe_every_s": "0.2", "probe_timeout_s": "0.1", **changes}
        self.keep = changes.pop("keep", "") == "true"  # whether they keep state, each in a folder of its own
        voters = int(changes.pop("voters", "0"))  # so many of them vote on leases
        self.voters = [f"m{n}" for n in range(voters)]
        self.lists = int(changes.pop("lists", "1"))
        self.members = {
            f"m{n}": Process(f"m{n}", folder, seeds, ports[4 * n : 4 * n + 4]) for n in range(size)
        }
        self.changes = changes
        self.proxy = Proxy(FLEET)
        self.discovery, self.targets = Discovery(), [HttpTarget("s-0", 0), HttpTarget("s-1", 1)]
        self.second = Discovery()  # with two lists: of the second half of the members

    async def __aenter__(self) -> Rig:
        for target in self.targets:
            await target.open()
            self.discovery.set(target)
        await self.discovery.open()
        if self.lists == 2:
            for target in self.targets:
                self.second.set(target)
            await self.second.open()
        for name, member in self.members.items():
            await self.proxy.before(name, member.own, member.gate)
            kept = {"folder": f'"{member.store}"', "save_every_s": "0.2"} if self.keep else {}
            second = self.lists == 2 and int(name[1:]) >= len(self.members) // 2
            discovery = self.second if second else self.discovery
            member.write(discovery.port, len(self.members), **{**kept, **self.changes})
            if self.voters:
                member.vote(self.voters)
        await asyncio.gather(*(member.start() for member in self.members.values()))
        return self

    async def __aexit__(self, kind, error, trace) -> None:
        for member in self.members.values():
            if member.process is not None and member.process.returncode is None:
                member.send(signal.SIGCONT)
                await member.kill()
            if member.reading is not None:
                await member.reading
        self.proxy.close()
        for standin in (self.discovery, self.second, *self.targets):
            standin.close()
        if kind is not None:
            lines = [line for member in self.members.values() for line in member.log]
            for line in sorted(lines, key=lambda line: line["time"]):
                print(json.dumps(line))

    async def shares_whole(self) -> None:
        """Wait until all may lend: what an earlier life has lent is back."""

        async def all_whole() -> bool:
            found = await asyncio.gather(*(member.ask("/_fleet/status") for member in self.members.values()))
            return all(status and status["commons"]["whole"] for status in found)

        await self.until(all_whole, "all may lend")

    async def add(self, name: str, shard: int, since_ms: int = 0) -> HttpTarget:
        """One more target, once all members have it on their list."""
        target = HttpTarget(name, shard)
        await target.open()
        self.targets.append(target)
        self.discovery.set(target, since_ms=since_ms)
        await self.until(
            lambda: all(
                any(name in line.get("targets", {}) for line in member.said("list"))
                for member in self.members.values()
            ),
            f"{name} is listed",
        )
        return target

    async def rush(
        self,
        askers: list[str],
        a_second: int,
        seconds: float,
        mode: str = "serve",
        delay: float = 0.0,
        usual: int = 20,
    ) -> tuple[int, HttpTarget]:
        """Have some members read from a target that has just started, one unit each, while all read from the
        others, so many times a second; how many were served there, and the target."""
        served, asked, others = 0, [], []
        cold = await self.add("s-9", 9, since_ms=int(time.time() * 1000))
        cold.mode, cold.delay = mode, delay

        async def elsewhere() -> None:
            for number in itertools.count():
                member = list(self.members.values())[number % len(self.members)]
                shard = number // len(self.members) % 2
                others.append(asyncio.create_task(read(member.listen, number, shard)))
                await asyncio.sleep(1 / usual)

        background = asyncio.create_task(elsewhere())
        await asyncio.sleep(1.0)  # each has lived a span with the traffic that it judges the others by
        for number in range(int(a_second * seconds)):
            asked.append(asyncio.create_task(read(self[askers[number % len(askers)]].listen, number, 9)))
            await asyncio.sleep(1 / a_second)
        background.cancel()
        for status in await asyncio.gather(*asked, return_exceptions=True):  # who is killed answers nobody
            served += status == 200
        await asyncio.gather(*others, return_exceptions=True)
        return served, cold

    def __getitem__(self, name: str) -> Process:
        return self.members[name]

    async def until(self, true: Callable[[], bool | Awaitable[bool]], what: str) -> float:
        """Wait for something to come true; how long it took."""
        began = time.monotonic()
        while True:
            found = true()
            if found if isinstance(found, bool) else await found:
                return time.monotonic() - began
            assert time.monotonic() - began < PATIENCE, f"it did not come true in time: {what}"
            await asyncio.sleep(0.02)

    async def agreed(self, *names: str) -> float:
        """Wait until each of those (or of all) takes exactly those to run."""
        wanted = set(names or self.members)

        async def all_agree() -> bool:
            seen = await asyncio.gather(*(self[name].seen() for name in wanted))
            return all(set(each) == wanted for each in seen) and all(each == seen[0] for each in seen)

        return await self.until(all_agree, f"{sorted(wanted)} agree")


def play(scene: Callable[[Rig], Awaitable[None]], size: int, folder: Path, **changes: str) -> None:
    """Run a scene with a fleet that is whole."""

    async def whole() -> None:
        async with Rig(size, folder, **changes) as rig:
            await rig.agreed()
            await scene(rig)

    asyncio.run(whole())
