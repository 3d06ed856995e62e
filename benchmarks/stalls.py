"""`python -m benchmarks.stalls`: measures the effect of stalled gateways, separately for the stalled gateway
and for the others.

Plays the scenario `standstills` with and without its stalls, with the same seed. Counts the requests by
gateway and time: at the stalled gateway during the stall and in the `--after` seconds that follow, at the
other gateways during and after it, and all others. Prints each count next to that of the run without stalls.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from collections import defaultdict
from pathlib import Path
from typing import Any

from plumpick.rehearsal.records import GatewayEvent, RequestSent, ResponseReceived, read_history

SCENARIO = Path(__file__).resolve().parents[1] / "plumpick/rehearsal/scenarios/standstills.toml"
ROWS = ("standing, while it stood", "standing, after", "others, while one stood", "others, after", "all else")


def play(scenario: Path, seed: int, folder: Path) -> list[Any]:
    """Run a rehearsal and return the records of its history; its verdict is ignored."""
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


def stall_spans(records: list[Any]) -> list[tuple[str, float, float]]:
    """Return the stalls in the records: gateway, begin and end in ms."""
    stopped_ms: dict[str, float] = {}
    spans = []
    for one in records:
        if isinstance(one, GatewayEvent) and one.what == "stop":
            stopped_ms[one.gate] = one.t
        elif isinstance(one, GatewayEvent) and one.what == "cont" and one.gate in stopped_ms:
            spans.append((one.gate, stopped_ms.pop(one.gate), one.t))
    return spans


def count_by_row(
    records: list[Any], spans: list[tuple[str, float, float]], after_ms: float
) -> dict[str, Any]:
    """Return for each row the number of requests, in total and by outcome.

    Outcomes: `none` (no response before the client gave up), `served`, `refused` (429 or 503) and `other`.
    """
    answers = {one.id: one for one in records if isinstance(one, ResponseReceived)}
    table: dict[str, dict[str, int]] = {name: defaultdict(int) for name in ROWS}
    for one in records:
        if not isinstance(one, RequestSent):
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
    """Print the counts of requests with and without stalls; return 1 if the history has no stall."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.stalls", description=__doc__)
    parser.add_argument("--seed", type=int, default=90417)
    parser.add_argument("--after", type=float, default=3.0, help="seconds counted after a stall (default: 3)")
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    text = SCENARIO.read_text(encoding="utf-8")
    with tempfile.TemporaryDirectory() as folder:
        calm = Path(folder, "calm.toml")
        calm.write_text(text[: text.index("[[events]]")], encoding="utf-8")
        stalled = play(SCENARIO, arguments.seed, Path(folder, "stood"))
        spans = stall_spans(stalled)
        if not spans:
            print(f"no stall in the history of {SCENARIO.name}", file=sys.stderr)
            return 1
        calm_records = play(calm, arguments.seed, Path(folder, "calm"))
        # Record times of the two runs are aligned at the first request.
        first = min(one.t for one in stalled if isinstance(one, RequestSent))
        shift = min(one.t for one in calm_records if isinstance(one, RequestSent)) - first
        stalled_table = count_by_row(stalled, spans, arguments.after * 1000)
        calm_table = count_by_row(
            calm_records,
            [(gate, begin + shift, end + shift) for gate, begin, end in spans],
            arguments.after * 1000,
        )
    if arguments.json:
        print(json.dumps({"stood": stalled_table, "calm": calm_table}))
        return 0
    print(f"{len(spans)} stalls; each figure: with them, and at the same moments with none")
    for name in ROWS:
        print(
            f"{name:<26}"
            + "  ".join(
                f"{what} {stalled_table[name][what]:>5} {calm_table[name][what]:>5}"
                for what in ("tries", "none", "refused", "served", "other")
            )
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
