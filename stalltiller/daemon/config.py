"""What the program is told: the environment and the platform's JSON file."""

from __future__ import annotations

import secrets
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING

import orjson

from stalltiller.adapters import nvme_mapping
from stalltiller.protocol import discovery, nvme
from stalltiller.scheduling import Settings
from stalltiller.simulator import codec

if TYPE_CHECKING:
    from stalltiller.daemon.lease_service import LeaseConfig
    from stalltiller.daemon.recovery_service import RecoveryConfig
    from stalltiller.fleet.config import FleetConfig

MEGABYTE = 1024 * 1024
PLATFORM_KEYS = ("name", "listen", "discovery", "admin", "seed", "limits", "settings")
SECOND = 1_000_000_000  # the settings' durations are nanoseconds


class ConfigError(Exception):
    """The program can't start with what it was told; the text is one plain line."""


@dataclass(slots=True, frozen=True)
class Sink:
    """Where metrics go, and how often."""

    address: tuple[str, int]
    interval: float


@dataclass(slots=True, frozen=True)
class Config:
    """All that one initiator is told when it starts."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory: int  # bytes
    known: discovery.TargetList | None
    settings: Settings
    zones: list[str]
    kinds: list[str]
    connect_timeout: float
    idle_limit: float
    nvme: nvme_mapping.Mapping | None = None  # None: the platform's HTTP front
    graphite: Sink | None = None
    collectd: Sink | None = None
    keys: frozenset[str] = frozenset()  # the file's, without those that may come and go
    admin: tuple[str, int] | None = None  # the second address, for calls of the operators
    folder: str | None = None  # what the processes of one initiator leave to each other is kept there
    inherited: int | None = None  # descriptor of a socket that listens already; None: bind `listen`
    fleet: FleetConfig | None = None  # None: it shares nothing with others, as on the platform
    leases: LeaseConfig | None = None
    recovery: RecoveryConfig | None = None  # None: nothing is kept over a restart, as on the platform


def key_paths(value: object, path: str = "") -> frozenset[str]:
    """The paths of all keys; for a list of objects, of those that all of them have."""
    if isinstance(value, dict):
        return frozenset().union(
            *({f"{path}{key}"} | key_paths(item, f"{path}{key}.") for key, item in value.items())
        )
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        return frozenset.intersection(*(key_paths(item, path) for item in value))
    return frozenset()


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested settings as the path=value pairs of the simulator's first message."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from flatten(item, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for i, item in enumerate(value):
            yield from flatten(item, f"{path}.{i}")
    elif isinstance(value, list):
        yield path, ",".join(_plain(item) for item in value)
    elif value is not None:
        yield path, _plain(value)


def _plain(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def _check_positive(nested: dict) -> None:
    """Guard against deadlines and attempts that are no numbers above 0: nothing could be served by them."""
    classes, limits = nested.get("classes"), nested.get("limits")
    found = [
        (f"{cls.get('name')}: {key}", cls.get(key))
        for key in ("aim-ns", "give-up-ns")
        for cls in (classes if isinstance(classes, list) else ())
        if isinstance(cls, dict)
    ]
    if isinstance(limits, dict) and "attempts-cap" in limits:
        found.append(("attempts-cap", limits["attempts-cap"]))
    for name, value in found:
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            raise ConfigError(f"settings: {name} is no number above 0: {value!r}")


def parse_settings(nested: dict) -> Settings:
    """The settings object as the decision module knows it."""
    _check_positive(nested)
    try:
        settings = codec.settings_of(dict(flatten(nested)))
    except (codec.WireError, ValueError, OverflowError) as error:
        raise ConfigError(f"settings: {error}") from error
    if not settings.classes or not settings.plans:
        raise ConfigError("settings: no classes or no plans (contracts)")
    return settings


def _address(text: object, name: str) -> tuple[str, int]:
    try:
        return discovery.parse_address(text, 1 if name == "discovery" else 0)
    except ValueError as error:
        raise ConfigError(f"{name}: {error}") from error


def _seed(text: object) -> int:
    """The seed as given, else one of our own: instances of a fleet must not draw alike."""
    if not text:
        return secrets.randbits(64)
    try:
        return int(str(text), 16)
    except ValueError as error:
        raise ConfigError(f"seed: not hexadecimal: {text!r}") from error


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or int(text) < 3:
        raise ConfigError(f"PROXY_INHERITED_FD: not a descriptor: {text!r}")
    return int(text)


def _seconds(limits: object, key: str, default: float) -> float:
    value = limits.get(key) if isinstance(limits, dict) else None
    return value / SECOND if isinstance(value, int | float) and value > 0 else default


def _limit(limits: dict, key: str, default: int) -> int:
    value = limits.get(key)
    return value if isinstance(value, int) and value > 0 else default


def _names(value: object) -> list[str]:
    return [str(item) for item in value] if isinstance(value, list) else []


def read_json(path: str) -> dict:
    try:
        data = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from error
    if not isinstance(data, dict):
        raise ConfigError(f"{path}: not a JSON object")
    return data


def _config(data: dict, where: str, **more: object) -> Config:
    """What the platform's file and the operator's have in common."""
    keys = key_paths({key: data[key] for key in PLATFORM_KEYS if data.get(key) is not None})
    nested = data.get("settings")
    if not isinstance(nested, dict):
        raise ConfigError(f"{where}: no settings")
    for name in ("listen", "discovery"):
        if not data.get(name):
            raise ConfigError(f"{where}: no address for {name}")
    if data.get("admin"):
        more["admin"] = _address(data["admin"], "admin")
    try:
        known = discovery.parse_target_list_value(data["known"]) if data.get("known") else None
    except discovery.DiscoveryError as error:
        raise ConfigError(f"known: {error}") from error
    limits, most = nested.get("limits"), data.get("limits")
    most = most if isinstance(most, dict) else {}
    return Config(
        name=str(data.get("name") or "stalltiller"),
        listen=_address(data["listen"], "listen"),
        discovery=_address(data["discovery"], "discovery"),
        seed=_seed(data.get("seed")),
        sockets=_limit(most, "sockets", 1024),
        memory=_limit(most, "memory_mb", 192) * MEGABYTE,
        known=known,
        settings=parse_settings(nested),
        zones=_names(nested.get("areas")),
        kinds=_names(nested.get("kinds")),
        connect_timeout=_seconds(limits, "connect-timeout-ns", 0.25),
        idle_limit=_seconds(limits, "conn-idle-ns", 30.0),
        keys=keys,
        **more,
    )


def from_platform(environment: Mapping[str, str]) -> Config:
    """Read PROXY_CONFIG; the other PROXY_ variables go before what it says.

    Read anew, the file alone counts for discovery's address: leave PROXY_DISCOVERY out then.
    """
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    data = read_json(path)
    for name in ("name", "listen", "discovery", "admin"):
        data[name] = environment.get(f"PROXY_{name.upper()}") or data.get(name)
    return _config(
        data,
        path,
        folder=environment.get("TMPDIR"),
        inherited=_descriptor(environment.get("PROXY_INHERITED_FD")),
    )


# --- The operator's file ----------------------------------------------------------------------------
def from_operator(path: str) -> Config:
    """Read an operator's file, which may set up the NVMe/TCP front and metrics."""
    from stalltiller.daemon.schema import first_error  # the platform's start does without it

    try:
        text = Path(path).read_text()
        data = tomllib.loads(text)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not TOML: {error}") from error
    wrong = first_error(data, text)
    if wrong is not None:
        raise ConfigError(f"{path}:{wrong}")
    try:
        config = _config(data, path, graphite=_sink(data, "graphite"), collectd=_sink(data, "collectd"))
        if "fleet" in data:
            config = replace(config, fleet=_fleet(data["fleet"], config))
        if "leases" in data:
            config = replace(config, leases=_leases(data["leases"], config))
        if "recovery" in data:
            config = replace(config, recovery=_recovery(data["recovery"]))
        if "nvme" not in data:
            return config
        return replace(config, nvme=_mapping(data["nvme"], config.settings))
    except KeyError as error:
        raise ConfigError(f"{path}: {error.args[0]} is missing") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from error


