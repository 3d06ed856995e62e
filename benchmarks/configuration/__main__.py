"""`python -m benchmarks.configuration --trials N --seed S --gatekeepers G`: settings by versions, by real
processes.

Each trial starts gatekeepers and two services, publishes good and bad versions while services and
gatekeepers are killed, stopped and cut off and a relay drops, delays, doubles, alters and reorders answers,
and judges the records of all processes. Exit code 0: all promises held; 1: one was broken, or the planted
bug was found in every trial; 2: usage, or a planted bug that was not found."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

from benchmarks.configuration.plants import PLANTS
from benchmarks.configuration.trial import Outcome, run
from benchmarks.trials import outcomes, parser, quantile


def summary(played: list[Outcome]) -> dict[str, Any]:
    """All trials together."""
    last = [value for one in played for value in one.last_ms]
    return {
        "trials": len(played),
        "broken": sum(bool(one.broken) for one in played),
        "versions": sum(one.versions for one in played),
        "bad_versions": sum(one.bad for one in played),
        "put_in_force": sum(one.forced for one in played),
        "most_calls_a_second": max((one.asked for one in played), default=0),
        "last_in_force_ms": {
            "count": len(last),
            "p50": quantile(last, 0.5),
            "p99": quantile(last, 0.99),
            "max": max(last, default=float("nan")),
        },
    }


def main() -> int:
    flags = parser("benchmarks.configuration", __doc__, PLANTS)
    flags.set_defaults(cases=0)
    flags.add_argument("--log", type=Path, metavar="FILE", help="a line of JSON for each trial, as it ends")
    given = flags.parse_args()
    if given.plants:
        print("\n".join(sorted(PLANTS)))
        return 0
    played: list[Outcome] = []
    for one in outcomes(given, run, given.plant or ""):
        played.append(one)
        if given.log:
            with open(given.log, "a", encoding="utf-8") as file:
                file.write(json.dumps(asdict(one)) + "\n")
        for line in one.broken[:3]:
            print(f"seed {one.seed}, {one.gatekeepers} gatekeepers: {line}", file=sys.stderr, flush=True)
        for line in one.events if not given.plant else ():
            print(f"    {line}", file=sys.stderr, flush=True)
    whole = summary(played)
    lines = [f"{key:>20}  {value}" for key, value in whole.items()]
    print(json.dumps(whole) if given.json else "\n".join(lines))
    if given.plant:
        found = sum(bool(one.broken) for one in played)
        print(f"planted {given.plant}: found in {found} of {len(played)}")
        return 1 if found == len(played) else 2
    return 1 if whole["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
