"""CPU of the decision module by itself: no sockets, the study rig's world, the time inside `handle` alone.

    python -m benchmarks.module_cpu [--against DIR] [--runs 7] [--gateways 3] [--servers 9] [--load 0.6]

Plays one seeded world with healthy servers and prints CPU us for each try (a client's request) and for each
call. With `--against DIR`, another checkout's decisions play the same arrivals, in turn with this one's, each
run a process of its own, and the ratio of each pair is printed as minimum, median and maximum.
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
    """One run in this process: CPU seconds inside `handle`, calls, and tries."""
    from benchmarks.gray.world import Failure, World
    from plumpick.policy.controller import Controller  # of the checkout that comes first on the path

    spent, calls = [0.0], [0]

    class Timed:  # not a subclass: a compiled module allows none
        def __init__(self, settings: Any, seed: int) -> None:
            self.handle_it = Controller(settings, seed).handle

        def handle(self, now_ms: float, events: list[Any]) -> list[Any]:
            calls[0] += 1
            began = time.process_time()
            actions = self.handle_it(now_ms, events)
            spent[0] += time.process_time() - began
            return actions

    world = World(
        Timed,
        Failure(),
        arguments.load,
        arguments.gateways,
        arguments.servers,
        arguments.seed,
        arguments.gateways,
    )
    service = world.play()["service"]
    return {
        "s": spent[0],
        "calls": calls[0],
        "service": service,
        "tries": sum(len(gateway.tries) for gateway in world.gateways),
    }


def child(directory: str, words: list[str]) -> dict[str, float]:
    """The same in a process of its own, with that checkout's module."""
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.module_cpu", "--child", directory, *words],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    result: dict[str, float] = json.loads(done.stdout)
    return result


def main() -> None:
    """Print the figures."""
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
    words = [
        word
        for name in ("gateways", "servers", "load", "seed")
        for word in (f"--{name}", str(getattr(arguments, name)))
    ]
    sides = [str(ROOT)] + [arguments.against] * bool(arguments.against)
    rows: list[list[dict[str, float]]] = [
        [child(side, words) for side in sides] for _ in range(arguments.runs)
    ]
    print("| module | us a try | us a call | calls a try | service |\n| --- | --- | --- | --- | --- |")
    for place, name in enumerate(["this", "against"][: len(sides)]):
        mine = [row[place] for row in rows]
        print(
            f"| {name} | {median(one['s'] / one['tries'] for one in mine) * 1e6:.0f} | "
            f"{median(one['s'] / one['calls'] for one in mine) * 1e6:.0f} | "
            f"{mine[0]['calls'] / mine[0]['tries']:.2f} | {mine[0]['service']:.3f} |"
        )
    if arguments.against:
        ratios = sorted(row[0]["s"] / row[0]["tries"] / (row[1]["s"] / row[1]["tries"]) for row in rows)
        print(
            f"CPU a try, this / against, pair by pair: {ratios[0]:.3f} to {ratios[-1]:.3f}, "
            f"median {median(ratios):.3f}"
        )


if __name__ == "__main__":
    main()
