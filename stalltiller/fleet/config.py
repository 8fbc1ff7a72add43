"""The [fleet] section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from stalltiller.fleet.member_table import Address
from stalltiller.fleet.swim import Settings

TIMES = ("probe_every", "probe_timeout", "gossip_every", "sync_every", "rejoin_every", "forget_after")


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """What one member is told of its fleet."""

    fleet: str
    listen: Address  # UDP and TCP
    advertise: Address  # where the others reach this one
    zone: str
    settings: Settings
    share: bool = True  # budgets of cold targets by need; False: by each one's guess of the others
    clock_offset: float = 0.0  # s added to the machine's clock, for tests


def _address(text: object) -> Address:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"fleet: not an address: {text!r}")
    return host, int(port)


def fleet_config(data: dict, zone: str) -> FleetConfig:
    """Read the section; raises ValueError or KeyError naming what is wrong.  Times are in seconds."""
    listen = _address(data["listen"])
    times = {name: float(data[name + "_s"]) for name in TIMES if name + "_s" in data}
    for name, value in times.items():
        if not 0.01 <= value <= 3600:
            raise ValueError(f"fleet: {name}_s must lie between 0.01 and 3600")
    settings = Settings(
        seeds=tuple(map(_address, data.get("seeds", []))),
        **times,
        most_members=int(data.get("most_members", Settings().most_members)),
    )
    if settings.probe_timeout >= settings.probe_every:
        raise ValueError("fleet: probe_timeout_s must be under probe_every_s")
    return FleetConfig(
        str(data["name"]),
        listen,
        _address(data.get("advertise", data["listen"])),
        str(data.get("zone", zone)),
        settings,
        bool(data.get("share", True)),
        float(data.get("clock_offset_s", 0.0)),
    )
