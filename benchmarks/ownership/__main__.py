"""`python -m benchmarks.ownership --trials N --seed S --gatekeepers G`: one owner at a time, by real
processes.

Each trial starts a tier, plays hard cases and faults drawn from its seed, and judges the records of all
processes and of the receiver on the machine's one clock. Exit code 0: all promises held; 1: one was
broken, or the planted bug was found in every trial; 2: usage, or a planted bug that was not found."""

from __future__ import annotations

import json
import sys
from typing import Any

from benchmarks.ownership.plants import PLANTS, WITHOUT
from benchmarks.ownership.trial import BOUND_TERMS, Outcome, run
from benchmarks.trials import outcomes, parser, quantile


def summary(played: list[Outcome]) -> dict[str, Any]:
    """All trials together."""
    resumed = [value for one in played for value in one.resumed]
    total = {
        key: sum(getattr(one.judged, key) for one in played) for key in ("taken", "fenced", "again", "owners")
    }
    return {
        "trials": len(played),
        "broken": sum(bool(one.broken) for one in played),
        "overlaps": sum(len(one.judged.overlaps) for one in played),
        "out_of_order": sum(len(one.judged.out_of_order) for one in played),
        "doubles": sum(len(one.judged.doubles) for one in played),
        "late": sum(len(one.judged.late) for one in played),
        "stalled": sum(bool(one.stalled) for one in played),
        **total,
        "resumed": {
            "count": len(resumed),
            "bound_terms": BOUND_TERMS,
            "p50": round(quantile(resumed, 0.5), 3),
            "p99": round(quantile(resumed, 0.99), 3),
            "max": round(max(resumed, default=float("nan")), 3),
        },
    }


def main() -> int:
    flags = parser("benchmarks.ownership", __doc__, PLANTS)
    flags.add_argument("--without", choices=["fences", *WITHOUT], help="without these, to show what they do")
    given = flags.parse_args()
    if given.plants:
        print("\n".join(sorted(PLANTS)))
        return 0
    plant = given.plant or (f"without-{given.without}" if given.without in WITHOUT else "")
    played: list[Outcome] = []
    for one in outcomes(given, run, plant, given.without != "fences"):
        played.append(one)
        for line in one.broken[:3]:
            print(
                f"seed {one.seed}, {one.gatekeepers} gatekeepers, {' '.join(one.cases)}: {line}",
                file=sys.stderr,
                flush=True,
            )
    whole = summary(played)
    if given.json:
        print(json.dumps(whole))
    else:
        print("\n".join(f"{key:>14}  {value}" for key, value in whole.items()))
    if given.plant:
        return 1 if whole["broken"] == len(played) else 2
    return 1 if whole["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
