"""What the program is told: the environment and the platform's JSON file."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path

import orjson

from stalltiller import interface as api
from stalltiller import wire
from stalltiller.protocol import discovery

SECOND = 1_000_000_000  # the settings' durations are nanoseconds


class ConfigError(Exception):
    """The program can't start with what it was told; the text is one plain line."""


@dataclass(slots=True, frozen=True)
class Config:
    """All that one initiator is told when it starts."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int] | None
    seed: int
    sockets: int
    known: discovery.Listing | None
    settings: api.Settings
    zones: list[str]
    kinds: list[str]
    connect_timeout: float
    idle_limit: float


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


def parse_settings(nested: dict) -> api.Settings:
    """The settings object as the decision module knows it."""
    try:
        settings = wire.settings_of(dict(flatten(nested)))
    except (wire.WireError, ValueError, OverflowError) as error:
        raise ConfigError(f"settings: {error}") from error
    if not settings.classes or not settings.plans:
        raise ConfigError("settings: no classes or no plans (contracts)")
    return settings


def _address(text: object, name: str) -> tuple[str, int]:
    try:
        return discovery.parse_address(text)
    except ValueError as error:
        raise ConfigError(f"{name}: {error}") from error


def _seed(text: object) -> int:
    try:
        return int(str(text), 16)
    except ValueError as error:
        raise ConfigError(f"seed: not hexadecimal: {text!r}") from error


def _seconds(limits: object, key: str, default: float) -> float:
    value = limits.get(key) if isinstance(limits, dict) else None
    return value / SECOND if isinstance(value, int | float) and value > 0 else default


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


def from_platform(environment: Mapping[str, str]) -> Config:
    """Read PROXY_CONFIG; the other PROXY_ variables go before what it says."""
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    data = read_json(path)
    nested = data.get("settings")
    if not isinstance(nested, dict):
        raise ConfigError(f"{path}: no settings")
    listen = environment.get("PROXY_LISTEN") or data.get("listen")
    agent = environment.get("PROXY_DISCOVERY") or data.get("discovery")
    if not listen or not agent:
        raise ConfigError(f"{path}: no address to listen on, or none of discovery")
    try:
        known = discovery.listing(data["known"]) if data.get("known") else None
    except discovery.DiscoveryError as error:
        raise ConfigError(f"known: {error}") from error
    limits, most = nested.get("limits"), data.get("limits")
    sockets = most.get("sockets") if isinstance(most, dict) else None
    return Config(
        name=environment.get("PROXY_NAME") or str(data.get("name") or "stalltiller"),
        listen=_address(listen, "listen"), discovery=_address(agent, "discovery"),
        seed=_seed(data.get("seed") or "0"),
        sockets=sockets if isinstance(sockets, int) and sockets > 0 else 1024, known=known,
        settings=parse_settings(nested), zones=_names(nested.get("areas")), kinds=_names(nested.get("kinds")),
        connect_timeout=_seconds(limits, "connect-timeout-ns", 0.25),
        idle_limit=_seconds(limits, "conn-idle-ns", 30.0))
