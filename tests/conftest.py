"""Known failures: KNOWN-RED.txt names tests that fail for a real fault that is not mended yet.

A run passes over these alone, and prints them.  A line that names no test, or a fourth, fails a whole run.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


@dataclass(frozen=True)
class Known:
    """One line of the list: `test | cause | issue`."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[Known]:
    found = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{LIST.name}: not `test | cause | issue`: {line}")
        found.append(Known(*parts))
    if len(found) > MOST:
        raise pytest.UsageError(f"{LIST.name}: {len(found)} lines, {MOST} allowed")
    return found


def missing(known: list[Known], nodes: list[str]) -> list[str]:
    """The tests listed that are not there; a test's name stands for all its cases."""
    return [
        line.test
        for line in known
        if not any(node == line.test or node.startswith(f"{line.test}[") for node in nodes)
    ]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = config.known_red = parse(LIST.read_text()) if LIST.exists() else []
    whole = not config.option.keyword and config.args == config.getini("testpaths")
    if whole and (lost := missing(known, [item.nodeid for item in items])):
        raise pytest.UsageError(f"{LIST.name} names what is no test: {', '.join(lost)}")
    for item in items:
        for line in known:
            if not missing([line], [item.nodeid]):
                item.add_marker(pytest.mark.xfail(reason=f"known red: {line.cause} ({line.issue})"))


def pytest_terminal_summary(terminalreporter) -> None:
    known = getattr(terminalreporter.config, "known_red", [])
    for outcome, text in (("xfailed", "still fails"), ("xpassed", "PASSES NOW: take it off the list")):
        for report in terminalreporter.stats.get(outcome, []):
            if any(not missing([line], [report.nodeid]) for line in known):
                terminalreporter.write_line(f"{LIST.name}: {report.nodeid}: {text}")
