"""The error of the simulator's protocol."""

from __future__ import annotations


class WireError(Exception):
    """A frame or an option that does not follow the simulator's protocol."""
