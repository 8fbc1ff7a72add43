"""The watch of discovery: its pace, where it begins, and forty of them at one discovery of fixed capacity."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from stalltiller.adapters.target_directory import WatchCodec
from stalltiller.protocol import http
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.watch import NOTIFICATION_DEADLINE_SECONDS, BackoffPollPolicy, Watch
from tests.simulated_clock import run_on_jumping_clock
from tests.stand_ins import Standin, read_message

LINES, KNOWN = 60, 41


@pytest.mark.parametrize(
    ("pace", "failures", "least", "most"),
    [
        (BackoffPollPolicy(), 1, 0.025, 0.05),
        (BackoffPollPolicy(), 99, 0.05, 0.1),  # an agent of its own: soon again
        (BackoffPollPolicy.for_remote_discovery(10.0), 1, 0.0, 0.5),
        (BackoffPollPolicy.for_remote_discovery(10.0), 2, 0.0, 1.0),
        (BackoffPollPolicy.for_remote_discovery(10.0), 4000, 0.0, 2.0),
        (BackoffPollPolicy.for_remote_discovery(3.0), 1, 0.0, 0.25),
        (BackoffPollPolicy.for_remote_discovery(3.0), 4000, 0.0, 1.0),  # settings that ask for more
    ],
)
def test_a_failed_call_is_made_again_within_its_bounds(pace, failures, least, most):
    assert [pace.backoff(failures, draw) for draw in (0.0, 1.0)] == pytest.approx([least, most])


class Scripted(Standin):
    """Discovery that has a change from the first call on, and does with each call what the script says next:
    silent, refuse (503), break or, from the script's end on, serve."""

    def __init__(self, script: list[str]) -> None:
        super().__init__()
        self.script, self.had_at, self.calls = script, 0.0, []

    async def serve(self, reader, writer) -> None:
        while True:
            self.calls.append((await read_message(reader)).head.target)
            self.had_at = self.had_at or asyncio.get_running_loop().time()
            act = self.script.pop(0) if self.script else "serve"
            if act == "silent":
                await asyncio.get_running_loop().create_future()
            elif act == "break":
                writer.transport.abort()
                return
            body = json.dumps({"index": KNOWN + 1, "snapshot": False, "endpoints": []}).encode()
            writer.write(http.encode_response(*((503,) if act == "refuse" else (200, body))))


def told_after(pace: BackoffPollPolicy, script: list[str], outage: float = 0.0) -> tuple[float, list[str]]:
    """Seconds from when discovery had a change and could be reached until the watch had it, and the calls.
    On the jumping clock, so that no case waits."""

    async def scene():
        discovery, told = Scripted(script), asyncio.get_running_loop().create_future()
        await discovery.open()
        listening = discovery.server.sockets[0].getsockname()
        if outage:
            discovery.close()

        def took(listing):
            if not told.done():
                told.set_result(asyncio.get_running_loop().time())

        # The watch stands already: its call waits for news.
        codec = WatchCodec("d", took, pace.poll_wait, KNOWN, first_waits=True)
        watch = asyncio.create_task(Watch(listening, BufferPool(), codec, pace, lambda _: None).run())
        if outage:
            await asyncio.sleep(outage)
            await discovery.open()
            discovery.had_at = asyncio.get_running_loop().time()
        async with asyncio.timeout(60):
            at = await told
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
        discovery.close()
        return at - discovery.had_at, discovery.calls

    return run_on_jumping_clock(scene())


PACES = [
    BackoffPollPolicy(),
    BackoffPollPolicy.for_remote_discovery(10.0),
    BackoffPollPolicy.for_remote_discovery(60.0),
]
WORST = [
    [],
    ["silent"],
    ["silent", "silent"],
    ["silent", "refuse"],
    ["silent", "break"],
    ["refuse", "silent"],
    ["break", "break", "break"],
    ["refuse", "refuse", "refuse"],
]


@pytest.mark.parametrize("pace", PACES, ids=["pushed", "asked", "seldom asked"])
@pytest.mark.parametrize("script", WORST, ids="+".join)
@pytest.mark.parametrize("draw", [0.0, 0.999])
def test_a_change_is_heard_of_before_it_counts_as_told_whatever_became_of_the_calls(
    monkeypatch, pace, script, draw
):
    """Where lists are asked for, a silent call and the pause after it took up to 8 s; a pushed watch 6 s."""
    monkeypatch.setattr("random.random", lambda: draw)
    after, calls = told_after(pace, list(script))
    assert after < NOTIFICATION_DEADLINE_SECONDS
    follow_silence = [
        after for before, after in zip(["serve", *script], calls, strict=False) if before == "silent"
    ]
    assert all(call.endswith("wait_ms=0") for call in follow_silence)  # it shows soon whether that is over


