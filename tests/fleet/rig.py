"""Runs a fleet of real processes of the program, started as an operator would, and injects faults.

A test is a short sequence of steps and faults.  If it fails, the logs of all processes are printed, merged in
order of time.  The rig terminates only the processes that it started.
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
CONFIG_TEMPLATE = (ROOT / "deploy" / "fleet.toml").read_text()
FLEET_NAME = "campus"
TTL = 1.5  # a lease's time to live in seconds
CONDITION_TIMEOUT_SECONDS = 40.0  # many times the usual wait on an idle machine


def reserve_ports(count: int) -> list[socket.socket]:
    """Return sockets bound to ports that are unused over both TCP and UDP; each keeps its port until closed.

    A server of the program may still listen there: both sockets have SO_REUSEADDR, and the one that keeps the
    port doesn't listen.  Another rig, which tries its ports without that option, does not get them.  They lie
    below the ephemeral range, as a client of the test could take an ephemeral port over UDP.
    """
    reserved: list[socket.socket] = []
    for port in random.sample(range(12000, 32000), 2000):
        if len(reserved) == count:
            break
        tcp = socket.socket()
        with socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                tcp.close()
                continue
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.append(tcp)
    return reserved


class Process:
    """One member of the fleet: its configuration file, ports, process and log lines."""

    def __init__(self, name: str, folder: Path, seeds: list[int], ports: list[int]) -> None:
        self.name = name
        self.folder = folder
        self.seeds = seeds
        self.listen, self.admin, self.fleet_port, self.proxy_port = ports
        self.config_path = folder / f"{name}.toml"
        self.store_path = folder / f"{name}.recovery"
        self.log: list[dict] = []
        self.process: asyncio.subprocess.Process | None = None
        self.log_reader: asyncio.Task | None = None

    def write_config(self, discovery_port: int, size: int, **changes: str) -> None:
        """Write the template with this member's ports and other changed values to the configuration file."""
        address = "127.0.0.1"
        seeds = ", ".join(f'"127.0.0.1:{port}"' for port in self.seeds)
        text = (
            CONFIG_TEMPLATE
            if "folder" in changes
            else re.sub(r"^\[recovery\](.|\n)*?\n\n", "", CONFIG_TEMPLATE, flags=re.M)
        )
        for old, new in [
            (
                f'^listen = "{address}:7946".*',
                f'listen = "{address}:{self.fleet_port}"\nadvertise = "{address}:{self.proxy_port}"',
            ),
            ("^seeds = .*", f"seeds = [{seeds}]"),
            ('^name = "n1"', f'name = "{self.name}"'),
            *(
                (rf"{address}:{old}\b", f"{address}:{new}")
                for old, new in (  # match whole ports: 30005 begins with 3000
                    (3000, self.listen),
                    (9600, self.admin),
                    (8500, discovery_port),
                )
            ),
            ("^position = .*", f"position = {self.name[1:]}"),
            ("^balancers = .*", f"balancers = {size}"),
            *((f"^{key} = .*", f"{key} = {value}") for key, value in changes.items()),
        ]:
            text, match_count = re.subn(old, new, text, flags=re.M)
            assert match_count, old
        self.config_path.write_text(text)

    def add_lease_section(self, voters: list[str]) -> None:
        """Add a lease section to the configuration file, and create the store if this member is a voter."""
        folder = self.folder / f"{self.name}.voter"
        if self.name in voters:
            create_voter_store(str(folder), self.name)
        text = self.config_path.read_text()
        section = (
            f'[leases]\nvoters = {json.dumps(voters)}\nfolder = "{folder}"\n'
            f"ttl_s = {TTL}\nmost_log = 20\n\n"
        )
        settings_header = "\n[settings]\n"
        assert text.count(settings_header) == 1, "the configuration has no unique [settings] header"
        self.config_path.write_text(text.replace(settings_header, f"\n{section}[settings]\n"))

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "stalltiller",
            "serve",
            str(self.config_path),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, "TMPDIR": str(self.folder)},
        )
        self.log_reader = asyncio.create_task(self._read(self.process.stdout))

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

    def logged(self, event: str, member: str | None = None) -> list[dict]:
        """Return the log lines of an event, only those about one member if it is given."""
        return [line for line in self.log if line["event"] == event and member in (None, line.get("member"))]

    async def _get(self, path: str) -> http.Reader | None:
        """Return the response of the administration address, or None if there is none."""
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
                writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".encode())
                message = await read_message(reader, response=True)
                writer.close()
                return message
        return None

    async def admin_json(self, path: str) -> object:
        """Return the JSON body of an administration response, or None if there is no response."""
        message = await self._get(path)
        return None if message is None else json.loads(bytes(message.body) or b"null")

    async def admin_status(self, path: str) -> int | None:
        """Return the HTTP status of an administration response, or None if there is no response."""
        message = await self._get(path)
        return None if message is None else message.head.status

    async def running_members(self) -> dict[str, int]:
        """Return the members that this one considers running, with their start times in milliseconds."""
        members = await self.admin_json("/_fleet/members")
        return {m["name"]: m["life"] for m in members or [] if m["state"] in ("alive", "suspect")}


