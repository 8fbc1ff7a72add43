"""Tests of reloading: settings change while requests are open, and invalid files change nothing."""

from __future__ import annotations

import asyncio
import copy
import json
from dataclasses import replace

import pytest

from stalltiller.adapters.nvme_mapping import OpcodeMapping
from stalltiller.daemon import config, settings_reload
from stalltiller.daemon.platform_config import read_platform_config
from stalltiller.daemon.settings_reload import transitional_settings
from stalltiller.scheduling import DeduplicationScope, Idempotency
from tests.helpers import plan, request_class, settings
from tests.stand_ins import CLASSES, DEADLINE_SECONDS, InitiatorHarness
from tests.test_program import EXAMPLE_CONFIG

READ, WRITE = CLASSES
KEYED = request_class(name="keyed", idempotency=Idempotency.IDEMPOTENCY_KEY)


@pytest.mark.parametrize(
    ("old", "new", "classes"),
    [
        ((READ,), (WRITE, READ), ["read safe", "write unsafe"]),
        ((READ, WRITE), (READ,), ["read safe", "write unsafe"]),
        ((READ,), (replace(READ, idempotency=Idempotency.UNSAFE),), ["read unsafe"]),
        ((replace(READ, idempotency=Idempotency.UNSAFE), KEYED), (READ,), ["read unsafe", "keyed keyed"]),
        ((KEYED,), (replace(KEYED, idempotency=Idempotency.SAFE),), ["keyed keyed"]),
    ],
)
def test_transitional_settings_have_the_classes_of_both_and_the_stricter_idempotency(old, new, classes):
    merged = transitional_settings(
        settings(classes=old, max_attempts=4), settings(classes=new, max_attempts=2, plans=(plan(name="b"),))
    )
    assert [f"{cls.name} {cls.idempotency.value}" for cls in merged.classes] == classes
    assert (merged.max_attempts, [p.name for p in merged.plans]) == (2, ["plan", "b"])


def test_transitional_settings_have_the_smaller_limit_of_a_plan():
    for limits in ((10.0, 5.0), (5.0, 10.0), (5.0, 0.0), (0.0, 5.0)):
        old, new = (settings(plans=(plan(limit=limit),)) for limit in limits)
        assert transitional_settings(old, new).plans[0].limit == 5.0


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ([{"deduplication_window": 6.0}, {"deduplication_window": 1.5}], (1.5, DeduplicationScope.ALL)),
        # Clients and targets may still use the old settings.
        ([{"deduplication_window": 1.5}, {"deduplication_window": 6.0}], (1.5, DeduplicationScope.ALL)),
        (
            [
                {"deduplication_scope": DeduplicationScope.ZONE},
                {"deduplication_scope": DeduplicationScope.ALL},
            ],
            (2.0, DeduplicationScope.ZONE),
        ),
        (
            [
                {"deduplication_scope": DeduplicationScope.ALL},
                {"deduplication_scope": DeduplicationScope.SHARD},
            ],
            (2.0, DeduplicationScope.SHARD),
        ),
    ],
)
def test_transitional_settings_have_the_shorter_deduplication_window_and_the_narrower_scope(
    changes, expected
):
    old, new = (settings(classes=(replace(KEYED, **change),)) for change in changes)
    (merged,) = transitional_settings(old, new).classes
    assert (merged.deduplication_window, merged.deduplication_scope) == expected


def test_stricter_settings_apply_immediately_and_the_others_after_the_transition(monkeypatch):
    """An open write keeps its class after a reload removes it, and no request gets another class."""
    monkeypatch.setattr(settings_reload, "TRANSITION_SECONDS", 60.0)

    async def scenario():
        async with InitiatorHarness("http") as harness:
            harness.targets[0].delay = 0.4
            open_write = asyncio.create_task(harness.write(tag=1))
            await harness.wait_until(lambda: harness.targets[0].received)
            new_settings = replace(
                harness.settings,
                max_attempts=1,
                classes=(
                    request_class(
                        name="next",
                        latency_objective=0.4,
                        deadline=DEADLINE_SECONDS,
                        idempotency=Idempotency.UNSAFE,
                        is_write=True,
                    ),
                    READ,
                ),
            )
            harness.app.reload(lambda: replace(harness.config(), settings=new_settings))
            for expected_outcome in ("served", "failed"):  # the old class is unknown after the transition
                result = await harness.write(tag=2, shard=1)
                assert result.outcome == expected_outcome
                harness.app.settings_reloader.apply_settings(new_settings)  # the end of the transition
            assert harness.app.engine.counts["bad_requests"] == 1
            assert (await open_write).outcome == "served"
            assert (await harness.read(tag=3, shard=1)).outcome == "served"
            harness.targets[1].mode = "error"
            assert (await harness.read(tag=4, shard=1)).outcome == "refused"
            assert [tag for tag, _ in harness.targets[1].executed].count(4) == 1
            assert harness.faults() == []

    asyncio.run(scenario())


