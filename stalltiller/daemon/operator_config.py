"""Reads an operator's TOML file, which may configure NVMe/TCP, metrics, a fleet, leases and recovery."""

from __future__ import annotations

import tomllib
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from stalltiller.adapters import nvme_mapping
from stalltiller.daemon.config import (
    Config,
    ConfigError,
    MissingKeyError,
    Sink,
    configured_address,
    parse_shared_config,
)
from stalltiller.protocol import nvme
from stalltiller.scheduling import Settings

if TYPE_CHECKING:
    from stalltiller.daemon.lease_service import LeaseConfig
    from stalltiller.daemon.recovery_service import RecoveryConfig
    from stalltiller.fleet.config import FleetConfig

OPTIONAL_ON_RELOAD = ("known",)  # keys that may disappear from the file
DEFAULT_SINK_INTERVAL_SECONDS = 10.0
MIN_SINK_INTERVAL_SECONDS = 0.05
MAX_SINK_INTERVAL_SECONDS = 3600
DEFAULT_LEASE_DURATION_SECONDS = 2.0
DEFAULT_MAX_LOG_ENTRIES = 2000  # applied lease log entries before a snapshot replaces them
VOTER_COUNTS = (3, 5)
DEFAULT_BLOCK_BYTES = 4096
MIN_BLOCK_BYTES = 512
BROADCAST_NAMESPACE_ID = 0xFFFFFFFF  # addresses all namespaces, so it identifies none


def read_operator_config(path: str) -> Config:
    """Read an operator's file.  Raises ConfigError, with the line number of a schema violation."""
    from stalltiller.daemon.schema import first_violation  # not imported on the platform

    try:
        text = Path(path).read_text()
        data = tomllib.loads(text)
    except OSError as error:
        raise ConfigError(str(error.strerror), path=path) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"invalid TOML: {error}", path=path) from error
    violation = first_violation(data, text)
    if violation is not None:
        raise ConfigError(violation.message, key=violation.key, path=path, line=violation.line)
    try:
        config = _parse_operator_config(data, path)
        return replace(config, has_final_line_end=text.endswith("\n"))
    except KeyError as error:
        raise MissingKeyError(error.args[0], path=path) from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(str(error), path=path) from error


def _parse_operator_config(data: dict, path: str) -> Config:
    graphite = _parse_sink(data, "graphite")
    collectd = _parse_sink(data, "collectd")
    required_keys = tuple(key for key in data if key not in OPTIONAL_ON_RELOAD)
    config = replace(parse_shared_config(data, path, required_keys), graphite=graphite, collectd=collectd)
    if "fleet" in data:
        config = replace(config, fleet=_parse_fleet(data["fleet"], config))
    if "leases" in data:
        config = replace(config, leases=_parse_leases(data["leases"], config))
    if "recovery" in data:
        config = replace(config, recovery=_parse_recovery(data["recovery"]))
    if "nvme" in data:
        config = replace(config, nvme=_parse_nvme_mapping(data["nvme"], config.settings))
    return config


def _parse_sink(data: dict, key: str) -> Sink | None:
    if key not in data:
        return None
    interval = float(data[key].get("interval_s", DEFAULT_SINK_INTERVAL_SECONDS))
    if not MIN_SINK_INTERVAL_SECONDS <= interval <= MAX_SINK_INTERVAL_SECONDS:
        raise ConfigError("interval_s must be between 0.05 and 3600", key=key)
    return Sink(configured_address(data[key]["address"], key), interval)


def _parse_fleet(data: dict, config: Config) -> FleetConfig:
    from stalltiller.fleet.config import fleet_config  # not imported on the platform

    zone = config.zones[config.settings.zone] if config.settings.zone < len(config.zones) else ""
    return fleet_config(data, zone)


