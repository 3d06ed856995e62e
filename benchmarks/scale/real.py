"""Real gatekeepers on loopback, as a rehearsal has them, and a hollow tier that is played as they were.

Both have the same firms, quotas, settings, workers and wire; what differs is chance: arrivals and work are
drawn anew. Where figures differ by more than `WITHIN`, the hollow tier leaves out something that counts."""

from __future__ import annotations

import asyncio
import os
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from benchmarks.scale.load import of_rehearsal
from benchmarks.scale.runs import figures_of, quantile
from benchmarks.scale.tier import COUNTED, SETTLE, Tier
from plumpick.rehearsal.fleet import Fleet
from plumpick.rehearsal.records import (
    AttemptAnswered,
    AttemptReceived,
    DatagramHandled,
    Record,
    RequestSent,
    ResponseReceived,
    StatusAvailable,
    StatusSent,
)
from plumpick.rehearsal.scenario import (
    AnyEvent,
    ClassPart,
    ClientPart,
    FleetPart,
    KillGatekeeper,
    LoadPart,
    PauseGatekeeper,
    PeerPart,
    ReleaseServers,
    RestartGatekeeper,
    Scenario,
    SplitPeers,
    check,
)
from plumpick.rehearsal.surroundings import Surroundings

WITHIN = 0.10
# Requests a second of all, inside quotas: what one loop of stand-ins carries with so many processes.
RATES = {3: 210.0, 10: 300.0, 40: 300.0}
SETTLE_S, SECONDS = 4.0, 10.0
COMPARED = (
    "words_told_per_s",
    "words_come_per_s",
    "words_taken_per_s",
    "word_bytes",
    "words_per_try",
    "attempts_per_served",
    "served_inside_part",
)
WORK_MS = 30.0


def scenario_of(
    gatekeepers: int,
    rate_per_s: float,
    seconds: float = SECONDS,
    events: tuple[AnyEvent, ...] = (),
    loss: float = 0.03,
) -> Scenario:
    """Calm clients and enough workers, so that it is control that is compared."""
    kinds = [
        ClassPart(
            name=name,
            share=share,
            work_ms=WORK_MS,
            aim_ms=aim,
            deadline_ms=deadline,
            worth=worth,
            repeats=repeats,
            window_s=window_s,
        )
        for name, share, aim, deadline, worth, repeats, window_s in (
            ("seat-check", 0.35, 750, 2000, 3, "safe", 0.0),
            ("seat-checkout", 0.34, 2000, 7500, 3, "keyed", 15.0),
            ("hours-debit", 0.31, 2000, 7500, 2, "unsafe", 0.0),
        )
    ]
    return check(
        Scenario(
            title="scale",
            seconds=SETTLE_S + seconds,
            load=LoadPart(rate_per_s=rate_per_s),
            classes=kinds,
            fleet=FleetPart(gatekeepers=gatekeepers, servers=max(12, gatekeepers), sockets=1024),
            clients=ClientPart(spiky=0.0, shift_s=[1e6, 1e6]),
            peers=PeerPart(loss=loss),
            events=list(events),
        )
    )


class Watch:
    """A listener of records: the same counts as those of a hollow tier."""

    def __init__(self, from_ms: float, until_ms: float) -> None:
        self.from_ms, self.until_ms = from_ms, until_ms
        self.counts: Counter[str] = Counter()
        self.added: list[float] = []
        self.inside: set[str] = set()  # names of firms that ask for no more than their quota
        self._asked: dict[str, RequestSent] = {}
        self._took: dict[int, float] = {}  # when an attempt came to its worker, ms
        self._worked: dict[int, float] = {}
        self._had: dict[tuple[str, str, int, str], float] = {}  # when an agent had word of a worker
        self.told_ms = 0.0  # the latest that a gatekeeper was told what its agent had

    def feed(self, record: Record) -> None:
        """The next record."""
        counted, count = self.from_ms <= record.t < self.until_ms, self.counts
        if isinstance(record, DatagramHandled) and counted:
            count["told"] += 1
            count["told_bytes"] += record.size
            count["come"] += record.fate in ("delivered", "crowded out")
            count["taken"] += record.fate == "delivered"
        elif isinstance(record, StatusAvailable):
            self._had[record.gate, record.server, record.life, record.status] = record.t
        elif isinstance(record, StatusSent):
            had = self._had.get((record.gate, record.server, record.life, record.status), record.t)
            self.told_ms = max(self.told_ms, record.t - had)
        elif isinstance(record, RequestSent):
            self._asked[record.id] = record
            count["tries"] += counted
            count["tries_inside"] += counted and record.firm in self.inside
        elif isinstance(record, AttemptReceived):
            self._took[record.n] = record.t
            count["attempts"] += counted
        elif isinstance(record, AttemptAnswered):
            self._worked[record.n] = record.t - self._took.pop(record.n, record.t)
        elif (
            isinstance(record, ResponseReceived)
            and counted
            and record.status == 200
            and record.id in self._asked
        ):
            asked = self._asked.pop(record.id)
            count["served"] += 1
            count["served_inside"] += asked.firm in self.inside
            if asked.firm in self.inside:
                self.added.append(record.t - asked.t - self._worked.get(record.source, 0.0))

    def figures(self, gatekeepers: int, seconds: float) -> dict[str, float]:
        """By the names of `runs.figures_of`."""
        count, each = self.counts, gatekeepers * seconds

        def part(top: str, bottom: str) -> float:
            return count[top] / count[bottom] if count[bottom] else 0.0

        found = {
            "tries_per_s": count["tries"] / each,
            "words_told_per_s": count["told"] / each,
            "words_come_per_s": count["come"] / each,
            "words_taken_per_s": count["taken"] / each,
            "word_bytes": part("told_bytes", "told"),
            "words_per_try": part("told", "tries"),
            "attempts_per_served": part("attempts", "served"),
            "served_inside_part": part("served_inside", "tries_inside"),
            "added_p50_ms": quantile(self.added, 0.5),
            "added_p99_ms": quantile(self.added, 0.99),
        }
        return {name: round(value, 4) for name, value in found.items()}


