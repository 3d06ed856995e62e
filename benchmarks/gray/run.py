"""The study of gray failures: every failure at every load, every rule beside the others, from the same seeds.

    python -m benchmarks.gray.run [--seeds 2] [--jobs 8] [--gateways 3] [--servers 9] [--loads 0.4 0.6 0.8
    1.0] [--only TEXT] [--full] [--thin]

Prints a row for each failure (the mean over loads and seeds, service in time of 1), then for each rule the
mean and the worst row, wrong refusals (refused while under nine tenths of the cores were busy), attempts
that wait at a server on average, further attempts for each first one. `--full` prints a row for each load
too. `--thin` plays nine failures at 30 and 100 gateways that keep their quotas in threes and talk, at 0.6
and 0.8: about one to three requests a second each.
"""

from __future__ import annotations

import argparse
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from statistics import mean

from benchmarks.gray.rules import RULES
from benchmarks.gray.world import Failure, World

PLACES = ("everywhere", "server", "hall", "class")
FAMILY = [Failure()]
FAMILY += [Failure("swallow", where, share) for where in PLACES for share in (0.01, 0.05, 0.1, 0.3)]
FAMILY += [Failure(kind, where) for kind in ("half-speed", "freeze") for where in ("server", "everywhere")]
FAMILY += [Failure("late", "server"), Failure("late", "class")]
FAMILY += [Failure(kind, where) for kind in ("unread", "fast-error") for where in ("server", "hall")]
FAMILY += [Failure("release", "everywhere", 0.2)]  # what `hunt` found to cost most
THIN = [
    Failure(),
    Failure("swallow", "everywhere", 0.05),
    Failure("swallow", "everywhere", 0.3),
    Failure("swallow", "server", 0.3),
    Failure("half-speed", "server"),
    Failure("unread", "server"),
    Failure("unread", "hall"),
    Failure("fast-error", "server"),
    Failure("liar", "hall"),
]
THIN_GATEWAYS, THIN_LOADS, THIN_SPREAD = (30, 100), (0.6, 0.8), 3


def one(case: tuple[str, Failure, float, int, int, int, int]) -> dict[str, float]:
    """A single run."""
    rule, failure, load, gateways, servers, seed, spread = case
    return World(RULES[rule], failure, load, gateways, servers, seed, spread).play()


def main() -> None:
    """Print the tables."""
    flags = argparse.ArgumentParser(description=__doc__)
    flags.add_argument("--seeds", type=int, default=2)
    flags.add_argument("--jobs", type=int, default=8)
    flags.add_argument("--gateways", type=int, default=3)
    flags.add_argument("--servers", type=int, default=9)
    flags.add_argument("--loads", type=float, nargs="*", default=[0.4, 0.6, 0.8, 1.0])
    flags.add_argument("--rules", nargs="*", default=list(RULES))
    flags.add_argument("--only", default="")
    flags.add_argument("--full", action="store_true")
    flags.add_argument("--thin", action="store_true")
    given = flags.parse_args()
    counts = THIN_GATEWAYS if given.thin else (given.gateways,)
    cases = [
        (rule, failure, load, gateways, given.servers, seed, THIN_SPREAD if given.thin else 1)
        for gateways in counts
        for failure in (THIN if given.thin else FAMILY)
        if given.only in str(failure)
        for load in (THIN_LOADS if given.thin else given.loads)
        for seed in range(1, given.seeds + 1)
        for rule in given.rules
    ]
    with ProcessPoolExecutor(given.jobs) as pool:
        results = list(pool.map(one, cases, chunksize=2))
    table: defaultdict[tuple[str, ...], defaultdict[str, list[dict[str, float]]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for case, result in zip(cases, results, strict=True):
        key = (str(case[1]),) + ((f"{case[2]:g}",) if given.full else ())
        key += (f"{case[3]} gateways",) if given.thin else ()
        table[key][case[0]].append(result)
    print("| failure | " + " | ".join(given.rules) + " |\n|" + " --- |" * (len(given.rules) + 1))
    rows: defaultdict[str, list[float]] = defaultdict(list)
    for key, by_rule in table.items():
        cells = []
        for rule in given.rules:
            service = mean(result["service"] for result in by_rule[rule])
            rows[rule].append(service)
            cells.append(f"{service:.3f}")
        print(f"| {' at '.join(key)} | " + " | ".join(cells) + " |")
    print("\n| rule | mean | worst row | most behind best | wrong refusals | waiting | further | rule 2 |")
    print("|" + " --- |" * 8)
    for rule in given.rules:
        mine = [result for by_rule in table.values() for result in by_rule[rule]]
        behind = max(
            max(rows[other][place] for other in given.rules) - rows[rule][place]
            for place in range(len(rows[rule]))
        )
        print(
            f"| {rule} | {mean(rows[rule]):.3f} | {min(rows[rule]):.3f} | {behind:.3f} | "
            f"{mean(result['wrong'] for result in mine):.4f} | "
            f"{mean(result['waiting'] for result in mine):.2f} | "
            f"{mean(result['further'] for result in mine):.3f} | "
            f"{sum(result['broken'] for result in mine):.0f} |"
        )


if __name__ == "__main__":
    main()
