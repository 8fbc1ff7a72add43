"""Idle clients that open as many connections as they can, while discovery is down."""

from __future__ import annotations

import asyncio
import contextlib
import json
import resource
import signal
import socket

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


@pytest.mark.parametrize("sockets", [96, 160])
def test_discovery_targets_and_admin_calls_keep_descriptors_beside_many_idle_clients(sockets, tmp_path):
    """Discovery is down as the clients connect; once it is up the list is learned, and a request served."""

    async def scene():
        discovery, target = Discovery(), HttpTarget("s-0", 0)
        await discovery.open()
        discovery.close()  # its port stays known, and connections are refused for now
        await target.open()
        discovery.set(target)
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            admin = free.getsockname()
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                {
                    **EXAMPLE,
                    "listen": "127.0.0.1:0",
                    "discovery": f"127.0.0.1:{discovery.port}",
                    "known": None,
                    "admin": f"127.0.0.1:{admin[1]}",
                    "limits": {**EXAMPLE["limits"], "sockets": sockets},
                }
            )
        )
        program = start(
            PROXY_CONFIG=str(path),
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
        )
        lines: asyncio.Queue[dict] = asyncio.Queue()
        loop = asyncio.get_running_loop()

        def read() -> None:
            for line in program.stdout:
                loop.call_soon_threadsafe(lines.put_nowait, json.loads(line))

        reading = loop.run_in_executor(None, read)

        async def logged(event: str) -> dict:
            while True:
                line = await lines.get()
                assert line["event"] != "loop_error", line  # an accept that found no descriptor
                if line["event"] == event:
                    return line

        host, _, port = (await logged("started"))["listen"].partition(":")
        address = (host, int(port))
        pause = [0.0]  # at first they reconnect at once
        idle_clients = [
            asyncio.create_task(reconnect_idle(listener, pause))
            for listener in [address] * IDLE_CLIENTS + [admin] * IDLE_ADMIN_CLIENTS
        ]
        try:
            await logged("discovery_failed")
            while (await logged("counters"))["shed"] < IDLE_CLIENTS:
                pass
            pause[0] = 0.5
            await discovery.open()
            assert (await logged("list"))["targets"] == {"s-0": "ready"}
            reader, writer = await asyncio.open_connection(*admin)
            writer.write(b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
            writer.close()
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                http.encode_request(
                    "GET",
                    "/order-read/1",
                    {
                        "Host": "h",
                        "X-Request-ID": "id1",
                        "Tier": EXAMPLE["settings"]["contracts"][1]["name"],
                        "X-Timeout": "1.2",
                        "IO-Info": "volume=a1,units=1,shard=0,hosts=1",
                    },
                    b"",
                )
            )
            answer = await read_message(reader, response=True)
            assert (answer.head.status, bytes(answer.body)) == (200, target.content(1, BLOCK))
            writer.close()
        finally:
            for task in idle_clients:
                task.cancel()
            await asyncio.gather(*idle_clients, return_exceptions=True)
            program.send_signal(signal.SIGTERM)
            await reading
            discovery.close()
            target.close()
        _, err = program.communicate(timeout=20)
        assert (program.returncode, err) == (0, "")

    asyncio.run(asyncio.wait_for(scene(), 60))
