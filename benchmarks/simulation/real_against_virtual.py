"""Compares scenarios run by `rehearse` (real processes and sockets) with the same scenarios simulated.

    python -m benchmarks.simulation.real_against_virtual [--scenarios calm swallowing] [--seeds 2]

Prints the mean service level of both over all seeds and their difference, for each scenario.
"""

from __future__ import annotations

import argparse
import asyncio
from dataclasses import replace
from statistics import mean
from typing import Any

from plumpick.rehearsal.fleet import Fleet, too_slow
from plumpick.rehearsal.scenario import load
from plumpick.rehearsal.surroundings import Surroundings
from plumpick.simulation import world as virtual
from plumpick.simulation.faults import Case


async def real(name: str, seed: int) -> tuple[float, str]:
    """Runs a rehearsal; returns its service level and, if the machine was too slow for it, a remark."""
    fleet = Fleet(Surroundings(asyncio.get_running_loop(), seed), load(name), name)
    try:
        await fleet.start()
        await fleet.play()
    finally:
        await fleet.close()
    return float(fleet.service.as_dict()["service"]), too_slow(fleet.auditor)


def simulated(name: str, seed: int) -> tuple[float, str]:
    """Simulates the scenario; returns its service level and the name of the broken rule, or ""."""
    scenario = load(name)
    case = replace(
        Case(seed),
        seconds=scenario.seconds,
        load=scenario.load.share,
        gatekeepers=scenario.fleet.gatekeepers,
        servers=scenario.fleet.servers,
    )
    original: Any = virtual.build_scenario
    virtual.build_scenario = lambda _case: scenario
    try:
        result = virtual.play(case)
    finally:
        virtual.build_scenario = original
    return result.service, result.rule


def main() -> None:
    """Prints a table with the service levels of each scenario."""
    flags = argparse.ArgumentParser(description=__doc__)
    flags.add_argument("--scenarios", nargs="*", default=["calm", "swallowing", "restarts"])
    flags.add_argument("--seeds", type=int, default=2)
    given = flags.parse_args()
    print("| scenario | rehearse | simulate | difference | remarks |\n| --- | --- | --- | --- | --- |")
    for name in given.scenarios:
        pairs = [(asyncio.run(real(name, seed)), simulated(name, seed)) for seed in range(1, given.seeds + 1)]
        first, second = mean(one[0][0] for one in pairs), mean(one[1][0] for one in pairs)
        remarks = "; ".join(text for one in pairs for _, text in one if text)
        print(f"| {name} | {first:.3f} | {second:.3f} | {second - first:+.3f} | {remarks} |", flush=True)


if __name__ == "__main__":
    main()
