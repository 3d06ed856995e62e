"""`python -m benchmarks.slopes`: measures the cost of each part of plumpick at four or more sizes and writes
the fitted curve, points and residual to plumpick/capacity/slopes.json.

    python -m benchmarks.slopes [--only NAME ...] [--compiled FOLDER] [--out FILE] [--list]

With `--compiled FOLDER` (made by `python -m plumpick.tools.compile FOLDER`) the policy is compiled, as the
deploy file builds it, and only CPU slopes are measured, because counts and bytes are the same. Slopes that
are not measured in this run remain unchanged in the file."""

from __future__ import annotations

import argparse
import json
import os
import platform
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Any

from plumpick.capacity.slopes import COMPILED, EITHER, FILE, FORMS, LINEAR, PLAIN, POWER, SATURATING, best_fit
from plumpick.gateway import compiled

ROUNDS, LONG_ROUNDS = 9, 5  # Number of rounds in which a CPU slope is measured, and one with long rounds
ROUND_S = 600.0  # Timeout of a measurement round
REFERENCE_MS = 1.04  # CPU ms of the reference loop at the speed to which CPU figures are normalised
WORKERS = (10, 200, 1000, 2950, 5900)
FIRMS = (20, 73, 218, 1000, 4000)
CLASSES = (3, 230, 1000, 4000, 11_000)
RATES = (70, 150, 273, 600, 1000)
SETS = (2, 3, 5, 8, 11, 20, 40)
GATEKEEPERS = (40, 100, 200, 550)
WATCHERS = (10, 40, 200, 550)


@dataclass(frozen=True, slots=True)
class Task:
    """A slope to be measured: its function, sizes and candidate curves."""

    name: str
    what: str
    x: str
    unit: str
    sizes: tuple[int, ...]
    where: str  # Name of the module of this package that has the function `name`
    cpu: bool = False  # Whether the figure depends on whether the policy is compiled
    forms: tuple[str, ...] = FORMS  # Candidate forms of the curve; the one with the least residual is used

    is_long: bool = False

    @property
    def is_of_cpu(self) -> bool:
        return "CPU" in self.unit


