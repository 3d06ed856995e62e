"""Simulation cases: the parameters and injected faults that are generated from one seed.

Each case enables a random subset of fault kinds with random intensity, as in swarm testing (Groce et al.,
2012): many runs with a random subset of faults each reach more states than runs with every kind enabled. A
case is plain data that can be saved as JSON, reduced and replayed.
"""

from __future__ import annotations

import json
import random
from dataclasses import asdict, dataclass, field, replace
from typing import Any

SECONDS, GATES, SERVERS = 30.0, 3, 12
SERVER_FAULTS = (
    "swallow",
    "error",
    "fast-error",
    "reset-before",
    "reset-after",
    "slow-after-record",
    "spoilt",
    "half-speed",
    "freeze",
)
# Kinds of faults that disturb timing. Rules that depend only on the clock are not checked during these faults
# and for `TIMING_RECOVERY_S` seconds after them.
TIMING_FAULTS = ("still", "loss", "cut-to-server", "cut-from-server", "slow-link", "few-descriptors")
TIMING_RECOVERY_S = 3.0  # time after a fault during which timing may still be disturbed


class CaseError(ValueError):
    """The text of a saved case is not a valid case; the message states why."""


@dataclass(frozen=True)
class Fault:
    """An injected fault that starts at `at_s` and lasts `for_s` seconds, with the parameters `with_`."""

    kind: str
    at_s: float
    for_s: float = 0.0
    with_: dict[str, Any] = field(default_factory=dict)

    def __str__(self) -> str:
        more = ", ".join(f"{key} {value}" for key, value in self.with_.items())
        lasting = f" for {self.for_s:g} s" if self.for_s else ""
        return f"{self.at_s:g} s: {self.kind}{lasting}{f' ({more})' if more else ''}"


@dataclass(frozen=True)
class Case:
    """All inputs of a simulated run: the seed, the size of the fleet, the load and the injected faults."""

    seed: int
    seconds: float = SECONDS
    gatekeepers: int = GATES
    servers: int = SERVERS
    load: float = 0.15  # share of the workers' capacity used by requests within their quotas
    skew_ms: tuple[float, ...] = ()  # clock skew of each gateway, in ms
    impatient: float = 0.0  # share of attempts whose client closes the connection early
    duties: int = 0  # number of scheduled tasks; if not 0, the usage record task is added
    budgets: int = 0  # number of fleet budgets, 0 to 3
    faults: tuple[Fault, ...] = ()

    def as_json(self) -> str:
        """Returns the case as JSON text that `parse_case` reads."""
        return json.dumps(asdict(self), indent=1)

    def disturbs_timing(self, t_ms: float, kinds: tuple[str, ...] = TIMING_FAULTS, gate: str = "") -> bool:
        """Returns whether a fault of these kinds is active at `t_ms` or ended within `TIMING_RECOVERY_S` s.

        With `gate`, only faults of the gateway with that name count.
        """
        return any(
            fault.kind in kinds
            and fault.at_s * 1000 <= t_ms <= (fault.at_s + fault.for_s + TIMING_RECOVERY_S) * 1000
            and (not gate or gate == f"n{fault.with_.get('gate')}")
            for fault in self.faults
        )


def parse_case(text: str) -> Case:
    """Parses a case from JSON text. Raises CaseError if it is not valid JSON or not a case."""
    try:
        value = json.loads(text)
        faults = tuple(
            Fault(one["kind"], float(one["at_s"]), float(one["for_s"]), dict(one["with_"]))
            for one in value.pop("faults")
        )
        unknown = [fault.kind for fault in faults if fault.kind not in KINDS]
        if unknown:
            raise CaseError(f"unknown fault kind {unknown[0]!r}; expected one of: {', '.join(KINDS)}")
        value["skew_ms"] = tuple(value.get("skew_ms", ()))
        return Case(**value, faults=faults)
    except (ValueError, TypeError, KeyError, AttributeError) as problem:
        if isinstance(problem, CaseError):
            raise
        raise CaseError(f"invalid case: {type(problem).__name__}: {problem}") from problem


Draw = tuple[float, dict[str, Any]]  # duration in seconds and parameters of a fault


def _gate(rng: random.Random, case: Case) -> dict[str, Any]:
    return {"gate": rng.randrange(case.gatekeepers)}


def _server(rng: random.Random, case: Case) -> dict[str, Any]:
    return {"server": rng.randrange(case.servers)}


def _both(rng: random.Random, case: Case) -> dict[str, Any]:
    return _gate(rng, case) | _server(rng, case)


def _round(value: float) -> float:
    return round(value, 3)


