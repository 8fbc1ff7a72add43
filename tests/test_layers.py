"""Checks that each layer imports only the layers below it."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "stalltiller"
PACKAGE_PREFIX = "stalltiller."
INTERFACE_PACKAGE = "scheduling"  # re-exports its modules settings, targets, events and actions
INTERFACE_MODULES = {"settings", "targets", "events", "actions"}
SPLIT_PACKAGES = ("scheduling", "simulator")  # packages in which each module is a layer
SCHEDULING_LAYERS = (
    INTERFACE_PACKAGE,
    "scheduling.scheduler",
    "scheduling.admission",
    "scheduling.target_load",
    "scheduling.state",
    "scheduling.contention",
)
ALLOWED_IMPORTS = {  # layers that a layer may import besides itself
    "transport": (),
    "common": (),
    "scheduling": ("common",),
    "protocol": (INTERFACE_PACKAGE,),
    "routing": SCHEDULING_LAYERS,
    "adapters": (*SCHEDULING_LAYERS, "transport", "protocol", "routing"),
    "leases": (),
    "fleet": ("transport",),
    "recovery": (*SCHEDULING_LAYERS, "common", "protocol"),
    "daemon": (
        *SCHEDULING_LAYERS,
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
    """Return the layer of a module below `stalltiller`: its package, or in split packages the module."""
    package, _, submodule = module.partition(".")
    if (
        package not in SPLIT_PACKAGES
        or not submodule
        or (package == INTERFACE_PACKAGE and submodule in INTERFACE_MODULES)
    ):
        return package
    return f"{package}.{submodule.partition('.')[0]}"


def imported_modules(path: Path) -> set[str]:
    """Return the modules below `stalltiller` that a file imports, or imports names from."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom):
            submodules = {f"{node.module}.{name.name}" for name in node.names}
            found |= {name for name in submodules if is_module(name)} or {node.module}
    return {name.removeprefix(PACKAGE_PREFIX) for name in found if name.startswith(PACKAGE_PREFIX)}


def is_module(name: str) -> bool:
    path = ROOT.parent / name.replace(".", "/")
    return path.with_suffix(".py").exists() or path.is_dir()


@pytest.mark.parametrize("layer", ALLOWED_IMPORTS)
def test_a_layer_imports_only_from_below(layer):
    files = list((ROOT / layer).glob("*.py"))
    assert files
    for path in files:
        others = {name for name in imported_modules(path) if name.partition(".")[0] != layer}
        assert {layer_of(name) for name in others} <= set(ALLOWED_IMPORTS[layer]), path
