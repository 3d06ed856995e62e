"""Compares the largest excess over the quotas in simulated runs with the bounds that the program computes.

    python -m benchmarks.quota_windows [--seeds 1-200] [--jobs 8]

Each seed plays a case with network partitions, lost datagrams, killed and restarted gateways, and a customer
that sends its traffic to one gateway. Prints for each plan the maximum units forwarded to workers beyond the
quota, and beyond the hard limit ("ceiling"), in a window of any length, over all customers, and the bound for
the injected faults. The exit code is 1 if a run exceeds a bound or breaks a rule.
"""

from __future__ import annotations

import argparse
import random
import sys
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from typing import Any

from plumpick.policy.quota.bounds import max_combined_excess, max_excess_over_hard_limit
from plumpick.policy.settings_parser import parse_settings
from plumpick.rehearsal.records import AttemptReceived, Record, RequestSent
from plumpick.simulation.commands import parse_seeds
from plumpick.simulation.faults import KINDS, Case, Fault
from plumpick.simulation.world import Result, World

FAULT_KINDS = ("kill", "restart", "split", "datagrams", "hot-firm")


class WindowExcess:
    """A listener of history records that measures each customer's excess over its quota and its hard limit.

    Units count when a request is first forwarded to a worker. A token bucket that may become negative starts
    full with `burst` and is refilled at the rate. Its lowest level is the negated maximum excess over
    `burst + rate x window` in a window of any length."""

    def __init__(self, quotas: dict[str, dict[str, float]]) -> None:
        self._quotas = quotas
        self._asked: dict[str, RequestSent] = {}
        self._levels: dict[tuple[str, str], tuple[float, float]] = {}
        self.worst: defaultdict[tuple[str, str], float] = defaultdict(
            float
        )  # Maximum excess in units, by plan and kind

    def feed(self, record: Record) -> None:
        """Process the next history record."""
        if isinstance(record, RequestSent):
            self._asked[record.id] = record
        elif isinstance(record, AttemptReceived) and record.id in self._asked:
            asked = self._asked.pop(record.id)
            terms = self._quotas[asked.plan]
            for kind, rate, burst in (
                ("quota", terms["rate"], terms["burst"]),
                ("ceiling", terms["ceiling_rate"], terms["ceiling_burst"]),
            ):
                if not rate:
                    continue
                level, since_ms = self._levels.get((asked.firm, kind), (burst, record.t))
                level = min(burst, level + (record.t - since_ms) / 1000 * rate) - asked.units
                self._levels[asked.firm, kind] = level, record.t
                self.worst[asked.plan, kind] = max(self.worst[asked.plan, kind], -level)


@dataclass
class PlanWindows:
    """The maximum excess over a plan's quota and hard limit in one run, and their bounds, in units."""

    plan: str
    quota: float
    quota_bound: float
    ceiling: float
    ceiling_bound: float


def case_of_splits(seed: int) -> Case:
    """Return the simulation case of a seed: random faults and a customer that overloads one gateway."""
    rng = random.Random(f"splits {seed}")
    case = Case(seed, load=0.2, gatekeepers=rng.choice((3, 4)))
    faults = [
        Fault(
            "hot-firm",
            2.5,
            15.0,
            {"plan": rng.choice(("basico", "estandar", "amplio")), "times": round(rng.uniform(3, 8), 2)},
        )
    ]
    for kind in FAULT_KINDS:
        for _ in range(rng.randint(0, 2)):
            for_s, with_ = KINDS[kind](rng, case)
            faults.append(Fault(kind, round(rng.uniform(2, 16), 3), for_s, with_))
    return replace(case, faults=tuple(sorted(faults, key=lambda fault: fault.at_s)))


def play(case: Case, judge: bool = True) -> tuple[Result, list[PlanWindows]]:
    """Play a case; return its result and the windows of each plan.

    Without `judge`, the auditor is detached, so that a broken rule does not end the run.
    """
    world = World(case)
    windows = WindowExcess(world.fleet.quotas)
    world.fleet.recorder.listeners.append(windows)
    if not judge:
        world.fleet.recorder.listeners.remove(world.fleet.auditor)
    settings_value: dict[str, Any] = world.fleet.supervisor.settings_of(0)
    settings = parse_settings(settings_value)
    result = world.play()
    restarts = sum(fault.kind in ("kill", "restart") for fault in case.faults)
    loss = max([fault.with_["loss"] for fault in case.faults if fault.kind == "datagrams"], default=0.0)
    split = any(fault.kind == "split" for fault in case.faults)
    rows = []
    for plan in settings.plans:
        rows.append(
            PlanWindows(
                plan.name,
                round(windows.worst[plan.name, "quota"], 2),
                max_combined_excess(
                    plan,
                    settings,
                    case.seconds,
                    set_size=case.gatekeepers,
                    restarts=restarts,
                    has_partition=split,
                    loss=1 - (1 - loss) * (1 - world.fleet.scenario.peers.loss),
                ),
                round(windows.worst[plan.name, "ceiling"], 2),
                max_excess_over_hard_limit(plan, settings, 1.0) if plan.hard_limit_per_s else 0.0,
            )
        )
    return result, rows


def run_seed(seed: int) -> tuple[int, Result, list[PlanWindows]]:
    """Play the case of a seed; return the seed, the result and the windows of each plan."""
    result, rows = play(case_of_splits(seed))
    return seed, result, rows


def main() -> int:
    """Print the excesses and their bounds; return 1 if a bound was exceeded or a rule broken, otherwise 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-200")
    parser.add_argument("--jobs", type=int, default=8)
    arguments = parser.parse_args()
    worst: dict[tuple[str, str], tuple[float, float, float, int]] = {}
    failures = count = 0
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for seed, result, rows in pool.map(run_seed, parse_seeds(arguments.seeds)):
            count += 1
            if result.failed:
                failures += 1
                print(f"seed {seed}: {result.rule}: {result.text}")
            for row in rows:
                for kind, excess, bound in (
                    ("quota", row.quota, row.quota_bound),
                    ("ceiling", row.ceiling, row.ceiling_bound),
                ):
                    failures += excess > bound
                    part = excess / bound if bound else 0.0
                    if part >= worst.get((row.plan, kind), (0.0, 0.0, -1.0, 0))[2]:
                        worst[row.plan, kind] = excess, bound, part, seed
    print(
        f"{count} seeds, {failures} over a bound\n"
        "| plan | of its | worst window | its bound | part | seed |\n"
        "| --- | --- | --- | --- | --- | --- |"
    )
    for (plan, kind), (excess, bound, part, seed) in sorted(worst.items()):
        print(f"| {plan} | {kind} | {excess:.1f} units beyond | {bound:.1f} | {part:.2f} | {seed} |")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
