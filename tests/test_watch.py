"""The discovery watch: its poll policy, its initial version, and forty watches of a busy discovery."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from stalltiller.adapters.discovery_codec import WatchCodec
from stalltiller.protocol import http
from stalltiller.routing.transfer_limits import DEFAULT_IDLE_LIMIT_SECONDS
from stalltiller.routing.transfer_monitor import TransferMonitor
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.watch import (
    MAX_SLOW_RESPONSES,
    NOTIFICATION_DEADLINE_SECONDS,
    BackoffPollPolicy,
    Watch,
)
from tests.simulated_clock import run_on_simulated_clock
from tests.stand_ins import StubServer, read_message

TARGET_COUNT = 60
DRIP_BYTES = 40
DRIP_INTERVAL_SECONDS = 0.37
KNOWN_VERSION = 41
CHANGE_INTERVAL_SECONDS = 1.0
LIST_LIMIT_SECONDS = 3.0  # that a watch had for a whole list


@pytest.mark.parametrize(
    ("poll_policy", "failures", "min_backoff", "max_backoff"),
    [
        (BackoffPollPolicy(), 1, 0.025, 0.05),
        (BackoffPollPolicy(), 99, 0.05, 0.1),  # an agent on the same machine is polled again soon
        (BackoffPollPolicy.for_remote_discovery(10.0), 1, 0.0, 0.5),
        (BackoffPollPolicy.for_remote_discovery(10.0), 2, 0.0, 1.0),
        (BackoffPollPolicy.for_remote_discovery(10.0), 4000, 0.0, 2.0),
        (BackoffPollPolicy.for_remote_discovery(3.0), 1, 0.0, 0.25),
        (BackoffPollPolicy.for_remote_discovery(3.0), 4000, 0.0, 1.0),  # settings with a shorter age limit
    ],
)
def test_the_backoff_after_failed_polls_stays_within_its_bounds(
    poll_policy, failures, min_backoff, max_backoff
):
    assert [
        poll_policy.backoff(failures, jitter_fraction) for jitter_fraction in (0.0, 1.0)
    ] == pytest.approx([min_backoff, max_backoff])


class ScriptedDiscovery(StubServer):
    """Discovery that has a change from the first poll on and handles each poll by the script's next action.

    An action is silent (no response), reject (503), abort (the connection), half (of a response) or drip (a
    response in pieces); later polls are served.
    """

    def __init__(self, script: list[str]) -> None:
        super().__init__()
        self.script = script
        self.changed_at = 0.0
        self.poll_paths = []

    async def serve(self, reader, writer) -> None:
        while True:
            self.poll_paths.append((await read_message(reader)).head.target)
            self.changed_at = self.changed_at or asyncio.get_running_loop().time()
            action = self.script.pop(0) if self.script else "serve"
            if action == "silent":
                await asyncio.get_running_loop().create_future()
            elif action == "abort":
                writer.transport.abort()
                return
            body = json.dumps({"index": KNOWN_VERSION + 1, "snapshot": False, "endpoints": []}).encode()
            response = http.encode_response(*((503,) if action == "reject" else (200, body)))
            if action == "half":
                writer.write(response[: len(response) // 2])
                await asyncio.get_running_loop().create_future()
            elif action == "drip":
                for start in range(0, len(response), DRIP_BYTES):
                    writer.write(response[start : start + DRIP_BYTES])
                    await asyncio.sleep(DRIP_INTERVAL_SECONDS)
            else:
                writer.write(response)


def start_watch(address, codec: WatchCodec, poll_policy: BackoffPollPolicy) -> asyncio.Task[None]:
    monitor = TransferMonitor(asyncio.get_running_loop(), DEFAULT_IDLE_LIMIT_SECONDS)
    watch = Watch(address, BufferPool(), monitor, codec, poll_policy, lambda _: None)
    return asyncio.create_task(watch.run())


def notification_delay(
    poll_policy: BackoffPollPolicy, script: list[str], outage: float = 0.0
) -> tuple[float, list[str]]:
    """Return how many seconds after an available change the watch received it, and the paths of its polls.

    A change is available once discovery has it and is reachable.  Runs on the simulated clock.
    """

    async def scenario():
        discovery, notified = ScriptedDiscovery(script), asyncio.get_running_loop().create_future()
        await discovery.open()
        address = discovery.server.sockets[0].getsockname()
        if outage:
            discovery.close()

        def on_list(target_list):
            if not notified.done():
                notified.set_result(asyncio.get_running_loop().time())

        # The first poll waits for a change, like that of an established watch.
        codec = WatchCodec("d", on_list, poll_policy.poll_wait, KNOWN_VERSION, first_poll_may_wait=True)
        watch = start_watch(address, codec, poll_policy)
        if outage:
            await asyncio.sleep(outage)
            await discovery.open()
            discovery.changed_at = asyncio.get_running_loop().time()
        async with asyncio.timeout(60):
            notified_at = await notified
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
        discovery.close()
        return notified_at - discovery.changed_at, discovery.poll_paths

    return run_on_simulated_clock(scenario())


POLL_POLICIES = [
    BackoffPollPolicy(),
    BackoffPollPolicy.for_remote_discovery(10.0),
    BackoffPollPolicy.for_remote_discovery(60.0),
]
FAILING_SCRIPTS = [
    [],
    ["silent"],
    ["silent", "silent"],
    ["silent", "reject"],
    ["silent", "abort"],
    ["reject", "silent"],
    ["abort", "abort", "abort"],
    ["reject", "reject", "reject"],
]


@pytest.mark.parametrize("poll_policy", POLL_POLICIES, ids=["agent", "remote-10s", "remote-60s"])
@pytest.mark.parametrize("script", FAILING_SCRIPTS, ids="+".join)
@pytest.mark.parametrize("jitter_fraction", [0.0, 0.999])
def test_a_change_is_known_before_the_notification_deadline_despite_failed_polls(
    monkeypatch, poll_policy, script, jitter_fraction
):
    """A poll without response and its backoff took up to 8 s with discovery itself, 6 s with an agent."""
    monkeypatch.setattr("random.random", lambda: jitter_fraction)
    delay, poll_paths = notification_delay(poll_policy, list(script))
    assert delay < NOTIFICATION_DEADLINE_SECONDS
    paths_after_timeout = [
        path
        for previous_action, path in zip(["serve", *script], poll_paths, strict=False)
        if previous_action == "silent"
    ]
    # A poll after a timeout does not wait for a change, so it detects soon whether discovery responds again.
    assert all(path.endswith("wait_ms=0") for path in paths_after_timeout)


@pytest.mark.parametrize(
    ("poll_policy", "max_delay"),
    [
        (BackoffPollPolicy(), 0.5),
        (BackoffPollPolicy.for_remote_discovery(10.0), NOTIFICATION_DEADLINE_SECONDS),
    ],
    ids=["agent", "remote-10s"],
)
@pytest.mark.parametrize("outage", [2.0, 8.0, 31.0])
def test_a_change_is_known_in_time_after_a_discovery_outage(monkeypatch, poll_policy, max_delay, outage):
    """A change takes effect once an agent gets it after the outage, and drain grace may be half a second."""
    monkeypatch.setattr("random.random", lambda: 0.999)
    assert notification_delay(poll_policy, [], outage)[0] < max_delay


@pytest.mark.parametrize("poll_policy", POLL_POLICIES)
@pytest.mark.parametrize(
    "script",
    [
        ["silent"] + ["drip"] * 99,
        ["drip"] * 99,
        ["reject"] + ["drip"] * 99,
        ["half"],
        ["half", "half"],
        ["half", "drip"],
    ],
    ids=lambda script: "-".join(script[:2]),
)
def test_a_list_that_arrives_slowly_is_received_and_one_that_stops_is_polled_again(poll_policy, script):
    """Guards against a timeout in the middle of a list: no further poll got its whole list either."""
    delay, _ = notification_delay(poll_policy, list(script))
    assert delay <= NOTIFICATION_DEADLINE_SECONDS


class SlowDiscovery(StubServer):
    """Discovery that has a change every second and takes some time to write its first lists."""

    PIECES = 16

    def __init__(self, seconds: float, fast_from: int | None) -> None:
        super().__init__()
        self.seconds = seconds
        self.fast_from = fast_from  # the number of the first poll whose response comes at once
        self.poll_count = 0
        self.arriving = 0
        self.max_arriving = 0
        self.cut_off = 0

    async def serve(self, reader, writer) -> None:
        loop = asyncio.get_running_loop()
        while True:
            path = (await read_message(reader)).head.target
            number = self.poll_count
            self.poll_count += 1
            body = json.dumps(
                {"index": KNOWN_VERSION + 1 + int(loop.time()), "snapshot": True, "endpoints": []}
            )
            response = http.encode_response(200, body.encode())
            is_fast = self.fast_from is not None and number >= self.fast_from
            if is_fast and not path.endswith("wait_ms=0"):
                await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
            await self._write(writer, response, 0.0 if is_fast else self.seconds)

    async def _write(self, writer, response: bytes, seconds: float) -> None:
        self.arriving += 1
        self.max_arriving = max(self.max_arriving, self.arriving)
        size = -(-len(response) // self.PIECES)
        try:
            for start in range(0, len(response), size):
                writer.write(response[start : start + size])
                await writer.drain()
                await asyncio.sleep(seconds / self.PIECES)
        except ConnectionError:
            self.cut_off += 1
            raise
        finally:
            self.arriving -= 1


@pytest.mark.parametrize("factor", [0.5, 1.2, 3.0])
@pytest.mark.parametrize("fast_from", [None, 1, 2])
@pytest.mark.parametrize("poll_policy", POLL_POLICIES)
def test_a_list_goes_on_arriving_beside_other_polls_until_one_of_them_is_whole(
    poll_policy, fast_from, factor
):
    """Guards against a list that is cut off after 3 s, and against a change that waits for it."""
    seconds = factor * LIST_LIMIT_SECONDS

    async def scenario():
        discovery = SlowDiscovery(seconds, fast_from)
        await discovery.open()
        loop = asyncio.get_running_loop()
        versions: list[int] = []
        whole = loop.create_future()

        def on_list(target_list):
            versions.append(target_list.version)
            if not whole.done():
                whole.set_result(loop.time())

        started_at = loop.time()
        codec = WatchCodec("d", on_list, poll_policy.poll_wait, KNOWN_VERSION, first_poll_may_wait=True)
        watch = start_watch(("127.0.0.1", discovery.port), codec, poll_policy)
        async with asyncio.timeout(60):
            delay = await whole - started_at
        cut_off_before = discovery.cut_off
        max_arriving = discovery.max_arriving  # later on it also counts polls that were given up
        await asyncio.sleep(12.0)
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
        discovery.close()
        return delay, cut_off_before, max_arriving, versions

    delay, cut_off_before, max_arriving, versions = run_on_simulated_clock(scenario())
    assert cut_off_before == 0
    assert max_arriving <= 1 + MAX_SLOW_RESPONSES
    assert versions == sorted(versions)
    if fast_from is None or seconds <= LIST_LIMIT_SECONDS:
        assert delay <= seconds + 0.5
    else:
        assert delay <= NOTIFICATION_DEADLINE_SECONDS


def feed_response(codec: WatchCodec, status: int, **list_fields: object) -> None:
    body = json.dumps({"endpoints": [], **list_fields}).encode()
    codec.feed(memoryview(http.encode_response(status, body)))
    codec.finish()


@pytest.mark.parametrize(
    ("status", "list_fields", "next_query"),
    [
        (200, {"index": 43, "snapshot": False}, "after=43&wait_ms=5000"),
        (200, {"index": 7, "snapshot": True}, "after=7&wait_ms=5000"),  # a full list may lower the version
        (503, {}, "after=41&wait_ms=0"),  # overloaded: the known version stays valid
        (410, {}, ""),
        (404, {}, ""),  # unknown version: requests the full list
        (200, {"index": 7, "snapshot": False}, ""),  # changes from another version sequence
    ],
)
def test_a_watch_starts_at_the_known_version_and_requests_the_full_list_only_if_that_is_unknown(
    status, list_fields, next_query
):
    codec = WatchCodec("d", lambda _: None, 5.0, KNOWN_VERSION)
    assert b"/v1/servers?after=41&wait_ms=0 " in codec.encode_poll()
    try:
        feed_response(codec, status, **list_fields)
    except ValueError:
        assert (status, next_query) != (200, "after=43&wait_ms=5000")
    assert f"/v1/servers{'?' * bool(next_query)}{next_query} ".encode() in codec.encode_poll()


class OverloadedDiscovery(StubServer):
    """Discovery that serves one poll at a time, in a time proportional to the targets in the response.

    A poll that would queue for longer than MAX_QUEUE_SECONDS is rejected.
    """

    SECONDS_PER_TARGET = 0.0005
    MAX_QUEUE_SECONDS = 0.15

    def __init__(self) -> None:
        super().__init__()
        self.version = KNOWN_VERSION
        self.busy_until = 0.0
        self.rejected_count = 0
        self.changed = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        while True:
            path = (await read_message(reader)).head.target
            known_version = int(path.partition("after=")[2].partition("&")[0] or 0)
            now = time.monotonic()
            if self.busy_until - now > self.MAX_QUEUE_SECONDS:
                self.rejected_count += 1
                writer.write(http.encode_response(503, b""))
                continue
            target_count = TARGET_COUNT if not known_version else 1
            self.busy_until = max(self.busy_until, now) + target_count * self.SECONDS_PER_TARGET
            await asyncio.sleep(self.busy_until - now)
            if known_version == self.version and not path.endswith("wait_ms=0"):
                await self.changed.wait()
            writer.write(
                http.encode_response(
                    200,
                    json.dumps(
                        {"index": self.version, "snapshot": not known_version, "endpoints": []}
                    ).encode(),
                )
            )

    def publish_change(self) -> None:
        self.version += 1
        self.changed.set()


async def run_forty_watches(known_version: int | None) -> tuple[int, int]:
    """Start forty watches together and publish a change once all have a list.

    Returns how many polls were rejected before the change and how many watches received it.
    """
    discovery, seen_versions = OverloadedDiscovery(), [0] * 40
    await discovery.open()
    tasks = []
    for watch_index in range(len(seen_versions)):

        def on_list(target_list, watch_index=watch_index):
            seen_versions[watch_index] = target_list.version

        poll_policy = BackoffPollPolicy.for_remote_discovery(10.0)
        codec = WatchCodec("d", on_list, poll_policy.poll_wait, known_version)
        tasks.append(start_watch(("127.0.0.1", discovery.port), codec, poll_policy))
    try:
        deadline = time.monotonic() + 1.5
        while not all(seen_versions) and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        rejected_count = discovery.rejected_count
        discovery.publish_change()
        while (
            sum(version > KNOWN_VERSION for version in seen_versions) < len(seen_versions)
            and time.monotonic() < deadline
        ):
            await asyncio.sleep(0.01)
        return rejected_count, sum(version > KNOWN_VERSION for version in seen_versions)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        discovery.close()


def test_forty_watches_that_restart_together_do_not_overload_discovery_and_all_learn_of_a_change():
    assert asyncio.run(run_forty_watches(KNOWN_VERSION)) == (0, 40)


def test_full_lists_for_forty_watches_would_overload_discovery():
    rejected_count, _ = asyncio.run(run_forty_watches(None))
    assert rejected_count > 10
