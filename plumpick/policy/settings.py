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
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    idempotency: Idempotency
    late_priority_weight: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    streamed: bool = False
    latency_objective_stretch: float = 0.0

    def __post_init__(self) -> None:
        _require_at_least(
            0,
            aim_ms=self.latency_objective_ms,
            deadline_ms=self.deadline_ms,
            worth=self.priority_weight,
            late_worth=self.late_priority_weight,
            window_ms=self.deduplication_window_ms,
        )
        if not isinstance(self.idempotency, Idempotency):
            raise ValueError(f"repeat: {self.idempotency!r} is no kind of repeat")


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: the quota of each of its customers over all gateways, and the price of leaving it."""

    name: str
    rate_per_s: float = 0.0  # 0: no quota on the rate
    burst: float = 0.0
    max_in_flight: int = 0  # 0: no quota on attempts out at once
    priority_factor: float = 1.0
    over_quota_weight: float = 0.0
    over_quota_cost: float = 0.0
    hard_limit_per_s: float = 0.0  # 0: no ceiling
    hard_limit_burst: float = 0.0
    hard_limit_slack: float = 0.0

    def __post_init__(self) -> None:
        _require_at_least(
            0,
            rate_per_s=self.rate_per_s,
            burst=self.burst,
            max_out=self.max_in_flight,
            value=self.priority_factor,
            over_worth=self.over_quota_weight,
            over_cost=self.over_quota_cost,
            ceiling_per_s=self.hard_limit_per_s,
            ceiling_burst=self.hard_limit_burst,
            ceiling_slack=self.hard_limit_slack,
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told when it starts."""

    gateway_count: int
    gateway_number: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    slow_start_ms: float
    slow_start_initial_ratio: float
    overload_multiple: float
    overload_window_ms: float
    max_attempts: int
    tick_ms: float = 1.0
    max_units: float = 1.0
    can_cancel_attempts: bool = True
    can_message_peers: bool = False
    can_probe_endpoints: bool = False
    can_hedge: bool = False
    must_request_watch: bool = False
    settles_afterwards: bool = False
    max_retry_after_ms: float = 0.0
    peer_inbox_per_s: float = 0.0
    watch_retry_ms: float = 10_000.0
    load_report_source: str = "none"
    load_report_fields: tuple[str, ...] = ()
    cross_zone_cost: float = 0.0
    peer_message_cost: float = 0.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: there are none")
        if not self.plans:
            raise ValueError("plans: there are none")
        _require_at_least(1, gateways=self.gateway_count, max_attempts=self.max_attempts)
        _require_at_least(
            0,
            number=self.gateway_number,
            warm_up_ms=self.slow_start_ms,
            cold_from=self.slow_start_initial_ratio,
            fall_multiple=self.overload_multiple,
            fall_window_ms=self.overload_window_ms,
            max_units=self.max_units,
            inbox_per_s=self.peer_inbox_per_s,
        )
        if self.gateway_number >= self.gateway_count:
            raise ValueError(f"number: {self.gateway_number} is not below gateways ({self.gateway_count})")
