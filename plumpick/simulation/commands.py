"""The `plumpick simulate` command: plays a range of seeds, one seed or a saved case.

Exit code 0 means that all rules held, 1 that a rule was broken, 2 that the arguments were invalid.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import sys
import time
from collections import Counter
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any

from plumpick.cli import EXIT_BROKEN, EXIT_HELD, EXIT_USAGE
from plumpick.rehearsal.records import Record, line_of
from plumpick.simulation.compare import find_difference
from plumpick.simulation.faults import Case, CaseError, generate_case, parse_case
from plumpick.simulation.marks import COVERAGE_POINTS
from plumpick.simulation.shrink import Shrinker
from plumpick.simulation.world import Result, World, play

MIN_SEEDS_FOR_FULL_COVERAGE = 300  # number of seeds from which an unreached coverage point fails the run
PROGRESS_INTERVAL_S = 5.0  # time between progress messages of the command, in seconds


def _log_to_stderr(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def parse_seeds(text: str) -> range:
    """Parses a seed range `A-B`, both ends included, or a single seed. Raises ValueError if it is invalid."""
    first, _, last = text.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    if not seeds:
        raise ValueError(f"invalid seed range {text!r}: the last seed is lower than the first")
    return seeds


def play_seed(seed: int, seconds: float, duties: int = 0, budgets: int = 0) -> Result:
    """Plays the case generated from a seed, with the given numbers of scheduled tasks and fleet budgets."""
    return play(replace(generate_case(seed, seconds), duties=duties, budgets=budgets))


def describe_failure(result: Result) -> str:
    """Returns one line that describes a failed run: seed, broken rule, step, virtual time and digest."""
    return (
        f"seed {result.seed}: {result.rule} at step {result.step} ({result.t_ms / 1000:.3f} s): "
        f"{result.text} [{result.digest}]"
    )


def describe_run(case: Case, result: Result) -> str:
    """Returns a readable report of a case and the result of its run."""
    lines = [
        f"seed {case.seed}: {case.gatekeepers} gatekeepers, {case.servers} servers, {case.seconds:g} s, "
        f"load {case.load:g}"
    ]
    lines += [f"  {fault}" for fault in case.faults] or ["  no faults"]
    lines.append(
        describe_failure(result)
        if result.failed
        else f"all rules held: {result.requests} requests, {result.steps} steps, service "
        f"{result.service:.3f} [{result.digest}]"
    )
    if case.duties:
        lines.append(f"  {result.owners} leases acquired, {result.effects} effects received")
    if case.budgets:
        lines.append(
            f"  {result.spent:.0f} budget units spent, {result.turned_back} requests rejected by budgets"
        )
    if result.excused:
        lines.append(f"  {result.excused} breaches excused because a fault disturbed timing")
    return "\n".join([*lines, *(f"  {line}" for line in result.story)])


def simulate(given: argparse.Namespace) -> int:
    """Runs `plumpick simulate` with the parsed arguments and returns its exit code."""
    try:
        if given.replay:
            return _run_one(parse_case(Path(given.replay).read_text(encoding="utf-8")), given)
        if given.seed is not None:
            return _run_one(
                replace(generate_case(given.seed, given.seconds), duties=given.duties, budgets=given.budgets),
                given,
            )
        seeds = parse_seeds(given.seeds)
    except (OSError, UnicodeDecodeError, ValueError) as problem:
        reason = problem if isinstance(problem, CaseError | ValueError) else f"{problem.strerror}"
        _log_to_stderr(f"plumpick: {given.replay or given.seeds}: {reason}")
        return EXIT_USAGE
    return _run_many(seeds, given)


def _run_one(case: Case, given: argparse.Namespace) -> int:
    if given.twice:
        difference = find_difference(case)
        print(difference or "both runs are identical, step for step")
        return EXIT_BROKEN if difference else EXIT_HELD
    lines: list[str] = []

    def record(one: Record) -> None:
        lines.append(line_of(one))

    result = World(case, record=record if given.history else None).play()
    if given.history:
        Path(given.history).write_text("".join(line + "\n" for line in lines), encoding="utf-8")
    if result.failed and given.shrink:

        def on_smaller(smaller: Case, outcome: Result) -> None:
            _log_to_stderr(
                f"  {len(smaller.faults)} faults, load {smaller.load:g}: {describe_failure(outcome)}"
            )

        case, result = Shrinker(play, on_smaller).shrink(case, result)
    print(describe_run(case, result))
    if given.out:
        folder = Path(given.out)
        folder.mkdir(parents=True, exist_ok=True)
        (folder / f"case-{case.seed}.json").write_text(case.as_json() + "\n", encoding="utf-8")
    return EXIT_BROKEN if result.failed else EXIT_HELD


def _run_many(seeds: range, given: argparse.Namespace) -> int:  # noqa: C901  (to be split by concern)
    began = time.monotonic()
    marks: Counter[str] = Counter()
    done = requests = steps = owners = effects = turned_back = 0
    spent = 0.0
    digests: dict[int, str] = {}
    failed: list[Result] = []
    stop_at = began + given.minutes * 60 if given.minutes else float("inf")
    next_progress, left = began + PROGRESS_INTERVAL_S, iter(seeds)
    context = multiprocessing.get_context("spawn")
    # Worker processes are replaced after 200 seeds to bound memory left over from earlier runs.
    with ProcessPoolExecutor(given.jobs, mp_context=context, max_tasks_per_child=200) as pool:
        running: set[Future[Result]] = set()
        while True:
            while len(running) < 2 * given.jobs and time.monotonic() < stop_at:
                seed = next(left, None)
                if seed is None:
                    break
                running.add(pool.submit(play_seed, seed, given.seconds, given.duties, given.budgets))
            if not running:
                break
            ended, running = wait(running, timeout=PROGRESS_INTERVAL_S, return_when=FIRST_COMPLETED)
            for future in ended:
                result = future.result()
                done, requests, steps = done + 1, requests + result.requests, steps + result.steps
                owners, effects = owners + result.owners, effects + result.effects
                spent, turned_back = spent + result.spent, turned_back + result.turned_back
                digests[result.seed] = result.digest
                marks.update(result.marks.keys())
                if result.failed:
                    failed.append(result)
                    print(describe_failure(result), flush=True)
            if time.monotonic() >= next_progress:
                next_progress = time.monotonic() + PROGRESS_INTERVAL_S
                rate = done / (time.monotonic() - began)
                _log_to_stderr(f"{done} of {len(seeds)} seeds, {rate:.1f} seeds/s, {len(failed)} failed")
    elapsed_s = time.monotonic() - began
    print(
        f"{done} seeds, {requests} requests, {steps} steps in {elapsed_s:.0f} s "
        f"({done / elapsed_s:.2f} seeds/s with {given.jobs} jobs); {len(failed)} failed"
    )
    if given.duties:
        print(f"scheduled tasks: {owners} leases acquired, {effects} effects received")
    if given.budgets:
        print(f"budgets: {spent:.0f} units spent, {turned_back} requests rejected")
    print("coverage points, with the number of seeds that reached each:")
    for name in COVERAGE_POINTS:
        print(f"  {marks[name]:6d}  {name}")
    if given.out:
        _write_summary(Path(given.out), digests, marks, failed, given)
    missed = [name for name in COVERAGE_POINTS if not marks[name]]
    if missed and done >= MIN_SEEDS_FOR_FULL_COVERAGE:
        print(f"coverage points not reached by any seed: {'; '.join(missed)}")
        return EXIT_BROKEN
    return EXIT_BROKEN if failed else EXIT_HELD


def _write_summary(
    folder: Path,
    digests: dict[int, str],
    marks: Counter[str],
    failed: list[Result],
    given: argparse.Namespace,
) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    summary: dict[str, Any] = {
        "digests": {str(seed): digests[seed] for seed in sorted(digests)},
        "marks": {name: marks[name] for name in COVERAGE_POINTS},
        "failed": [asdict(result) for result in failed],
    }
    (folder / "summary.json").write_text(json.dumps(summary, indent=1) + "\n", encoding="utf-8")
    for result in failed:
        case = replace(generate_case(result.seed, given.seconds), duties=given.duties, budgets=given.budgets)
        (folder / f"case-{result.seed}.json").write_text(case.as_json() + "\n", encoding="utf-8")
