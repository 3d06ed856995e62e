"""Records of open requests and of attempts in flight, kept in GatewayState until they end."""

from __future__ import annotations

from dataclasses import dataclass, field

from plumpick.policy.endpoint_state import TrackedEndpoint
from plumpick.policy.events import Endpoint, RequestReceived
from plumpick.policy.quota.records import CustomerAccount
from plumpick.policy.settings import Plan, RequestClass


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt in flight."""

    endpoint: TrackedEndpoint
    class_name: str
    started_ms: float
    latency_objective_ms: float = 0.0  # latency objective of the request's class when the request arrived
    # Time in flight after which the attempt became overdue; 0 if it is not overdue.
    overdue_after_ms: float = 0.0
    written_off: float = 0.0  # fraction of the attempt that the concurrency limit does not count
    answer_probability: float = 1.0  # probability of an answer, as estimated at the last check
    next_check_ms: float = 0.0  # time of the next check of an overdue attempt
    recorded_intervals: float = 0.0  # number of intervals of `overdue_after_ms` recorded while overdue


@dataclass(slots=True, eq=False)
class Request:
    """One request, from its arrival to its final answer."""

    received: RequestReceived
    request_class: RequestClass
    plan: Plan
    account: CustomerAccount
    received_ms: float
    objective_ms: float  # clock time by which an answer meets the latency objective
    priority: float  # priority weight of the class times priority factor of the plan
    attempt_count: int = 0
    # Endpoints of the attempts in flight by attempt number.
    in_flight: dict[int, TrackedEndpoint] = field(default_factory=dict)
    tried_endpoints: list[TrackedEndpoint] = field(default_factory=list)
    unproven_attempts: int = 0  # number of attempts that a worker may have executed
    first_endpoint: Endpoint | None = None  # endpoint of the first unproven attempt, as listed at its start
    first_attempt_ms: float = 0.0  # start time of the first unproven attempt
    grant_serial: int = 0  # serial number in messages exchanged with the quota owner; 0 without any
    grant_requests: int = 0  # number of grant requests sent
    grant_requested_ms: float = 0.0
    owner_has_replied: bool = False
    units_charged: float = 0.0
    is_within_quota: bool = True
    awaits_quota: bool = True
    is_queued: bool = False  # whether the request waits for its first attempt
    is_streaming: bool = False  # whether the request's response has started
    # Whether the request's body is no longer retained, which rules out further attempts.
    is_body_released: bool = False
    # Earliest time of the request's next draw for an endpoint in slow start.
    next_warming_sample_ms: float = 0.0
