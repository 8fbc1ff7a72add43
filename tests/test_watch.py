"""The watch of discovery: its poll policy, where it starts, and forty watches of one overloaded discovery."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from stalltiller.adapters.discovery_codec import WatchCodec
from stalltiller.protocol import http
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.watch import NOTIFICATION_DEADLINE_SECONDS, BackoffPollPolicy, Watch
from tests.simulated_clock import run_on_simulated_clock
from tests.stand_ins import Standin, read_message

LINES, KNOWN = 60, 41


@pytest.mark.parametrize(
    ("poll_policy", "failures", "min_backoff", "most"),
    [
        (BackoffPollPolicy(), 1, 0.025, 0.05),
        (BackoffPollPolicy(), 99, 0.05, 0.1),  # an agent on the same machine: soon again
        (BackoffPollPolicy.for_remote_discovery(10.0), 1, 0.0, 0.5),
        (BackoffPollPolicy.for_remote_discovery(10.0), 2, 0.0, 1.0),
        (BackoffPollPolicy.for_remote_discovery(10.0), 4000, 0.0, 2.0),
        (BackoffPollPolicy.for_remote_discovery(3.0), 1, 0.0, 0.25),
        (BackoffPollPolicy.for_remote_discovery(3.0), 4000, 0.0, 1.0),  # settings that ask for more
    ],
)
def test_the_backoff_after_failed_polls_stays_within_its_bounds(poll_policy, failures, min_backoff, most):
    assert [
        poll_policy.backoff(failures, jitter_fraction) for jitter_fraction in (0.0, 1.0)
    ] == pytest.approx([min_backoff, most])


class ScriptedDiscovery(Standin):
    """Discovery that has a change from the first call on, and does with each call what the script says next:
    silent, refuse (503), break (abort the connection) or, from the script's end on, serve."""

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


def notification_delay(
    poll_policy: BackoffPollPolicy, script: list[str], outage: float = 0.0
) -> tuple[float, list[str]]:
    """Seconds from when discovery had a change and could be reached until the watch had it, and the calls.
    On the jumping clock, so that no case waits."""

    async def scene():
        discovery, told = ScriptedDiscovery(script), asyncio.get_running_loop().create_future()
        await discovery.open()
        listening = discovery.server.sockets[0].getsockname()
        if outage:
            discovery.close()

        def took(listing):
            if not told.done():
                told.set_result(asyncio.get_running_loop().time())

        # The watch stands already: its call waits for news.
        codec = WatchCodec("d", took, poll_policy.poll_wait, KNOWN, first_waits=True)
        watch = asyncio.create_task(Watch(listening, BufferPool(), codec, poll_policy, lambda _: None).run())
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

    return run_on_simulated_clock(scene())


POLL_POLICIES = [
    BackoffPollPolicy(),
    BackoffPollPolicy.for_remote_discovery(10.0),
    BackoffPollPolicy.for_remote_discovery(60.0),
]
FAILING_SCRIPTS = [
    [],
    ["silent"],
    ["silent", "silent"],
    ["silent", "refuse"],
    ["silent", "break"],
    ["refuse", "silent"],
    ["break", "break", "break"],
    ["refuse", "refuse", "refuse"],
]


@pytest.mark.parametrize("poll_policy", POLL_POLICIES, ids=["pushed", "asked", "seldom asked"])
@pytest.mark.parametrize("script", FAILING_SCRIPTS, ids="+".join)
@pytest.mark.parametrize("jitter_fraction", [0.0, 0.999])
def test_a_change_is_known_before_the_notification_deadline_whatever_became_of_the_polls(
    monkeypatch, poll_policy, script, jitter_fraction
):
    """Where discovery itself is polled, a call without response and the backoff after it took up to 8 s;
    with an agent 6 s."""
    monkeypatch.setattr("random.random", lambda: jitter_fraction)
    after, calls = notification_delay(poll_policy, list(script))
    assert after < NOTIFICATION_DEADLINE_SECONDS
    follow_silence = [
        after for before, after in zip(["serve", *script], calls, strict=False) if before == "silent"
    ]
    assert all(call.endswith("wait_ms=0") for call in follow_silence)  # it shows soon whether that is over


@pytest.mark.parametrize(
    ("poll_policy", "most"),
    [
        (BackoffPollPolicy(), 0.5),
        (BackoffPollPolicy.for_remote_discovery(10.0), NOTIFICATION_DEADLINE_SECONDS),
    ],
    ids=["pushed", "asked"],
)
@pytest.mark.parametrize("outage", [2.0, 8.0, 31.0])
def test_after_an_outage_of_discovery_a_change_is_known_in_time(monkeypatch, poll_policy, most, outage):
    """What an agent gets at discovery's return counts at once, and a drain's grace may be half a second."""
    monkeypatch.setattr("random.random", lambda: 0.999)
    assert notification_delay(poll_policy, [], outage)[0] < most


def feed_response(codec: WatchCodec, status: int, **listing: object) -> None:
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
def test_a_watch_starts_at_the_known_version_and_requests_the_full_list_only_if_that_is_unknown(
    status, listing, follows
):
    codec = WatchCodec("d", lambda _: None, 5.0, KNOWN)
    assert b"/v1/servers?after=41&wait_ms=0 " in codec.call()
    try:
        feed_response(codec, status, **listing)
    except ValueError:
        assert (status, follows) != (200, "after=43&wait_ms=5000")
    assert f"/v1/servers{'?' * bool(follows)}{follows} ".encode() in codec.call()


class OverloadedDiscovery(Standin):
    """Discovery that serves one call at a time: a call takes its time by the targets in its response,
    waits for those before it and fails if it has waited too long."""

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


async def run_forty_watches(known: int | None) -> tuple[int, int]:
    """Forty watches start at once: calls failed until all have the list, watches that know a change."""
    discovery, seen = OverloadedDiscovery(), [0] * 40
    await discovery.open()
    tasks = []
    for number in range(len(seen)):

        def took(listing, number=number):
            seen[number] = listing.version

        poll_policy = BackoffPollPolicy.for_remote_discovery(10.0)
        codec = WatchCodec("d", took, poll_policy.poll_wait, known)
        watch = Watch(("127.0.0.1", discovery.port), BufferPool(), codec, poll_policy, lambda _: None)
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


def test_forty_watches_that_restart_at_once_do_not_overload_discovery_and_all_learn_of_a_change():
    assert asyncio.run(run_forty_watches(KNOWN)) == (0, 40)


def test_full_lists_for_forty_watches_would_overload_discovery():
    failed, _ = asyncio.run(run_forty_watches(None))
    assert failed > 10
