"""Encoders of metrics: Graphite's plaintext protocol and collectd's binary network protocol."""

from __future__ import annotations

import re
import struct
from collections.abc import Mapping

MAX_PACKET = 1452  # bytes: collectd's own default, under an Ethernet frame
HOST, TIME, PLUGIN, PLUGIN_INSTANCE, TYPE, TYPE_INSTANCE, VALUES, INTERVAL = range(8)
GAUGE, DERIVE = 1, 2


def graphite_lines(instance: str, sample: Mapping[str, float], now: float) -> bytes:
    """One line a figure: path, value and Unix time."""
    base = "stalltiller." + re.sub(r"[^A-Za-z0-9_-]", "_", instance)
    return "".join(f"{base}.{name} {value:g} {int(now)}\n" for name, value in sample.items()).encode()


def _text(kind: int, text: str) -> bytes:
    data = text.encode()[:63] + b"\0"
    return struct.pack(">HH", kind, 4 + len(data)) + data


def _number(kind: int, value: int) -> bytes:
    return struct.pack(">HHQ", kind, 12, value)


def _value(name: str, value: float, gauge: bool) -> bytes:
    coded = struct.pack("<d", value) if gauge else struct.pack(">q", int(value))
    return (
        _text(TYPE, "gauge" if gauge else "derive")
        + _text(TYPE_INSTANCE, name)
        + struct.pack(">HHHB", VALUES, 4 + 2 + 9, 1, GAUGE if gauge else DERIVE)
        + coded
    )


def collectd_packets(
    instance: str, sample: Mapping[str, float], gauges: frozenset[str], now: float, interval: float
) -> list[bytes]:
    """Packets no longer than MAX_PACKET, each whole in itself."""
    head = (
        _text(HOST, instance)
        + _number(TIME, int(now))
        + _number(INTERVAL, max(1, round(interval)))
        + _text(PLUGIN, "stalltiller")
        + _text(PLUGIN_INSTANCE, instance)
    )
    packets = [head]
    for name, value in sample.items():
        part = _value(name, value, name in gauges)
        if len(packets[-1]) + len(part) > MAX_PACKET:
            packets.append(head)
        packets[-1] += part
    return packets
