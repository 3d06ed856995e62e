"""The settings of a gateway: request classes, quota plans and limits. Times are in milliseconds.

settings_parser.py builds these types from the platform's JSON. Error messages here use names that are close
to the JSON keys, such as warm_up_ms for warmUpMs, because operators know the settings by those."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# Maximum numbers of classes and of plans: messages between gateways hold both indexes in 4 bytes.
MAX_CLASSES = 1 << 16
MAX_PLANS = 1 << 12


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "safe"  # Repeated executions of the request do no harm.
    KEYED = "keyed"  # Workers of a group drop duplicates by idempotency key, within a time window.
    NON_IDEMPOTENT = "unsafe"  # A second execution of the request does harm and must be prevented.


class DeduplicationScope(Enum):
    """The group of workers within which a duplicate of a keyed request is recognised."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "cell"


def _require_at_least(low: float, **values: float) -> None:
    """Raise ValueError if a value is NaN or below `low`; the message names its key."""
    for key, value in values.items():
        if not value >= low:
            raise ValueError(f"{key}: must be at least {low}, got {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its latency objective, its priority and how its requests may be retried."""

    name: str
    latency_objective_ms: float  # Latency up to which a response has its full value
    deadline_ms: float  # Latency after which the client no longer waits for the response
    priority_weight: float  # Value of a response within the latency objective
    idempotency: Idempotency
    late_priority_weight: float = 0.0  # Value of a response between the latency objective and the deadline
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # Time for which workers remember the idempotency key
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
            raise ValueError(f"repeat: expected an Idempotency, got {self.idempotency!r}")


@dataclass(frozen=True, slots=True)
class Plan:
    """A quota plan: the quota of each of its customers over all gateways, and the cost of exceeding it."""

    name: str
    rate_per_s: float = 0.0  # Quota in units per second; 0 for no quota on the rate
    burst: float = 0.0  # Capacity of the quota's token bucket in units
    max_in_flight: int = 0  # Maximum number of concurrent requests; 0 for no quota on concurrency
    priority_factor: float = 1.0  # Factor on the priority weight of the customers' requests
    over_quota_weight: float = 0.0  # Weight of a request beyond the quota, relative to its usual weight
    over_quota_cost: float = 0.0
    hard_limit_per_s: float = 0.0  # Hard limit in units per second; 0 for no hard limit
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
    """The settings of one gateway, as its decisions use them."""

    gateway_count: int
    gateway_number: int  # Number of this gateway, from 0 to gateway_count - 1
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    slow_start_ms: float  # Time that a started worker takes to reach its full capacity
    slow_start_initial_ratio: float  # Ratio of its full capacity that a worker has when it starts
    overload_multiple: float  # Load, as a multiple of its current capacity, at which a warming worker fails
    overload_window_ms: float  # Time over which the load of a warming worker is measured
    max_attempts: int
    tick_ms: float = 1.0
    max_units: float = 1.0
    can_cancel_attempts: bool = True
    can_message_peers: bool = False
    can_probe_endpoints: bool = False
    can_hedge: bool = False
    must_request_watch: bool = False  # Whether discovery sends updates only to gateways that request them
    settles_afterwards: bool = False
    max_retry_after_ms: float = 0.0
    peer_inbox_per_s: float = 0.0  # Maximum rate of messages received from other gateways; 0 for no limit
    watch_retry_ms: float = 10_000.0  # Maximum time between a failed watch of discovery and the next request
    load_report_source: str = "none"
    load_report_fields: tuple[str, ...] = ()
    cross_zone_cost: float = 0.0
    peer_message_cost: float = 0.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: expected at least one entry")
        if not self.plans:
            raise ValueError("plans: expected at least one entry")
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
            tickMs=self.tick_ms,
        )
        if self.gateway_number >= self.gateway_count:
            number, count = self.gateway_number, self.gateway_count
            raise ValueError(f"number: must be below gateways ({count}), got {number}")
