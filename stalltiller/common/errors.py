"""The base class of the package's own exceptions."""

from __future__ import annotations


class StalltillerError(Exception):
    """An error with a one-line message for operators and the place of its cause.

    `key` is the invalid setting or field, and `path` the file that contains it; each is None if unknown.
    """

    def __init__(self, message: str, *, key: str | None = None, path: str | None = None) -> None:
        super().__init__(message)
        self.key = key
        self.path = path
