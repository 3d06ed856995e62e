"""Plays one seed of the soak, from the start of the gateways to the verdict."""

from __future__ import annotations

import asyncio
import json
from dataclasses import asdict
from pathlib import Path

from benchmarks.soak.fleet import SoakFleet, SoakSupervisor
from benchmarks.soak.judge import Verdict, judge_logs, judge_processes, judge_resources, judge_rules
from benchmarks.soak.schedule import Schedule, draw_schedule
from plumpick.rehearsal.supervisor import StartFailed
from plumpick.rehearsal.surroundings import Surroundings

SETTLE_S = 5.0  # Time after the end of the last client in which connections finish closing


async def play_seed(seed: int, seconds: float, found: Path) -> Verdict:
    """Play a seed and return its verdict; the files needed to understand a failure are kept below `found`."""
    schedule = draw_schedule(seed, seconds)
    fleet = SoakFleet(Surroundings(asyncio.get_running_loop(), seed), schedule)
    supervisor = fleet.supervisor
    assert isinstance(supervisor, SoakSupervisor)
    verdict = Verdict(seed)
    try:
        await fleet.start()
        await fleet.play()
        judge_rules(fleet, verdict)
        fleet.front.close()
        for connections in fleet.front.gateway_connections:
            while connections.idle:
                connections.idle.pop().transport.abort()
        await asyncio.sleep(SETTLE_S)
        judge_resources(fleet, verdict)
        judge_logs(fleet, verdict)
        if verdict.problems:
            keep(schedule, fleet, verdict, found / f"soak-{seed}")
    except (StartFailed, OSError) as problem:
        verdict.problems.append(f"not played: {problem}")
    finally:
        await asyncio.shield(fleet.close())
    judge_processes(supervisor, verdict)
    return verdict


def keep(schedule: Schedule, fleet: SoakFleet, verdict: Verdict, folder: Path) -> None:
    """Write the schedule, the logs and the breaches of a failing seed to `folder`."""
    folder.mkdir(parents=True, exist_ok=True)
    page = {
        "seed": schedule.seed,
        "problems": verdict.problems,
        "actions": [[type(one).__name__, asdict(one)] for one in schedule.actions],
        "events": [repr(one) for one in schedule.scenario.events],
        "marks": fleet.marks,
        "breaches": verdict.unexplained,
    }
    (folder / "page.json").write_text(json.dumps(page, indent=1) + "\n", encoding="utf-8")
    for gate in fleet.supervisor.gates:
        (folder / f"{gate.name}.log").write_bytes((gate.folder / "log").read_bytes())
