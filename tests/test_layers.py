"""Imports point downward only."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "stalltiller"
OWN = "stalltiller."
INTERFACE = "scheduling"  # settings, targets, events and actions, which the package re-exports
INTERFACE_MODULES = {"settings", "targets", "events", "actions"}
SPLIT = ("scheduling", "simulator")  # packages whose modules are layers of their own
DECISIONS = (
    INTERFACE,
    "scheduling.scheduler",
    "scheduling.admission",
    "scheduling.target_load",
    "scheduling.state",
    "scheduling.contention",
)
MAY = {  # what a layer may import besides itself
    "transport": (),
    "common": (),
    "scheduling": ("common",),
    "protocol": (INTERFACE,),
    "routing": DECISIONS,
    "adapters": (*DECISIONS, "transport", "protocol", "routing"),
    "leases": (),
    "fleet": ("transport",),
    "recovery": (*DECISIONS, "common", "protocol"),
    "daemon": (
        *DECISIONS,
        "common",
        "simulator.codec",
        "transport",
        "protocol",
        "routing",
        "adapters",
        "fleet",
        "recovery",
        "leases",
    ),
}


def layer_of(module: str) -> str:
    """The layer of a module below `stalltiller`: its package, or for split packages the module itself."""
    package, _, submodule = module.partition(".")
    if package not in SPLIT or not submodule or (package == INTERFACE and submodule in INTERFACE_MODULES):
        return package
    return f"{package}.{submodule.partition('.')[0]}"


def imported_modules(path: Path) -> set[str]:
    """The modules below `stalltiller` that a file imports, or imports names from."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom):
            submodules = {f"{node.module}.{name.name}" for name in node.names}
            found |= {name for name in submodules if is_module(name)} or {node.module}
    return {name.removeprefix(OWN) for name in found if name.startswith(OWN)}


def is_module(name: str) -> bool:
    path = ROOT.parent / name.replace(".", "/")
    return path.with_suffix(".py").exists() or path.is_dir()


@pytest.mark.parametrize("layer", MAY)
def test_a_layer_imports_only_from_below(layer):
    files = list((ROOT / layer).glob("*.py"))
    assert files
    for path in files:
        others = {name for name in imported_modules(path) if name.partition(".")[0] != layer}
        assert {layer_of(name) for name in others} <= set(MAY[layer]), path