@pytest.mark.parametrize(
    ("pace", "most"),
    [
        (BackoffPollPolicy(), 0.5),
        (BackoffPollPolicy.for_remote_discovery(10.0), NOTIFICATION_DEADLINE_SECONDS),
    ],
    ids=["pushed", "asked"],
)
@pytest.mark.parametrize("outage", [2.0, 8.0, 31.0])
def test_after_an_outage_discovery_is_heard_in_time(monkeypatch, pace, most, outage):
    """What an agent gets at discovery's return counts at once, and a drain's grace may be half a second."""
    monkeypatch.setattr("random.random", lambda: 0.999)
    assert told_after(pace, [], outage)[0] < most


def answered(codec: WatchCodec, status: int, **listing: object) -> None:
    body = json.dumps({"endpoints": [], **listing}).encode()
    codec.feed(memoryview(http.encode_response(status, body)))
    codec.finish()


@pytest.mark.parametrize(
    ("status", "listing", "follows"),
    [
        (200, {"index": 43, "snapshot": False}, "after=43&wait_ms=5000"),
        (200, {"index": 7, "snapshot": True}, "after=7&wait_ms=5000"),  # whole: its version counts, whichever
        (503, {}, "after=41&wait_ms=0"),  # overbooked: the version known stays good
        (410, {}, ""),
        (404, {}, ""),  # not known there: the whole list
        (200, {"index": 7, "snapshot": False}, ""),  # changes of another count of versions
    ],
)
def test_a_watch_begins_at_the_known_version_and_asks_for_the_whole_list_only_if_that_is_unknown(
    status, listing, follows
):
    codec = WatchCodec("d", lambda _: None, 5.0, KNOWN)
    assert b"/v1/servers?after=41&wait_ms=0 " in codec.call()
    try:
        answered(codec, status, **listing)
    except ValueError:
        assert (status, follows) != (200, "after=43&wait_ms=5000")
    assert f"/v1/servers{'?' * bool(follows)}{follows} ".encode() in codec.call()


class Overbooked(Standin):
    """Discovery with one line of work: a call takes its time by the lines it is answered with, waits its turn
    and fails if it has waited too long."""

    LINE_TIME, PATIENCE = 0.0005, 0.15  # s

    def __init__(self) -> None:
        super().__init__()
        self.index, self.free_at, self.fail, self.changed = KNOWN, 0.0, 0, asyncio.Event()

    async def serve(self, reader, writer) -> None:
        while True:
            target = (await read_message(reader)).head.target
            after = int(target.partition("after=")[2].partition("&")[0] or 0)
            now = time.monotonic()
            if self.free_at - now > self.PATIENCE:
                self.fail += 1
                writer.write(http.encode_response(503, b""))
                continue
            lines = LINES if not after else 1
            self.free_at = max(self.free_at, now) + lines * self.LINE_TIME
            await asyncio.sleep(self.free_at - now)
            if after == self.index and not target.endswith("wait_ms=0"):
                await self.changed.wait()
            writer.write(
                http.encode_response(
                    200, json.dumps({"index": self.index, "snapshot": not after, "endpoints": []}).encode()
                )
            )

    def change(self) -> None:
        self.index += 1
        self.changed.set()


async def forty(known: int | None) -> tuple[int, int]:
    """Forty that begin at once: calls failed till all have the list, and watches told of a change."""
    discovery, seen = Overbooked(), [0] * 40
    await discovery.open()
    tasks = []
    for number in range(len(seen)):

        def took(listing, number=number):
            seen[number] = listing.version

        pace = BackoffPollPolicy.for_remote_discovery(10.0)
        codec = WatchCodec("d", took, pace.poll_wait, known)
        watch = Watch(("127.0.0.1", discovery.port), BufferPool(), codec, pace, lambda _: None)
        tasks.append(asyncio.create_task(watch.run()))
    try:
        end = time.monotonic() + 1.5
        while not all(seen) and time.monotonic() < end:
            await asyncio.sleep(0.01)
        failed = discovery.fail
        discovery.change()
        while sum(index > KNOWN for index in seen) < len(seen) and time.monotonic() < end:
            await asyncio.sleep(0.01)
        return failed, sum(index > KNOWN for index in seen)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        discovery.close()


def test_forty_that_come_back_at_once_do_not_overbook_discovery_and_all_hear_of_a_change():
    assert asyncio.run(forty(KNOWN)) == (0, 40)


def test_whole_lists_for_all_of_them_would_overbook_it():
    failed, _ = asyncio.run(forty(None))
    assert failed > 10
