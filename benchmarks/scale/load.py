"""Who asks, of what, with which settings: drawn for a point, or as a rehearsal's scenario has it.

Both give the same kind of load, so that a hollow tier plays what a real one was played with."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from benchmarks.cold_workers import COLD_FROM, CORES, MULTIPLE, WARM_UP_MS, WINDOW_MS
from benchmarks.scale.points import Point
from plumpick.policy.events import Endpoint, EndpointState
from plumpick.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from plumpick.policy.settings_parser import parse_settings
from plumpick.rehearsal.fleet import Fleet
from plumpick.rehearsal.scenario import ClientPart, PeerPart, RosterPart, Scenario

ZONES, REGION = 5, 3  # of both regions; of the first one
BUSY = 0.45  # of the workers' capacity, that a point's requests ask for
MOST_WORK_MS = 170.0
# Part of the load, quota against the least plan's, seconds of it in its burst, ceiling in quotas.
PLANS = (("basico", 0.41, 1.0, 5.0, 0.0), ("estandar", 0.26, 2.6, 2.0, 0.0), ("amplio", 0.33, 10.0, 1.5, 2.0))
LEAST_BURST = 2.0
KINDS = (
    RequestClass("check", 750, 2000, 3, Idempotency.IDEMPOTENT),
    RequestClass(
        "checkout",
        2000,
        7500,
        3,
        Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window_ms=15_000,
    ),
    RequestClass("debit", 2000, 7500, 2, Idempotency.NON_IDEMPOTENT),
)


@dataclass(slots=True)
class Firm:
    """A firm, as far as its requests go."""

    name: str
    plan: str
    asked_per_s: float
    use: float  # asked, of its quota
    spread: int
    first: int
    honours: bool
    weights: list[float] = field(default_factory=list)  # of the gatekeepers of its set


@dataclass(slots=True)
class Load:
    """All that a tier is played with."""

    gateways: int
    settings_of: Callable[[int], Settings]
    firms: list[Firm]
    kinds: list[tuple[RequestClass, float, float]]  # share, and mean work in ms
    servers: list[Endpoint]
    capacity: float  # of a warm worker, ms of work a ms
    clients: ClientPart
    peers: PeerPart
    roster: RosterPart


def _weights(rng: random.Random, part: ClientPart, spread: int) -> list[float]:
    """How a firm's requests spread over its set: as the rehearsal's clients have it."""
    skew = rng.uniform(*part.skew)
    weights = [1 / (rank + 1) ** skew for rank in range(spread)]
    rng.shuffle(weights)
    return weights


def _use(rng: random.Random, part: ClientPart) -> float:
    roll = rng.random()
    if roll < part.heavy:
        return rng.uniform(*part.heavy_times)
    return 0.95 if roll < part.heavy + part.full else rng.uniform(*part.usual_use)


def classes(count: int) -> tuple[RequestClass, ...]:
    """So many, of three kinds in turn."""
    return tuple(
        kind if n < len(KINDS) else replace(kind, name=f"{kind.name}-{n}")
        for n, kind in zip(range(count), itertools.cycle(KINDS), strict=False)
    )


def of_point(point: Point, seed: int) -> Load:
    """The load of a point. All firms ask for their quotas times their use, which makes the point's rate; sets
    begin at equal distances, so that no gatekeeper has more firms than another."""
    rng, part, peers = random.Random(f"{seed}/firms"), ClientPart(), PeerPart()
    total = point.gatekeepers * point.rate
    mean_use = 0.0
    uses = [_use(rng, part) for _ in range(point.firms)]
    parts = [share / times for _, share, times, _, _ in PLANS]  # firms of a plan, against the others'
    names = rng.choices(range(len(PLANS)), parts, k=point.firms)
    mean_use = sum(use * PLANS[place][2] for use, place in zip(uses, names, strict=True))
    quota = total / mean_use  # of the least plan, a second
    plans, rates = [], {}
    for name, _, times, burst_s, ceiling in PLANS:
        rate = rates[name] = quota * times
        burst = max(LEAST_BURST, rate * burst_s)
        plans.append(
            Plan(
                name,
                rate,
                burst,
                over_quota_cost=0.6,
                hard_limit_per_s=ceiling * rate,
                hard_limit_burst=ceiling * burst,
            )
        )
    firms = []
    for number, (use, place) in enumerate(zip(uses, names, strict=True)):
        plan = PLANS[place][0]
        firms.append(
            Firm(
                f"firm-{number}",
                plan,
                rates[plan] * use,
                use,
                point.spread,
                number * point.gatekeepers // point.firms,
                rng.random() < part.honour,
                _weights(rng, part, point.spread),
            )
        )
    kinds = classes(point.classes)
    work_ms = min(MOST_WORK_MS, BUSY * CORES * point.workers * 1000 / total)
    common = Settings(
        gateway_count=point.gatekeepers,
        gateway_number=0,
        zone="",
        classes=kinds,
        plans=tuple(plans),
        slow_start_ms=WARM_UP_MS,
        slow_start_initial_ratio=COLD_FROM,
        overload_multiple=MULTIPLE,
        overload_window_ms=WINDOW_MS,
        max_attempts=5,
        tick_ms=4.0,
        can_message_peers=True,
        can_hedge=True,
        max_retry_after_ms=1000.0,
        peer_inbox_per_s=peers.inbox_per_s,
        load_report_source="answers",
        load_report_fields=("util", "latency_ms"),
    )
    return Load(
        point.gatekeepers,
        lambda number: replace(common, gateway_number=number, zone=f"z{number % ZONES}"),
        firms,
        [(kind, 1 / point.classes, work_ms) for kind in kinds],
        [
            Endpoint(f"w{number}", f"z{number % ZONES}", number // 20, EndpointState.READY)
            for number in range(point.workers)
        ],
        CORES,
        part,
        peers,
        RosterPart(),
    )


def of_rehearsal(fleet: Fleet) -> Load:
    """The load of a rehearsal's fleet, which need not be started: the same firms, quotas and settings."""
    scenario: Scenario = fleet.scenario
    rng = random.Random(f"{fleet.around.seed}/weights")
    settings = [
        parse_settings(fleet.supervisor.settings_of(number)) for number in range(scenario.fleet.gatekeepers)
    ]
    kinds = {kind.name: kind for kind in settings[0].classes}
    return Load(
        scenario.fleet.gatekeepers,
        settings.__getitem__,
        [
            Firm(
                firm.name,
                firm.plan.name,
                firm.rate * firm.use,
                firm.use,
                firm.spread,
                firm.first,
                firm.honours_retry_after,
                _weights(rng, scenario.clients, firm.spread),
            )
            for firm in fleet.front.customers
        ],
        [(kinds[kind.name], kind.share, kind.work_ms) for kind in scenario.classes],
        [
            Endpoint(server.name, server.zone, fleet.groups[server.name], EndpointState.READY)
            for server in fleet.servers.values()
        ],
        float(scenario.server.cores),
        scenario.clients,
        scenario.peers,
        scenario.roster,
    )
