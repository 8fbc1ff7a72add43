"""Checks an operator's file against its JSON Schema and names the line of what is wrong."""

from __future__ import annotations

import re
from pathlib import Path

import orjson
from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

SCHEMA = Path(__file__).with_name("operator.schema.json")
TABLE = re.compile(r"\s*(\[{1,2})\s*([^\[\]]+?)\s*\]{1,2}\s*(#.*)?$")
KEY = re.compile(r"\s*([A-Za-z0-9_-]+|\"[^\"]*\")\s*=")


def lines_of(text: str) -> dict[tuple[str | int, ...], int]:
    """The line (from 1) on which each table and each key of a TOML text stands, by its path."""
    found: dict[tuple[str | int, ...], int] = {(): 1}
    counts: dict[tuple[str | int, ...], int] = {}  # elements of each array of tables so far
    at: tuple[str | int, ...] = ()
    for number, line in enumerate(text.splitlines(), 1):
        table, key = TABLE.match(line), KEY.match(line)
        if table is not None:
            at = ()
            names = [name.strip().strip('"') for name in table[2].split(".")]
            for i, name in enumerate(names):
                at += (name,)
                if i == len(names) - 1 and table[1] == "[[":
                    counts[at] = counts.get(at, 0) + 1
                    found.setdefault(at, number)
                if at in counts:
                    at += (counts[at] - 1,)
            found[at] = number
        elif key is not None:
            found.setdefault((*at, key[1].strip('"')), number)
    return found


def first_error(data: dict, text: str) -> str | None:
    """The first thing wrong with a file, by its lines: `LINE: path: what`; None if it is good."""
    lines = lines_of(text)

    def place(error: ValidationError) -> tuple[int, str]:
        path = tuple(error.absolute_path)
        if error.validator == "additionalProperties":  # the key that is too many, not the table around it
            extra = sorted(set(error.instance) - set(error.schema["properties"]))
            path += (extra[0],)
        known = path
        while known not in lines:
            known = known[:-1]
        return lines[known], ".".join(map(str, path))

    errors = sorted(
        (place(error), error.message)
        for error in Draft202012Validator(orjson.loads(SCHEMA.read_bytes())).iter_errors(data)
    )
    if not errors:
        return None
    (line, path), message = errors[0]
    return f"{line}: {path}: {message}" if path else f"{line}: {message}"
