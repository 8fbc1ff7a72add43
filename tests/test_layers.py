"""Imports point downward only."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "stalltiller"
OWN = "stalltiller."
DECISIONS = ("interface", "logic", "crowd")
MAY = {  # what a layer may import besides itself
    "transport": (),
    "protocol": ("interface",),
    "routing": DECISIONS,
    "fronts": (*DECISIONS, "transport", "protocol", "routing"),
    "leases": (),
    "fleet": ("transport",),
    "recovery": (*DECISIONS, "protocol"),
    "program": (
        *DECISIONS,
        "wire",
        "transport",
        "protocol",
        "routing",
        "fronts",
        "fleet",
        "recovery",
        "leases",
    ),
}


def imports(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module == "stalltiller":
            found |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module.startswith(OWN):
            found.add(node.module.removeprefix(OWN).split(".")[0])
    return found


@pytest.mark.parametrize("layer", MAY)
def test_a_layer_imports_only_from_below(layer):
    files = list((ROOT / layer).glob("*.py"))
    assert files
    for path in files:
        assert imports(path) <= {layer, *MAY[layer]}, path
