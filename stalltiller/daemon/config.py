"""The configuration of one initiator, and the parsing of keys shared by platform and operator files.

A `Config` is immutable.  An unusable file raises `ConfigError`.
"""

from __future__ import annotations

import secrets
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from stalltiller.adapters import nvme_mapping
from stalltiller.common.errors import StalltillerError
from stalltiller.protocol.discovery import (
    DiscoveryError,
    TargetList,
    parse_address,
    parse_target_list_value,
)
from stalltiller.routing.transfer_limits import DEFAULT_IDLE_LIMIT_SECONDS
from stalltiller.scheduling import Settings
from stalltiller.simulator import codec

if TYPE_CHECKING:
    from stalltiller.daemon.lease_service import LeaseConfig
    from stalltiller.daemon.recovery_service import RecoveryConfig
    from stalltiller.fleet.config import FleetConfig

BYTES_PER_MEGABYTE = 1024 * 1024
NANOSECONDS_PER_SECOND = 1_000_000_000  # the settings' durations are nanoseconds
DEFAULT_NAME = "stalltiller"
DEFAULT_MAX_DESCRIPTORS = 1024
DEFAULT_MEMORY_MEGABYTES = 192
DEFAULT_CONNECT_TIMEOUT_SECONDS = 0.25
DEFAULT_IDLE_TIMEOUT_SECONDS = 30.0
MIN_STREAM_IDLE_TIMEOUT_SECONDS = 0.5  # several times the interval of the checks
MAX_STREAM_IDLE_TIMEOUT_SECONDS = 3600.0

# Keys of the platform's file that must remain on a reload; others, such as `known`, may be added or removed.
REQUIRED_ON_RELOAD = ("name", "listen", "discovery", "admin", "seed", "limits", "settings")


class ConfigError(StalltillerError):
    """The configuration is invalid.

    The message is one line, `path:line: key: reason`, without the parts that are None.
    """

    def __init__(
        self, reason: str, *, key: str | None = None, path: str | None = None, line: int | None = None
    ) -> None:
        location = path if line is None else f"{path}:{line}"
        parts = (location, key, reason)
        super().__init__(": ".join(part for part in parts if part is not None), key=key, path=path)
        self.reason = reason
        self.line = line


class MissingKeyError(ConfigError):
    """A required key is missing from the file."""

    def __init__(self, key: str, *, path: str | None = None) -> None:
        super().__init__(f"{key} is missing", path=path)
        self.key = key


@dataclass(slots=True, frozen=True)
class Sink:
    """A destination of metrics, which are sent every `interval` seconds."""

    address: tuple[str, int]
    interval: float


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one initiator.  Times are in seconds."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    max_descriptors: int
    memory_bytes: int
    initial_target_list: TargetList | None
    settings: Settings
    zones: list[str]
    kinds: list[str]
    connect_timeout: float
    idle_timeout: float  # for unused connections to targets
    stream_idle_timeout: float  # a transfer without progress for that long has stopped
    nvme: nvme_mapping.Mapping | None = None  # None: HTTP, as on the platform
    graphite: Sink | None = None
    collectd: Sink | None = None
    required_keys: frozenset[str] = frozenset()  # key paths that a reloaded file must contain
    has_final_line_end: bool = True  # false: the file ends within a line; always true for JSON
    admin: tuple[str, int] | None = None  # the address for administration calls
    handover_folder: str | None = None  # shared by this initiator's processes; None: no handover files
    inherited_descriptor: int | None = None  # an open listening socket; None: bind `listen`
    fleet: FleetConfig | None = None  # None: not in a fleet, as on the platform
    leases: LeaseConfig | None = None
    recovery: RecoveryConfig | None = None  # None: no state is restored after a restart, as on the platform


def format_address(address: tuple[str, int]) -> str:
    """Return an address as `host:port`."""
    host, port = address
    return f"{host}:{port}"


