"""Plots the counts that `bench.mass_restart --series FILE` wrote: `python -m bench.plots FILE PICTURE`.

There is one column for each configuration.  Its rows show rates from 4 s before the restart on: reads
requested and served in time, target list calls, new connections, and requests sent to targets.
"""

from __future__ import annotations

import argparse
import json
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

ROWS = (
    ("reads per second", ("asked", "served")),
    ("target list calls per second", ("list_calls",)),
    ("new connections per second", ("connections",)),
    ("requests to targets per second", ("sends",)),
)
TITLES = {
    "on": "snapshots, paced",
    "no_ramp": "snapshots",
    "off": "no snapshots, not paced",
    "cold": "state lost, paced",
    "cold_no_ramp": "state lost",
}
COLUMN_WIDTH_INCHES = 3.2
ROW_HEIGHT_INCHES = 2.2


def plot(results: list[dict], picture: Path) -> None:
    """Plot the series of all configurations and save the image."""
    figure, axes = pyplot.subplots(
        len(ROWS),
        len(results),
        sharex=True,
        sharey="row",
        squeeze=False,
        figsize=(COLUMN_WIDTH_INCHES * len(results), ROW_HEIGHT_INCHES * len(ROWS)),
    )
    for column, result in enumerate(results):
        for row, (title, series_names) in enumerate(ROWS):
            plot_series(axes[row][column], result, series_names)
            if column == 0:
                axes[row][column].set_ylabel(title, fontsize=8)
            if len(series_names) > 1 and column == 0:
                axes[row][column].legend(fontsize=7)
        axes[0][column].set_title(TITLES.get(result["way"], result["way"]), fontsize=9)
        axes[-1][column].set_xlabel("seconds since the restart", fontsize=8)
    figure.tight_layout()
    figure.savefig(picture, dpi=90)


def plot_series(axis: pyplot.Axes, result: dict, series_names: tuple[str, ...]) -> None:
    """Plot the named series of one configuration."""
    for name in series_names:
        axis.step(result["at"], result[name], where="post", label=name, linewidth=1.0)
    axis.axvline(0.0, color="grey", linewidth=0.6)
    axis.grid(alpha=0.3)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("series", type=Path)
    parser.add_argument("picture", type=Path)
    options = parser.parse_args()
    plot([json.loads(line) for line in options.series.read_text().splitlines()], options.picture)


if __name__ == "__main__":
    main()