async def send_read(
    port: int,
    number: int,
    shard: int = 0,
    plan: str = "standard",
    hosts: int = 1,
    volume: int | None = None,
    tag: int | None = None,
) -> http.Head:
    """Send a read to the member listening on a port, and return the head of its response.

    `tag` names the data to read (default: `number`); without a volume one of four is read.
    """
    volume = number % 4 if volume is None else volume
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        http.encode_request(
            "GET",
            f"/order-read/{number if tag is None else tag:x}",
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


async def read(port: int, number: int, shard: int = 0, **options: object) -> int:
    """Return the status of the response to one read."""
    return (await send_read(port, number, shard, **options)).status


async def read_with_retries(
    port: int, number: int, retry_seconds: float = 1.2, **options: object
) -> list[float]:
    """Read as a client that follows Retry-After for some seconds, and return the values that it received.

    0.0 at the end says that it was served; -1.0 stands for an attempt without a response.
    """
    deadline = time.monotonic() + retry_seconds
    retry_afters = []
    attempt = 0
    while True:
        try:
            head = await send_read(port, number + (attempt << 40), tag=number, **options)
            if head.status == 200:
                return [*retry_afters, 0.0]
            retry_afters.append(float(head.fields.get("retry-after", "0.2")))
        except (OSError, EOFError):
            retry_afters.append(-1.0)
        wait = retry_afters[-1] if retry_afters[-1] > 0 else 0.2
        if time.monotonic() + wait >= deadline:
            return retry_afters
        attempt += 1
        await asyncio.sleep(wait)


class Rig:
    """A fleet of processes with stubs for its targets and discovery services."""

    def __init__(self, size: int, folder: Path, **changes: str) -> None:
        self._reserved = reserve_ports(4 * size)
        ports = [reserved.getsockname()[1] for reserved in self._reserved]
        seeds = [ports[3], ports[7]]
        changes = {"probe_every_s": "0.2", "probe_timeout_s": "0.1", **changes}
        # Whether the members persist their recovery state, each in a folder of its own.
        self.persists_state = changes.pop("persists_state", "") == "true"
        voter_count = int(changes.pop("voters", "0"))
        self.voters = [f"m{n}" for n in range(voter_count)]
        self.discovery_count = int(changes.pop("discovery_count", "1"))
        self.members = {
            f"m{n}": Process(f"m{n}", folder, seeds, ports[4 * n : 4 * n + 4]) for n in range(size)
        }
        self.changes = changes
        self.proxy = Proxy(FLEET_NAME)
        self.discovery = Discovery()
        self.targets = [HttpTarget("s-0", 0), HttpTarget("s-1", 1)]
        self.second_discovery = Discovery()  # used by the second half of the members if discovery_count is 2

    async def __aenter__(self) -> Rig:
        for target in self.targets:
            await target.open()
            self.discovery.set(target)
        await self.discovery.open()
        if self.discovery_count == 2:
            for target in self.targets:
                self.second_discovery.set(target)
            await self.second_discovery.open()
        for name, member in self.members.items():
            await self.proxy.add_member(name, member.fleet_port, member.proxy_port)
            recovery = (
                {"folder": f'"{member.store_path}"', "save_every_s": "0.2"} if self.persists_state else {}
            )
            uses_second = self.discovery_count == 2 and int(name[1:]) >= len(self.members) // 2
            discovery = self.second_discovery if uses_second else self.discovery
            member.write_config(discovery.port, len(self.members), **{**recovery, **self.changes})
            if self.voters:
                member.add_lease_section(self.voters)
        await asyncio.gather(*(member.start() for member in self.members.values()))
        return self

    async def __aexit__(self, error_type, error, traceback) -> None:
        for member in self.members.values():
            if member.process is not None and member.process.returncode is None:
                member.send(signal.SIGCONT)
                await member.kill()
            if member.log_reader is not None:
                await member.log_reader
        self.proxy.close()
        for stub in (self.discovery, self.second_discovery, *self.targets):
            stub.close()
        for reserved in self._reserved:
            reserved.close()
        if error_type is not None:
            lines = [line for member in self.members.values() for line in member.log]
            for line in sorted(lines, key=lambda line: line["time"]):
                print(json.dumps(line))

    async def all_may_lend(self) -> None:
        """Wait until all members may lend budget, as loans of earlier processes have expired."""

        async def can_all_lend() -> bool:
            statuses = await asyncio.gather(
                *(member.admin_json("/_fleet/status") for member in self.members.values())
            )
            return all(status and status["commons"]["whole"] for status in statuses)

        await self.wait_until(can_all_lend, "all members may lend budget")

    async def add(self, name: str, shard: int, since_ms: int = 0) -> HttpTarget:
        """Add a target and wait until all members have it on their target list."""
        target = HttpTarget(name, shard)
        await target.open()
        self.targets.append(target)
        self.discovery.set(target, since_ms=since_ms)
        await self.wait_until(
            lambda: all(
                any(name in line.get("targets", {}) for line in member.logged("list"))
                for member in self.members.values()
            ),
            f"{name} is on the target list of all members",
        )
        return target

    async def read_from_warming_target(
        self,
        readers: list[str],
        reads_per_second: int,
        seconds: float,
        mode: str = "serve",
        delay: float = 0.0,
        background_reads_per_second: int = 20,
    ) -> tuple[int, HttpTarget]:
        """Send reads of one unit through some members to a target that has just started.

        Meanwhile all members read from the other targets.  Returns the number of reads that the new target
        served, and the target.
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
        await asyncio.sleep(1.0)  # fills the window of traffic from which each member estimates the others'
        for number in range(int(reads_per_second * seconds)):
            reads.append(asyncio.create_task(read(self[readers[number % len(readers)]].listen, number, 9)))
            await asyncio.sleep(1 / reads_per_second)
        background.cancel()
        # A killed member sends no response, so its reads end in exceptions.
        for status in await asyncio.gather(*reads, return_exceptions=True):
            served += status == 200
        await asyncio.gather(*background_reads, return_exceptions=True)
        return served, warming

    def __getitem__(self, name: str) -> Process:
        return self.members[name]

    async def wait_until(self, condition: Callable[[], bool | Awaitable[bool]], description: str) -> float:
        """Wait until a condition holds, and return the seconds waited."""
        started_at = time.monotonic()
        while True:
            result = condition()
            holds = result if isinstance(result, bool) else await result
            if holds:
                return time.monotonic() - started_at
            elapsed = time.monotonic() - started_at
            assert elapsed < CONDITION_TIMEOUT_SECONDS, f"the condition did not hold in time: {description}"
            await asyncio.sleep(0.02)

    async def wait_until_views_agree(self, *names: str) -> float:
        """Wait until each of these members (default: all) considers exactly these running."""
        expected = set(names or self.members)

        async def all_agree() -> bool:
            views = await asyncio.gather(*(self[name].running_members() for name in expected))
            return all(set(view) == expected for view in views) and all(view == views[0] for view in views)

        return await self.wait_until(all_agree, f"{sorted(expected)} agree on the running members")


def run_scenario(scenario: Callable[[Rig], Awaitable[None]], size: int, folder: Path, **changes: str) -> None:
    """Run a test scenario once all members of a new fleet agree on the running members."""

    async def run() -> None:
        async with Rig(size, folder, **changes) as rig:
            await rig.wait_until_views_agree()
            await scenario(rig)

    asyncio.run(run())
