"""The base of the package's own exceptions; it has no state and prints nothing."""

from __future__ import annotations


class StalltillerError(Exception):
    """An error with one plain line of text for operators, and what it is about.

    `key` is the setting or field at fault, and `path` the file that it stands in; each is None if unknown.
    """

    def __init__(self, message: str, *, key: str | None = None, path: str | None = None) -> None:
        super().__init__(message)
        self.key = key
        self.path = path
