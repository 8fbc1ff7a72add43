"""Encoders of metrics: Graphite's plaintext protocol and collectd's binary network protocol.

A collectd packet is a sequence of parts, each with a type, a length and a value.  Numbers are big-endian, but
a gauge's value is little-endian.  A value part belongs to the host, plugin and type parts before it.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Mapping

MAX_PACKET_BYTES = 1452  # collectd's default packet size, which fits into an Ethernet frame
MAX_TEXT_BYTES = 63  # collectd stores names in 64 bytes, including the terminating zero

# Part types of collectd's binary protocol.
HOST = 0
TIME = 1
PLUGIN = 2
PLUGIN_INSTANCE = 3
TYPE = 4
TYPE_INSTANCE = 5
VALUES = 6
INTERVAL = 7

# Kinds of a value in a VALUES part.
GAUGE = 1
DERIVE = 2

PART_HEADER = struct.Struct(">HH")  # type, length with the header
NUMBER_PART = struct.Struct(">HHQ")
VALUE_PART_HEADER = struct.Struct(">HHHB")  # type, length, number of values, kind of the one value
GAUGE_VALUE = struct.Struct("<d")
DERIVE_VALUE = struct.Struct(">q")


def graphite_lines(instance: str, sample: Mapping[str, float], now: float) -> bytes:
    """Encode a sample as one line per metric: path, value and Unix time."""
    base = "stalltiller." + re.sub(r"[^A-Za-z0-9_-]", "_", instance)
    return "".join(f"{base}.{name} {value:g} {int(now)}\n" for name, value in sample.items()).encode()


def _text_part(part_type: int, text: str) -> bytes:
    data = text.encode()[:MAX_TEXT_BYTES] + b"\0"
    return PART_HEADER.pack(part_type, PART_HEADER.size + len(data)) + data


def _number_part(part_type: int, value: int) -> bytes:
    return NUMBER_PART.pack(part_type, NUMBER_PART.size, value)


def _value_parts(name: str, value: float, is_gauge: bool) -> bytes:
    kind = GAUGE if is_gauge else DERIVE
    encoded = GAUGE_VALUE.pack(value) if is_gauge else DERIVE_VALUE.pack(int(value))
    return (
        _text_part(TYPE, "gauge" if is_gauge else "derive")
        + _text_part(TYPE_INSTANCE, name)
        + VALUE_PART_HEADER.pack(VALUES, VALUE_PART_HEADER.size + len(encoded), 1, kind)
        + encoded
    )


def collectd_packets(
    instance: str, sample: Mapping[str, float], gauges: frozenset[str], now: float, interval: float
) -> list[bytes]:
    """Encode a sample as packets of at most MAX_PACKET_BYTES bytes that can be decoded independently.

    Metrics named in `gauges` are gauges, the others are counters (derive); `interval` is in seconds.
    """
    header = (
        _text_part(HOST, instance)
        + _number_part(TIME, int(now))
        + _number_part(INTERVAL, max(1, round(interval)))
        + _text_part(PLUGIN, "stalltiller")
        + _text_part(PLUGIN_INSTANCE, instance)
    )
    packets = [header]
    for name, value in sample.items():
        encoded = _value_parts(name, value, name in gauges)
        if len(packets[-1]) + len(encoded) > MAX_PACKET_BYTES:
            packets.append(header)
        packets[-1] += encoded
    return packets
