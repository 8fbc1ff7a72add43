"""Hundreds of clients that are slow or stop, beside others that send plain requests, on real processes.

Each load runs in a process of its own, so that none is measured late because another is busy.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import multiprocessing
import os
import random
import socket
import threading
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from pathlib import Path

from review import stand_ins
from review.stand_ins import Server, Stream

SAMPLE_SECONDS = 0.01
PLAIN_CLIENTS = 4
PLAIN_INTERVAL_SECONDS = 0.02
PLAIN_TIMEOUT_SECONDS = 1.2
LATE_SECONDS = 0.5  # an answer that comes later than this after its time is lost
CONTEXT = multiprocessing.get_context("spawn")


class MemoryWatch:
    """Samples the anonymous memory of a process, as the platform does before it kills it."""

    def __init__(self, process_id: int) -> None:
        self._status = Path(f"/proc/{process_id}/status")
        self.peak_mb = 0.0
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def _watch(self) -> None:
        while not self._is_over.wait(SAMPLE_SECONDS):
            try:
                lines = self._status.read_text().splitlines()
            except OSError:
                return
            kilobytes = next((int(line.split()[1]) for line in lines if line.startswith("RssAnon:")), 0)
            self.peak_mb = max(self.peak_mb, kilobytes / 1024)

    def stop(self) -> float:
        """Stop sampling and return the peak in MB."""
        self._is_over.set()
        self._thread.join()
        return self.peak_mb


def processor_seconds(process_id: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


# --- Plain clients ----------------------------------------------------------------------------------
@dataclass
class PlainResult:
    """What plain clients saw: the status and the seconds of each request; status 0 for none."""

    answers: list[tuple[int, float]] = field(default_factory=list)

    @property
    def late(self) -> list[tuple[int, float]]:
        latest = PLAIN_TIMEOUT_SECONDS + LATE_SECONDS
        return [answer for answer in self.answers if answer[0] == 0 or answer[1] > latest]

    @property
    def p99(self) -> float:
        seconds = sorted(answer[1] for answer in self.answers)
        return seconds[int(0.99 * (len(seconds) - 1))]

    @property
    def served_fraction(self) -> float:
        return sum(status == 200 for status, _ in self.answers) / len(self.answers)


class PlainLoad:
    """Plain clients and the targets of their shards, in a process of their own."""

    def __init__(self, first_shard: int) -> None:
        self._pipe, remote = CONTEXT.Pipe()
        self._process = CONTEXT.Process(target=_run_plain, args=(remote, first_shard), daemon=True)
        self._process.start()
        self.ports: list[int] = self._pipe.recv()

    def start(self, port: int, seconds: float) -> None:
        self._pipe.send((port, seconds))

    def result(self) -> PlainResult:
        answers = self._pipe.recv()
        self._process.join()
        return PlainResult(answers)

    def close(self) -> None:
        if self._process.is_alive():
            self._process.kill()
            self._process.join()


def _run_plain(pipe: Connection, first_shard: int) -> None:
    servers = [Server(_serve_plain) for _ in range(PLAIN_CLIENTS)]
    pipe.send([server.port for server in servers])
    port, seconds = pipe.recv()
    answers: list[tuple[int, float]] = []
    ends_at = time.monotonic() + seconds
    threads = [
        threading.Thread(target=_ask_plainly, args=(number, first_shard + number, port, ends_at, answers))
        for number in range(PLAIN_CLIENTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    pipe.send(answers)


def _serve_plain(stream: Stream) -> None:
    while stream.read() is not None:
        time.sleep(0.005)
        stream.send(stand_ins.response(200, b"menu"))


def _ask_plainly(number: int, shard: int, port: int, ends_at: float, answers: list) -> None:
    client = stand_ins.Client(port)
    for count in itertools.count():
        if time.monotonic() >= ends_at:
            break
        data = stand_ins.request(
            "order-read", count, f"plain{number}-{count}", shard=shard, volume=0x5500 + number
        )
        started_at = time.monotonic()
        answer = client.ask(data)
        answers.append((0 if answer is None else int(answer.start[1]), time.monotonic() - started_at))
        time.sleep(PLAIN_INTERVAL_SECONDS)
    client.close()


# --- The crowd --------------------------------------------------------------------------------------
@dataclass(frozen=True)
class Member:
    """One client of a crowd."""

    number: int
    port: int
    shard: int
    rng: random.Random

    def request(self, count: int, method: str, **options) -> bytes:
        class_name = "report-export" if method == "GET" else "order-write"
        return stand_ins.request(
            class_name,
            count,
            f"crowd{self.number}-{count}",
            method=method,
            shard=self.shard,
            volume=0x770000 + self.number,
            timeout=5.0 if method == "GET" else 2.5,
            **options,
        )


Behaviour = Callable[[Member, int, asyncio.StreamReader, asyncio.StreamWriter], Coroutine[None, None, None]]


async def _write_paced(writer: asyncio.StreamWriter, data: bytes, seconds: float, pieces: int = 20) -> None:
    size = -(-len(data) // pieces)
    for start in range(0, len(data), size):
        writer.write(data[start : start + size])
        await writer.drain()
        await asyncio.sleep(seconds / pieces)


async def _read_answer(reader: asyncio.StreamReader) -> None:
    await reader.read(65536)


def write_slowly(size: int, seconds: float, share: float = 1.0) -> Behaviour:
    """A write whose body takes `seconds`; below 1, only a share of the request is sent."""

    async def behave(member, count, reader, writer):
        data = member.request(count, "PUT", body=bytes(size))
        await _write_paced(writer, data[: int(share * len(data))], seconds * share)
        await _read_answer(reader)

    return behave


def write_chunks_slowly(size: int, seconds: float, chunk_bytes: int) -> Behaviour:
    async def behave(member, count, reader, writer):
        head = member.request(count, "PUT").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        chunk = b"%x\r\n%b\r\n" % (chunk_bytes, bytes(chunk_bytes))
        await _write_paced(writer, head + chunk * (size // chunk_bytes), seconds)
        await _read_answer(reader)

    return behave


def send_many_fields(name_bytes: int, body_bytes: int) -> Behaviour:
    """A head filled with short fields, whose body does not come."""

    async def behave(member, count, reader, writer):
        head = member.request(count, "PUT").replace(b"Content-Length: 0", b"Content-Length: %d" % body_bytes)
        names = itertools.product(b"abcdefghijklmnopqrstuvwxyz0123456789", repeat=name_bytes)
        fields = b"".join(bytes(name) + b":\r\n" for name in itertools.islice(names, 16_000))
        room = 16_000 - len(head)
        fields = fields[: room // (name_bytes + 3) * (name_bytes + 3)]
        writer.write(head[:-2] + fields + b"\r\n")
        await writer.drain()
        await _read_answer(reader)

    return behave


def read_slowly(bytes_per_second: float, then_stops: bool = False) -> Behaviour:
    async def behave(member, count, reader, writer):
        writer.write(member.request(count, "GET"))
        while data := await reader.read(8192):
            await asyncio.sleep(len(data) / bytes_per_second)
            if then_stops:
                writer.transport.pause_reading()
                await asyncio.sleep(6.0)

    return behave


def send_half_heads() -> Behaviour:
    async def behave(member, count, reader, writer):
        await _write_paced(writer, b"GET /report-export/1 HTTP/1.1\r\nX-Padding: " + b"p" * 15_000, 4.0)
        await _read_answer(reader)

    return behave


BEHAVIOURS: dict[str, Behaviour] = {
    "slow-long-bodies": write_slowly(300_000, 2.0),
    "slow-short-bodies": write_slowly(60_000, 2.0),
    "half-bodies": write_slowly(1_500_000, 0.5, share=0.5),
    "half-short-bodies": write_slowly(65_000, 0.2, share=0.9),
    "tiny-chunks": write_chunks_slowly(30_000, 2.0, 1),
    "slow-chunks": write_chunks_slowly(400_000, 2.0, 1000),
    "many-fields": send_many_fields(3, 60_000),
    "one-letter-fields": send_many_fields(1, 60_000),
    "half-heads": send_half_heads(),
    "slow-readers": read_slowly(200_000.0),
    "stopped-readers": read_slowly(200_000.0, then_stops=True),
}


async def _drip_to_the_end(member, count, reader, writer):
    """A write whose body comes bytes at a time for as long as the test goes on."""
    data = member.request(count, "PUT", body=bytes(60_000))
    for start in range(0, len(data), 200):
        writer.write(data[start : start + 200])
        await writer.drain()
        await asyncio.sleep(0.1)


async def _read_to_the_end(member, count, reader, writer):
    """A read whose response is read bytes at a time for as long as the test goes on."""
    writer.write(member.request(count, "GET"))
    while await reader.read(16_384):
        await asyncio.sleep(0.1)


# Clients that go on to the test's end, long after their time.
ENDLESS_BEHAVIOURS: dict[str, Behaviour] = {
    "drip-to-the-end": _drip_to_the_end,
    "read-to-the-end": _read_to_the_end,
}


def run_crowd(names: list[str], size: int, port: int, shards: list[int], seconds: float, seed: int) -> None:
    """Run `size` clients, each with one behaviour after the other, for some seconds."""

    async def run_member(number: int, ends_at: float) -> None:
        rng = random.Random(seed * 10_000 + number)
        member = Member(number, port, shards[number % len(shards)], rng)
        for count in itertools.count():
            if time.monotonic() >= ends_at:
                return
            behave = (BEHAVIOURS | ENDLESS_BEHAVIOURS)[names[(number + count) % len(names)]]
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                async with asyncio.timeout(8.0):
                    reader, writer = await asyncio.open_connection(stand_ins.HOST, port, limit=8192)
                    _limit_receive_buffer(writer)
                    try:
                        await behave(member, count, reader, writer)
                    finally:
                        writer.transport.abort()
            await asyncio.sleep(0.05 * rng.random())

    async def run() -> None:
        ends_at = time.monotonic() + seconds
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds + 1.0):
                await asyncio.gather(*(run_member(number, ends_at) for number in range(size)))

    asyncio.run(run())


def _limit_receive_buffer(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)


class Crowd:
    """A crowd in a process of its own."""

    def __init__(
        self, names: list[str], size: int, port: int, shards: list[int], seconds: float, seed: int
    ) -> None:
        self._process = CONTEXT.Process(
            target=run_crowd, args=(names, size, port, shards, seconds, seed), daemon=True
        )
        self._process.start()

    def wait(self) -> None:
        self._process.join()

    def close(self) -> None:
        if self._process.is_alive():
            self._process.kill()
            self._process.join()
