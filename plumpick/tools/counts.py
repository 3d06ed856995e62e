"""`plumpick counts DIR`: totals of a whole tier, aggregated from the trace records of its gateways.

`python -m plumpick.tools.traced` writes the records: lines with `@` and a JSON array of kind, Unix time in ms
and further values. Text before the `@`, and lines without a record, are skipped. The folder has one file
named `NAME.log` for each gateway."""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from plumpick.cli import EXIT_HELD, EXIT_USAGE

COLUMNS = (
    "arrival",
    "send",
    "credit",
    "refuse",
    "fail",
    "OK",
    "FULL",
    "CONNECT_FAILED",
    "RESET",
    "TIMEOUT",
    "handshake",
    "call",
    "turned away",
    "tell",
    "sign",
    "heard",
)


class CountsError(ValueError):
    """The records contain no request, so that there is no start time; the text gives the reason."""


@dataclass(slots=True)
class Slice:
    """The totals of all gateways within one span of time."""

    counts: Counter[str] = field(default_factory=Counter)
    workers: Counter[str] = field(default_factory=Counter)  # number of attempts in the slice, by worker
    # values of the slice's records of the kind `belief`
    beliefs: list[dict[str, Any]] = field(default_factory=list)

    def mean_belief(self, name: str) -> float:
        """The mean of a value over all records of the kind `belief` in this span; 0 if none has the value."""
        values = [row[name] for row in self.beliefs if isinstance(row.get(name), (int, float))]
        return sum(values) / len(values) if values else 0.0


def parse_records(lines: Iterable[str]) -> tuple[list[list[Any]], int]:
    """The records in a log, and the number of malformed ones, which a killed process leaves."""
    rows, torn = [], 0
    for line in lines:
        start = line.find('@["')
        if start < 0:
            continue
        try:
            row = json.loads(line[start + 1 :])
        except ValueError:
            torn += 1
            continue
        if len(row) >= 2 and isinstance(row[0], str) and isinstance(row[1], (int, float)):
            rows.append(row)
        else:
            torn += 1
    return rows, torn


def count_row(into: Slice, row: list[Any]) -> None:
    """Add a record to the totals of its slice. Raises IndexError or TypeError if the record is malformed."""
    kind = row[0]
    if kind == "send":
        into.workers[row[3]] += 1
        into.counts["credit"] += bool(row[4]) and not row[5]
    elif kind == "outcome":
        into.counts[row[4]] += 1
    elif kind == "dial":
        into.counts["handshake"] += row[3] == "up"
    elif kind == "call":
        into.counts["turned away"] += row[3] != "ok"
    elif kind == "tell":
        into.counts["sign"] += not row[3]
    elif kind == "belief":
        into.beliefs.append(row[2])
    into.counts[kind] += 1


def aggregate(rows: Iterable[list[Any]], span_ms: float) -> tuple[dict[int, Slice], int]:
    """The totals by slice, and the number of malformed records. Slices are numbered from the first request;
    earlier ones have negative numbers. Raises CountsError if there is no request."""
    rows = list(rows)
    first_arrival_ms = min((row[1] for row in rows if row[0] == "arrival"), default=None)
    if first_arrival_ms is None:
        raise CountsError("the records contain no request")
    slices: dict[int, Slice] = {}
    malformed = 0
    for row in rows:
        try:
            count_row(slices.setdefault(int((row[1] - first_arrival_ms) // span_ms), Slice()), row)
        except (IndexError, TypeError):
            malformed += 1
    return slices, malformed


def summarize(slices: dict[int, Slice]) -> dict[str, float]:
    """Figures over all slices: connects per attempt, maximum of discovery calls and of messages in a slice,
    and the highest load of a worker in a slice relative to the mean of the workers with attempts in that
    slice."""
    sends = sum(one.counts["send"] for one in slices.values())
    total = sum(one.counts["handshake"] for one in slices.values())
    load_ratios = [
        max(one.workers.values()) * len(one.workers) / sum(one.workers.values())
        for one in slices.values()
        if sum(one.workers.values()) >= 4 * len(one.workers) > 0
    ]
    return {
        "sends": sends,
        "handshakes a send": round(total / max(1, sends), 3),
        "calls of discovery, most in a slice": max(one.counts["call"] for one in slices.values()),
        "messages, most in a slice": max(one.counts["tell"] for one in slices.values()),
        "messages not taken in": sum(one.counts["tell"] - one.counts["heard"] for one in slices.values()),
        "sends on credit": sum(one.counts["credit"] for one in slices.values()),
        "worker's load over the mean, most": round(max(load_ratios, default=0.0), 2),
    }


def format_table(slices: dict[int, Slice], span_ms: float) -> str:
    """The totals as a text table with a row for each slice, followed by the summary."""
    believed = ("warm", "cold", "silent", "limit")
    lines = [f"{'s':>6}" + "".join(f"{name[:9]:>10}" for name in (*COLUMNS, *believed))]
    for place in sorted(slices):
        one = slices[place]
        cells = [f"{one.counts[name]:>10}" for name in COLUMNS]
        cells += [f"{one.mean_belief(name):>10.1f}" for name in believed]
        lines.append(f"{place * span_ms / 1000:>6.1f}" + "".join(cells))
    return "\n".join(lines + [f"{name}: {value}" for name, value in summarize(slices).items()])


def counts(arguments: argparse.Namespace) -> int:
    """Run `plumpick counts`; returns its exit code."""
    files = sorted(Path(arguments.folder).glob("*.log"))
    if not files or arguments.span <= 0:
        problem = "the folder contains no *.log file" if not files else "--span: expected more than 0 ms"
        print(f"plumpick: {arguments.folder}: {problem}", file=sys.stderr)
        return EXIT_USAGE
    rows, torn = [], 0
    try:
        for path in files:
            more, bad = parse_records(path.read_text(encoding="utf-8", errors="replace").splitlines())
            rows, torn = rows + more, torn + bad
        slices, malformed = aggregate(rows, arguments.span)
    except OSError as problem:
        print(f"plumpick: {arguments.folder}: {problem.strerror}", file=sys.stderr)
        return EXIT_USAGE
    except CountsError as problem:
        print(f"plumpick: {arguments.folder}: {problem}", file=sys.stderr)
        return EXIT_USAGE
    if arguments.json:
        print(
            json.dumps(
                {
                    "slices": {place * arguments.span: dict(one.counts) for place, one in slices.items()},
                    "summary": summarize(slices),
                    "torn": torn + malformed,
                },
                indent=1,
            )
        )
    else:
        print(format_table(slices, arguments.span))
        print(f"{torn + malformed} malformed records skipped")
    return EXIT_HELD
