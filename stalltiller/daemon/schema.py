"""Validates an operator's file against its JSON Schema and finds the line of each violation."""

from __future__ import annotations

import re
from pathlib import Path
from typing import NamedTuple

import orjson
from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

SCHEMA_FILE = Path(__file__).with_name("operator.schema.json")
UNKNOWN_KEY_VALIDATOR = "additionalProperties"  # the JSON Schema keyword that rejects keys not listed
TABLE_PATTERN = re.compile(r"\s*(\[{1,2})\s*([^\[\]]+?)\s*\]{1,2}\s*(#.*)?$")
KEY_PATTERN = re.compile(r"\s*([A-Za-z0-9_-]+|\"[^\"]*\")\s*=")

KeyPath = tuple[str | int, ...]


class SchemaViolation(NamedTuple):
    """One violation of the schema, with its line in the file (from 1)."""

    line: int
    key: str | None  # dotted path; None: the whole file
    message: str


def find_lines(text: str) -> dict[KeyPath, int]:
    """Return the line (from 1) of each table and each key of a TOML text, by its path."""
    lines: dict[KeyPath, int] = {(): 1}
    table_counts: dict[KeyPath, int] = {}  # elements of each array of tables so far
    table_path: KeyPath = ()
    for number, line in enumerate(text.splitlines(), 1):
        table = TABLE_PATTERN.match(line)
        key = KEY_PATTERN.match(line)
        if table is not None:
            table_path = ()
            names = [name.strip().strip('"') for name in table[2].split(".")]
            for index, name in enumerate(names):
                table_path += (name,)
                if index == len(names) - 1 and table[1] == "[[":
                    table_counts[table_path] = table_counts.get(table_path, 0) + 1
                    lines.setdefault(table_path, number)
                if table_path in table_counts:
                    table_path += (table_counts[table_path] - 1,)
            lines[table_path] = number
        elif key is not None:
            lines.setdefault((*table_path, key[1].strip('"')), number)
    return lines


def first_violation(data: dict, text: str) -> SchemaViolation | None:
    """Return the violation with the lowest line number, or None if the file is valid."""
    lines = find_lines(text)
    validator = Draft202012Validator(orjson.loads(SCHEMA_FILE.read_bytes()))
    violations = [_to_violation(error, lines) for error in validator.iter_errors(data)]
    if not violations:
        return None
    return min(violations, key=lambda violation: (violation.line, violation.key or "", violation.message))


def _to_violation(error: ValidationError, lines: dict[KeyPath, int]) -> SchemaViolation:
    path = tuple(error.absolute_path)
    if error.validator == UNKNOWN_KEY_VALIDATOR:  # report the unknown key, not the table that contains it
        unknown_keys = sorted(set(error.instance) - set(error.schema["properties"]))
        path += (unknown_keys[0],)
    known_path = path
    while known_path not in lines:
        known_path = known_path[:-1]
    return SchemaViolation(lines[known_path], ".".join(map(str, path)) or None, error.message)
