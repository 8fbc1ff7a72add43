"""Tests of operators' actions: administration calls, detached targets and process handover."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import time
from dataclasses import replace

import pytest

from stalltiller.daemon.process_handover import ProcessHandover
from tests.helpers import SchedulerHarness, attempt_finished, plan, request
from tests.stand_ins import InitiatorHarness
from tests.test_program import EXAMPLE_CONFIG, start_program


async def send_admin_call(address, method_and_path: str, body: str = "") -> int:
    """Make one administration call and return its status."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(
        f"{method_and_path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    response = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return int(response.split(b" ")[1])


class AdminHarness(InitiatorHarness):
    folder = None

    def adjust_config(self, config):
        return replace(config, admin=("127.0.0.1", 0), handover_folder=self.folder)

    async def call(self, method_and_path: str, body: str = "") -> int:
        return await send_admin_call(self.app.admin.address, method_and_path, body)


def run_scenario(scenario, kind: str = "http", folder=None) -> None:
    async def run():
        harness = AdminHarness(kind)
        harness.folder = folder
        async with harness:
            await asyncio.wait_for(scenario(harness), 20)
            assert harness.faults() == []

    asyncio.run(run())


@pytest.mark.parametrize(
    ("method_and_path", "body", "status"),
    [
        ("GET /_ready", "", 200),
        ("PUT /_targets/detach", "s-0", 200),
        ("PUT /_targets/detach", " s-0\n", 200),
        ("PUT /_targets/attach", "s-0", 200),
        ("PUT /_targets/detach", "s-9", 404),
        ("PUT /_targets/attach", "s-9", 404),
        ("PUT /_targets/detach", "", 404),
        ("PUT /_ready", "", 405),
        ("GET /other", "", 404),
        ("PUT /_targets/detach", "s" * 2000, 413),
        ("nonsense", "", 400),
    ],
)
def test_an_admin_call_returns_the_expected_status(method_and_path, body, status):
    async def scenario(harness):
        assert await harness.call(method_and_path, body) == status

    run_scenario(scenario)


def test_idle_connections_do_not_delay_admin_calls():
    async def scenario(harness):
        idle_connections = [await asyncio.open_connection(*harness.app.admin.address) for _ in range(20)]
        started_at = time.monotonic()
        assert await harness.call("GET /_ready") == 200
        assert time.monotonic() - started_at < 1.0
        for _, writer in idle_connections:
            writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("kind", ["http", "nvme"])
def test_a_detached_target_gets_no_requests_until_it_is_attached(kind):
    async def scenario(harness):
        target, logged_before = harness.targets[0], len(harness.logged)
        for _ in range(2):
            assert await harness.call("PUT /_targets/detach", "s-0") == 200
        harness.discovery.set(target)  # a list from discovery does not attach the target
        await harness.wait_until(
            lambda: any(line["event"] == "list" for line in harness.logged[logged_before:])
        )
        assert (await harness.read(tag=1)).outcome == "refused" and target.received == []
        assert await harness.call("PUT /_targets/attach", "s-0") == 200  # one call reverts both detach calls
        assert (await harness.read(tag=2)).outcome == "served"
        target_state = harness.app.engine._scheduler.targets["s-0"]
        # The attached target is in slow start.
        assert target_state.target.started_at == pytest.approx(
            harness.app.engine.to_scheduler_time(time.time()), abs=5
        )

    run_scenario(scenario, kind)


def test_processes_of_one_initiator_apply_each_others_detached_targets(tmp_path):
    async def scenario(harness):
        other_process = ProcessHandover(str(tmp_path), "n0")
        other_process.save({"s-0": time.time()})
        target_state = harness.app.engine._scheduler.targets["s-0"]
        assert target_state.target.status.value == "ready"
        await harness.wait_until(lambda: target_state.target.status.value == "draining")
        assert await harness.call("PUT /_targets/attach", "s-0") == 200
        assert other_process.has_changed() and other_process.load() == {}

    run_scenario(scenario, folder=str(tmp_path))


@pytest.mark.parametrize("text", ["", "[1]", '{"s-0": "x"}'])
def test_an_unreadable_file_of_detached_targets_counts_as_empty(text, tmp_path):
    (tmp_path / "stalltiller-n0.out").write_text(text)
    assert ProcessHandover(str(tmp_path), "n0").load() == {}


def test_the_next_process_waits_for_the_lock_and_takes_over_socket_and_detached_targets(tmp_path):
    def start_until(event_name: str):
        program = start_program(
            PROXY_CONFIG=str(path),
            PROXY_LISTEN=address,
            PROXY_INHERITED_FD=str(descriptor),
            PROXY_ADMIN="127.0.0.1:0",
            TMPDIR=str(tmp_path),
            pass_fds=(descriptor,),
        )
        events = map(json.loads, program.stdout)
        logged = {}
        while event_name not in logged:
            event = next(events)
            logged[event["event"]] = event
        host, _, port = logged["admin"]["listen"].partition(":")
        return program, events, (host, int(port))

    def is_healthy() -> bool:
        with socket.create_connection(listening.getsockname(), timeout=20) as client:
            client.sendall(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
            return client.recv(100).startswith(b"HTTP/1.1 200")

    path = tmp_path / "config.json"
    target_record = {"name": "s-1", "address": "127.0.0.1:9", "group": 0, "status": "active"}
    path.write_text(
        json.dumps({**EXAMPLE_CONFIG, "known": {"index": 1, "snapshot": True, "endpoints": [target_record]}})
    )
    with socket.create_server(("127.0.0.1", 0)) as listening:
        address, descriptor = f"127.0.0.1:{listening.getsockname()[1]}", listening.fileno()
        old, _, old_admin = start_until("started")
        assert asyncio.run(send_admin_call(old_admin, "PUT /_targets/detach", "s-1")) == 200
        new, events, new_admin = start_until("admin")
        while asyncio.run(send_admin_call(new_admin, "GET /_ready")) != 200:
            time.sleep(0.05)
        assert is_healthy()  # served by the old process: the new one does not accept clients yet
        old.send_signal(signal.SIGTERM)
        assert next(event for event in events if event["event"] == "started")["listen"] == address
        assert is_healthy()
        assert json.loads((tmp_path / f"stalltiller-{EXAMPLE_CONFIG['name']}.out").read_text()).keys() == {
            "s-1"
        }
        assert asyncio.run(send_admin_call(new_admin, "PUT /_targets/attach", "s-1")) == 200
        for program in (old, new):
            program.send_signal(signal.SIGTERM)
            program.communicate(timeout=20)
            assert program.returncode == 0
    assert os.path.exists(tmp_path / f"stalltiller-{EXAMPLE_CONFIG['name']}.lock")


LIMITED_SETTINGS = {"plans": (plan(rate=5.0, limit=10.0, burst=20.0, slack=2.0),)}


def test_no_token_is_spent_by_two_processes():
    """The new process starts without tokens; the old one uses up its tokens and gets no new ones."""
    new = SchedulerHarness(**LIMITED_SETTINGS)
    new.scheduler.activate(5.0)
    assert new.started_request_ids(5.0, request(1)) == []
    old = SchedulerHarness(**LIMITED_SETTINGS)
    assert old.started_request_ids(1.0, request(1)) == [1]  # 10 tokens have accrued
    old.scheduler.deactivate()
    spent = 2.0
    for number in range(2, 20):
        now = 1.0 + number / 10
        for request_id in old.started_request_ids(now, request(number)):
            spent += 2.0
            old.handle(now, attempt_finished(request_id))
    assert spent == 10.0
