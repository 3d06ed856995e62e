"""The chart of a result: for each axis what its figures are of their limits, by size."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from benchmarks.scale.points import AXES, LIMITS


def draw(result: dict[str, Any], path: Path) -> None:
    """Write it as PNG. A line over 1 has passed its limit."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = [row for row in result["points"] if row.get("ratios") and row["axis"] in AXES]
    axes = [name for name in AXES if any(row["axis"] == name for row in rows)]
    if not axes:
        return
    figure, places = pyplot.subplots(2, (len(axes) + 1) // 2, figsize=(15, 9), squeeze=False, sharey=True)
    colours = pyplot.colormaps["tab20"].colors
    for place, name in zip(places.flat, axes, strict=False):
        mine = sorted((row for row in rows if row["axis"] == name), key=lambda row: row["value"])
        for colour, limit in zip(colours, LIMITS, strict=False):
            seen = [(row["value"], row["ratios"][limit]) for row in mine if row["ratios"].get(limit, 0) > 0]
            if seen:
                place.plot(*zip(*seen, strict=True), marker="o", color=colour, label=limit)
        place.axhline(1.0, color="black", linewidth=1.5)
        place.set(
            xscale="log",
            yscale="log",
            xlabel=name,
            xticks=[row["value"] for row in mine],
            xticklabels=[f"{row['value']:g}" for row in mine],
        )
        place.minorticks_off()
        place.grid(alpha=0.3)
    for row in places:
        row[0].set_ylabel("of the limit")
    for place in list(places.flat)[len(axes) :]:
        place.axis("off")
    handles, labels = places.flat[0].get_legend_handles_labels()
    figure.legend(handles, labels, loc="lower center", ncols=6)
    figure.suptitle(f"of its limit, by size; all else {result['base']}; seed {result['seed']}", fontsize=10)
    figure.tight_layout(rect=(0, 0.08, 1, 0.98))
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
