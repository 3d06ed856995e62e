"""What the daemon's start costs here and in another checkout, run in turn.

    python benchmarks/daemon_start.py OTHER [--runs 20]

OTHER is a checkout of an earlier commit. Each run is `python -m plumpick` with no configuration: it imports
all that the daemon needs and ends with exit code 2. Prints medians of seconds, CPU seconds and peak memory,
and the ratio of this checkout's to the other's.
"""

from __future__ import annotations

import argparse
import os
import statistics
import subprocess
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent.parent


def start(folder: Path) -> tuple[float, float, float]:
    """Seconds, CPU seconds and peak memory in MB of one start."""
    began = time.perf_counter()
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
        raise SystemExit(f"{folder}: ended with {process.returncode}, where 2 is due")
    return time.perf_counter() - began, usage.ru_utime + usage.ru_stime, usage.ru_maxrss / 1024


def main() -> None:
    """Print the table."""
    flags = argparse.ArgumentParser(description=__doc__)
    flags.add_argument("other", type=Path)
    flags.add_argument("--runs", type=int, default=20)
    given = flags.parse_args()
    rows: dict[str, list[tuple[float, float, float]]] = {"here": [], "other": []}
    for _ in range(given.runs + 2):
        rows["here"].append(start(HERE))
        rows["other"].append(start(given.other))
    here, other = (
        [statistics.median(column) for column in zip(*rows[name][2:], strict=True)] for name in rows
    )
    for name, mine, theirs in zip(("seconds", "CPU seconds", "peak MB"), here, other, strict=True):
        print(f"{name:12} here {mine:8.3f}  other {theirs:8.3f}  ratio {mine / theirs:.3f}")


if __name__ == "__main__":
    main()
