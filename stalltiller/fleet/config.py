"""Parses the [fleet] section of an operator's configuration file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from stalltiller.fleet.member_table import Address
from stalltiller.fleet.swim_settings import SwimSettings

# Maps a key in the operator's file to the field of SwimSettings; both are in seconds.
DURATION_FIELDS = {
    "probe_every_s": "probe_interval_seconds",
    "probe_timeout_s": "probe_timeout_seconds",
    "gossip_every_s": "gossip_interval_seconds",
    "sync_every_s": "sync_interval_seconds",
    "rejoin_every_s": "rejoin_interval_seconds",
    "forget_after_s": "forget_after_seconds",
}
MIN_DURATION_SECONDS = 0.01  # shorter intervals would keep the event loop busy with membership traffic
MAX_DURATION_SECONDS = 3600


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """The settings of one member of a fleet."""

    fleet: str
    listen: Address  # bound for both UDP and TCP
    advertise: Address  # address at which the other members reach this one
    zone: str
    settings: SwimSettings
    # Whether members lend each other the budgets of warming targets; otherwise each estimates its own share.
    shares_budgets: bool = True
    clock_offset_seconds: float = 0.0  # added to the system clock, for tests


def _parse_address(text: object) -> Address:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"fleet: invalid address {text!r}, expected HOST:PORT")
    return host, int(port)


def _parse_durations(data: Mapping[str, Any]) -> dict[str, float]:
    durations = {key: float(data[key]) for key in DURATION_FIELDS if key in data}
    for key, duration in durations.items():
        if not MIN_DURATION_SECONDS <= duration <= MAX_DURATION_SECONDS:
            raise ValueError(
                f"fleet: {key} must be between {MIN_DURATION_SECONDS} and {MAX_DURATION_SECONDS} seconds"
            )
    return {DURATION_FIELDS[key]: duration for key, duration in durations.items()}


def fleet_config(data: Mapping[str, Any], zone: str) -> FleetConfig:
    """Parse the section; raises KeyError for a missing key and ValueError for an invalid value.

    `zone` is the default for a section without a zone.
    """
    listen = _parse_address(data["listen"])
    fields: dict[str, Any] = dict(_parse_durations(data))
    if "most_members" in data:
        fields["max_members"] = int(data["most_members"])
    settings = SwimSettings(seeds=tuple(map(_parse_address, data.get("seeds", []))), **fields)
    if settings.probe_timeout_seconds >= settings.probe_interval_seconds:
        raise ValueError("fleet: probe_timeout_s must be less than probe_every_s")
    return FleetConfig(
        fleet=str(data["name"]),
        listen=listen,
        advertise=_parse_address(data.get("advertise", data["listen"])),
        zone=str(data.get("zone", zone)),
        settings=settings,
        shares_budgets=bool(data.get("share", True)),
        clock_offset_seconds=float(data.get("clock_offset_s", 0.0)),
    )
