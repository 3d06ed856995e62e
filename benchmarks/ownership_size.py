"""`python -m benchmarks.ownership_size`: measures the cost of leases per gateway, by tier size and number of
scheduled tasks.

Runs the lease participants in simulated time, without sockets, and measures one minute without failures after
the leases have been assigned: messages and bytes sent and messages received per gateway and second, and the
CPU time of the decisions. The figures are split into acceptors ("voters"), holders of a slot's lease
("owners") and other gateways. No message contains scheduled tasks, so their number affects only the CPU time.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
from collections import defaultdict
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

SIZES, DUTIES, SECONDS, SLOTS = (3, 10, 30, 100, 200), (10, 1000), 60, 12
PEER_INBOX_PER_S = 60  # Maximum rate of messages that a gateway receives


def play(gateways: int, number: int) -> dict[str, Any]:
    """Measure a tier with this number of gateways and scheduled tasks; return its row."""
    from support.lease_tier import LeaseTier

    from plumpick.policy.scheduled_tasks import ScheduledTask, StartRun, TaskScheduler

    tier = LeaseTier(
        1, gateways=gateways, term_ms=6000, slots=SLOTS, acceptors=(0, gateways // 3, 2 * gateways // 3)
    )
    tier.delay, tier.loss = (2.0, 40.0), 0.03
    tier.run(90_000, judge=False)
    voters, owners = set(tier.terms.acceptors), {tier.holder(lease) for lease in range(SLOTS)}
    sent: dict[int, list[int]] = defaultdict(lambda: [0, 0])
    received: dict[int, int] = defaultdict(int)
    cpu: dict[int, float] = defaultdict(float)
    original_execute = tier.execute

    def execute(process: Any, action: Any) -> None:
        data = getattr(action, "data", None)
        if data is not None and hasattr(action, "receiver"):
            sent[process.number][0] += 1
            sent[process.number][1] += len(data)
            received[action.receiver] += 1
        original_execute(process, action)

    tier.execute = execute
    plans = {}
    for process in tier.processes:
        rows = tuple(ScheduledTask(f"d{place}", "call", 60_000.0, 5000.0, 0) for place in range(number))
        plan = plans[process.number] = TaskScheduler(rows, SLOTS, random.Random(process.number))
        for lease, held in process.participant.holder.held.items():
            plan.on_slot_acquired(0.0, lease, held.token)
        handle = process.participant.handle

        def timed(now_ms: float, events: Any = (), handle: Any = handle, place: int = process.number) -> Any:
            begin = time.process_time()
            actions = handle(now_ms, events)
            cpu[place] += time.process_time() - begin
            return actions

        process.participant.handle = timed
    tier.run(SECONDS * 1000, judge=False)
    for place, plan in plans.items():  # Each task of the gateway's slots runs once in the measured minute.
        begin = time.process_time()
        t = 0.0
        while t < SECONDS * 1000:
            for act in plan.handle(t, 1.8e12 + t):
                if isinstance(act, StartRun):
                    plan.on_run_completed(t + 1, act.task.name, act.period)
            t = max(t + 1, min(plan.next_due_ms(), SECONDS * 1000.0))
        cpu[place] += time.process_time() - begin

    def mean(values: list[float]) -> float:
        return round(sum(values) / len(values), 2) if values else 0.0

    row: dict[str, Any] = {"gatekeepers": gateways, "duties": number}
    groups = {
        "others": [n for n in range(gateways) if n not in voters and n not in owners],
        "owners": [n for n in owners if n is not None and n not in voters],
        "voters": sorted(voters),
    }
    for name, group in groups.items():
        row[name] = {
            "count": len(group),
            "sent_per_s": mean([sent[n][0] / SECONDS for n in group]),
            "bytes_per_s": mean([sent[n][1] / SECONDS for n in group]),
            "taken_per_s": mean([received[n] / SECONDS for n in group]),
            "cpu_us_per_s": mean([cpu[n] / SECONDS * 1e6 for n in group]),
        }
    row["voters"]["most_taken_per_s"] = round(max(received[n] for n in voters) / SECONDS, 2)
    return row


def main() -> int:
    """Print the cost of leases for each tier size; return exit code 0."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.ownership_size", description=__doc__)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    rows = [play(gateways, number) for gateways in SIZES for number in DUTIES]
    if arguments.json:
        print(json.dumps(rows))
        return 0
    for row in rows:
        print(f"{row['gatekeepers']:>4} gatekeepers, {row['duties']:>4} duties")
        for name in ("others", "owners", "voters"):
            print(f"      {name:<7} {row[name]}")
    print(f"a gatekeeper takes in {PEER_INBOX_PER_S} messages a second")
    return 0


if __name__ == "__main__":
    sys.exit(main())