def _cost(pids: list[int]) -> tuple[float, float]:
    """CPU seconds that these processes have had, and the mean of their memory in MB."""
    cpu = memory = 0.0
    for pid in pids:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        cpu += (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        memory += int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    return cpu, memory / len(pids)


async def _real(scenario: Scenario, seed: int, seconds: float) -> dict[str, Any]:
    fleet = Fleet(Surroundings(asyncio.get_running_loop(), seed), scenario, "scale")
    fleet.recorder.listeners.clear()  # the rules are the rehearsal's matter
    costs: list[tuple[float, float]] = []
    try:
        await fleet.start()
        begin = fleet.around.now() + SETTLE_S * 1000
        watch = Watch(begin, begin + seconds * 1000)
        watch.inside = {firm.name for firm in fleet.front.customers if firm.use <= 1}
        fleet.recorder.listeners.append(watch)

        def look() -> None:
            costs.append(_cost([gate.pid for gate in fleet.supervisor.gates if gate.running()]))

        for ms in (SETTLE_S * 1000, (SETTLE_S + seconds) * 1000 - 50.0):
            fleet.around.later(ms, look)
        await fleet.play()
        lag = fleet.lag.quantile(0.99)
    finally:
        await asyncio.shield(fleet.close())
    gatekeepers = scenario.fleet.gatekeepers
    found = watch.figures(gatekeepers, seconds)
    found |= {
        "memory_mb": round(costs[1][1], 2),
        "stand_ins_lag_p99_ms": lag,
        "told_ms": round(watch.told_ms, 2),
    }
    if not scenario.events:  # a process that was begun anew has another past
        found["core_percent"] = round(100 * (costs[1][0] - costs[0][0]) / (seconds * gatekeepers), 3)
    return {"figures": found, "failed": fleet.failed}


def _hollow(scenario: Scenario, seed: int, seconds: float) -> dict[str, float]:
    loop = asyncio.new_event_loop()  # never run: the fleet is asked for its firms and settings alone
    fleet = Fleet(Surroundings(loop, seed), scenario, "scale")
    try:
        tier = Tier(of_rehearsal(fleet), seed)
    finally:
        fleet.supervisor.delete_folder()
        loop.close()
    return figures_of(tier, tier.run([(SETTLE, SETTLE_S), (COUNTED, seconds)]))


def compare(gatekeepers: int, seed: int, seconds: float = SECONDS, rate: float = 0.0) -> dict[str, Any]:
    """One size, real and hollow; `ratios` are hollow / real. Raises StartFailed or OSError."""
    scenario = scenario_of(gatekeepers, rate or RATES.get(gatekeepers, 300.0), seconds)
    real = uvloop.run(_real(scenario, seed, seconds))
    hollow = _hollow(scenario, seed, seconds)
    ratios = {
        name: round(hollow[name] / real["figures"][name], 4) if real["figures"][name] else None
        for name in COMPARED
    }
    off = [name for name, ratio in ratios.items() if ratio is None or abs(ratio - 1) > WITHIN]
    return {
        "gatekeepers": gatekeepers,
        "seed": seed,
        "seconds": seconds,
        "scenario": msgspec.to_builtins(scenario),
        "real": real["figures"],
        "failed": real["failed"],
        "hollow": {name: hollow[name] for name in sorted(hollow)},
        "ratios": ratios,
        "off": off,
    }


FAULTED = 10  # gatekeepers
RELEASE = ReleaseServers(at_s=SETTLE_S + 0.5, share=0.25, within_s=4.0, linger_s=1.0)  # so that there is news


def events_of(name: str) -> list[AnyEvent]:
    """What goes wrong in a real tier of `FAULTED`; each beside the same day without it."""
    begin = SETTLE_S + 1.0
    return [
        RELEASE,
        *{
            "calm": [],
            "kill": [KillGatekeeper(at_s=begin + 2.0 * n, gatekeeper=n) for n in range(2)],
            "stop": [PauseGatekeeper(at_s=begin + n, gatekeeper=n, for_s=3.0) for n in range(2)],
            "tenths": [RestartGatekeeper(at_s=begin + 0.8 * n, gatekeeper=n) for n in range(FAULTED)],
            "regions": [SplitPeers(at_s=begin, for_s=5.0, side=[0, 1, 2, 3, 4])],
        }[name],
    ]


def fault(name: str, seed: int, seconds: float = SECONDS) -> dict[str, Any]:
    """A real tier under a fault; its row. Raises StartFailed or OSError."""
    scenario = scenario_of(FAULTED, RATES[FAULTED], seconds, tuple(events_of(name)))
    row = uvloop.run(_real(scenario, seed, seconds))
    return {"fault": name, "gatekeepers": FAULTED, "seed": seed, **row}
