"""Descriptor limits under many idle client connections while discovery is down."""

from __future__ import annotations

import asyncio
import contextlib
import json
import resource
import signal
import socket
import subprocess
from pathlib import Path

import pytest

from stalltiller.protocol import http
from tests.stand_ins import BLOCK_BYTES, Discovery, HttpTarget, read_message
from tests.test_program import EXAMPLE_CONFIG, start_program

IDLE_CLIENTS = 300
IDLE_ADMIN_CLIENTS = 40


async def reconnect_idle(address: tuple[str, int], reconnect_delay: list[float]) -> None:
    """Connect, send nothing, and reconnect `reconnect_delay[0]` seconds after each disconnect."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                await reader.read()
            finally:
                writer.close()
        await asyncio.sleep(reconnect_delay[0])


class LoggedEvents:
    """The events that a program logs, read in a thread until the end of its standard output."""

    def __init__(self, program: subprocess.Popen) -> None:
        self._program = program
        self._events: asyncio.Queue[dict] = asyncio.Queue()
        self._loop = asyncio.get_running_loop()
        self.reader_done = self._loop.run_in_executor(None, self._read)

    def _read(self) -> None:
        for line in self._program.stdout:
            self._loop.call_soon_threadsafe(self._events.put_nowait, json.loads(line))

    async def wait_for(self, name: str) -> dict:
        """Return the next event with this name; fail on `loop_error`, e.g. an accept without descriptors."""
        while True:
            event = await self._events.get()
            assert event["event"] != "loop_error", event
            if event["event"] == name:
                return event


def unused_address() -> tuple[str, int]:
    with socket.socket() as bound_socket:
        bound_socket.bind(("127.0.0.1", 0))
        return bound_socket.getsockname()


def start_with_descriptors(
    path: Path, discovery: Discovery, admin: tuple[str, int], max_descriptors: int
) -> subprocess.Popen:
    """Start an initiator with `max_descriptors` as its configured and its actual descriptor limit."""
    config = {
        **EXAMPLE_CONFIG,
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery.port}",
        "known": None,
        "admin": f"127.0.0.1:{admin[1]}",
        "limits": {**EXAMPLE_CONFIG["limits"], "sockets": max_descriptors},
    }
    path.write_text(json.dumps(config))
    return start_program(
        PROXY_CONFIG=str(path),
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors)),
    )


async def assert_ready(admin: tuple[str, int]) -> None:
    reader, writer = await asyncio.open_connection(*admin)
    writer.write(b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n")
    assert (await reader.read()).startswith(b"HTTP/1.1 200")
    writer.close()


async def assert_served(address: tuple[str, int], target: HttpTarget) -> None:
    fields = {
        "Host": "h",
        "X-Request-ID": "id1",
        "Tier": EXAMPLE_CONFIG["settings"]["contracts"][1]["name"],
        "X-Timeout": "1.2",
        "IO-Info": "volume=a1,units=1,shard=0,hosts=1",
    }
    reader, writer = await asyncio.open_connection(*address)
    writer.write(http.encode_request("GET", "/order-read/1", fields, b""))
    response = await read_message(reader, response=True)
    assert (response.head.status, bytes(response.body)) == (200, target.stored_data(1, BLOCK_BYTES))
    writer.close()


@pytest.mark.parametrize("max_descriptors", [96, 160])
def test_idle_clients_leave_descriptors_for_discovery_targets_and_admin_requests(max_descriptors, tmp_path):
    """Idle clients connect while discovery is down; once it is up, its list and a request must succeed."""

    async def scenario():
        discovery, target = Discovery(), HttpTarget("s-0", 0)
        await discovery.open()
        discovery.close()  # keeps its port; connections are refused until it is opened again
        await target.open()
        discovery.set(target)
        admin = unused_address()
        program = start_with_descriptors(tmp_path / "config.json", discovery, admin, max_descriptors)
        events = LoggedEvents(program)
        host, _, port = (await events.wait_for("started"))["listen"].partition(":")
        address = (host, int(port))
        reconnect_delay = [0.0]  # the clients reconnect immediately at first
        idle_clients = [
            asyncio.create_task(reconnect_idle(listener_address, reconnect_delay))
            for listener_address in [address] * IDLE_CLIENTS + [admin] * IDLE_ADMIN_CLIENTS
        ]
        try:
            await events.wait_for("discovery_failed")
            while (await events.wait_for("counters"))["shed"] < IDLE_CLIENTS:
                pass
            reconnect_delay[0] = 0.5
            await discovery.open()
            assert (await events.wait_for("list"))["targets"] == {"s-0": "ready"}
            await assert_ready(admin)
            await assert_served(address, target)
        finally:
            for task in idle_clients:
                task.cancel()
            await asyncio.gather(*idle_clients, return_exceptions=True)
            program.send_signal(signal.SIGTERM)
            await events.reader_done
            discovery.close()
            target.close()
        _, stderr_text = program.communicate(timeout=20)
        assert (program.returncode, stderr_text) == (0, "")

    asyncio.run(asyncio.wait_for(scenario(), 60))
