"""Which requests get an attempt: all that wait while the concurrency limit leaves room, else by class shares
and by priority; and until when they may wait.

Release order is by the request's priority times the ratio of its class's answers that come in time (highest
first, the newest first among equals). Requests beyond their quota come last, and not at all while
`MAX_OVER_QUOTA_LOAD_RATIO` of the limit or more is in flight."""

from __future__ import annotations

from collections.abc import Iterable

from plumpick.policy.class_statistics import MAX_EXPECTED_RATIO, ClassStatistics
from plumpick.policy.concurrency_limit import FEW_SAMPLES, ConcurrencyLimit
from plumpick.policy.events import RequestReceived
from plumpick.policy.fuzzy_controller import FuzzyShareController
from plumpick.policy.request_state import Attempt, Request
from plumpick.policy.settings import RequestClass

# of a request's time that it may wait at most: its client can use the rest for a retry
MAX_QUEUED_RATIO = 0.45
MAX_OVER_QUOTA_LOAD_RATIO = 0.5  # of the concurrency limit: with more in flight nothing beyond a quota starts
MIN_RETRY_AFTER_MS = 250.0  # where nothing better is known


def target_wait_ms(request_class: RequestClass) -> float:
    """The wait that leaves time for the answer."""
    return request_class.latency_objective_ms * (1 - MAX_EXPECTED_RATIO)


def first_attempt_deadline_ms(
    now_ms: float, received: RequestReceived, request_class: RequestClass, expected_latency_ms: float
) -> float:
    """By when a request that has no attempt yet is rejected: an answer could no longer come in time, or the
    client would have too little time left for a retry elsewhere."""
    objective_ms = now_ms + request_class.latency_objective_ms
    last_ms = received.deadline_ms
    if not request_class.late_priority_weight > 0:  # a late answer is worth nothing
        last_ms = min(received.deadline_ms, objective_ms)
    earliest_ms = now_ms + MAX_EXPECTED_RATIO * (last_ms - now_ms)
    patience_ms = now_ms + MAX_QUEUED_RATIO * (received.deadline_ms - now_ms)
    return min(patience_ms, max(last_ms - expected_latency_ms, earliest_ms))


class AdmissionQueue:
    """The requests that wait for their first attempt, and the classes' shares of the limit."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.queued: list[Request] = []
        self.shares: dict[str, FuzzyShareController] = {}
        self.waits_ms: dict[str, list[float]] = {}  # of the requests released in this period, by class
        for request_class in classes:
            self.add_class(request_class, 1 / len(classes))

    def add_class(self, request_class: RequestClass, share: float) -> None:
        """A class that nothing is known of."""
        controller = FuzzyShareController(target_wait_ms(request_class), share)
        self.shares[request_class.name] = controller
        self.waits_ms[request_class.name] = []

    def remove_class(self, name: str) -> None:
        """Forget a class of which nothing is open."""
        del self.shares[name]
        del self.waits_ms[name]

    def append(self, request: Request) -> None:
        """A request may start once there is room."""
        request.awaits_quota = False
        request.is_queued = True
        request.account.requests_in_flight += 1
        self.queued.append(request)

    def remove(self, request: Request) -> None:
        """A request has ended while it waited."""
        self.queued.remove(request)

    def on_first_attempt(self, now_ms: float, request: Request) -> None:
        """A request has waited until now."""
        self.waits_ms[request.request_class.name].append(now_ms - request.received_ms)
        request.is_queued = False
        request.next_warming_sample_ms = 0.0

    def on_period(self, now_ms: float) -> None:
        """Each class's share moves by the mean wait of its requests."""
        for name, controller in self.shares.items():
            waits_ms = self.waits_ms[name]
            if len(waits_ms) < FEW_SAMPLES and self.queued:
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
        """The requests in the order of their release."""
        timely = statistics.timely_ratio
        # Of equal priority the newest first: the oldest would all come near their objectives, many late.
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
        """First the requests that their class's share of the limit has room for, then the others."""
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
    """Whether there is room for a request's first attempt now."""
    if limit.available() < 1:
        return False
    return request.is_within_quota or not is_busy


def is_busy(limit: ConcurrencyLimit, at_limit: float) -> bool:
    """Whether too much is in flight for requests beyond their quotas."""
    return limit.mean_in_flight >= MAX_OVER_QUOTA_LOAD_RATIO * at_limit
