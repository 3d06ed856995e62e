"""Measures up to which request rate a workstation can run a rehearsal: event loop lag against request rate.

    python benchmarks/rehearsal_scale.py [--rates 100 250 500 750 1000] [--gatekeepers 8] [--servers 60]

Each run lasts 15 s. Requests take little work, so that the workers have spare capacity at every rate. Prints
a table in Markdown: first attempts per second, lag of the event loop of the rehearsal kit (clients, worker
stubs and discovery stub), CPU seconds and verdicts.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SECONDS = 15
SCENARIO = """title = "scale"
seconds = {seconds}
[fleet]
gatekeepers = {gatekeepers}
servers = {servers}
sockets = 1024
[load]
rate_per_s = {rate}
[clients]
heavy = 0.0
spiky = 0.0
[[classes]]
name = "seat-check"
share = 0.35
work_ms = 25
aim_ms = 750
deadline_ms = 2000
worth = 3
repeats = "safe"
[[classes]]
name = "seat-checkout"
share = 0.34
work_ms = 50
aim_ms = 2000
deadline_ms = 3000
worth = 3
repeats = "keyed"
window_s = 15
[[classes]]
name = "hours-debit"
share = 0.31
work_ms = 50
aim_ms = 2000
deadline_ms = 3000
worth = 2
repeats = "unsafe"
"""


def play(rate: float, gatekeepers: int, servers: int) -> tuple[str, ...]:
    """Play one run at `rate` requests per second; return the cells of its table row."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "scale.toml"
        path.write_text(SCENARIO.format(seconds=SECONDS, gatekeepers=gatekeepers, servers=servers, rate=rate))
        command = [sys.executable, "-m", "plumpick.cli", "rehearse", str(path), "--quiet", "--seed", "1"]
        process = subprocess.Popen(
            [*command, "--report", folder], cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )
        _, status, usage = os.wait4(process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
        report = json.loads((Path(folder) / "report.json").read_text())
        history = sum(1 for _ in (Path(folder) / "history.jsonl").open())
    counts, lag = report["service"]["counts"], report["lag_ms"]
    broken = [rule for rule, one in report["rules"].items() if one["verdict"] == "broken"]
    return (
        f"{rate:g}",
        f"{counts['first_tries'] / SECONDS:.0f}",
        f"{lag['p99']:.1f}",
        f"{lag['max']:.0f}",
        f"{history / SECONDS:.0f}",
        f"{usage.ru_utime + usage.ru_stime:.0f}",
        f"{report['service']['whole']:.3f}",
        ", ".join(broken) or "held",
        str(report["exit_code"]),
    )


def main() -> None:
    """Print a table with a row for each request rate."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="*", default=[100, 250, 500, 750, 1000])
    parser.add_argument("--gatekeepers", type=int, default=8)
    parser.add_argument("--servers", type=int, default=60)
    arguments = parser.parse_args()
    print(f"{arguments.gatekeepers} gatekeepers, {arguments.servers} servers, {os.cpu_count()} cores\n")
    print(
        "| asked, a second | first tries a second | lag p99, ms | lag most, ms | records a second | "
        "CPU s, kit and gatekeepers | served | rules | exit code |"
    )
    print("|" + " --- |" * 9)
    for rate in arguments.rates:
        print("| " + " | ".join(play(rate, arguments.gatekeepers, arguments.servers)) + " |", flush=True)


if __name__ == "__main__":
    main()
