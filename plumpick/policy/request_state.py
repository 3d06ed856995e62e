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
    latency_objective_ms: float = 0.0  # latency objective of its class when the request arrived
    overdue_after_ms: float = 0.0  # time in flight after which it became overdue; 0 if it is not overdue
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
    in_flight: dict[int, TrackedEndpoint] = field(default_factory=dict)  # endpoints by attempt number
    tried_endpoints: list[TrackedEndpoint] = field(default_factory=list)
    unproven_attempts: int = 0  # number of attempts that a worker may have executed
    first_endpoint: Endpoint | None = None  # endpoint of the first unproven attempt, as listed at its start
    first_attempt_ms: float = 0.0  # start of the first unproven attempt
    grant_serial: int = 0  # serial number in messages exchanged with the quota owner; 0 without any
    grant_requests: int = 0  # number of grant requests sent
    grant_requested_ms: float = 0.0
    owner_has_replied: bool = False
    units_charged: float = 0.0
    is_within_quota: bool = True
    awaits_quota: bool = True
    is_queued: bool = False  # whether it waits for its first attempt
    is_streaming: bool = False  # whether its response has started
    is_body_released: bool = False  # whether its body is no longer retained, which rules out further attempts
    next_warming_sample_ms: float = 0.0  # earliest time of its next draw for an endpoint in slow start
