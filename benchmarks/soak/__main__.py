"""The command line of the soak.

    python -m benchmarks.soak --seeds 1-50 [--seconds 60] [--jobs 2] [--found found]

Prints a line of JSON for each seed. The schedule, logs and histories of a failing seed are kept below
--found; the seed plays the same schedule again. Exit codes: 0 all rules held for all seeds, 1 a rule was
broken for some seed, 3 no rule was broken, but the machine was too slow to judge some seeds."""

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
    """Play the seeds named on the command line, print their verdicts and return the exit code."""
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
    """Parse `A-B` or `A` into a range of seeds. Raises ValueError if it is malformed."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


async def play_in_processes(seeds: range, seconds: float, jobs: int, found: Path) -> list[Verdict]:
    """Play each seed in a separate process, at most `jobs` at a time."""
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
    """Return the verdict of one seed as printed: without its unexcused breaches, which --found keeps."""
    return {key: value for key, value in asdict(verdict).items() if key != "unexplained"}


def exit_code(verdicts: list[Verdict]) -> int:
    """Return the exit code of the command for the verdicts of all seeds."""
    if any(verdict.is_broken for verdict in verdicts):
        return EXIT_BROKEN
    return EXIT_SLOW if any(verdict.too_slow for verdict in verdicts) else EXIT_HELD


if __name__ == "__main__":
    raise SystemExit(main())
