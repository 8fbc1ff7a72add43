"""Several real processes of the program, started as an operator would, with faults between them.

A test is a short script of steps and faults.  If it fails, the logs of all processes are printed, merged and
in order of time.  The rig ends only what it started.
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
TTL = 1.5  # seconds, of a lease
CONDITION_TIMEOUT_SECONDS = 40.0  # many times what a condition takes on an idle machine


def free_ports(count: int) -> list[int]:
    """Unused ports, over TCP and UDP, below the ephemeral range: a client of the test could take one of these
    before its process starts."""
    sockets = []
    ports = []
    for port in random.sample(range(12000, 32000), 2000):
        tcp = socket.socket()
        udp = socket.socket(type=socket.SOCK_DGRAM)
        sockets += [tcp, udp]
        with contextlib.suppress(OSError):
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            ports.append(port)
        if len(ports) == count:
            break
    for each in sockets:
        each.close()
    return ports


class Process:
    """One member: its configuration file, its ports, its process and all lines of its log."""

    def __init__(self, name: str, folder: Path, seeds: list[int], ports: list[int]) -> None:
        self.name = name
        self.folder = folder
        self.seeds = seeds
        self.listen, self.admin, self.fleet_port, self.proxy_port = ports
        self.file = folder / f"{name}.toml"
        self.store = folder / f"{name}.kept"
        self.log: list[dict] = []
        self.process: asyncio.subprocess.Process | None = None
        self.reading: asyncio.Task | None = None

    def write(self, discovery: int, size: int, **changes: str) -> None:
        here = "127.0.0.1"
        seeds = ", ".join(f'"127.0.0.1:{port}"' for port in self.seeds)
        text = FILE if "folder" in changes else re.sub(r"^\[recovery\](.|\n)*?\n\n", "", FILE, flags=re.M)
        for old, new in [
            (
                f'^listen = "{here}:7946".*',
                f'listen = "{here}:{self.fleet_port}"\nadvertise = "{here}:{self.proxy_port}"',
            ),
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

    def add_lease_section(self, voters: list[str]) -> None:
        """Add the section of leases to the file, and create the store of a voter."""
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

    def send(self, signal_number: signal.Signals) -> None:
        self.process.send_signal(signal_number)

    async def kill(self) -> None:
        self.send(signal.SIGKILL)
        await self.process.wait()

    def logged(self, event: str, of: str | None = None) -> list[dict]:
        return [line for line in self.log if line["event"] == event and of in (None, line.get("member"))]

    async def _call(self, path: str) -> http.Reader | None:
        """The response of the administration address; None if there is none."""
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
                writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".encode())
                message = await read_message(reader, response=True)
                writer.close()
                return message
        return None

    async def admin_json(self, path: str) -> object:
        """The body of a response of the administration address; None if there is none."""
        message = await self._call(path)
        return None if message is None else json.loads(bytes(message.body) or b"null")

    async def status(self, path: str) -> int | None:
        """The status of a response of the administration address; None if there is none."""
        message = await self._call(path)
        return None if message is None else message.head.status

    async def running_members(self) -> dict[str, int]:
        """The members that it takes to be running, with the start time of each in milliseconds."""
        found = await self.admin_json("/_fleet/members")
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


async def read_with_retries(port: int, number: int, patience: float = 1.2, **how: object) -> list[float]:
    """The Retry-After values that a client gets which retries accordingly for some seconds, and 0.0 if it is
    served in the end; -1.0 stands for an attempt without a response."""
    end = time.monotonic() + patience
    retry_after = []
    attempt = 0
    while True:
        try:
            head = await exchange(port, number + (attempt << 40), data=number, **how)
            if head.status == 200:
                return [*retry_after, 0.0]
            retry_after.append(float(head.fields.get("retry-after", "0.2")))
        except (OSError, EOFError):
            retry_after.append(-1.0)
        wait = retry_after[-1] if retry_after[-1] > 0 else 0.2
        if time.monotonic() + wait >= end:
            return retry_after
        attempt += 1
        await asyncio.sleep(wait)


class Rig:
    """A fleet of processes, two stand-in targets and a stand-in discovery."""

    def __init__(self, size: int, folder: Path, **changes: str) -> None:
        ports = free_ports(4 * size)
        seeds = [ports[3], ports[7]]
        changes = {"probe_every_s": "0.2", "probe_timeout_s": "0.1", **changes}
        # Whether the members persist state, each in a folder of its own.
        self.keep = changes.pop("keep", "") == "true"
        voters = int(changes.pop("voters", "0"))  # the number of voters on leases
        self.voters = [f"m{n}" for n in range(voters)]
        self.lists = int(changes.pop("lists", "1"))
        self.members = {
            f"m{n}": Process(f"m{n}", folder, seeds, ports[4 * n : 4 * n + 4]) for n in range(size)
        }
        self.changes = changes
        self.proxy = Proxy(FLEET)
        self.discovery = Discovery()
        self.targets = [HttpTarget("s-0", 0), HttpTarget("s-1", 1)]
        self.second = Discovery()  # with two target lists: that of the second half of the members

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
            await self.proxy.add_member(name, member.fleet_port, member.proxy_port)
            recovery = {"folder": f'"{member.store}"', "save_every_s": "0.2"} if self.keep else {}
            second = self.lists == 2 and int(name[1:]) >= len(self.members) // 2
            discovery = self.second if second else self.discovery
            member.write(discovery.port, len(self.members), **{**recovery, **self.changes})
            if self.voters:
                member.add_lease_section(self.voters)
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

    async def all_may_lend(self) -> None:
        """Wait until all may lend: loans of earlier processes have expired."""

        async def may_all_lend() -> bool:
            found = await asyncio.gather(
                *(member.admin_json("/_fleet/status") for member in self.members.values())
            )
            return all(status and status["commons"]["whole"] for status in found)

        await self.until(may_all_lend, "all may lend")

    async def add(self, name: str, shard: int, since_ms: int = 0) -> HttpTarget:
        """Add a target; returns once all members have it on their list."""
        target = HttpTarget(name, shard)
        await target.open()
        self.targets.append(target)
        self.discovery.set(target, since_ms=since_ms)
        await self.until(
            lambda: all(
                any(name in line.get("targets", {}) for line in member.logged("list"))
                for member in self.members.values()
            ),
            f"{name} is listed",
        )
        return target

    async def rush(
        self,
        readers: list[str],
        reads_per_second: int,
        seconds: float,
        mode: str = "serve",
        delay: float = 0.0,
        background_reads_per_second: int = 20,
    ) -> tuple[int, HttpTarget]:
        """Read from a target that has just started through some members, one unit each.

        All members read from the other targets meanwhile.  Returns how many reads the new target served, and
        the target.
        """
        served = 0
        reads = []
        background_reads = []
        warming = await self.add("s-9", 9, since_ms=int(time.time() * 1000))
        warming.mode = mode
        warming.delay = delay

        async def read_from_others() -> None:
            for number in itertools.count():
                member = list(self.members.values())[number % len(self.members)]
                shard = number // len(self.members) % 2
                background_reads.append(asyncio.create_task(read(member.listen, number, shard)))
                await asyncio.sleep(1 / background_reads_per_second)

        background = asyncio.create_task(read_from_others())
        await asyncio.sleep(1.0)  # each has seen a window of the traffic by which it estimates the others
        for number in range(int(reads_per_second * seconds)):
            reads.append(asyncio.create_task(read(self[readers[number % len(readers)]].listen, number, 9)))
            await asyncio.sleep(1 / reads_per_second)
        background.cancel()
        for status in await asyncio.gather(*reads, return_exceptions=True):  # a killed member answers nobody
            served += status == 200
        await asyncio.gather(*background_reads, return_exceptions=True)
        return served, warming

    def __getitem__(self, name: str) -> Process:
        return self.members[name]

    async def until(self, condition: Callable[[], bool | Awaitable[bool]], description: str) -> float:
        """Wait until a condition holds; returns the seconds it took."""
        began_at = time.monotonic()
        while True:
            result = condition()
            holds = result if isinstance(result, bool) else await result
            if holds:
                return time.monotonic() - began_at
            elapsed = time.monotonic() - began_at
            assert elapsed < CONDITION_TIMEOUT_SECONDS, f"the condition did not hold in time: {description}"
            await asyncio.sleep(0.02)

    async def agreed(self, *names: str) -> float:
        """Wait until each of those members (or of all) takes exactly those to be running."""
        wanted = set(names or self.members)

        async def all_agree() -> bool:
            seen = await asyncio.gather(*(self[name].running_members() for name in wanted))
            return all(set(each) == wanted for each in seen) and all(each == seen[0] for each in seen)

        return await self.until(all_agree, f"{sorted(wanted)} agree")


def run_scene(scene: Callable[[Rig], Awaitable[None]], size: int, folder: Path, **changes: str) -> None:
    """Run a scene with a fleet whose members all agree."""

    async def run() -> None:
        async with Rig(size, folder, **changes) as rig:
            await rig.agreed()
            await scene(rig)

    asyncio.run(run())
