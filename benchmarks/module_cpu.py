"""Measures the CPU time of the policy controller: only the time inside `handle`, without sockets.

    python -m benchmarks.module_cpu [--against DIR] [--runs 7] [--gateways 3] [--servers 9] [--load 0.6]

Plays one seeded world of benchmarks/gray with healthy workers and prints CPU us per try (a client's request)
and per call of `handle`. With `--against DIR`, the policy of another checkout plays the same requests
alternately with this one's. Each run is a separate process. Prints minimum, maximum and median of the ratios
of the paired runs.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import time
from pathlib import Path
from statistics import median
from typing import Any

ROOT = Path(__file__).resolve().parents[1]


def play(arguments: argparse.Namespace) -> dict[str, float]:
    """Play one run in this process; return CPU seconds inside `handle`, calls, service and tries."""
    from benchmarks.gray.world import Failure, World
    from plumpick.policy.controller import Controller  # Controller of the first checkout on sys.path

    cpu_s, call_count = [0.0], [0]

    class TimedController:  # TimedController is no subclass of Controller, as a compiled class forbids that
        def __init__(self, settings: Any, seed: int) -> None:
            self.controller_handle = Controller(settings, seed).handle

        def handle(self, now_ms: float, events: list[Any]) -> list[Any]:
            call_count[0] += 1
            began = time.process_time()
            actions = self.controller_handle(now_ms, events)
            cpu_s[0] += time.process_time() - began
            return actions

    world = World(
        TimedController,
        Failure(),
        arguments.load,
        arguments.gateways,
        arguments.servers,
        arguments.seed,
        arguments.gateways,
    )
    service = world.play()["service"]
    return {
        "s": cpu_s[0],
        "calls": call_count[0],
        "service": service,
        "tries": sum(len(gateway.requests) for gateway in world.gateways),
    }


def run_child(directory: str, options: list[str]) -> dict[str, float]:
    """Play one run in a new process with the policy of the checkout `directory`; return its figures."""
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.module_cpu", "--child", directory, *options],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    result: dict[str, float] = json.loads(done.stdout)
    return result


def main() -> None:
    """Print the controller's CPU time in this checkout, and in the other one if given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", default="")
    parser.add_argument("--runs", type=int, default=7)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--servers", type=int, default=9)
    parser.add_argument("--load", type=float, default=0.6)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--child", default="", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.child:
        sys.path.insert(0, arguments.child)
        print(json.dumps(play(arguments)))
        return
    options = [
        option
        for name in ("gateways", "servers", "load", "seed")
        for option in (f"--{name}", str(getattr(arguments, name)))
    ]
    sides = [str(ROOT)] + [arguments.against] * bool(arguments.against)
    rows: list[list[dict[str, float]]] = [
        [run_child(side, options) for side in sides] for _ in range(arguments.runs)
    ]
    print("| module | us a try | us a call | calls a try | service |\n| --- | --- | --- | --- | --- |")
    for index, name in enumerate(["this", "against"][: len(sides)]):
        runs = [row[index] for row in rows]
        print(
            f"| {name} | {median(one['s'] / one['tries'] for one in runs) * 1e6:.0f} | "
            f"{median(one['s'] / one['calls'] for one in runs) * 1e6:.0f} | "
            f"{runs[0]['calls'] / runs[0]['tries']:.2f} | {runs[0]['service']:.3f} |"
        )
    if arguments.against:
        ratios = sorted(row[0]["s"] / row[0]["tries"] / (row[1]["s"] / row[1]["tries"]) for row in rows)
        print(
            f"CPU a try, this / against, pair by pair: {ratios[0]:.3f} to {ratios[-1]:.3f}, "
            f"median {median(ratios):.3f}"
        )


if __name__ == "__main__":
    main()