TASKS = (
    Task("idle_by_workers", "module with nothing to do", "workers", "ms CPU/s", WORKERS, "decisions", True),
    Task(
        "idle_by_classes",
        "module with nothing to do, 60 workers",
        "classes",
        "ms CPU/s",
        CLASSES,
        "decisions",
        True,
        (LINEAR,),
    ),
    Task(
        "idle_by_firms",
        "module with nothing to do, 200 workers, right after so many firms came",
        "firms",
        "ms CPU/s",
        FIRMS,
        "decisions",
        True,
        (LINEAR,),
    ),
    Task(
        "changed_entry",
        "one changed entry taken in, one call",
        "workers",
        "ms CPU",
        WORKERS,
        "decisions",
        True,
    ),
    Task(
        "changed_together",
        "entries changed in one answer, 5,900 workers, one call",
        "entries",
        "ms CPU",
        (1, 10, 100, 590, 1180),
        "decisions",
        True,
        (LINEAR,),
    ),
    Task("whole_list", "the whole list taken in, one call", "workers", "ms CPU", WORKERS, "decisions", True),
    Task("list_parse", "the whole list read from JSON", "workers", "ms CPU", WORKERS, "decisions"),
    Task("list_bytes", "the whole list as JSON", "workers", "bytes", WORKERS, "decisions"),
    Task(
        "request_by_workers",
        "decisions of a request at 273 a second, sets of 3",
        "workers",
        "us CPU",
        (500, 1000, 2000, 2950, 5900),
        "decisions",
        True,
        is_long=True,
    ),
    Task(
        "serving_by_rate",
        "decisions of requests, 1,000 workers, sets of 3",
        "requests a second",
        "ms CPU/s",
        RATES,
        "decisions",
        True,
        is_long=True,
    ),
    Task(
        "heard_by_set",
        "a word taken in, 273 requests a second",
        "gatekeepers of a set",
        "us CPU",
        (2, 3, 5, 8, 11, 20),
        "decisions",
        True,
        is_long=True,
    ),
    Task("words_by_rate_3", "words told, sets of 3", "requests a second", "words/s", RATES, "decisions"),
    Task("words_by_rate_20", "words told, sets of 20", "requests a second", "words/s", RATES, "decisions"),
    Task(
        "words_by_set",
        "words told at 273 requests a second",
        "gatekeepers of a set",
        "words/s",
        SETS,
        "decisions",
    ),
    Task(
        "words_by_firms",
        "words told, sets of 3, 273 requests a second",
        "firms at a home",
        "words/s",
        (2, 7, 22, 73, 218),
        "decisions",
    ),
    Task("bytes_by_rate_3", "bytes told, sets of 3", "requests a second", "bytes/s", RATES, "decisions"),
    Task("bytes_by_rate_20", "bytes told, sets of 20", "requests a second", "bytes/s", RATES, "decisions"),
    Task(
        "bytes_by_set",
        "bytes told at 273 requests a second",
        "gatekeepers of a set",
        "bytes/s",
        SETS,
        "decisions",
    ),
    Task("settings_parse_by_classes", "a configuration read", "classes", "ms CPU", CLASSES, "decisions"),
    Task(
        "settings_parse_by_plans",
        "a configuration read",
        "plans",
        "ms CPU",
        (2, 100, 1000, 4000),
        "decisions",
    ),
    Task("settings_bytes", "a configuration as JSON", "classes", "bytes", CLASSES, "decisions"),
    Task(
        "memory_by_workers",
        "entries of the module and of the list",
        "workers",
        "bytes",
        WORKERS,
        "decisions",
        forms=(LINEAR,),
    ),
    Task(
        "memory_by_firms",
        "an account and a store of each firm",
        "firms",
        "bytes",
        FIRMS,
        "decisions",
        forms=(LINEAR,),
    ),
    Task("memory_by_classes", "the module", "classes", "bytes", CLASSES, "decisions", forms=(LINEAR,)),
    Task(
        "memory_by_requests",
        "open requests",
        "requests",
        "bytes",
        (10, 50, 200, 800, 3200),
        "decisions",
        forms=(LINEAR,),
    ),
    Task(
        "memory_by_peers",
        "peers that told something",
        "peers",
        "bytes",
        (10, 40, 200, 549),
        "decisions",
        forms=(LINEAR,),
    ),
    Task(
        "divider_asking",
        "an asking answered by the divider of one budget, which all ask for",
        "gatekeepers",
        "us CPU",
        GATEKEEPERS,
        "decisions",
    ),
    Task(
        "memory_by_askers",
        "the same divider",
        "gatekeepers",
        "bytes",
        GATEKEEPERS,
        "decisions",
        forms=(LINEAR,),
    ),
    Task("estate_bytes", "what a process leaves to the next, as JSON", "firms", "bytes", FIRMS, "decisions"),
    Task("estate_ms", "that left, written, read and taken over", "firms", "ms CPU", FIRMS, "decisions", True),
    Task(
        "start_by_workers",
        "a process from its start to its first 200 at /up",
        "workers",
        "s",
        WORKERS,
        "processes",
    ),
    Task("resident_by_workers", "its resident memory then", "workers", "MB", WORKERS, "processes"),
    Task("descriptors_by_workers", "its descriptors then", "workers", "descriptors", WORKERS, "processes"),
    Task(
        "start_by_classes",
        "a process from its start to its first 200 at /up, 10 workers",
        "classes",
        "s",
        CLASSES,
        "processes",
    ),
    Task(
        "resident_by_classes",
        "its resident memory then, 10 workers",
        "classes",
        "MB",
        CLASSES,
        "processes",
        forms=(LINEAR,),
    ),
    Task(
        "calls_s", "runs of `plumpick call`, one after another", "calls", "s", (10, 40, 150, 550), "processes"
    ),
    Task(
        "voter_taken",
        "words of leases taken in by the busiest voter, 3 voters, 12 slots, 6 s terms",
        "gatekeepers",
        "words/s",
        GATEKEEPERS,
        "processes",
    ),
    Task("voter_sent", "the same sent by a voter", "gatekeepers", "words/s", GATEKEEPERS, "processes"),
    Task("voter_bytes", "the same in bytes", "gatekeepers", "bytes/s", GATEKEEPERS, "processes"),
    Task("voter_cpu", "decisions of a voter", "gatekeepers", "ms CPU/s", GATEKEEPERS, "processes"),
    Task(
        "owner_taken",
        "words taken in by an owner of a slot, 10 duties",
        "gatekeepers",
        "words/s",
        GATEKEEPERS,
        "processes",
    ),
    Task("owner_sent", "the same sent", "gatekeepers", "words/s", GATEKEEPERS, "processes"),
    Task("owner_bytes", "the same in bytes", "gatekeepers", "bytes/s", GATEKEEPERS, "processes"),
    Task(
        "owner_cpu", "decisions of an owner, 10 duties", "gatekeepers", "ms CPU/s", GATEKEEPERS, "processes"
    ),
    Task(
        "taken_over",
        "a class more taken over, 5,900 workers, 218 accounts, 73 stores and open requests",
        "classes",
        "ms CPU",
        CLASSES,
        "versions",
        True,
    ),
    Task(
        "taken_over_by_stores",
        "the same, 3 classes",
        "stores and open requests",
        "ms CPU",
        FIRMS,
        "versions",
        True,
        (LINEAR,),
    ),
    Task(
        "plans_taken_over",
        "the burst of all 50 plans taken over, 5,900 workers, 73 stores",
        "classes",
        "ms CPU",
        CLASSES,
        "versions",
        True,
    ),
    Task(
        "change_bytes",
        "a class more, as the answer of a service, 40 plans",
        "classes",
        "bytes",
        CLASSES,
        "versions",
    ),
    Task(
        "whole_bytes",
        "the whole, as the answer of a service, 40 plans",
        "classes",
        "bytes",
        CLASSES,
        "versions",
    ),
    Task(
        "change_read",
        "a class more read, made of its base and checked, 40 plans",
        "classes",
        "ms CPU",
        CLASSES,
        "versions",
    ),
    Task("rest_calls", "calls in rest at one service", "watchers", "calls/s", WATCHERS, "versions"),
    Task("rest_bytes", "bytes out and in, the same", "watchers", "bytes/s", WATCHERS, "versions"),
    Task(
        "rest_core",
        "the service in rest, one play",
        "watchers",
        "% of a core",
        WATCHERS,
        "versions",
        forms=(POWER, SATURATING),
    ),
    Task(
        "change_core",
        "the service for one change, one play",
        "watchers",
        "ms of a core",
        WATCHERS,
        "versions",
    ),
    Task(
        "change_told",
        "from publishing one change to the last that has it, one play",
        "watchers",
        "s",
        WATCHERS,
        "versions",
    ),
)


