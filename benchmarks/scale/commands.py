"""`python -m benchmarks.scale`: what it plays, prints and writes.

Without flags: all axes around the base line, the diagonal, every fault, and hollow tiers beside real ones.
`--axes ''` leaves the points out, `--real ''` the real tiers, `--faults ''` the faults. Exit code 0: played;
1: a run failed, or (`--brief`) a bound is broken; 2: bad call."""

from __future__ import annotations

import argparse
import json
import math
import multiprocessing
import os
import platform
import time
from collections.abc import Callable
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from dataclasses import asdict, fields
from pathlib import Path
from typing import Any

from benchmarks.scale import faults, runs, told
from benchmarks.scale.points import AXES, DIAGONAL, LIMITS, Point, PointError, check, of_axis, passed_at
from plumpick.cli import EXIT_BROKEN, EXIT_HELD, Parser

MOST_JOBS, MOST_LIMIT_S = 8, 3600.0
REAL_FAULTS = ("calm", "kill", "stop", "tenths", "regions")  # of a real tier of ten
REAL_MOST = 64  # gatekeepers: with their stand-ins far from 300 processes
COLUMNS = (
    "words_come_per_s",
    "crowded_part",
    "control_bytes_per_s",
    "control_cpu_percent",
    "changing_cpu_percent",
    "serve_us_per_try",
    "list_change_ms",
    "core_p99_ms",
    "added_p50_ms",
    "added_p99_ms",
    "memory_mb",
    "told_ms",
    "cold_sum",
    "beyond_part",
    "served_inside_part",
)
FAULT_COLUMNS = (
    "served_inside_part",
    "words_come_per_s",
    "crowded_part",
    "control_cpu_percent",
    "added_p50_ms",
    "added_p99_ms",
    "told_ms",
    "cold_sum",
    "beyond_units",
    "beyond_part",
)

REAL_COLUMNS = (
    "served_inside_part",
    "words_come_per_s",
    "added_p50_ms",
    "added_p99_ms",
    "told_ms",
    "memory_mb",
    "stand_ins_lag_p99_ms",
)


def names(text: str) -> list[str]:
    return [word for word in text.split(",") if word]


def parser() -> Parser:
    """The flags."""
    flags = Parser(prog="python -m benchmarks.scale", description=__doc__)
    flags.add_argument("--brief", action="store_true", help="small sizes, judged by bounds, in under 40 s")
    flags.add_argument("--out", metavar="DIR", help="write result.json and chart.png there")
    flags.add_argument("--resume", metavar="FILE", help="a result.json: what it has played stays as it is")
    flags.add_argument("--seed", type=int, default=1)
    flags.add_argument("--jobs", type=int, default=3, help="hollow runs at once")
    flags.add_argument("--limit-s", type=float, default=1500.0, help="no run begins after so many seconds")
    flags.add_argument("--axes", default=",".join((*AXES, "diagonal")), help="by comma; '' for none")
    flags.add_argument("--faults", default=",".join(faults.FAULTS), help="by comma; '' for none")
    flags.add_argument("--fault-seeds", type=int, default=2)
    flags.add_argument("--real", default="3,10,40", help="sizes of real tiers, by comma; '' for none")
    flags.add_argument("--real-faults", default=",".join(REAL_FAULTS), help="by comma; '' for none")
    for field in fields(Point):
        flags.add_argument(
            f"--{field.name}",
            type=type(field.default),
            help="play one point alone, all else as in the base line",
        )
    return flags


