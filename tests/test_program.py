"""Tests of the program as a process: configuration, signals, log and metrics."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest

from stalltiller.daemon import config
from stalltiller.daemon.operator_config import read_operator_config
from tests.stand_ins import InitiatorHarness
from tests.test_parsers import decode_collectd_packet

ROOT = Path(__file__).parent.parent
EXAMPLE_CONFIG = json.loads((ROOT / "examples" / "config.json").read_text())


def start_program(*arguments: str, preexec_fn=None, pass_fds=(), **environment: str) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-m", "stalltiller", *arguments],
        cwd=ROOT,
        text=True,
        preexec_fn=preexec_fn,
        pass_fds=pass_fds,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**os.environ, "PYTHONUNBUFFERED": "1", **environment},
    )


@pytest.mark.parametrize(
    "change",
    [
        {"settings": None},
        {"settings": {}},
        {"listen": ""},
        {"listen": "nowhere"},
        {"discovery": "h:99999"},
        {"seed": "xyz"},
        {"known": {"index": 1}},
        {"settings": {"classes": [{"aim-ns": "soon"}], "contracts": [{}]}},
    ],
)
def test_an_invalid_configuration_prints_one_line_and_exits_with_2(change, tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**EXAMPLE_CONFIG, **change}))
    program = start_program(PROXY_CONFIG=str(path))
    out, err = program.communicate(timeout=20)
    assert (program.returncode, out, err.count("\n")) == (2, "", 1) and err.startswith("stalltiller: ")


@pytest.mark.parametrize("text", ["not json", "[]", None])
def test_an_unreadable_file_prints_one_line_and_exits_with_2(text, tmp_path):
    path = tmp_path / "config"
    if text is not None:
        path.write_text(text)
    for program in (start_program(PROXY_CONFIG=str(path)), start_program(str(path))):
        _, err = program.communicate(timeout=20)
        assert (program.returncode, err.count("\n")) == (2, 1)


def test_settings_are_read_with_their_units_and_unknown_keys_are_ignored():
    nested = {**EXAMPLE_CONFIG["settings"], "no-such-key": {"a": [1, {"b": None}]}}
    settings = config.parse_settings(nested)
    assert [cls.name for cls in settings.classes] == ["order-read", "order-write", "report-export"]
    assert (settings.classes[0].latency_objective, settings.classes[1].is_write) == (0.2, True)
    assert settings.rules.drain_grace == 2.0
    assert settings.plans[0].limit == nested["contracts"][0]["cap"] and settings.other_usage_reported


OPERATOR_TOML = (ROOT / "deploy" / "operator.toml").read_text()


def test_the_operator_file_is_read():
    loaded = read_operator_config(str(ROOT / "deploy" / "operator.toml"))
    data = tomllib.loads(OPERATOR_TOML)
    namespace = loaded.nvme.namespaces[1]
    assert namespace.blocks_per_unit == data["nvme"]["namespaces"][0]["blocks_per_unit"]
    assert loaded.nvme.opcodes[2][1] == data["nvme"]["opcodes"]["read"]["deadline_ms"] / 1000
    assert loaded.seed != read_operator_config(str(ROOT / "deploy" / "operator.toml")).seed
    assert loaded.graphite.address[0] == loaded.collectd.address[0] == "127.0.0.1"


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('plan = "standard"', 'plan = "tin"'),
        ('class = "order-read"', 'class = "order-write"'),
        ("id = 2", "id = 1"),
        ("block_size = 4096", "block_size = 1000"),
        ("deadline_ms = 1200", "deadline_ms = -1"),
        ("interval_s = 10", "interval_s = 0"),
        ("blocks_per_unit = 2", ""),
        ('volume = "', 'volume = "xyz'),
        ("[nvme.opcodes.write]", "[nvme.opcodes.other]"),
        ("shard = 0", 'shard = "a"'),
    ],
)
def test_an_invalid_operator_file_is_rejected(old, new, tmp_path):
    assert old in OPERATOR_TOML
    path = tmp_path / "operator.toml"
    path.write_text(OPERATOR_TOML.replace(old, new, 1))
    with pytest.raises(config.ConfigError) as caught:
        read_operator_config(str(path))
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize("uses_operator_file", [False, True])
def test_the_program_logs_json_lines_and_exits_on_sigterm(uses_operator_file, tmp_path):
    if uses_operator_file:
        path = tmp_path / "operator.toml"
        path.write_text(OPERATOR_TOML.replace(":4420", ":0"))
        program = start_program(str(path))
    else:
        program = start_program(
            PROXY_CONFIG=str(ROOT / "examples" / "config.json"), PROXY_LISTEN="127.0.0.1:0"
        )
    lines = []
    for line in program.stdout:
        lines.append(json.loads(line))
        if lines[-1]["event"] == "started":
            break
    program.send_signal(signal.SIGTERM)
    out, err = program.communicate(timeout=20)
    lines += [json.loads(line) for line in out.splitlines()]
    assert (program.returncode, err, lines[-1]["event"]) == (0, "", "stopped")
    assert {line["name"] for line in lines} == {EXAMPLE_CONFIG["name"]}


def test_sighup_moves_the_discovery_watch_and_an_unreadable_file_changes_nothing(tmp_path):
    def receive_poll(server: socket.socket) -> bytes:
        connection, _ = server.accept()
        connection.settimeout(20)
        connections.append(connection)
        return connection.recv(1000)

    def write(text: str) -> None:
        path.with_suffix(".new").write_text(text)
        path.with_suffix(".new").replace(path)

    connections: list[socket.socket] = []
    path = tmp_path / "config.json"
    with socket.create_server(("127.0.0.1", 0)) as old, socket.create_server(("127.0.0.1", 0)) as new:
        old.settimeout(20)
        new.settimeout(20)
        addresses = [f"127.0.0.1:{server.getsockname()[1]}" for server in (old, new)]
        write(json.dumps({**EXAMPLE_CONFIG, "discovery": addresses[0]}))
        program = start_program(
            PROXY_CONFIG=str(path), PROXY_LISTEN="127.0.0.1:0", PROXY_DISCOVERY=addresses[0]
        )
        events = (json.loads(line) for line in program.stdout)
        assert receive_poll(old).startswith(b"GET /v1/servers HTTP/1.1")
        for text, expected_event in (
            ("{", "reload_failed"),
            (json.dumps({**EXAMPLE_CONFIG, "discovery": addresses[1]}), "reloaded"),
        ):
            write(text)
            program.send_signal(signal.SIGHUP)
            assert any(event["event"] == expected_event for event in events)
        assert receive_poll(new).startswith(b"GET /v1/servers HTTP/1.1")  # the full list, not a delta
        assert connections[0].recv(1) == b""  # the old poll's connection is closed
        program.send_signal(signal.SIGTERM)
        assert program.wait(timeout=20) == 0
        program.communicate()


def test_the_program_listens_on_an_inherited_socket():
    """The address is already bound, so binding it a second time would fail."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        address, descriptor = listening.getsockname(), listening.fileno()
        program = start_program(
            PROXY_CONFIG=str(ROOT / "examples" / "config.json"),
            pass_fds=(descriptor,),
            PROXY_LISTEN=f"127.0.0.1:{address[1]}",
            PROXY_INHERITED_FD=str(descriptor),
        )
        with socket.create_connection(address, timeout=20) as client:
            client.sendall(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
            assert client.recv(100).startswith(b"HTTP/1.1 ")
        program.send_signal(signal.SIGTERM)
        program.communicate(timeout=20)
        assert program.returncode == 0


@pytest.mark.parametrize("descriptor", ["three", "2", "99999"])
def test_an_invalid_inherited_descriptor_prints_one_line_and_exits_with_2(descriptor):
    program = start_program(
        PROXY_CONFIG=str(ROOT / "examples" / "config.json"),
        PROXY_LISTEN="127.0.0.1:0",
        PROXY_INHERITED_FD=descriptor,
    )
    _, err = program.communicate(timeout=20)
    assert (program.returncode, err.count("\n")) == (2, 1) and err.startswith("stalltiller: ")


def test_the_program_serves_again_after_running_out_of_descriptors():
    program = start_program(
        PROXY_CONFIG=str(ROOT / "examples" / "config.json"),
        PROXY_LISTEN="127.0.0.1:0",
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (20, 20)),
    )
    events = map(json.loads, program.stdout)
    host, _, port = next(event for event in events if event["event"] == "started")["listen"].partition(":")
    connections = [socket.create_connection((host, int(port))) for _ in range(60)]
    assert any(event["event"] == "loop_error" for event in events)  # accept failed
    for connection in connections:
        connection.close()
    for _ in range(50):
        with socket.create_connection((host, int(port)), timeout=10) as client:
            client.sendall(b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
            if client.recv(100).startswith(b"HTTP/1.1 200"):
                break
    else:
        pytest.fail("the program does not serve requests again")
    program.send_signal(signal.SIGTERM)
    program.communicate(timeout=20)
    assert program.returncode == 0


class DatagramSink(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.received: list[bytes] = []

    def datagram_received(self, data, address) -> None:
        self.received.append(data)


class MetricsHarness(InitiatorHarness):
    def adjust_config(self, configured):
        return replace(
            configured, graphite=config.Sink(self.graphite, 0.05), collectd=config.Sink(self.collectd, 0.05)
        )


def test_metrics_are_exported_to_graphite_and_collectd():
    async def scenario():
        lines: list[bytes] = []

        async def collect_lines(reader, writer):
            while line := await reader.readline():
                lines.append(line)
            writer.close()

        server = await asyncio.start_server(collect_lines, "127.0.0.1", 0)
        transport, sink = await asyncio.get_running_loop().create_datagram_endpoint(
            DatagramSink, local_addr=("127.0.0.1", 0)
        )
        harness = MetricsHarness("http")
        harness.graphite, harness.collectd = (
            server.sockets[0].getsockname(),
            transport.get_extra_info("sockname"),
        )
        async with harness:
            assert (await harness.read()).outcome == "served"
            lines_before = len(lines)
            await harness.wait_until(lambda: any(b".served 1 " in line for line in lines[lines_before:]))
            await harness.wait_until(lambda: any(b"served" in data for data in sink.received))
        path, value, timestamp = next(line for line in lines if b".served " in line).split()
        assert (path, value) == (b"stalltiller.n0.served", b"1") and int(timestamp) > 1_700_000_000
        header, values = decode_collectd_packet(next(data for data in sink.received if b"served" in data))
        assert (header[0], header[2], header[3], values["served"]) == (b"n0", b"stalltiller", b"n0", 1)
        transport.close()
        server.close()

    asyncio.run(scenario())


def test_sinks_that_are_down_or_do_not_read_do_not_delay_requests():
    async def scenario():
        async def accept_without_reading(reader, writer):
            await asyncio.sleep(30)

        server = await asyncio.start_server(accept_without_reading, "127.0.0.1", 0)
        harness = MetricsHarness("http")
        harness.graphite, harness.collectd = server.sockets[0].getsockname(), ("127.0.0.1", 9)
        async with harness:
            await asyncio.sleep(0.2)
            assert (await harness.read()).outcome == "served"
        server.close()

    asyncio.run(scenario())