def _parse_recovery(data: dict) -> RecoveryConfig:
    from stalltiller.daemon.recovery_service import RecoveryConfig

    defaults = RecoveryConfig(str(data["folder"]))
    return RecoveryConfig(
        defaults.folder,
        float(data.get("save_every_s", defaults.save_interval)),
        data.get("ramp", defaults.is_ramp_enabled),
        float(data.get("ask_peers_s", defaults.peer_confirmation_wait)),
    )


def _parse_leases(data: dict, config: Config) -> LeaseConfig:
    from stalltiller.daemon.lease_service import LeaseConfig

    voters = tuple(map(str, data["voters"]))
    if config.fleet is None or len(voters) not in VOTER_COUNTS or len(set(voters)) != len(voters):
        raise ConfigError("[fleet] and the names of 3 or 5 distinct voters are required", key="leases")
    return LeaseConfig(
        voters,
        str(data["folder"]),
        float(data.get("ttl_s", DEFAULT_LEASE_DURATION_SECONDS)),
        int(data.get("most_log", DEFAULT_MAX_LOG_ENTRIES)),
    )


def _parse_nvme_mapping(data: dict, settings: Settings) -> nvme_mapping.Mapping:
    plan_names = {plan.name for plan in settings.plans}
    namespaces: dict[int, nvme_mapping.Namespace] = {}
    for table in data["namespaces"]:
        namespace_id = int(table["id"])
        block_bytes = int(table.get("block_size", DEFAULT_BLOCK_BYTES))
        if not 0 < namespace_id < BROADCAST_NAMESPACE_ID or namespace_id in namespaces:
            raise ConfigError("the id is out of range or not unique", key=f"namespace {namespace_id}")
        namespaces[namespace_id] = _parse_namespace(table, namespace_id, block_bytes, plan_names)
    opcodes = _parse_opcodes(data["opcodes"], settings)
    return nvme_mapping.Mapping(str(data["subsystem"]), namespaces, opcodes)


def _parse_namespace(
    table: dict, namespace_id: int, block_bytes: int, plan_names: set[str]
) -> nvme_mapping.Namespace:
    key = f"namespace {namespace_id}"
    if block_bytes & (block_bytes - 1) or not MIN_BLOCK_BYTES <= block_bytes <= nvme.MAX_DATA_BYTES:
        raise ConfigError("block_size must be a power of two from 512 to 64 KiB", key=key)
    if table["plan"] not in plan_names:
        raise ConfigError(f"unknown plan: {table['plan']}", key=key)
    namespace = nvme_mapping.Namespace(
        int(str(table["volume"]), 16),
        table["plan"],
        int(table["shard"]),
        int(table["hosts"]),
        int(table["blocks"]),
        block_bytes,
        float(table["blocks_per_unit"]),
    )
    if (
        min(namespace.initiator_count, namespace.blocks, namespace.blocks_per_unit) <= 0
        or namespace.shard < 0
    ):
        raise ConfigError("hosts, blocks, blocks_per_unit or shard is out of range", key=key)
    return namespace


def _parse_opcodes(data: dict, settings: Settings) -> dict[int, nvme_mapping.OpcodeMapping]:
    """Map each opcode to its request class and its deadline in seconds."""
    classes = {cls.name: cls for cls in settings.classes}
    opcodes: dict[int, nvme_mapping.OpcodeMapping] = {}
    for name, opcode, is_write in (("read", nvme.READ, False), ("write", nvme.WRITE, True)):
        key = f"opcode {name}"
        table = data[name]
        if table["class"] not in classes:
            raise ConfigError(f"unknown class: {table['class']}", key=key)
        if classes[table["class"]].is_write is (not is_write):
            raise ConfigError(f"class {table['class']} does not allow {name} commands", key=key)
        if not table["deadline_ms"] > 0:
            raise ConfigError("deadline_ms must be positive", key=key)
        opcodes[opcode] = nvme_mapping.OpcodeMapping(table["class"], table["deadline_ms"] / 1000)
    return opcodes