def _checked(flags: Parser, given: argparse.Namespace) -> tuple[list[tuple[str, float, Point]], list[int]]:
    """The points with their axis and value, and the sizes of real tiers; ends the program where a flag
    cannot be served."""
    own = {
        field.name: getattr(given, field.name)
        for field in fields(Point)
        if getattr(given, field.name) is not None
    }
    try:
        if own:
            return [("one", 0.0, check(Point(**own)))], []
        rows = []
        for axis in names(given.axes):
            points = list(DIAGONAL) if axis == "diagonal" else of_axis(axis, Point())
            rows += [
                (axis, float(getattr(point, "gatekeepers" if axis == "diagonal" else axis)), check(point))
                for point in points
            ]
    except PointError as problem:
        flags.error(str(problem))
    for name, low, high in (("jobs", 1, MOST_JOBS), ("limit_s", 1, MOST_LIMIT_S), ("fault_seeds", 1, 100)):
        if not low <= getattr(given, name) <= high:
            flags.error(
                f"--{name.replace('_', '-')}: {getattr(given, name):g} is not between {low} and {high:g}"
            )
    for flag, chosen, known in (
        ("--faults", given.faults, tuple(faults.FAULTS)),
        ("--real-faults", given.real_faults, REAL_FAULTS),
    ):
        unknown = [name for name in names(chosen) if name not in known]
        if unknown:
            flags.error(f"{flag}: there is no fault {unknown[0]!r}; there are: {', '.join(known)}")
    sizes = names(given.real)
    wrong = [size for size in sizes if not size.isdecimal() or not 2 <= int(size) <= REAL_MOST]
    if wrong:
        flags.error(f"--real: {wrong[0]!r} is no size between 2 and {REAL_MOST}")
    return rows, [int(size) for size in sizes]


class Work:
    """Hollow runs, some at once, each in a process of its own; a point that stands on two axes is played
    once."""

    def __init__(self, jobs: int, until: float) -> None:
        self.jobs, self.until = jobs, until
        self.todo: dict[Any, tuple[Callable[..., Any], tuple[Any, ...], dict[str, Any]]] = {}
        self.done: dict[Any, dict[str, Any]] = {}

    def add(self, key: Any, call: Callable[..., Any], *arguments: Any, **named: Any) -> None:
        self.todo[key] = call, arguments, named

    def run(self, tell: Callable[[Any, dict[str, Any]], None]) -> None:
        """Play all; a run that fails or comes too late has a row that says so."""
        spawn = multiprocessing.get_context("spawn")  # so that one run's memory is not another's
        with ProcessPoolExecutor(self.jobs, mp_context=spawn, max_tasks_per_child=1) as pool:
            futures: dict[Future[Any], Any] = {}
            for key, (call, arguments, named) in self.todo.items():
                futures[pool.submit(_one, self.until, call, arguments, named)] = key
            for future in as_completed(futures):
                key = futures[future]
                try:
                    self.done[key] = future.result()
                except Exception as problem:  # told in its row, and by the exit code; the others count
                    self.done[key] = {"failed": f"{type(problem).__name__}: {problem}"}
                tell(key, self.done[key])


def _one(
    until: float, call: Callable[..., Any], arguments: tuple[Any, ...], named: dict[str, Any]
) -> dict[str, Any]:
    if time.monotonic() > until:
        return {"failed": "not run: --limit-s was over"}
    row: dict[str, Any] = call(*arguments, **named)
    return row


def _short(figures: dict[str, float], columns: tuple[str, ...]) -> list[str]:
    return [f"{figures[name]:.4g}" if name in figures else "-" for name in columns]


def _table(head: list[str], rows: list[list[str]]) -> str:
    return "\n".join("| " + " | ".join(row) + " |" for row in [head, ["---"] * len(head), *rows])


