"""What goes wrong in a hollow tier, drawn from its seed; each beside a run in which nothing does."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, replace
from typing import Any

from benchmarks.scale.load import REGION, ZONES, of_point
from benchmarks.scale.points import Point
from benchmarks.scale.runs import LIMIT_S, beyond_part, figures_of, row_of
from benchmarks.scale.tier import BEGIN_MS, COUNTED, SETTLE, Make, Tier
from plumpick.policy.controller import Controller
from plumpick.policy.events import EndpointState

# A size whose inboxes hold in calm, so that what is lost is the fault's.
POINT = Point(40, 200, 4000, 3, 30.0, 3)
SETTLE_S, SECONDS = 3.0, 12.0
BEGIN, FOR_MS = BEGIN_MS + (SETTLE_S + 1.0) * 1000, 5000.0
NOTICE_MS = (930.0, 3100.0)  # until those who send requests notice a dead gatekeeper
LOST, LATE_MS = 0.08, 200.0
CHANGES = 3  # workers replaced meanwhile, to see who is told when


@dataclass(frozen=True, slots=True)
class Fault:
    """`script` puts it on a tier's agenda; the rest is what bounds.py has to know of it."""

    script: Callable[[Tier], None]
    restarts: int = 0  # of one gatekeeper
    split: bool = False


def some(tier: Tier, part: float) -> list[Any]:
    return tier.rng.sample(list(tier.gates.values()), max(1, round(len(tier.gates) * part)))


def calm(_tier: Tier) -> None:
    """Nothing."""


def kill(tier: Tier) -> None:
    """A tenth gets SIGKILL, each at a moment of its own, and is back a second later."""
    for gate in some(tier, 0.1):
        tier.at(BEGIN + tier.rng.uniform(0, FOR_MS), tier.end, gate, 1000.0, tier.rng.uniform(*NOTICE_MS))


def stop(tier: Tier) -> None:
    """A tenth stands still (SIGSTOP) for 3 s."""

    def stand(gate: Any) -> None:
        gate.still_ms = tier.now + 3000.0

    for gate in some(tier, 0.1):
        tier.at(BEGIN + tier.rng.uniform(0, FOR_MS), stand, gate)


def zone(tier: Tier) -> None:
    """All workers and gatekeepers of a zone are gone at once, and back, cold, 5 s later."""
    name = f"z{tier.rng.randrange(ZONES)}"
    servers = [server for server in tier.load.servers if server.zone == name]

    def gone() -> None:
        tier.change([replace(server, state=EndpointState.GONE) for server in servers])

    def back() -> None:
        tier.change([replace(server, started_ms=tier.now) for server in servers])

    tier.at(BEGIN, gone)
    tier.at(BEGIN + FOR_MS, back)
    for number, gate in tier.gates.items():
        if tier.load.settings_of(number).zone == name:
            tier.at(BEGIN, tier.end, gate, FOR_MS, tier.rng.uniform(*NOTICE_MS))


def regions(tier: Tier) -> None:
    """Gatekeepers of two regions do not hear each other for 5 s."""
    first = {number for number in tier.gates if number % ZONES < REGION}

    def part() -> None:
        tier.apart = lambda sender, receiver: (sender in first) != (receiver in first)

    def join() -> None:
        tier.apart = lambda _sender, _receiver: False

    tier.at(BEGIN, part)
    tier.at(BEGIN + FOR_MS, join)


def tenths(tier: Tier) -> None:
    """All gatekeepers are restarted as planned, a tenth each second."""
    for number, gate in tier.gates.items():
        tier.at(BEGIN + number * 10 // len(tier.gates) * 1000.0, tier.leave, gate)


def lost(tier: Tier) -> None:
    """8 of 100 words are lost."""
    tier.loss = LOST


def late(tier: Tier) -> None:
    """Each word is later by 200 ms."""
    tier.late_ms = LATE_MS


FAULTS: Mapping[str, Fault] = {
    "calm": Fault(calm),
    "kill": Fault(kill, restarts=1),
    "stop": Fault(stop),
    "zone": Fault(zone, restarts=1),
    "regions": Fault(regions, split=True),
    "tenths": Fault(tenths, restarts=1),
    "lost": Fault(lost),
    "late": Fault(late),
}


def play(
    name: str,
    seed: int,
    *,
    point: Point = POINT,
    seconds: float = SECONDS,
    limit_s: float = LIMIT_S,
    make: Make = Controller,
) -> dict[str, Any]:
    """A fault; its row of the result. Raises TierError."""
    until, fault = time.monotonic() + limit_s, FAULTS[name]
    tier = Tier(of_point(point, seed), seed, make=make)
    fault.script(tier)
    for number, worker in enumerate(tier.rng.sample(sorted(tier.list), CHANGES)):
        tier.at(BEGIN + number * 1000.0, tier.replaced, worker)
    played = tier.run([(SETTLE, SETTLE_S), (COUNTED, seconds)], until)
    figures = figures_of(tier, played)
    figures["beyond_part"] = beyond_part(tier, sum(played.values()), fault.restarts, fault.split)
    return row_of(figures, tier, played) | {
        "fault": name,
        "point": asdict(point),
        "seed": seed,
        "cut": played.get(COUNTED, 0.0) < seconds,
    }