def _sink(data: dict, name: str) -> Sink | None:
    if name not in data:
        return None
    interval = float(data[name].get("interval_s", 10.0))
    if not 0.05 <= interval <= 3600:
        raise ConfigError(f"{name}: interval_s must lie between 0.05 and 3600")
    return Sink(_address(data[name]["address"], name), interval)


def _fleet(data: dict, config: Config) -> FleetConfig:
    from stalltiller.fleet.config import fleet_config  # the platform's start does without it

    zone = config.zones[config.settings.zone] if config.settings.zone < len(config.zones) else ""
    return fleet_config(data, zone)


def _recovery(data: dict) -> RecoveryConfig:
    from stalltiller.daemon.recovery_service import RecoveryConfig

    usual = RecoveryConfig(str(data["folder"]))
    return RecoveryConfig(
        usual.folder,
        float(data.get("save_every_s", usual.save_interval)),
        data.get("ramp", usual.is_ramp_enabled),
        float(data.get("ask_peers_s", usual.peer_confirmation_wait)),
    )


def _leases(data: dict, config: Config) -> LeaseConfig:
    from stalltiller.daemon.lease_service import LeaseConfig

    voters = tuple(map(str, data["voters"]))
    if config.fleet is None or len(voters) not in (3, 5) or len(set(voters)) != len(voters):
        raise ConfigError("leases: they need [fleet] and the names of 3 or 5 members to vote")
    return LeaseConfig(
        voters, str(data["folder"]), float(data.get("ttl_s", 2.0)), int(data.get("most_log", 2000))
    )


