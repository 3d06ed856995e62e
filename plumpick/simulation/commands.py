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
from plumpick.simulation.compare import difference
from plumpick.simulation.faults import Case, CaseError, case_from, case_of
from plumpick.simulation.marks import MARKS
from plumpick.simulation.shrink import Shrinker
from plumpick.simulation.world import Result, World, play

ALL_MARKS_FROM = 300  # number of seeds from which a run fails if a coverage point was never reached
LINE_S = 5.0  # time between progress messages, in seconds


def _say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def seeds_of(text: str) -> range:
    """Parses a seed range `A-B`, both ends included, or a single seed. Raises ValueError if it is invalid."""
    first, _, last = text.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    if not seeds:
        raise ValueError(f"invalid seed range {text!r}: the last seed is lower than the first")
    return seeds


def one_seed(seed: int, seconds: float, duties: int = 0, budgets: int = 0) -> Result:
    """Plays the case generated from a seed, with the given numbers of scheduled tasks and fleet budgets."""
    return play(replace(case_of(seed, seconds), duties=duties, budgets=budgets))


def failure_line(result: Result) -> str:
    """Returns one line that describes a failed run: seed, broken rule, step, virtual time and digest."""
    return (
        f"seed {result.seed}: {result.rule} at step {result.step} ({result.t_ms / 1000:.3f} s): "
        f"{result.text} [{result.digest}]"
    )


def story(case: Case, result: Result) -> str:
    """Returns a readable report of a case and the result of its run."""
    lines = [
        f"seed {case.seed}: {case.gatekeepers} gatekeepers, {case.servers} servers, {case.seconds:g} s, "
        f"load {case.load:g}"
    ]
    lines += [f"  {fault}" for fault in case.faults] or ["  no faults"]
    lines.append(
        failure_line(result)
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
            return _one(case_from(Path(given.replay).read_text(encoding="utf-8")), given)
        if given.seed is not None:
            return _one(
                replace(case_of(given.seed, given.seconds), duties=given.duties, budgets=given.budgets), given
            )
        seeds = seeds_of(given.seeds)
    except (OSError, UnicodeDecodeError, ValueError) as problem:
        reason = problem if isinstance(problem, CaseError | ValueError) else f"{problem.strerror}"
        _say(f"plumpick: {given.replay or given.seeds}: {reason}")
        return EXIT_USAGE
    return _many(seeds, given)


def _one(case: Case, given: argparse.Namespace) -> int:
    if given.twice:
        parted = difference(case)
        print(parted or "both runs are identical, step for step")
        return EXIT_BROKEN if parted else EXIT_HELD
    lines: list[str] = []

    def record(one: Record) -> None:
        lines.append(line_of(one))

    result = World(case, record=record if given.history else None).play()
    if given.history:
        Path(given.history).write_text("".join(line + "\n" for line in lines), encoding="utf-8")
    if result.failed and given.shrink:

        def told(news: Case, came: Result) -> None:
            _say(f"  {len(news.faults)} faults, load {news.load:g}: {failure_line(came)}")

        case, result = Shrinker(play, told).shrink(case, result)
    print(story(case, result))
    if given.out:
        folder = Path(given.out)
        folder.mkdir(parents=True, exist_ok=True)
        (folder / f"case-{case.seed}.json").write_text(case.as_json() + "\n", encoding="utf-8")
    return EXIT_BROKEN if result.failed else EXIT_HELD


def _many(seeds: range, given: argparse.Namespace) -> int:  # noqa: C901  (to be split by concern)
    began = time.monotonic()
    marks: Counter[str] = Counter()
    done = requests = steps = owners = effects = turned_back = 0
    spent = 0.0
    digests: dict[int, str] = {}
    failed: list[Result] = []
    stop_at = began + given.minutes * 60 if given.minutes else float("inf")
    next_line, left = began + LINE_S, iter(seeds)
    context = multiprocessing.get_context("spawn")
    # Worker processes are replaced after 200 seeds to bound memory left over from earlier runs.
    with ProcessPoolExecutor(given.jobs, mp_context=context, max_tasks_per_child=200) as pool:
        running: set[Future[Result]] = set()
        while True:
            while len(running) < 2 * given.jobs and time.monotonic() < stop_at:
                seed = next(left, None)
                if seed is None:
                    break
                running.add(pool.submit(one_seed, seed, given.seconds, given.duties, given.budgets))
            if not running:
                break
            ended, running = wait(running, timeout=LINE_S, return_when=FIRST_COMPLETED)
            for future in ended:
                result = future.result()
                done, requests, steps = done + 1, requests + result.requests, steps + result.steps
                owners, effects = owners + result.owners, effects + result.effects
                spent, turned_back = spent + result.spent, turned_back + result.turned_back
                digests[result.seed] = result.digest
                marks.update(result.marks.keys())
                if result.failed:
                    failed.append(result)
                    print(failure_line(result), flush=True)
            if time.monotonic() >= next_line:
                next_line = time.monotonic() + LINE_S
                rate = done / (time.monotonic() - began)
                _say(f"{done} of {len(seeds)} seeds, {rate:.1f} seeds/s, {len(failed)} failed")
    took = time.monotonic() - began
    print(
        f"{done} seeds, {requests} requests, {steps} steps in {took:.0f} s ({done / took:.2f} seeds/s "
        f"with {given.jobs} jobs); {len(failed)} failed"
    )
    if given.duties:
        print(f"scheduled tasks: {owners} leases acquired, {effects} effects received")
    if given.budgets:
        print(f"budgets: {spent:.0f} units spent, {turned_back} requests rejected")
    print("coverage points, with the number of seeds that reached each:")
    for name in MARKS:
        print(f"  {marks[name]:6d}  {name}")
    if given.out:
        _write(Path(given.out), digests, marks, failed, given)
    missed = [name for name in MARKS if not marks[name]]
    if missed and done >= ALL_MARKS_FROM:
        print(f"coverage points not reached by any seed: {'; '.join(missed)}")
        return EXIT_BROKEN
    return EXIT_BROKEN if failed else EXIT_HELD


def _write(
    folder: Path,
    digests: dict[int, str],
    marks: Counter[str],
    failed: list[Result],
    given: argparse.Namespace,
) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    summary: dict[str, Any] = {
        "digests": {str(seed): digests[seed] for seed in sorted(digests)},
        "marks": {name: marks[name] for name in MARKS},
        "failed": [asdict(result) for result in failed],
    }
    (folder / "summary.json").write_text(json.dumps(summary, indent=1) + "\n", encoding="utf-8")
    for result in failed:
        case = replace(case_of(result.seed, given.seconds), duties=given.duties, budgets=given.budgets)
        (folder / f"case-{result.seed}.json").write_text(case.as_json() + "\n", encoding="utf-8")