def earlier_of(flags: Parser, given: argparse.Namespace) -> dict[str, Any]:
    """What an earlier result of this seed has played to its end: rows by key; ends the program where the file
    cannot be read."""
    if not given.resume:
        return {"wall_s": 0.0, "rows": {}}
    try:
        old = json.loads(Path(given.resume).read_text(encoding="utf-8"))
        rows = {Point(**row["point"]): row for row in old["points"]}
        rows |= {(row["fault"], row["seed"]): row for row in old["faults"]}
        rows |= {("real", row["gatekeepers"]): row for row in old["real"]}
        rows |= {("real fault", row["fault"]): row for row in old.get("real_faults", [])}
        rows = {key: row for key, row in rows.items() if not row.get("failed") and not row.get("cut")}
        if old["seed"] == given.seed:
            return {"wall_s": float(old["wall_s"]), "rows": rows}
        flags.error(f"--resume: {given.resume} is of seed {old['seed']}")
    except OSError as problem:
        flags.error(f"--resume: {problem.strerror}")
    except (ValueError, KeyError, TypeError) as problem:
        flags.error(f"--resume: no result: {type(problem).__name__}: {problem}")


def play(  # noqa: C901  (to be split by concern)
    given: argparse.Namespace,
    points: list[tuple[str, float, Point]],
    sizes: list[int],
    earlier: dict[str, Any],
) -> tuple[dict[str, Any], bool]:
    """Everything that was asked for, and whether all of it was played."""
    known = earlier["rows"]
    until = time.monotonic() + given.limit_s
    work = Work(given.jobs, until)
    dear = sorted({point for _, _, point in points}, key=lambda size: -size.workers * size.spread * size.rate)
    for point in dear:  # the longest first
        work.add(point, runs.play, point, given.seed, jobs=given.jobs)
    one = bool(points) and points[0][0] == "one"  # a single point, and nothing else
    wanted = [] if one else names(given.faults)
    for name in wanted:
        for seed in range(given.seed, given.seed + given.fault_seeds):
            work.add((name, seed), faults.play, name, seed)

    def tell(key: Any, row: dict[str, Any]) -> None:
        about = key if isinstance(key, Point) else f"fault {key[0]}, seed {key[1]}"
        print(f"{about}: {row.get('failed') or ('cut short' if row['cut'] else 'played')}", flush=True)

    begin = time.monotonic()
    work.done = {key: known[key] for key in work.todo if key in known}
    for key in work.done:
        del work.todo[key]
    work.run(tell)
    rows = [
        work.done[point] | {"axis": axis, "value": value, "point": asdict(point)}
        for axis, value, point in points
    ]
    result: dict[str, Any] = {
        "seed": given.seed,
        "base": asdict(Point()),
        "limits": dict(LIMITS),
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "services": "no mechanism: settings know one pool of workers",
        "points": rows,
        "passed_at": passed_at([row for row in rows if "figures" in row]),
        "faults": [
            {"fault": name, "seed": seed} | work.done[name, seed]
            for name in wanted
            for seed in range(given.seed, given.seed + given.fault_seeds)
        ],
        "told": [
            told.play(size, shared, given.seed) for size in (3, 40, 200, 550) for shared in (False, True)
        ]
        if wanted
        else [],
        "real": [],
    }
    for size in sizes:
        if ("real", size) in known:
            result["real"].append(known["real", size])
            continue
        if time.monotonic() > until:
            result["real"].append({"gatekeepers": size, "failed": "not run: --limit-s was over"})
            continue
        from benchmarks.scale import real  # its stand-ins need the kit
        from plumpick.rehearsal.supervisor import StartFailed

        try:
            result["real"].append(real.compare(size, given.seed))
        except (StartFailed, OSError) as problem:
            result["real"].append({"gatekeepers": size, "failed": str(problem)})
    result["real_faults"] = []
    for name in [] if one else names(given.real_faults):
        from benchmarks.scale import real
        from plumpick.rehearsal.supervisor import StartFailed

        if ("real fault", name) in known:
            result["real_faults"].append(known["real fault", name])
            continue
        if time.monotonic() > until:
            result["real_faults"].append({"fault": name, "failed": "not run: --limit-s was over"})
            continue
        try:
            result["real_faults"].append(real.fault(name, given.seed))
        except (StartFailed, OSError) as problem:
            result["real_faults"].append({"fault": name, "failed": str(problem)})
    result["wall_s"] = round(time.monotonic() - begin + earlier["wall_s"], 1)
    whole = [row for part in ("points", "faults", "real", "real_faults") for row in result[part]]
    return result, not any(row.get("failed") or row.get("cut") for row in whole)