def machine() -> str:
    return (
        f"{os.cpu_count()} cores {platform.machine()}, {platform.python_implementation()} "
        f"{platform.python_version()}, {platform.system()}"
    )


def measure_round(task: Task) -> list[float]:
    """Measure one value for each size in this process; CPU is normalised to the reference speed."""
    from benchmarks.slopes import decisions as decisions_module
    from benchmarks.slopes import processes, versions

    where = {"decisions": decisions_module, "processes": processes, "versions": versions}[task.where]
    point: Callable[[float], float] = getattr(where, task.name)
    if not task.is_of_cpu:
        return [float(point(size)) for size in task.sizes]
    values = []
    for size in task.sizes:
        before = reference_ms()
        value = float(point(size))
        values.append(value * REFERENCE_MS * 2 / (before + reference_ms()))
    return values


def reference_ms() -> float:
    """Return the CPU ms of a fixed loop, which indicates the current speed of the machine.

    A machine may switch between several speeds: an idle policy controller took 4.4 or 8.4 ms per second, and
    this loop 0.61 or 1.04 ms with it, for minutes at a time."""

    def once() -> float:
        begin, total = time.process_time_ns(), 0
        rows = [(number, number * 3) for number in range(3000)]
        for _ in range(5):
            for first, second in rows:
                total += first if second % 7 else 1
        return (time.process_time_ns() - begin) / 1e6

    return median(once() for _ in range(5))


