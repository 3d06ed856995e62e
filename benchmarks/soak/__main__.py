"""The command line of the soak.

    python -m benchmarks.soak --seeds 1-50 [--seconds 60] [--jobs 2] [--found found]

A line of JSON for each seed. A failing seed's schedule, logs and stories are kept below --found, and it plays
again by its seed. Exit codes: 0 all held, 1 a seed is broken, 3 no broken one, but a machine too slow to tell
for some."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.soak.judge import Verdict
from benchmarks.soak.play import play_seed
from plumpick.cli import EXIT_BROKEN, EXIT_HELD, EXIT_SLOW

DEFAULT_SECONDS = 60.0


def main() -> int:
    """The exit code."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.soak", description=__doc__)
    parser.add_argument("--seeds", type=seed_range, required=True, help="A-B, or one seed")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--jobs", type=int, default=1, help="seeds at one time, each in a process")
    parser.add_argument("--found", type=Path, default=Path("found"))
    given = parser.parse_args()
    if given.jobs == 1:
        verdicts = [uvloop.run(play_seed(seed, given.seconds, given.found)) for seed in given.seeds]
        for verdict in verdicts:
            print(json.dumps(summary_of(verdict)), flush=True)
        return exit_code(verdicts)
    return exit_code(asyncio.run(play_in_processes(given.seeds, given.seconds, given.jobs, given.found)))


def seed_range(text: str) -> range:
    """The seeds of `A-B` or `A`; raises ValueError."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


async def play_in_processes(seeds: range, seconds: float, jobs: int, found: Path) -> list[Verdict]:
    """Each seed in a process of its own, so many at a time."""
    places = asyncio.Semaphore(jobs)

    async def play(seed: int) -> Verdict:
        async with places:
            process = await asyncio.create_subprocess_exec(
                *[sys.executable, "-m", "benchmarks.soak", "--seeds", str(seed)],
                *["--seconds", str(seconds), "--found", str(found)],
                stdout=asyncio.subprocess.PIPE,
            )
            output, _ = await process.communicate()
        lines = output.decode().splitlines()
        verdict = Verdict(**json.loads(lines[-1])) if lines else Verdict(seed, problems=["no verdict"])
        print(json.dumps(summary_of(verdict)), flush=True)
        return verdict

    return list(await asyncio.gather(*(play(seed) for seed in seeds)))


def summary_of(verdict: Verdict) -> dict[str, Any]:
    """The line of one seed; the stories stand on its page."""
    return {key: value for key, value in asdict(verdict).items() if key != "unexplained"}


def exit_code(verdicts: list[Verdict]) -> int:
    """Of all seeds together."""
    if any(verdict.is_broken for verdict in verdicts):
        return EXIT_BROKEN
    return EXIT_SLOW if any(verdict.too_slow for verdict in verdicts) else EXIT_HELD


if __name__ == "__main__":
    raise SystemExit(main())
