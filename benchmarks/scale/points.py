"""The sizes that are played, the limits that figures are held against, and what cannot be played."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from typing import Any

from plumpick.policy.settings import MAX_CLASSES


class PointError(ValueError):
    """A size that cannot be played; the text names its flag."""


@dataclass(frozen=True, slots=True)
class Point:
    """One size of the tier."""

    gatekeepers: int = 550
    workers: int = 5900
    firms: int = 40_000
    classes: int = 3  # of requests; a route is played as a class, since the settings know none
    rate: float = 273.0  # requests a second of one gatekeeper, retries of clients not counted
    spread: int = 20  # gatekeepers of a firm's set


# The operators' services are no axis: the settings know one pool of workers and no route to another.
AXES: Mapping[str, tuple[float, ...]] = {
    "gatekeepers": (3, 40, 200, 550),
    "workers": (10, 200, 1000, 5900),
    "firms": (100, 4000, 40_000),
    "classes": (3, 230, 11_000),
    "rate": (70, 273, 1000),
    "spread": (3, 20, 40),
}
MOST = Point(1000, 20_000, 200_000, MAX_CLASSES, 2000.0, 255)  # beyond it a run would not end in its time
DIAGONAL = (
    Point(3, 10, 100, 3, 70.0, 3),
    Point(40, 200, 4000, 3, 273.0, 20),
    Point(200, 1000, 40_000, 230, 273.0, 20),
    Point(550, 5900, 40_000, 11_000, 273.0, 20),
)
# What each gatekeeper may take, by the operators; the figures are those of `figures.of`.
LIMITS: Mapping[str, float] = {
    "words_come_per_s": 60.0,  # datagrams to one gatekeeper, of which its inbox takes so many
    "control_bytes_per_s": 16_000.0,  # sent and come
    "control_cpu_percent": 1.2,  # of a core
    "list_change_ms": 3.8,  # one call, for which every request then waits
    "memory_mb": 256.0,
    "added_p99_ms": 3.8,  # to requests of firms inside their quotas, the wire between gatekeepers included
    "core_p99_ms": 3.8,  # of that, behind calls of the module on the same core: no wire
    "changing_core_p99_ms": 3.8,  # the same while workers warm up
    "changing_cpu_percent": 1.2,  # control while workers warm up
    "told_ms": 6000.0,
    "cold_sum": 1.0,  # sends of all to one cold worker, of N + 2 x root of N + 2
    "beyond_part": 1.0,  # of the units that plumpick/policy/quota/bounds.py allows beyond a quota
}


def check(point: Point) -> Point:
    """The same; raises PointError."""
    for field in fields(point):
        value, most = getattr(point, field.name), getattr(MOST, field.name)
        least = 1e-3 if field.name == "rate" else 1
        if not least <= value <= most:
            raise PointError(f"--{field.name}: {value:g} is not between {least:g} and {most:g}")
    if point.spread > point.gatekeepers:
        raise PointError(f"--spread: a set of {point.spread} is larger than the tier ({point.gatekeepers})")
    return point


def of_axis(name: str, base: Point) -> list[Point]:
    """The points of one axis, all else as in `base`; a set is no larger than its tier."""
    if name not in AXES:
        raise PointError(f"--axes: there is no axis {name!r}; there are: {', '.join(AXES)}")
    kind = type(getattr(base, name))
    points = [replace(base, **{name: kind(value)}) for value in AXES[name]]
    return [replace(point, spread=min(point.spread, point.gatekeepers)) for point in points]


def passed_at(rows: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """For each limit and axis the first value, by size, at which the limit is passed; no entry: at none."""
    first: dict[str, dict[str, Any]] = {}
    for row in rows:
        for name, limit in LIMITS.items():
            seen = row["figures"].get(name)
            if seen is not None and seen > limit:
                first.setdefault(name, {}).setdefault(row["axis"], row["value"])
    return first
