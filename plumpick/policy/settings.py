"""What a gateway is told when it starts: request classes, quota plans and limits. Times are milliseconds.

settings_parser.py reads them from the platform's JSON, under the names that operators know; errors here name
those."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_CLASSES = 1 << 16  # an index of a class and a plan takes 4 bytes of a message between gateways
MAX_PLANS = 1 << 12


class Idempotency(Enum):
    """What a second execution of a request would do."""

    IDEMPOTENT = "safe"  # it may be executed any number of times
    KEYED = "keyed"  # a group of workers drops a duplicate for a while, by its idempotency key
    NON_IDEMPOTENT = "unsafe"  # it must never be executed twice


class DeduplicationScope(Enum):
    """Which workers drop duplicates of a keyed request together."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "cell"


def _require_at_least(low: float, **values: float) -> None:
    """Raises ValueError for a value below `low`, or for one that is no number."""
    for key, value in values.items():
        if not value >= low:
            raise ValueError(f"{key}: {value!r} is below {low}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: what it wants and how it may be retried."""

    name: str
    latency_objective_ms: float  # an answer within it has its full value
    deadline_ms: float  # after it the client no longer waits
    priority_weight: float
    idempotency: Idempotency
    late_priority_weight: float = 0.0  # of an answer between objective and deadline
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # for which a group knows a keyed request
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
    """A plan: the quota of each of its customers over all gateways, and the price of exceeding it."""

    name: str
    rate_per_s: float = 0.0  # units; 0: no quota on the rate
    burst: float = 0.0  # units
    max_in_flight: int = 0  # requests; 0: no quota on them
    priority_factor: float = 1.0
    over_quota_weight: float = 0.0  # of a request beyond its quota, of its usual weight
    over_quota_cost: float = 0.0
    hard_limit_per_s: float = 0.0  # units; 0: no hard limit
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
    """All that a gateway's decisions depend on."""

    gateway_count: int
    gateway_number: int  # from 0
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    slow_start_ms: float  # for which a worker warms up
    slow_start_initial_ratio: float  # of its capacity, that it has when it starts
    overload_multiple: float  # of what it can take, at which a worker that warms up falls over
    overload_window_ms: float
    max_attempts: int
    tick_ms: float = 1.0
    max_units: float = 1.0
    can_cancel_attempts: bool = True
    can_message_peers: bool = False
    can_probe_endpoints: bool = False
    can_hedge: bool = False
    must_request_watch: bool = False  # discovery is a shared service, and notifies only who asks
    settles_afterwards: bool = False
    max_retry_after_ms: float = 0.0
    peer_inbox_per_s: float = 0.0  # messages from other gateways; 0: no limit
    watch_retry_ms: float = 10_000.0  # within which discovery wants to be asked again after a failure
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
            number, count = self.gateway_number, self.gateway_count
            raise ValueError(f"number: {number} is not below gateways ({count})")
