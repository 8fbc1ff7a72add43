"""Checks that the README's example runs and prints the expected action."""

from __future__ import annotations

import re
from pathlib import Path


def test_the_library_example_runs(capsys):
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {})
    assert re.search(
        r"^StartAttempt\(request_id=1, target_id=7, expires_at=0\.6\d*\)$", capsys.readouterr().out, re.M
    )