def measure_rounds(task: Task, folder: Path | None) -> list[list[float]]:
    """Measure all sizes: in several rounds with a separate process each for CPU, otherwise in one round."""
    if not task.is_of_cpu:
        return [measure_round(task)]
    command = [sys.executable, "-m", "benchmarks.slopes", "--round", task.name]
    command += ["--compiled", str(folder)] if folder else []
    return [
        json.loads(subprocess.run(command, check=True, stdout=subprocess.PIPE, timeout=ROUND_S).stdout)
        for _ in range(LONG_ROUNDS if task.is_long else ROUNDS)
    ]


def measure(task: Task, decisions: str, folder: Path | None) -> dict[str, Any]:
    """Measure a slope and fit its curve; return it as an entry of the slopes file."""
    columns = list(zip(*measure_rounds(task, folder), strict=True))
    points = [[size, median(column)] for size, column in zip(task.sizes, columns, strict=True)]
    scatter = max((max(column) / min(column) for column in columns if min(column) > 0), default=1.0)
    form, a, b, off = best_fit([(float(x), float(y)) for x, y in points], task.forms)
    command = f"python -m benchmarks.slopes --only {task.name}" + (
        " --compiled FOLDER" if decisions == COMPILED else ""
    )
    return {
        "name": task.name,
        "what": task.what,
        "x": task.x,
        "unit": task.unit,
        "decisions": decisions,
        "form": form,
        "a": a,
        "b": b,
        "points": points,
        "residual": off,
        "scatter": scatter,
        "command": command,
        "date": time.strftime("%Y-%m-%d", time.gmtime()),
        "machine": machine(),
    }


def write(path: Path, rows: list[dict[str, Any]]) -> None:
    """Write `rows` to the slopes file; they replace entries with the same name and decisions."""
    existing_rows = json.loads(path.read_text(encoding="utf-8"))["slopes"] if path.exists() else []
    row_by_key = {(row["name"], row["decisions"]): row for row in [*existing_rows, *rows]}
    task_names = [task.name for task in TASKS]
    order = sorted(row_by_key.values(), key=lambda row: (task_names.index(row["name"]), row["decisions"]))
    lines = ",\n".join(json.dumps(row) for row in order)
    path.write_text(f'{{"slopes": [\n{lines}\n]}}\n', encoding="utf-8")


def main() -> int:
    """Measure and write the slopes; return 0, or 2 for invalid arguments."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.slopes",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--only", nargs="+", metavar="NAME", default=[])
    parser.add_argument("--compiled", type=Path, metavar="FOLDER")
    parser.add_argument("--out", type=Path, default=FILE)
    parser.add_argument("--list", action="store_true", help="print only the names of the slopes")
    parser.add_argument("--round", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    names = {task.name for task in TASKS}
    if arguments.list:
        print("\n".join(task.name for task in TASKS))
        return 0
    if unknown := sorted({*arguments.only, *([arguments.round] if arguments.round else [])} - names):
        print(f"benchmarks.slopes: unknown slope: {', '.join(unknown)}", file=sys.stderr)
        return 2
    if arguments.compiled and "compiled (" not in (origin := compiled.use_compiled_files(arguments.compiled)):
        print(f"benchmarks.slopes: {origin}; compile them into {arguments.compiled} first", file=sys.stderr)
        return 2
    if arguments.round:
        print(json.dumps(measure_round(next(task for task in TASKS if task.name == arguments.round))))
        return 0
    for task in TASKS:
        if arguments.only and task.name not in arguments.only or arguments.compiled and not task.cpu:
            continue
        decisions = EITHER if not task.cpu else COMPILED if arguments.compiled else PLAIN
        begin = time.monotonic()
        row = measure(task, decisions, arguments.compiled)
        write(arguments.out, [row])
        point_texts = ", ".join(f"{x:g}: {y:.4g}" for x, y in row["points"])
        print(
            f"{task.name} ({decisions}, {task.unit}) {point_texts}; {row['form']}, a {row['a']:.4g}, "
            f"b {row['b']:.4g}, off {100 * row['residual']:.1f} %, "
            f"rounds apart {row['scatter']:.2f} times [{time.monotonic() - begin:.0f} s]",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
