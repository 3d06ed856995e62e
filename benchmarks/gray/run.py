"""Plays each gray failure at each load with each rule, using the same seeds, and prints a comparison.

    python -m benchmarks.gray.run [--seeds 2] [--jobs 8] [--gateways 3] [--servers 9] [--loads 0.4 0.6 0.8
    1.0] [--only TEXT] [--full] [--thin]

Prints a row for each failure with the service of each rule: the weighted share of requests served within the
latency objective, as the mean over loads and seeds. Then prints for each rule the mean and the lowest of
these figures, the share of requests rejected wrongly (while less than nine tenths of the cores were busy),
the mean number of attempts queued at a worker ("server"), and the number of further attempts per first
attempt.
`--full` prints a row for each load. `--thin` plays nine failures at loads 0.6 and 0.8 with 30 and 100
gateways, in quota sets of three that exchange messages: about one to three requests per second and gateway.
"""

from __future__ import annotations

import argparse
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from statistics import mean

from benchmarks.gray.rules import RULES
from benchmarks.gray.world import Failure, World

LOCATIONS = ("everywhere", "server", "hall", "class")
FAILURES = [Failure()]
FAILURES += [Failure("swallow", where, share) for where in LOCATIONS for share in (0.01, 0.05, 0.1, 0.3)]
FAILURES += [Failure(kind, where) for kind in ("half-speed", "freeze") for where in ("server", "everywhere")]
FAILURES += [Failure("late", "server"), Failure("late", "class")]
FAILURES += [Failure(kind, where) for kind in ("unread", "fast-error") for where in ("server", "hall")]
FAILURES += [
    Failure("release", "everywhere", 0.2)
]  # The costliest failure that a search of the failure space found
THIN_FAILURES = [
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
THIN_GATEWAYS, THIN_LOADS, THIN_SET_SIZE = (30, 100), (0.6, 0.8), 3


def play_case(case: tuple[str, Failure, float, int, int, int, int]) -> dict[str, float]:
    """Play one case (rule, failure, load, gateways, servers, seed, quota set size); return its figures."""
    rule, failure, load, gateways, servers, seed, spread = case
    return World(RULES[rule], failure, load, gateways, servers, seed, spread).play()


def main() -> None:
    """Print the table of failures and the table of rules."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--servers", type=int, default=9)
    parser.add_argument("--loads", type=float, nargs="*", default=[0.4, 0.6, 0.8, 1.0])
    parser.add_argument("--rules", nargs="*", default=list(RULES))
    parser.add_argument("--only", default="")
    parser.add_argument("--full", action="store_true")
    parser.add_argument("--thin", action="store_true")
    arguments = parser.parse_args()
    counts = THIN_GATEWAYS if arguments.thin else (arguments.gateways,)
    cases = [
        (rule, failure, load, gateways, arguments.servers, seed, THIN_SET_SIZE if arguments.thin else 1)
        for gateways in counts
        for failure in (THIN_FAILURES if arguments.thin else FAILURES)
        if arguments.only in str(failure)
        for load in (THIN_LOADS if arguments.thin else arguments.loads)
        for seed in range(1, arguments.seeds + 1)
        for rule in arguments.rules
    ]
    with ProcessPoolExecutor(arguments.jobs) as pool:
        results = list(pool.map(play_case, cases, chunksize=2))
    table: defaultdict[tuple[str, ...], defaultdict[str, list[dict[str, float]]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for case, result in zip(cases, results, strict=True):
        key = (str(case[1]),) + ((f"{case[2]:g}",) if arguments.full else ())
        key += (f"{case[3]} gateways",) if arguments.thin else ()
        table[key][case[0]].append(result)
    print("| failure | " + " | ".join(arguments.rules) + " |\n|" + " --- |" * (len(arguments.rules) + 1))
    rows: defaultdict[str, list[float]] = defaultdict(list)
    for key, by_rule in table.items():
        cells = []
        for rule in arguments.rules:
            service = mean(result["service"] for result in by_rule[rule])
            rows[rule].append(service)
            cells.append(f"{service:.3f}")
        print(f"| {' at '.join(key)} | " + " | ".join(cells) + " |")
    print("\n| rule | mean | worst row | most behind best | wrong refusals | waiting | further | rule 2 |")
    print("|" + " --- |" * 8)
    for rule in arguments.rules:
        rule_results = [result for by_rule in table.values() for result in by_rule[rule]]
        deficit = max(
            max(rows[other][index] for other in arguments.rules) - rows[rule][index]
            for index in range(len(rows[rule]))
        )
        print(
            f"| {rule} | {mean(rows[rule]):.3f} | {min(rows[rule]):.3f} | {deficit:.3f} | "
            f"{mean(result['wrong'] for result in rule_results):.4f} | "
            f"{mean(result['waiting'] for result in rule_results):.2f} | "
            f"{mean(result['further'] for result in rule_results):.3f} | "
            f"{sum(result['broken'] for result in rule_results):.0f} |"
        )


if __name__ == "__main__":
    main()
