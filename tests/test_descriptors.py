"""Idle clients that open as many connections as they can, while discovery is down."""

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
from tests.stand_ins import BLOCK, Discovery, HttpTarget, read_message
from tests.test_program import EXAMPLE, start

IDLE_CLIENTS = 300
IDLE_ADMIN_CLIENTS = 40


async def reconnect_idle(address: tuple[str, int], pause: list[float]) -> None:
    """A client that connects, sends nothing, and reconnects a pause after it is rejected."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                await reader.read()
            finally:
                writer.close()
        await asyncio.sleep(pause[0])


class LoggedEvents:
    """The events that a program logs, read in a thread until its standard output ends."""

    def __init__(self, program: subprocess.Popen) -> None:
        self._program = program
        self._events: asyncio.Queue[dict] = asyncio.Queue()
        self._loop = asyncio.get_running_loop()
        self.ended = self._loop.run_in_executor(None, self._read)

    def _read(self) -> None:
        for line in self._program.stdout:
            self._loop.call_soon_threadsafe(self._events.put_nowait, json.loads(line))

    async def next(self, name: str) -> dict:
        """The next event of that name; an accept that finds no descriptor fails the test."""
        while True:
            event = await self._events.get()
            assert event["event"] != "loop_error", event
            if event["event"] == name:
                return event


def unused_address() -> tuple[str, int]:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return unused.getsockname()


def start_with_descriptors(
    path: Path, discovery: Discovery, admin: tuple[str, int], max_descriptors: int
) -> subprocess.Popen:
    """Start an initiator that is configured for, and has, a number of descriptors."""
    config = {
        **EXAMPLE,
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery.port}",
        "known": None,
        "admin": f"127.0.0.1:{admin[1]}",
        "limits": {**EXAMPLE["limits"], "sockets": max_descriptors},
    }
    path.write_text(json.dumps(config))
    return start(
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
        "Tier": EXAMPLE["settings"]["contracts"][1]["name"],
        "X-Timeout": "1.2",
        "IO-Info": "volume=a1,units=1,shard=0,hosts=1",
    }
    reader, writer = await asyncio.open_connection(*address)
    writer.write(http.encode_request("GET", "/order-read/1", fields, b""))
    response = await read_message(reader, response=True)
    assert (response.head.status, bytes(response.body)) == (200, target.content(1, BLOCK))
    writer.close()


@pytest.mark.parametrize("sockets", [96, 160])
def test_discovery_targets_and_admin_calls_keep_descriptors_beside_many_idle_clients(sockets, tmp_path):
    """Discovery is down as the clients connect; once it is up the list is learned, and a request served."""

    async def scene():
        discovery, target = Discovery(), HttpTarget("s-0", 0)
        await discovery.open()
        discovery.close()  # its port stays known, and connections are refused for now
        await target.open()
        discovery.set(target)
        admin = unused_address()
        program = start_with_descriptors(tmp_path / "config.json", discovery, admin, sockets)
        events = LoggedEvents(program)
        host, _, port = (await events.next("started"))["listen"].partition(":")
        address = (host, int(port))
        pause = [0.0]  # at first they reconnect at once
        idle_clients = [
            asyncio.create_task(reconnect_idle(listener, pause))
            for listener in [address] * IDLE_CLIENTS + [admin] * IDLE_ADMIN_CLIENTS
        ]
        try:
            await events.next("discovery_failed")
            while (await events.next("counters"))["shed"] < IDLE_CLIENTS:
                pass
            pause[0] = 0.5
            await discovery.open()
            assert (await events.next("list"))["targets"] == {"s-0": "ready"}
            await assert_ready(admin)
            await assert_served(address, target)
        finally:
            for task in idle_clients:
                task.cancel()
            await asyncio.gather(*idle_clients, return_exceptions=True)
            program.send_signal(signal.SIGTERM)
            await events.ended
            discovery.close()
            target.close()
        _, err = program.communicate(timeout=20)
        assert (program.returncode, err) == (0, "")

    asyncio.run(asyncio.wait_for(scene(), 60))
