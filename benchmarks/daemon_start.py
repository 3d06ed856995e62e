"""Compares the start-up cost of the gateway daemon in this checkout and in another one, run alternately.

    python benchmarks/daemon_start.py OTHER [--runs 20]

OTHER is a checkout of an earlier commit. Each run is `python -m plumpick` without a configuration: it imports
all modules that the daemon needs and exits with code 2. Prints the medians of wall-clock seconds, CPU seconds
and peak memory, and the ratio of this checkout's figures to the other's. The first two runs are not counted.
"""

from __future__ import annotations

import argparse
import os
import statistics
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def measure_start(folder: Path) -> tuple[float, float, float]:
    """Start the daemon of a checkout once; return wall-clock seconds, CPU seconds and peak memory in MB.

    Raises SystemExit if the daemon's exit code is not 2.
    """
    started_s = time.perf_counter()
    environment = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
    process = subprocess.Popen(
        [sys.executable, "-m", "plumpick"],
        cwd=folder,
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode != 2:
        raise SystemExit(f"daemon in {folder}: expected exit code 2, got {process.returncode}")
    return time.perf_counter() - started_s, usage.ru_utime + usage.ru_stime, usage.ru_maxrss / 1024


def main() -> None:
    """Print the median start-up costs of both checkouts, and their ratios."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("other", type=Path)
    parser.add_argument("--runs", type=int, default=20)
    arguments = parser.parse_args()
    rows: dict[str, list[tuple[float, float, float]]] = {"here": [], "other": []}
    for _ in range(arguments.runs + 2):
        rows["here"].append(measure_start(ROOT))
        rows["other"].append(measure_start(arguments.other))
    here, other = (
        [statistics.median(column) for column in zip(*rows[name][2:], strict=True)] for name in rows
    )
    for name, mine, theirs in zip(("seconds", "CPU seconds", "peak MB"), here, other, strict=True):
        print(f"{name:12} here {mine:8.3f}  other {theirs:8.3f}  ratio {mine / theirs:.3f}")


if __name__ == "__main__":
    main()
