"""Transfers that go on through a shutdown, an upgrade, a reload and a suspension (issue 52)."""

from __future__ import annotations

import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from review import stand_ins
from tests.slow_peers import Call, Script, Seen, fault_of, play, reading_fault_of, site
from tests.test_departed_clients import connect, encode, status_of, upgrade

DRAIN_LIMIT_SECONDS = 3.5  # after which a drain ended
FACTORS = (0.5, 1.2, 3.0)
SIGNAL_AFTER_SECONDS = 0.3
PAUSE_SECONDS = 0.5
CLIENT_SECONDS = 0.8


def pauses(seconds: float) -> tuple[float, ...]:
    return (0.02, *(PAUSE_SECONDS,) * max(1, round(seconds / PAUSE_SECONDS)))


def transfers() -> dict[str, tuple[Call, Script]]:
    """Return responses that are written slowly, ones that are read slowly and requests that are."""
    exchanges: dict[str, tuple[Call, Script]] = {}
    for seconds in (factor * DRAIN_LIMIT_SECONDS for factor in FACTORS):
        for framing in ("length", "chunked", "close"):
            call = Call("report-export", CLIENT_SECONDS, minor_version=0 if framing == "close" else 1)
            exchanges[f"response {framing} {seconds}"] = (call, Script(framing, 200_000, pauses(seconds)))
        call = Call("report-export", CLIENT_SECONDS, read_bytes_per_second=6_000_000 / seconds)
        exchanges[f"reader {seconds}"] = (call, Script("chunked", 6_000_000))
    return exchanges


def faults(exchanges, seen: dict[str, Seen]) -> dict[str, str]:
    found = {}
    for name, (call, script) in exchanges.items():
        judge = reading_fault_of if name.startswith("reader") else fault_of
        fault = judge(call, script, seen[name])
        if fault is not None:
            found[name] = fault
    return found


def test_transfers_go_on_through_a_shutdown_to_their_end(tmp_path):
    """Guards against a drain that ends after some time although a transfer goes on."""
    exchanges = transfers()
    with site(tmp_path, len(exchanges)) as opened:
        timer = threading.Timer(SIGNAL_AFTER_SECONDS, opened.program.send, [signal.SIGTERM])
        timer.start()
        seen = play(opened, exchanges)
        assert opened.program.wait(5.0) == 0
    assert faults(exchanges, seen) == {}


def test_transfers_go_on_through_a_reload_to_their_end(tmp_path):
    """Guards against new settings, and their second step, that end what goes on."""
    exchanges = transfers()
    with site(tmp_path, len(exchanges)) as opened:
        timer = threading.Timer(SIGNAL_AFTER_SECONDS, opened.program.send, [signal.SIGHUP])
        timer.start()
        seen = play(opened, exchanges)
        assert opened.program.has_logged("reloaded")
    assert faults(exchanges, seen) == {}


def test_time_in_which_the_process_was_suspended_is_no_silence_of_its_peers(tmp_path):
    """Guards against a process that takes all its peers for stopped when it runs again."""
    exchanges = transfers()

    def suspend(program) -> None:
        program.send(signal.SIGSTOP)
        time.sleep(2.5)  # longer than the idle limit
        program.send(signal.SIGCONT)

    with site(tmp_path, len(exchanges)) as opened:
        timer = threading.Timer(CLIENT_SECONDS + 0.2, suspend, [opened.program])
        timer.start()
        seen = play(opened, exchanges)
    assert faults(exchanges, seen) == {}


@pytest.mark.parametrize("minor_version", [0, 1])
def test_a_response_that_a_kill_cuts_off_does_not_look_whole(minor_version, tmp_path):
    """Guards against the end of a process that ends, in order, a response without a length."""
    call = Call("report-export", CLIENT_SECONDS, minor_version=minor_version)
    with site(tmp_path, 1) as opened:
        timer = threading.Timer(1.5, opened.program.send, [signal.SIGKILL])
        timer.start()
        (seen,) = play(opened, {"killed": (call, Script("close", 200_000, pauses(4.0)))}).values()
        opened.program.wait(5.0)
    assert seen.status == 200 and 0 < seen.body_bytes < 200_000
    assert not seen.is_whole


def test_a_transfer_goes_on_through_an_upgrade_and_its_identifier_stays_taken(tmp_path):
    """Guards against an identifier that runs again at the next process while its exchange goes on."""
    seconds = 13.0
    script = Script("length", 200_000, pauses(seconds))
    with upgrade(tmp_path, script) as (opened, processes), ThreadPoolExecutor(1) as executor:
        old = connect(opened.port)
        old.connection.settimeout(2 * seconds)
        started_at = time.monotonic()
        old.send(encode("long"))
        answer = executor.submit(old.read)
        time.sleep(SIGNAL_AFTER_SECONDS)
        processes.hand_over()
        for at, name in ((6.0, "other1"), (11.2, "other2")):  # each starts a generation of identifiers
            time.sleep(max(0.0, started_at + at - time.monotonic()))
            leave_soon(opened.port, encode(name, timeout=0.05))
        assert processes.old.process.poll() is None
        again = connect(opened.port)
        again.send(encode("long"))
        assert status_of(again) == "409"
        message = answer.result(timeout=2 * seconds)
        assert message is not None and len(message.body) == 200_000
        assert processes.old.wait(5.0) == 0
        for stream in (old, again):
            stream.close()


def leave_soon(port: int, data: bytes) -> None:
    with socket.create_connection((stand_ins.HOST, port), 5.0) as connection:
        connection.sendall(data)
        time.sleep(0.2)