# Functions that draw the duration and the parameters of each kind of fault. All kinds draw from one random
# number generator in the order of this table.
KINDS: dict[str, Any] = {
    "kill": lambda r, c: (0.0, _gate(r, c) | {"back_s": _round(r.uniform(0.3, 2.5))}),
    "restart": lambda r, c: (0.0, _gate(r, c)),
    "restart-cut-short": lambda r, c: (
        0.0,
        _gate(r, c) | {"after_s": _round(r.uniform(0.1, 2.0)), "back_s": _round(r.uniform(0.3, 1.5))},
    ),
    "reload": lambda r, c: (0.0, {}),
    "roster-silent": lambda r, c: (_round(r.uniform(2, 10)), {}),
    "release": lambda r, c: (_round(r.uniform(4, 15)), {"share": _round(r.uniform(0.1, 0.6))}),
    "silent-server": lambda r, c: (_round(r.uniform(2, 12)), {"count": r.randint(1, 2)}),
    "server-fault": lambda r, c: (
        _round(r.uniform(1, 8)),
        {
            "fault": r.choice(SERVER_FAULTS),
            "count": r.choice((0, 1, 1, 2, 4)),
            "share": _round(r.choice((0.02, 0.1, 0.5, 1.0))),
            "by_ms": _round(r.uniform(300, 2500)),
        },
    ),
    "hot-firm": lambda r, c: (
        _round(r.uniform(3, 10)),
        {"plan": r.choice(("basico", "estandar", "amplio")), "times": _round(r.uniform(2, 6))},
    ),
    "split": lambda r, c: (_round(r.uniform(2, 10)), _gate(r, c)),
    "still": lambda r, c: (_round(r.choice((0.05, 0.2, 0.6, 1.5, 4.0)) * r.uniform(0.8, 1.2)), _gate(r, c)),
    "pieces": lambda r, c: (_round(r.uniform(3, 20)), {"share": _round(r.choice((0.1, 0.5, 1.0)))}),
    "loss": lambda r, c: (_round(r.uniform(1, 6)), {"share": _round(r.choice((0.005, 0.03, 0.1)))}),
    "resets": lambda r, c: (_round(r.uniform(1, 8)), {"share": _round(r.choice((0.002, 0.01, 0.05)))}),
    "slow-link": lambda r, c: (_round(r.uniform(1, 6)), {"ms": _round(r.uniform(2, 40))}),
    "datagrams": lambda r, c: (
        _round(r.uniform(2, 15)),
        {
            "loss": _round(r.choice((0.0, 0.1, 0.5, 1.0))),
            "twice": _round(r.choice((0.0, 0.1, 0.5))),
            "late_ms": _round(r.choice((0.0, 20.0, 200.0))),
        },
    ),
    "cut-to-server": lambda r, c: (_round(r.uniform(0.3, 6)), _both(r, c)),
    "cut-from-server": lambda r, c: (_round(r.uniform(0.3, 6)), _both(r, c)),
    "cut-roster": lambda r, c: (_round(r.uniform(0.5, 8)), _gate(r, c)),
    "refusing": lambda r, c: (_round(r.uniform(0.5, 6)), _server(r, c)),
    "mute": lambda r, c: (_round(r.uniform(0.5, 6)), _server(r, c)),
    "few-descriptors": lambda r, c: (_round(r.uniform(2, 10)), _gate(r, c) | {"left": r.randint(0, 6)}),
    "late-connections": lambda r, c: (
        _round(r.uniform(3, 12)),
        {"share": _round(r.choice((0.05, 0.3, 0.6))), "window_s": r.choice((0.0, 0.5, 1.0, 1.0))},
    ),
    "silent-watches": lambda r, c: (
        0.0,
        {"behind_s": _round(r.uniform(0.05, 2.0)), "share": _round(r.uniform(0.1, 0.4))},
    ),
    "unmeasured-resets": lambda r, c: (
        _round(r.uniform(2, 8)),
        {"count": r.choice((0, 1, 3)), "share": _round(r.choice((0.1, 0.5)))},
    ),
}
KIND_PROBABILITY = 0.3  # probability that a case contains faults of a given kind
MAX_FAULTS_PER_KIND = 3


def generate_case(seed: int, seconds: float = SECONDS) -> Case:
    """Generates the case of a seed: a random subset of fault kinds, with random parameters."""
    rng = random.Random(f"case {seed}")
    case = Case(
        seed,
        seconds,
        load=_round(rng.choice((0.06, 0.06, 0.06, 0.12, 0.12, 0.2, 0.3, 0.8))),
        impatient=rng.choice((0.0, 0.0, 0.05, 0.3)),
    )
    case = replace(
        case,
        skew_ms=tuple(
            _round(rng.uniform(-4, 4)) if rng.random() < 0.5 else 0.0 for _ in range(case.gatekeepers)
        ),
    )
    faults = []
    for kind, draw in KINDS.items():
        if rng.random() >= KIND_PROBABILITY:
            continue
        for _ in range(rng.randint(1, MAX_FAULTS_PER_KIND)):
            for_s, with_ = draw(rng, case)
            faults.append(Fault(kind, _round(rng.uniform(2.0, seconds - 3.0)), for_s, with_))
    return replace(case, faults=tuple(sorted(faults, key=lambda fault: fault.at_s)))
