"""`python -m benchmarks.stalls`: what gatekeepers that stand still cost, told apart: at the one that
stands, and at the others because of it.

Plays the scenario `standstills` and the same without its stops, same seed, and counts the tries by where and
when they came: at the standing gatekeeper while it stood and in the `--after` seconds that follow, at the
others in both, and all else. Beside each row what the same row is where nobody stood."""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from collections import defaultdict
from pathlib import Path
from typing import Any

from plumpick.rehearsal.records import Answered, Asked, Gate, read_history

SCENARIO = Path(__file__).resolve().parents[1] / "plumpick/rehearsal/scenarios/standstills.toml"
ROWS = ("standing, while it stood", "standing, after", "others, while one stood", "others, after", "all else")


def play(scenario: Path, seed: int, folder: Path) -> list[Any]:
    """The records of a rehearsal; its own verdict does not matter here."""
    subprocess.run(
        [
            sys.executable,
            "-m",
            "plumpick.cli",
            "rehearse",
            str(scenario),
            "--seed",
            str(seed),
            "--report",
            str(folder),
            "--quiet",
        ],
        stdout=subprocess.DEVNULL,
        check=False,
    )
    with open(folder / "history.jsonl", encoding="utf-8") as lines:
        return list(read_history(lines))


def stops(records: list[Any]) -> list[tuple[str, float, float]]:
    """Who stood from when to when, ms."""
    begun: dict[str, float] = {}
    spans = []
    for one in records:
        if isinstance(one, Gate) and one.what == "stop":
            begun[one.gate] = one.t
        elif isinstance(one, Gate) and one.what == "cont" and one.gate in begun:
            spans.append((one.gate, begun.pop(one.gate), one.t))
    return spans


def rows(records: list[Any], spans: list[tuple[str, float, float]], after_ms: float) -> dict[str, Any]:
    """Tries, those with no answer in time, refused and served, by row."""
    answers = {one.id: one for one in records if isinstance(one, Answered)}
    table: dict[str, dict[str, int]] = {name: defaultdict(int) for name in ROWS}
    for one in records:
        if not isinstance(one, Asked):
            continue
        where = "all else"
        for gate, begin, end in spans:
            if begin <= one.t < end + after_ms:
                when = "while it stood" if one.t < end else "after"
                other = "while one stood" if one.t < end else "after"
                where = f"standing, {when}" if one.gate == gate else f"others, {other}"
                break
        row, answer = table[where], answers.get(one.id)
        row["tries"] += 1
        if answer is None or answer.t > one.t + one.wait_ms:
            row["none"] += 1
        elif answer.status == 200:
            row["served"] += 1
        elif answer.status in (429, 503):
            row["refused"] += 1
        else:
            row["other"] += 1
    return table


def main() -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.stalls", description=__doc__)
    parser.add_argument("--seed", type=int, default=90417)
    parser.add_argument("--after", type=float, default=3.0, help="seconds that count as after (3)")
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    text = SCENARIO.read_text(encoding="utf-8")
    with tempfile.TemporaryDirectory() as folder:
        calm = Path(folder, "calm.toml")
        calm.write_text(text[: text.index("[[events]]")], encoding="utf-8")
        stood = play(SCENARIO, arguments.seed, Path(folder, "stood"))
        spans = stops(stood)
        if not spans:
            print("nobody stood still in the records", file=sys.stderr)
            return 1
        quiet = play(calm, arguments.seed, Path(folder, "calm"))
        # The same moments of the script: both count from the first request.
        first = min(one.t for one in stood if isinstance(one, Asked))
        shift = min(one.t for one in quiet if isinstance(one, Asked)) - first
        here = rows(stood, spans, arguments.after * 1000)
        there = rows(
            quiet, [(gate, begin + shift, end + shift) for gate, begin, end in spans], arguments.after * 1000
        )
    if arguments.json:
        print(json.dumps({"stood": here, "calm": there}))
        return 0
    print(f"{len(spans)} stalls; each figure: with them, and at the same moments with none")
    for name in ROWS:
        print(
            f"{name:<26}"
            + "  ".join(
                f"{what} {here[name][what]:>5} {there[name][what]:>5}"
                for what in ("tries", "none", "refused", "served", "other")
            )
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
