"""Admission of requests: the order in which queued requests get their first attempt, and how long they may
queue.

While the concurrency limit has room for all queued requests, all of them start; otherwise class shares and
priority decide. Requests are ordered by priority times their class's fraction of answers within the latency
objective (highest first; the newest first among equals). Requests beyond their quota come last, and do not
start while `MAX_OVER_QUOTA_LOAD_RATIO` of the limit or more is in flight."""

from __future__ import annotations

from collections.abc import Iterable

from plumpick.policy.class_statistics import MAX_EXPECTED_RATIO, ClassStatistics
from plumpick.policy.concurrency_limit import MIN_SAMPLES, ConcurrencyLimit
from plumpick.policy.events import RequestReceived
from plumpick.policy.fuzzy_controller import FuzzyShareController
from plumpick.policy.request_state import Attempt, Request
from plumpick.policy.settings import RequestClass

# Maximum time in the queue as a fraction of the time until a request's deadline. The rest is left to the
# client for a retry elsewhere.
MAX_QUEUED_RATIO = 0.45
# Load, as a fraction of the concurrency limit, at which requests beyond their quota no longer start
MAX_OVER_QUOTA_LOAD_RATIO = 0.5
MIN_RETRY_AFTER_MS = 250.0  # minimum retry delay suggested to clients


def target_wait_ms(request_class: RequestClass) -> float:
    """Target time in the queue for requests of a class, in ms; the rest of the latency objective is left for
    the answer."""
    return request_class.latency_objective_ms * (1 - MAX_EXPECTED_RATIO)


def first_attempt_deadline_ms(
    now_ms: float, received: RequestReceived, request_class: RequestClass, expected_latency_ms: float
) -> float:
    """Clock time at which a request without an attempt is rejected, because an answer could no longer be in
    time or the client would have too little time left for a retry elsewhere."""
    objective_ms = now_ms + request_class.latency_objective_ms
    last_ms = received.deadline_ms
    if not request_class.late_priority_weight > 0:  # an answer after the latency objective has no value
        last_ms = min(received.deadline_ms, objective_ms)
    earliest_ms = now_ms + MAX_EXPECTED_RATIO * (last_ms - now_ms)
    latest_start_ms = now_ms + MAX_QUEUED_RATIO * (received.deadline_ms - now_ms)
    return min(latest_start_ms, max(last_ms - expected_latency_ms, earliest_ms))


class AdmissionQueue:
    """The requests that wait for their first attempt, and the classes' shares of the concurrency limit."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.queued: list[Request] = []
        self.shares: dict[str, FuzzyShareController] = {}
        # Queueing times of the requests started in this period, by class
        self.waits_ms: dict[str, list[float]] = {}
        for request_class in classes:
            self.add_class(request_class, 1 / len(classes))

    def add_class(self, request_class: RequestClass, share: float) -> None:
        """Add a class with an initial share (0 to 1) of the concurrency limit."""
        controller = FuzzyShareController(target_wait_ms(request_class), share)
        self.shares[request_class.name] = controller
        self.waits_ms[request_class.name] = []

    def remove_class(self, name: str) -> None:
        """Remove a class that has no open requests."""
        del self.shares[name]
        del self.waits_ms[name]

    def append(self, request: Request) -> None:
        """Queue a request that no longer waits for its quota."""
        request.awaits_quota = False
        request.is_queued = True
        request.account.requests_in_flight += 1
        self.queued.append(request)

    def remove(self, request: Request) -> None:
        """Remove a request that ended while it was queued."""
        self.queued.remove(request)

    def on_first_attempt(self, now_ms: float, request: Request) -> None:
        """Record the queueing time of a request whose first attempt starts now."""
        self.waits_ms[request.request_class.name].append(now_ms - request.received_ms)
        request.is_queued = False
        request.next_warming_sample_ms = 0.0

    def on_period(self, now_ms: float) -> None:
        """Adjust each class's share to the mean queueing time of its requests in this period."""
        for name, controller in self.shares.items():
            waits_ms = self.waits_ms[name]
            if len(waits_ms) < MIN_SAMPLES and self.queued:
                waits_ms = waits_ms + [
                    now_ms - request.received_ms
                    for request in self.queued
                    if request.request_class.name == name
                ]
            controller.on_period(sum(waits_ms) / len(waits_ms) if waits_ms else 0.0)
            self.waits_ms[name] = []

    def sort(
        self, limit: ConcurrencyLimit, statistics: ClassStatistics, attempts: Iterable[Attempt]
    ) -> list[Request]:
        """Sort the queue into the order in which requests start, and return it."""
        timely = statistics.timely_ratio
        # Among equal priorities the newest starts first: starting the oldest first would bring all of them
        # close to their latency objectives, and many of them past it.
        self.queued.sort(
            key=lambda request: (
                not request.is_within_quota,
                -request.priority * timely[request.request_class.name],
                -request.received_ms,
            )
        )
        if len(self.queued) > limit.available():
            self.queued = self._by_shares(limit.limit, attempts)
        return self.queued

    def _by_shares(self, limit: float, attempts: Iterable[Attempt]) -> list[Request]:
        """Return the requests that fit into their class's share of the limit, followed by the others."""
        total = max(1.0, sum(controller.share for controller in self.shares.values()))
        room = {name: controller.share / total * limit for name, controller in self.shares.items()}
        for attempt in attempts:
            room[attempt.class_name] -= 1 - attempt.written_off
        within_share: list[Request] = []
        beyond: list[Request] = []
        for request in self.queued:
            name = request.request_class.name
            room[name] -= 1
            is_first = room[name] >= 0 and request.is_within_quota
            (within_share if is_first else beyond).append(request)
        return within_share + beyond


def may_start(request: Request, limit: ConcurrencyLimit, is_busy: bool) -> bool:
    """Whether a request's first attempt may start under the concurrency limit now."""
    if limit.available() < 1:
        return False
    return request.is_within_quota or not is_busy


def is_busy(limit: ConcurrencyLimit, limit_attempts: float) -> bool:
    """Whether the mean number of attempts in flight has reached MAX_OVER_QUOTA_LOAD_RATIO of the limit, so
    that requests beyond their quotas may not start."""
    return limit.mean_in_flight >= MAX_OVER_QUOTA_LOAD_RATIO * limit_attempts
