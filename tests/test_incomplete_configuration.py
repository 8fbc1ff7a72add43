"""Files that were cut short, and what refers to the settings that a reload replaces (docs/incidents/)."""

from __future__ import annotations

import asyncio
import re
from dataclasses import replace
from pathlib import Path

import pytest

from stalltiller.adapters.nvme_mapping import OpcodeMapping
from stalltiller.daemon import settings_reload
from stalltiller.daemon.operator_config import read_operator_config
from stalltiller.protocol import nvme
from stalltiller.scheduling import Idempotency
from tests.helpers import plan
from tests.stand_ins import BLOCK_BYTES, CLASSES, DEADLINE_SECONDS, InitiatorHarness

READ, WRITE = CLASSES
DEPLOY = Path(__file__).parent.parent / "deploy"
FLEET_TOML, OPERATOR_TOML = ((DEPLOY / name).read_text() for name in ("fleet.toml", "operator.toml"))
NVME_SECTION = re.search(r"^\[nvme\]\n(.|\n)*?(?=^\[graphite\]$)", OPERATOR_TOML, re.MULTILINE)[0].strip()
OPERATOR_TOML_NVME_LAST = OPERATOR_TOML.replace(NVME_SECTION + "\n\n", "").rstrip() + f"\n\n{NVME_SECTION}\n"
LONG_WRITE_BLOCKS = 32  # more data than fits in a capsule
SETTLE_SECONDS = 0.05  # real time after which a reload with a transition of zero has been applied


def line_ends(text: str) -> list[int]:
    return [match.start() for match in re.finditer("\n", text)]


def without_last_plans(text: str, count: int) -> str:
    """Return a file whose last plans are taken out, as an operator may do on purpose."""
    return text[: [match.start() for match in re.finditer(r"\[\[settings.contracts\]\]", text)][-count]]


@pytest.mark.parametrize(
    ("text", "valid_cuts"),
    [
        (FLEET_TOML, [without_last_plans(FLEET_TOML, count) for count in (1, 2)]),
        (OPERATOR_TOML, [without_last_plans(OPERATOR_TOML, 1)]),  # namespaces need the other plans
        (OPERATOR_TOML_NVME_LAST, []),
    ],
    ids=["fleet", "nvme", "nvme-last"],
)
def test_a_file_that_is_cut_short_anywhere_changes_nothing(text, valid_cuts, tmp_path):
    """Guards against a cut that leaves a valid file: before a section, or within the last number."""

    def applies(harness, cut_text: str) -> bool:
        file.write_text(cut_text)
        harness.logged.clear()
        harness.app.reload(lambda: read_operator_config(str(file)))
        return any(line["event"] == "reloaded" for line in harness.logged)

    async def scenario():
        async with InitiatorHarness("http") as harness:
            file.write_text(text)
            whole = read_operator_config(str(file))
            applied = set()
            for position in line_ends(text):
                for cut in (position - 1, position, position + 1):
                    harness.app.settings_reloader.config = whole
                    if applies(harness, text[:cut]):
                        applied.add(text[:cut].strip())
            assert applied == {valid.strip() for valid in (text, *valid_cuts)}

    file = tmp_path / "operator.toml"
    asyncio.run(scenario())


def test_a_file_without_a_final_line_end_may_follow_another(tmp_path):
    async def scenario():
        async with InitiatorHarness("http") as harness:
            file.write_text(FLEET_TOML.rstrip("\n"))
            harness.app.settings_reloader.config = read_operator_config(str(file))
            harness.app.reload(lambda: read_operator_config(str(file)))
            assert harness.logged[-1]["event"] != "reload_failed"

    file = tmp_path / "operator.toml"
    asyncio.run(scenario())


def test_a_configuration_without_its_nvme_section_changes_nothing(monkeypatch):
    """A write that may have run was sent again: the new classes were put together with the old mapping."""
    monkeypatch.setattr(settings_reload, "TRANSITION_SECONDS", 0.0)

    async def scenario():
        async with InitiatorHarness("nvme") as harness:
            other_class = replace(WRITE, name="other", idempotency=Idempotency.SAFE, is_write=None)
            new_settings = replace(harness.settings, classes=(WRITE, other_class))
            harness.app.reload(lambda: replace(harness.config(), settings=new_settings, nvme=None))
            assert harness.logged[-1]["event"] == "reload_failed"
            await asyncio.sleep(SETTLE_SECONDS)
            await assert_writes_run_once(harness)

    asyncio.run(scenario())


async def assert_writes_run_once(harness) -> None:
    harness.targets[0].mode = "break"
    assert (await harness.write(tag=1)).outcome == "failed"
    assert [tag for tag, _ in harness.targets[0].executed] == [1]


def test_a_mapping_names_the_same_classes_and_plans_whatever_their_order(monkeypatch):
    monkeypatch.setattr(settings_reload, "TRANSITION_SECONDS", 0.0)

    async def scenario():
        async with InitiatorHarness("nvme") as harness:
            # The mapping stays; the positions of the write class and of the plan go to others.
            safe = replace(WRITE, name="safe", idempotency=Idempotency.SAFE)
            limited = plan(name="limited", limit=0.001, burst=0.001)
            new_settings = replace(
                harness.settings, classes=(WRITE, safe, READ), plans=(limited, *harness.settings.plans)
            )
            harness.app.reload(lambda: replace(harness.config(), settings=new_settings))
            await asyncio.sleep(SETTLE_SECONDS)
            [line] = [line for line in harness.logged if line["event"] == "settings_applied"][-1:]
            assert line["command_classes"] == {"read": "read", "write": "write"}
            assert (await harness.read(tag=9)).outcome == "served"
            harness.targets[0].executed.clear()
            await assert_writes_run_once(harness)

    asyncio.run(scenario())


