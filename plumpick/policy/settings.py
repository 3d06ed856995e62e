"""What a gateway is told when it starts: request classes, plans and limits. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a second run of a request would do."""

    IDEMPOTENT = "safe"  # may run any number of times
    KEYED = "keyed"  # a group of servers drops a repeat for a while
    NON_IDEMPOTENT = "unsafe"  # must never run twice


class DeduplicationScope(Enum):
    """Which servers drop repeats of a keyed request together."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "cell"


def _require_at_least(low: float, **values: float) -> None:
    for key, value in values.items():
        if not value >= low:
            raise ValueError(f"{key}: {value!r} is below {low}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: what it wants and what may be done with it."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float
    repeat: Idempotency
    late_worth: float = 0.0
    scope: DeduplicationScope = DeduplicationScope.ALL
    window_ms: float = 0.0
    streamed: bool = False
    aim_stretch: float = 0.0

    def __post_init__(self) -> None:
        _require_at_least(
            0,
            aim_ms=self.aim_ms,
            deadline_ms=self.deadline_ms,
            worth=self.worth,
            late_worth=self.late_worth,
            window_ms=self.window_ms,
        )
        if not isinstance(self.repeat, Idempotency):
            raise ValueError(f"repeat: {self.repeat!r} is no kind of repeat")


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: the quota of each of its customers over all gateways, and the price of leaving it."""

    name: str
    rate_per_s: float = 0.0  # 0: no quota on the rate
    burst: float = 0.0
    max_out: int = 0  # 0: no quota on attempts out at once
    value: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_per_s: float = 0.0  # 0: no ceiling
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        _require_at_least(
            0,
            rate_per_s=self.rate_per_s,
            burst=self.burst,
            max_out=self.max_out,
            value=self.value,
            over_worth=self.over_worth,
            over_cost=self.over_cost,
            ceiling_per_s=self.ceiling_per_s,
            ceiling_burst=self.ceiling_burst,
            ceiling_slack=self.ceiling_slack,
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told when it starts."""

    gateways: int
    number: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    warm_up_ms: float
    cold_from: float
    fall_multiple: float
    fall_window_ms: float
    max_attempts: int
    tick_ms: float = 1.0
    max_units: float = 1.0
    may_cancel: bool = True
    may_tell: bool = False
    may_probe: bool = False
    second_copies: bool = False
    must_subscribe: bool = False
    settles: bool = False
    max_retry_after_ms: float = 0.0
    inbox_per_s: float = 0.0
    ask_within_ms: float = 10_000.0
    report_how: str = "none"
    report_fields: tuple[str, ...] = ()
    cross_zone_price: float = 0.0
    peer_price: float = 0.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: there are none")
        if not self.plans:
            raise ValueError("plans: there are none")
        _require_at_least(1, gateways=self.gateways, max_attempts=self.max_attempts)
        _require_at_least(
            0,
            number=self.number,
            warm_up_ms=self.warm_up_ms,
            cold_from=self.cold_from,
            fall_multiple=self.fall_multiple,
            fall_window_ms=self.fall_window_ms,
            max_units=self.max_units,
            inbox_per_s=self.inbox_per_s,
        )
        if self.number >= self.gateways:
            raise ValueError(f"number: {self.number} is not below gateways ({self.gateways})")
