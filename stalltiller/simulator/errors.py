"""Errors of the simulator's protocol."""

from __future__ import annotations


class WireError(Exception):
    """A frame or an option violates the simulator's protocol."""
