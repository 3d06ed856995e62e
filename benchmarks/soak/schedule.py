"""The schedule of one seed: a scenario of the rehearsal kit, and operators' actions in addition."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from plumpick.rehearsal.scenario import (
    AnyEvent,
    ClassPart,
    FleetPart,
    LoadPart,
    PauseGatekeeper,
    PeerPart,
    ReleaseServers,
    RosterSilent,
    Scenario,
    SilentWatches,
    SplitPeers,
    check,
)

FIRST_ACTION_S = 3.0
ACTION_INTERVAL_S = (2.5, 5.0)
LAST_ACTION_S = 8.0  # Time before the end of the run at which the last action begins, so that it completes
CROWD_RATIO = 0.3  # Share of the seeds that have a crowd
CROWD_CONNECTIONS = 1500
SOCKETS = 1024
HALVED_SOCKETS = 512
REQUESTS_PER_S = 60.0  # Number of requests per second that clients send within their quotas
MAX_RELOAD_OFFSET_S = 0.2


@dataclass(frozen=True, slots=True)
class Terminate:
    """SIGTERM, SIGKILL at the earliest documented moment, and the start of a new process."""

    at_s: float
    gate: int


@dataclass(frozen=True, slots=True)
class TerminateTwice:
    """Like Terminate, with a second SIGTERM `gap_s` after the first."""

    at_s: float
    gate: int
    gap_s: float


@dataclass(frozen=True, slots=True)
class TerminateAndReload:
    """Like Terminate, with SIGHUP `offset_s` after SIGTERM; a negative offset is before it."""

    at_s: float
    gate: int
    offset_s: float


@dataclass(frozen=True, slots=True)
class TerminateTwo:
    """Like Terminate, at two gateways at the same time."""

    at_s: float
    gate: int
    other: int


@dataclass(frozen=True, slots=True)
class HotRestart:
    """`count` hot restarts of a gateway: the predecessor gets SIGTERM once its successor is ready.

    Each restart begins as soon as the successor of the previous one is ready.
    """

    at_s: float
    gate: int
    count: int


@dataclass(frozen=True, slots=True)
class Crowd:
    """Connections that send the start of a request only, and are reopened whenever one is closed."""

    at_s: float
    gate: int
    for_s: float
    connections: int


Action = Terminate | TerminateTwice | TerminateAndReload | TerminateTwo | HotRestart | Crowd


@dataclass(frozen=True, slots=True)
class Schedule:
    """Scenario and actions of one seed."""

    seed: int
    scenario: Scenario
    actions: tuple[Action, ...]


def draw_schedule(seed: int, seconds: float) -> Schedule:
    """Return the schedule of a seed for a soak of the given duration; it depends on these values only."""
    rng = random.Random(f"soak/{seed}")
    gates = rng.randint(3, 7)
    is_crowded = rng.random() < CROWD_RATIO
    actions = _draw_actions(rng, gates, seconds)
    if is_crowded:
        crowd = Crowd(FIRST_ACTION_S, rng.randrange(gates), seconds - LAST_ACTION_S, CROWD_CONNECTIONS)
        actions.append(crowd)
    scenario = Scenario(
        title=f"soak, seed {seed}",
        seconds=seconds,
        fleet=FleetPart(gatekeepers=gates, servers=9, sockets=HALVED_SOCKETS if is_crowded else SOCKETS),
        load=LoadPart(rate_per_s=REQUESTS_PER_S),
        peers=PeerPart(loss=rng.choice([0.0, 0.03, 0.2])),
        classes=_classes(),
        events=_draw_events(rng, gates, seconds),
    )
    return Schedule(seed, check(scenario), tuple(sorted(actions, key=lambda one: one.at_s)))


def _classes() -> list[ClassPart]:
    """Return the request classes; the longest documented deadline, as it sets the time of SIGKILL."""
    return [
        ClassPart(
            name="seat-check", share=0.4, work_ms=60, aim_ms=750, deadline_ms=1500, worth=3, repeats="safe"
        ),
        ClassPart(
            name="seat-checkout",
            share=0.3,
            work_ms=120,
            aim_ms=1500,
            deadline_ms=3000,
            worth=3,
            repeats="keyed",
            window_s=10,
        ),
        ClassPart(
            name="hours-debit",
            share=0.3,
            work_ms=120,
            aim_ms=1500,
            deadline_ms=3000,
            worth=2,
            repeats="unsafe",
        ),
    ]


def _draw_actions(rng: random.Random, gates: int, seconds: float) -> list[Action]:
    """Return actions at random intervals; gateways that are still being restarted are not chosen again."""
    actions: list[Action] = []
    busy_until_s = [0.0] * gates
    at_s = FIRST_ACTION_S
    while at_s < seconds - LAST_ACTION_S:
        free = [gate for gate in range(gates) if busy_until_s[gate] <= at_s]
        if len(free) >= 2:
            gate, other = rng.sample(free, 2)
            action = _draw_action(rng, at_s, gate, other)
            actions.append(action)
            for one in (gate, other) if isinstance(action, TerminateTwo) else (gate,):
                busy_until_s[one] = at_s + LAST_ACTION_S
        at_s += rng.uniform(*ACTION_INTERVAL_S)
    return actions


def _draw_action(rng: random.Random, at_s: float, gate: int, other: int) -> Action:
    kinds: list[Callable[[], Action]] = [
        lambda: Terminate(at_s, gate),
        lambda: TerminateTwice(at_s, gate, rng.uniform(0.0, 1.5)),
        lambda: TerminateAndReload(at_s, gate, rng.uniform(-MAX_RELOAD_OFFSET_S, MAX_RELOAD_OFFSET_S)),
        lambda: TerminateAndReload(at_s, gate, 0.0),
        lambda: TerminateTwo(at_s, gate, other),
        lambda: HotRestart(at_s, gate, 1),
        lambda: HotRestart(at_s, gate, 2),
    ]
    return rng.choice(kinds)()


def _draw_events(rng: random.Random, gates: int, seconds: float) -> list[AnyEvent]:
    """Return the faults of machines and networks during the run."""

    def moment() -> float:
        return rng.uniform(FIRST_ACTION_S, max(FIRST_ACTION_S, seconds - LAST_ACTION_S))

    possible: list[Callable[[], AnyEvent]] = [
        lambda: PauseGatekeeper(at_s=moment(), gatekeeper=rng.randrange(gates), for_s=rng.uniform(0.3, 4.0)),
        lambda: SplitPeers(at_s=moment(), for_s=rng.uniform(1.0, 6.0), side=[rng.randrange(gates)]),
        lambda: RosterSilent(at_s=moment(), for_s=rng.uniform(1.0, 6.0)),
        lambda: SilentWatches(at_s=moment()),
        lambda: ReleaseServers(at_s=moment(), share=0.3, within_s=6.0),
    ]
    return [make() for make in possible if rng.random() < 0.4]
