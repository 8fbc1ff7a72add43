"""Draws what `bench.mass_restart --series FILE` has counted: `python -m bench.plots FILE PICTURE`.

One column a way, under each other the reads asked for and served in time, the list calls, the new connections
and the sends to targets, a second each, from 4 s before the restart on.
"""

from __future__ import annotations

import argparse
import json
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

ROWS = (
    ("reads a second", ("asked", "served")),
    ("list calls a second", ("list_calls",)),
    ("new connections a second", ("connections",)),
    ("sends to targets a second", ("sends",)),
)
TITLES = {
    "on": "state kept, paced",
    "no_ramp": "state kept",
    "off": "neither",
    "cold": "all lost, paced",
    "cold_no_ramp": "all lost",
}


def draw(lines: list[dict], picture: Path) -> None:
    """One picture of all ways."""
    figure, axes = pyplot.subplots(
        len(ROWS),
        len(lines),
        sharex=True,
        sharey="row",
        squeeze=False,
        figsize=(3.2 * len(lines), 2.2 * len(ROWS)),
    )
    for column, line in enumerate(lines):
        for row, (title, names) in enumerate(ROWS):
            place = axes[row][column]
            for name in names:
                place.step(line["at"], line[name], where="post", label=name, linewidth=1.0)
            place.axvline(0.0, color="grey", linewidth=0.6)
            place.grid(alpha=0.3)
            if column == 0:
                place.set_ylabel(title, fontsize=8)
            if len(names) > 1 and column == 0:
                place.legend(fontsize=7)
        axes[0][column].set_title(TITLES.get(line["way"], line["way"]), fontsize=9)
        axes[-1][column].set_xlabel("s since the restart", fontsize=8)
    figure.tight_layout()
    figure.savefig(picture, dpi=90)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("series", type=Path)
    parser.add_argument("picture", type=Path)
    options = parser.parse_args()
    draw([json.loads(line) for line in options.series.read_text().splitlines()], options.picture)


if __name__ == "__main__":
    main()