def test_nvme_commands_keep_their_classes_while_the_order_of_classes_changes(monkeypatch):
    monkeypatch.setattr(settings_reload, "TRANSITION_SECONDS", 0.1)

    async def scenario():
        async with InitiatorHarness("nvme") as harness:
            new_settings = replace(harness.settings, classes=(WRITE, READ))
            mapping = replace(
                harness.config().nvme,
                opcodes={
                    2: OpcodeMapping("read", DEADLINE_SECONDS),
                    1: OpcodeMapping("write", DEADLINE_SECONDS),
                },
            )
            harness.app.reload(lambda: replace(harness.config(), settings=new_settings, nvme=mapping))
            for tag in (1, 2):
                assert (await harness.write(tag)).outcome == (await harness.read(tag)).outcome == "served"
                await asyncio.sleep(0.15)
            harness.targets[0].mode = "error"
            assert (await harness.write(tag=3)).outcome == "failed"
            assert [tag for tag, _ in harness.targets[0].executed].count(3) == 1

    asyncio.run(scenario())


def test_a_second_reload_during_the_transition_loses_none_of_the_first(monkeypatch):
    """The second reload cancelled the end of the first transition, so the new mapping never applied."""
    monkeypatch.setattr(settings_reload, "TRANSITION_SECONDS", 0.1)

    async def scenario():
        async with InitiatorHarness("nvme") as harness:
            mapping = harness.config().nvme
            mapping = replace(mapping, namespaces={**mapping.namespaces, 7: mapping.namespaces[1]})
            for _ in range(2):
                harness.app.reload(lambda: replace(harness.config(), nvme=mapping))
            await harness.wait_until(lambda: 7 in harness.app.server.mapping.namespaces, 2.0)
            assert harness.app.settings_reloader._transition is None

    asyncio.run(scenario())


def test_reordered_classes_remain_reads_and_writes(monkeypatch, tmp_path):
    """The list of classes that write is positional, so every write was rejected with 400."""
    monkeypatch.setattr(settings_reload, "TRANSITION_SECONDS", 0.0)

    def read_file():
        file_settings = config.parse_settings(json.loads(file.read_text()))
        return replace(harness.config(), settings=replace(harness.settings, classes=file_settings.classes))

    async def scenario():
        async with harness:
            classes = nested["classes"] = [*nested["classes"][1:], {**nested["classes"][1], "name": "new"}]
            file.write_text(json.dumps(nested))
            harness.app.reload(read_file)
            await asyncio.sleep(0.05)
            fields = harness.app.server.request_fields
            assert [cls["name"] for cls in classes] == ["write", "report-export", "new"]
            assert [fields._methods[fields._class_indexes[name]] for name in ("write", "new")] == [
                ("PUT",),
                ("GET", "PUT"),
            ]
            assert (await harness.write(tag=1)).outcome == "served"

    file, nested = tmp_path / "settings.json", copy.deepcopy(EXAMPLE_CONFIG["settings"])
    for cls, name in zip(nested["classes"], ("read", "write"), strict=False):
        cls["name"] = name
    harness = InitiatorHarness("http")
    asyncio.run(scenario())


def test_a_list_of_write_flags_with_another_length_than_the_classes_is_ignored():
    nested = copy.deepcopy(EXAMPLE_CONFIG["settings"])
    nested["classes"].append({**nested["classes"][0], "name": "new"})
    assert {cls.is_write for cls in config.parse_settings(nested).classes} == {None}


def example_with(path: str, value: object) -> dict:
    data = copy.deepcopy(EXAMPLE_CONFIG)
    *parents, last = path.split(".")
    parent = data
    for name in parents:
        parent = parent[int(name) if name.isdigit() else name]
    if value is None:
        del parent[last]
    else:
        parent[last] = value
    return data


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("settings.classes.1.give-up-ns", -5),
        ("settings.classes.0.give-up-ns", 0),
        ("settings.classes.2.give-up-ns", "5"),
        ("settings.classes.0.aim-ns", True),
        ("settings.limits.attempts-cap", 0),
        ("settings.limits.attempts-cap", "many"),
        ("settings.classes.1.give-up-ns", None),
        ("settings.classes.0.effect", None),
        ("discovery", None),
        ("settings.limits.attempts-cap", None),
        ("settings.contracts.0.cap", None),
        ("settings.rules", None),
        ("settings.classes", []),
        ("limits.sockets", None),
    ],
)
def test_a_file_with_an_invalid_or_missing_key_changes_nothing(path, value, tmp_path):
    async def scenario():
        async with InitiatorHarness("http") as harness:
            file.write_text(json.dumps(EXAMPLE_CONFIG))
            harness.app.settings_reloader.config = read_platform_config({"PROXY_CONFIG": str(file)})
            settings_before = harness.app.engine.settings
            file.write_text(json.dumps({**example_with(path, value), "name": "other"}))
            harness.app.reload(lambda: read_platform_config({"PROXY_CONFIG": str(file)}))
            assert harness.logged[-1]["event"] == "reload_failed"
            assert (
                harness.app.engine.settings is settings_before
                and harness.app.settings_reloader.config.name == EXAMPLE_CONFIG["name"]
            )

    file = tmp_path / "config.json"
    asyncio.run(scenario())
