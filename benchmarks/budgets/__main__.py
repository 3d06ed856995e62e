"""`python -m benchmarks.budgets --trials N --seed S --gatekeepers G`: budgets that are never passed, by real
processes.

Each trial starts a tier that wants twice of each whole at every gatekeeper, plays hard cases and faults drawn
from its seed, and adds up what all processes spent, stopped and killed ones too, on the machine's one clock.
Exit code 0: all promises held; 1: one was broken, or the planted bug was found in every trial; 2: usage, or a
planted bug that was not found."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from dataclasses import asdict
from pathlib import Path
from typing import Any

from benchmarks.budgets.plants import PLANTS
from benchmarks.budgets.trial import BACK_S, BUDGETS, Outcome, run
from benchmarks.trials import outcomes, parser, quantile


def summary(played: list[Outcome]) -> dict[str, Any]:
    """All trials together."""
    back = [value for one in played for value in one.back_s]
    return {
        "trials": len(played),
        "broken": sum(bool(one.broken) for one in played),
        "over": sum(len(one.over) for one in played),
        "late": sum(bool(one.late) for one in played),
        "spent": sum(one.spent for one in played),
        "used": {
            budget["name"]: round(
                sum(one.used.get(budget["name"], 0.0) for one in played) / max(1, len(played)), 3
            )
            for budget in BUDGETS
        },
        "back_s": {
            "count": len(back),
            "bound": round(BACK_S, 2),
            "p50": round(quantile(back, 0.5), 2),
            "p99": round(quantile(back, 0.99), 2),
            "max": round(max(back, default=float("nan")), 2),
        },
    }


def told(files: list[Path]) -> Iterator[Outcome]:
    """What trials that were played before left, each seed and size once."""
    seen: set[tuple[int, int]] = set()
    for path in files:
        for line in path.read_text(encoding="utf-8").splitlines():
            one = Outcome(**json.loads(line))
            if (one.seed, one.gatekeepers) not in seen:
                seen.add((one.seed, one.gatekeepers))
                yield one


def main() -> int:
    flags = parser("benchmarks.budgets", __doc__, PLANTS)
    flags.add_argument("--log", type=Path, metavar="FILE", help="a line of JSON for each trial, as it ends")
    flags.add_argument("--sum", type=Path, nargs="+", metavar="FILE", help="sum up such files, play nothing")
    flags.add_argument("--keep", type=Path, metavar="DIR", help="the records of broken trials go there")
    given = flags.parse_args()
    if given.plants:
        print("\n".join(sorted(PLANTS)))
        return 0
    played: list[Outcome] = []
    for one in told(given.sum) if given.sum else outcomes(given, run, given.plant or ""):
        played.append(one)
        if given.log:
            with open(given.log, "a", encoding="utf-8") as file:
                file.write(json.dumps({**asdict(one), "records": []}) + "\n")
        if one.broken and given.keep:
            given.keep.mkdir(parents=True, exist_ok=True)
            (given.keep / f"{one.seed}-{one.gatekeepers}.json").write_text(json.dumps(one.records))
        for line in one.broken:
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
        return 1 if sum(bool(one.over) for one in played) == len(played) else 2
    return 1 if whole["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
