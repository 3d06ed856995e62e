"""Records of open requests and of attempts in flight. Owner: Controller; both leave with their last event."""

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
    latency_objective_ms: float = 0.0  # of its class, as it was when the request came
    overdue_after_ms: float = 0.0  # the wait that made it overdue; 0: it is not
    written_off: float = 0.0  # the part of it that the concurrency limit does not count
    answer_probability: float = 1.0  # when it was last checked
    next_check_ms: float = 0.0  # once it is overdue
    intervals_learned: float = 0.0  # waits of that length since then


@dataclass(slots=True, eq=False)
class Request:
    """One request, from its event to its final answer."""

    received: RequestReceived
    request_class: RequestClass
    plan: Plan
    account: CustomerAccount
    received_ms: float
    objective_ms: float  # clock time by which an answer has its full value
    priority: float  # the weight of its class times the factor of its plan
    attempt_count: int = 0
    in_flight: dict[int, TrackedEndpoint] = field(default_factory=dict)  # by the attempt's number
    tried_endpoints: list[TrackedEndpoint] = field(default_factory=list)
    unproven_attempts: int = 0  # in flight, or completed without a proof that they were not executed
    first_endpoint: Endpoint | None = None  # of the first of these, as it was listed then
    first_attempt_ms: float = 0.0
    grant_serial: int = 0  # of its messages with the quota owner; 0: none
    grant_requests: int = 0
    grant_requested_ms: float = 0.0
    owner_has_replied: bool = False
    units_charged: float = 0.0
    is_within_quota: bool = True
    awaits_quota: bool = True
    is_queued: bool = False  # for an attempt to start
    is_streaming: bool = False
    is_body_gone: bool = False  # the body is not retained: no further attempt
    next_warming_sample_ms: float = 0.0  # not before may it be sampled for an endpoint that warms up