def _mapping(data: dict, settings: Settings) -> nvme_mapping.Mapping:
    plans = {plan.name: i for i, plan in enumerate(settings.plans)}
    classes = {cls.name: i for i, cls in enumerate(settings.classes)}
    spaces: dict[int, nvme_mapping.Namespace] = {}
    for line in data["namespaces"]:
        number, size = int(line["id"]), int(line.get("block_size", 4096))
        if not 0 < number < 0xFFFFFFFF or number in spaces:
            raise ConfigError(f"namespace {number}: the id is out of range or given twice")
        if size & (size - 1) or not 512 <= size <= nvme.MAX_DATA:
            raise ConfigError(f"namespace {number}: block_size must be a power of two from 512 to 64 KiB")
        if line["plan"] not in plans:
            raise ConfigError(f"namespace {number}: plan not known: {line['plan']}")
        space = nvme_mapping.Namespace(
            int(str(line["volume"]), 16),
            plans[line["plan"]],
            int(line["shard"]),
            int(line["hosts"]),
            int(line["blocks"]),
            size,
            float(line["blocks_per_unit"]),
        )
        if min(space.initiator_count, space.blocks, space.blocks_per_unit) <= 0 or space.shard < 0:
            raise ConfigError(f"namespace {number}: hosts, blocks, blocks_per_unit or shard out of range")
        spaces[number] = space
    opcodes: dict[int, nvme_mapping.OpcodeMapping] = {}
    for name, opcode, write in (("read", nvme.READ, False), ("write", nvme.WRITE, True)):
        line = data["opcodes"][name]
        if line["class"] not in classes:
            raise ConfigError(f"opcode {name}: class not known: {line['class']}")
        cls = classes[line["class"]]
        if settings.classes[cls].is_write is (not write):
            raise ConfigError(f"opcode {name}: class {line['class']} does not go with it")
        if not line["deadline_ms"] > 0:
            raise ConfigError(f"opcode {name}: deadline_ms must be above zero")
        opcodes[opcode] = nvme_mapping.OpcodeMapping(cls, line["deadline_ms"] / 1000)
    return nvme_mapping.Mapping(str(data["subsystem"]), spaces, opcodes)