def key_paths(value: object, prefix: str = "") -> frozenset[str]:
    """Return the dotted paths of all keys; for a list of objects, the keys common to all of them."""
    if isinstance(value, dict):
        paths: frozenset[str] = frozenset()
        for key, item in value.items():
            paths |= {f"{prefix}{key}"} | key_paths(item, f"{prefix}{key}.")
        return paths
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        return frozenset.intersection(*(key_paths(item, prefix) for item in value))
    return frozenset()


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield nested settings as the path=value pairs of the simulator's first message."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from flatten(item, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for index, item in enumerate(value):
            yield from flatten(item, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(_to_text(item) for item in value)
    elif value is not None:
        yield path, _to_text(value)


def _to_text(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def _check_positive(nested: dict) -> None:
    """Reject non-positive objectives, deadlines and attempt limits, with which no request could be served."""
    classes = nested.get("classes")
    limits = nested.get("limits")
    checked_values = [
        (f"{cls.get('name')}: {key}", cls.get(key))
        for key in ("aim-ns", "give-up-ns")
        for cls in (classes if isinstance(classes, list) else ())
        if isinstance(cls, dict)
    ]
    if isinstance(limits, dict) and "attempts-cap" in limits:
        checked_values.append(("attempts-cap", limits["attempts-cap"]))
    for name, value in checked_values:
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            raise ConfigError(f"{name} must be a positive number, not {value!r}", key="settings")


def parse_settings(nested: dict) -> Settings:
    """Parse the scheduler's settings from a file's `settings` object; raises ConfigError."""
    _check_positive(nested)
    try:
        settings = codec.settings_from_options(dict(flatten(nested)))
    except (codec.WireError, ValueError, OverflowError) as error:
        raise ConfigError(str(error), key="settings") from error
    if not settings.classes or not settings.plans:
        raise ConfigError("classes or contracts are missing", key="settings")
    return settings


def configured_address(text: object, key: str) -> tuple[str, int]:
    """Parse the address that a file has under `key`; port 0 is rejected only for discovery."""
    try:
        return parse_address(text, 1 if key == "discovery" else 0)
    except ValueError as error:
        raise ConfigError(str(error), key=key) from error


def _parse_seed(text: object) -> int:
    """Return the configured seed or a random one: instances of a fleet must make different random choices."""
    if not text:
        return secrets.randbits(64)
    try:
        return int(str(text), 16)
    except ValueError as error:
        raise ConfigError(f"not hexadecimal: {text!r}", key="seed") from error


def _parse_initial_target_list(value: object) -> TargetList | None:
    try:
        return parse_target_list_value(value) if value else None
    except DiscoveryError as error:
        raise ConfigError(str(error), key="known") from error


def _duration_seconds(limits: object, key: str, default_seconds: float) -> float:
    value = limits.get(key) if isinstance(limits, dict) else None
    return value / NANOSECONDS_PER_SECOND if isinstance(value, int | float) and value > 0 else default_seconds


def _parse_stream_idle_timeout(limits: object) -> float:
    value = limits.get("stream_idle_timeout") if isinstance(limits, dict) else None
    if value is None:
        return DEFAULT_IDLE_LIMIT_SECONDS
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not MIN_STREAM_IDLE_TIMEOUT_SECONDS <= value <= MAX_STREAM_IDLE_TIMEOUT_SECONDS:
        raise ConfigError(
            f"stream_idle_timeout must be from {MIN_STREAM_IDLE_TIMEOUT_SECONDS:g} to"
            f" {MAX_STREAM_IDLE_TIMEOUT_SECONDS:g} seconds, not {value!r}",
            key="limits",
        )
    return float(value)


def _positive_integer(limits: object, key: str, default: int) -> int:
    value = limits.get(key) if isinstance(limits, dict) else None
    return value if isinstance(value, int) and value > 0 else default


def _parse_strings(value: object) -> list[str]:
    return [str(item) for item in value] if isinstance(value, list) else []


def parse_shared_config(
    data: dict, path: str, required_on_reload: tuple[str, ...] = REQUIRED_ON_RELOAD
) -> Config:
    """Build the configuration from the keys that both kinds of file share; raises ConfigError.

    `required_on_reload` names the keys which, with all keys below them, a later file must not lack.
    """
    required_keys = key_paths({key: data[key] for key in required_on_reload if data.get(key) is not None})
    nested = data.get("settings")
    if not isinstance(nested, dict):
        raise ConfigError("settings are missing or not an object", path=path)
    for key in ("listen", "discovery"):
        if not data.get(key):
            raise ConfigError(f"the {key} address is missing", path=path)
    admin = configured_address(data["admin"], "admin") if data.get("admin") else None
    initial_target_list = _parse_initial_target_list(data.get("known"))
    process_limits = data.get("limits")
    request_limits = nested.get("limits")
    memory_megabytes = _positive_integer(process_limits, "memory_mb", DEFAULT_MEMORY_MEGABYTES)
    return Config(
        name=str(data.get("name") or DEFAULT_NAME),
        listen=configured_address(data["listen"], "listen"),
        discovery=configured_address(data["discovery"], "discovery"),
        seed=_parse_seed(data.get("seed")),
        max_descriptors=_positive_integer(process_limits, "sockets", DEFAULT_MAX_DESCRIPTORS),
        memory_bytes=memory_megabytes * BYTES_PER_MEGABYTE,
        initial_target_list=initial_target_list,
        settings=parse_settings(nested),
        zones=_parse_strings(nested.get("areas")),
        kinds=_parse_strings(nested.get("kinds")),
        connect_timeout=_duration_seconds(
            request_limits, "connect-timeout-ns", DEFAULT_CONNECT_TIMEOUT_SECONDS
        ),
        idle_timeout=_duration_seconds(request_limits, "conn-idle-ns", DEFAULT_IDLE_TIMEOUT_SECONDS),
        stream_idle_timeout=_parse_stream_idle_timeout(process_limits),
        required_keys=required_keys,
        admin=admin,
    )