async def send_long_write(harness, between) -> nvme.Completion:
    """Send a write whose data the initiator requests; call `between` before the data is sent."""
    data = bytes(LONG_WRITE_BLOCKS * BLOCK_BYTES)
    _, io = await harness.client.associate()
    io.writer.write(nvme.io_command(nvme.WRITE, 9, 1, 77, LONG_WRITE_BLOCKS, len(data), b""))
    _, transfer_tag, offset, length = nvme.parse_data(await io.next())
    await between()
    io.writer.write(nvme.data_pdu(nvme.H2C_DATA, 9, transfer_tag, offset, data[offset : offset + length]))
    return nvme.parse_completion(await io.next())


@pytest.mark.parametrize(
    ("plans", "classes", "status"),
    [
        (("first", "plan"), (READ, WRITE), nvme.OK),
        (("plan",), (WRITE, READ), nvme.OK),
        (("first",), (READ, WRITE), nvme.NAMESPACE_NOT_READY),  # the plan of the namespace is dropped
        (("plan",), (READ,), nvme.NAMESPACE_NOT_READY),  # the class of the command is dropped
    ],
)
def test_a_write_keeps_its_class_and_plan_if_its_data_arrives_after_a_reload(
    plans, classes, status, monkeypatch
):
    """Guards against a place in a list of the old settings, looked up in the new ones."""
    monkeypatch.setattr(settings_reload, "TRANSITION_SECONDS", 0.0)

    async def scenario():
        first, second = (plan(name=name, rate=500.0, reservation=500.0) for name in ("first", "plan"))
        async with InitiatorHarness("nvme", plans=(first, second)) as harness:
            harness_config = harness.config()
            namespaces = {
                number: replace(namespace, plan="plan")
                for number, namespace in harness_config.nvme.namespaces.items()
            }
            mapping = replace(harness_config.nvme, namespaces=namespaces)
            harness.app.settings_reloader.apply_settings(harness.settings, mapping)

            async def reload() -> None:
                new_plans = tuple(item for item in (second, first) if item.name in plans)
                new_settings = replace(harness.settings, plans=new_plans, classes=classes)
                remaining = {"nvme": mapping, "settings": new_settings}
                harness.app.reload(lambda: replace(harness_config, **remaining))
                await asyncio.sleep(SETTLE_SECONDS)

            completion = await send_long_write(harness, reload)
            assert (completion.status, completion.no_retry) == (status, False)
            assert bool(harness.targets[0].executed) is (status == nvme.OK)
            assert harness.faults() == []

    asyncio.run(scenario())


def test_a_reload_applies_the_subsystem_and_the_timeouts_to_target_connections(monkeypatch):
    monkeypatch.setattr(settings_reload, "TRANSITION_SECONDS", 0.1)

    async def scenario():
        async with InitiatorHarness("nvme") as harness:
            subsystems = []
            run_command = harness.targets[0].command

            async def record_command(stream, request, data):
                if request.opcode == nvme.FABRICS and request.nsid == nvme.CONNECT:
                    subsystems.append(nvme.parse_connect(data)[1])
                await run_command(stream, request, data)

            harness.targets[0].command = record_command
            old, pool = harness.config(), harness.app.target_client.pool
            mapping = replace(old.nvme, subsystem="nqn.2026-12.example:other")
            for idle_timeout, effective_at_once in ((5.0, 5.0), (50.0, 5.0)):
                new = replace(old, nvme=mapping, connect_timeout=0.5, idle_timeout=idle_timeout)
                harness.app.reload(lambda new=new: new)
                assert (pool._connect_timeout, pool._idle_timeout) == (0.5, effective_at_once)
                await asyncio.sleep(0.2)
                assert pool._idle_timeout == idle_timeout
            harness.app.server.mapping = old.nvme  # the test's host connects to the old subsystem
            assert (await harness.read()).outcome == "served"
            assert set(subsystems) == {mapping.subsystem}

    asyncio.run(scenario())


def test_an_opcode_whose_class_the_settings_lack_is_not_sent():
    async def scenario():
        async with InitiatorHarness("nvme") as harness:
            opcodes = {**harness.config().nvme.opcodes, nvme.READ: OpcodeMapping("gone", DEADLINE_SECONDS)}
            mapping = replace(harness.config().nvme, opcodes=opcodes)
            harness.app.settings_reloader.apply_settings(harness.settings, mapping)
            assert (await harness.read()).outcome == "refused"
            assert harness.targets[0].received == []

    asyncio.run(scenario())


def test_targets_are_in_one_zone_only_if_its_name_is_the_same():
    """Zones that the settings lack counted as one: a keyed write was retried where its key is unknown."""

    async def scenario():
        async with InitiatorHarness("http") as harness:
            zones = ["a", "new-1", "new-2", "new-1", "a", "new-3"]
            for number, zone in enumerate(zones):
                harness.discovery.set(harness.targets[0])
                record = {**harness.discovery.lines["s-0"], "name": f"t-{number}", "zone": zone}
                harness.discovery.lines[record["name"]] = record
            endpoints = harness.app.engine._targets._endpoints
            await harness.wait_until(lambda: f"t-{len(zones) - 1}" in endpoints)
            indexes = [endpoints[f"t-{number}"].target.zone for number in range(len(zones))]
            names_by_index = dict(zip(indexes, zones, strict=True))
            assert [names_by_index[index] for index in indexes] == zones
            assert len(names_by_index) == len(set(zones))
            assert indexes[0] == harness.config().zones.index("a")

    asyncio.run(scenario())