def show(result: dict[str, Any]) -> None:
    """Print the tables."""
    print(
        f"\nseed {result['seed']}, {result['cores']} cores, {result['wall_s']} s; base line {result['base']}"
    )
    if result["points"]:
        print(
            "\n"
            + _table(
                ["axis", "value", "", *COLUMNS],
                [
                    [
                        row["axis"],
                        f"{row['value']:g}",
                        row.get("failed") or "cut short" * row["cut"],
                        *_short(row.get("figures", {}), COLUMNS),
                    ]
                    for row in result["points"]
                ],
            )
        )
        print(
            "\n"
            + _table(
                ["limit", "of", "first passed at"],
                [
                    [
                        name,
                        f"{limit:g}",
                        ", ".join(
                            f"{axis} {value:g}" for axis, value in result["passed_at"].get(name, {}).items()
                        )
                        or "never",
                    ]
                    for name, limit in result["limits"].items()
                ],
            )
        )
    if result["faults"]:
        print(
            "\n"
            + _table(
                ["fault", "seed", *FAULT_COLUMNS],
                [
                    [row["fault"], str(row["seed"]), *_short(row.get("figures", {}), FAULT_COLUMNS)]
                    for row in result["faults"]
                ],
            )
        )
    if result["told"]:
        print(
            "\n"
            + _table(
                list(result["told"][0]), [[str(cell) for cell in row.values()] for row in result["told"]]
            )
        )
    for row in result["real"]:
        if row.get("failed"):
            print(f"\nreal tier of {row['gatekeepers']}: failed: {row['failed']}")
            continue
        print(f"\nreal tier of {row['gatekeepers']}, hollow / real (asked: within 10 %):")
        print(
            _table(
                ["figure", "real", "hollow", "ratio"],
                [
                    [
                        name,
                        f"{row['real'][name]:.4g}",
                        f"{row['hollow'][name]:.4g}",
                        "-" if ratio is None else f"{ratio:.3f}" + " OFF" * (name in row["off"]),
                    ]
                    for name, ratio in row["ratios"].items()
                ],
            )
        )
        print(
            ", ".join(
                f"{name} {value:.4g}" for name, value in row["real"].items() if name not in row["ratios"]
            )
        )
    if result["real_faults"]:
        print(
            "\n"
            + _table(
                ["fault, real tier of ten", *REAL_COLUMNS],
                [
                    [
                        row["fault"],
                        *([row["failed"]] if row.get("failed") else _short(row["figures"], REAL_COLUMNS)),
                    ]
                    for row in result["real_faults"]
                ],
            )
        )


def main(arguments: list[str] | None = None) -> int:
    """The exit code."""
    flags = parser()
    given = flags.parse_args(arguments)
    points, sizes = _checked(flags, given)
    folder = Path(given.out) if given.out else None
    if folder is not None:
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as problem:
            flags.error(f"--out: {problem.strerror}")
    earlier = earlier_of(flags, given)
    print(f"seed {given.seed}", flush=True)
    if given.brief:
        from benchmarks.scale import brief

        return brief.main(given.seed)
    result, whole = play(given, points, sizes, earlier)
    show(result)
    if folder is not None:

        def finite(value: Any) -> Any:  # JSON has no infinity
            if isinstance(value, dict):
                return {key: finite(one) for key, one in value.items()}
            if isinstance(value, list | tuple):
                return [finite(one) for one in value]
            return None if isinstance(value, float) and not math.isfinite(value) else value

        (folder / "result.json").write_text(json.dumps(finite(result), indent=1) + "\n", encoding="utf-8")
        from benchmarks.scale import chart

        chart.draw(result, folder / "chart.png")
    return EXIT_HELD if whole else EXIT_BROKEN
