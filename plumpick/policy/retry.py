"""When a request gets a further attempt: the retry budget, idempotency and deduplication windows, hedging.

Never: a non-idempotent request that may have been executed; a keyed one outside its deduplication group or
window; a request whose body is not retained; one that cannot be answered in time."""

from __future__ import annotations

import math

from plumpick.policy.class_statistics import ClassStatistics
from plumpick.policy.endpoint_state import TrackedEndpoint
from plumpick.policy.endpoint_table import EndpointTable
from plumpick.policy.request_state import Request
from plumpick.policy.settings import DeduplicationScope, Idempotency, Settings

TOKENS_PER_REQUEST = 0.2
MAX_TOKENS = 20.0
MIN_PRICE_TOKENS = 0.5  # of a retry whose attempt before surely does not answer, and so is no load
RESERVE_RATIO = 0.25  # of MAX_TOKENS that requests of the least gain leave to others
HEDGE_LATENCY_RATIO = 3.0  # times the usual latency, after which a hedged request may start
MIN_HEDGE_DELAY_MS = 150.0
MAX_HEDGE_LOAD_RATIO = 0.7  # of the concurrency limit: with more in flight nothing is hedged
MAX_HEDGE_PROBABILITY = 0.5  # that the attempt still answers: with more a hedged request would only add load
RETRY_AGAIN_MS = 100.0  # after which a retry that found no capacity or token is tried again
WINDOW_MARGIN_MS = 25.0  # before a deduplication window ends: an attempt takes time to arrive


class RetryBudget:
    """Tokens that retries and hedged requests cost. Further attempts stay under TOKENS_PER_REQUEST /
    MIN_PRICE_TOKENS of the first ones, whatever fails, and what was saved up."""

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS / 2

    def on_first_attempt(self) -> None:
        """A request's first attempt pays in."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def allows(self, price: float, gain: float) -> bool:
        """Whether a retry may be paid. `gain`: of the most that one can gain, from 0 to 1: only what gains
        the most may take the last token."""
        reserve = RESERVE_RATIO * MAX_TOKENS * max(0.0, 1 - gain)
        return self.tokens >= price + reserve

    def spend(self, price: float) -> None:
        """A retry has started."""
        self.tokens -= price


def price_of(answer_probability: float) -> float:
    """The tokens of a retry. `answer_probability`: that the attempt before still answers; the less likely,
    the less is the retry a load more than was asked for."""
    return max(MIN_PRICE_TOKENS, answer_probability)


def window_left_ms(now_ms: float, request: Request, settings: Settings) -> float:
    """For how long from now a further attempt may still leave, so that its deduplication group knows it."""
    request_class = request.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return math.inf
    margin_ms = max(WINDOW_MARGIN_MS, settings.tick_ms)
    return request.first_attempt_ms + request_class.deduplication_window_ms - margin_ms - now_ms


def allowed_endpoints(
    now_ms: float, request: Request, settings: Settings, table: EndpointTable
) -> list[TrackedEndpoint] | None:
    """The only endpoints that may get this request now, so that it is executed once; None for all of them."""
    request_class = request.request_class
    first = request.first_endpoint
    if first is None or not request.unproven_attempts:
        return None
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return None
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return []
    if window_left_ms(now_ms, request, settings) <= 0:
        return []
    return [tracked for tracked in table.warm + table.warming if knows_request(tracked, request)]


def knows_request(tracked: TrackedEndpoint, request: Request) -> bool:
    """Whether an endpoint is in the deduplication group of a request's first attempt. The group is as it was
    then: a process that has started since remembers nothing of the request."""
    first = request.first_endpoint
    assert first is not None
    endpoint = tracked.endpoint
    scope = request.request_class.deduplication_scope
    if not endpoint.started_ms <= request.first_attempt_ms:
        return False
    if scope is not DeduplicationScope.ALL and endpoint.zone != first.zone:
        return False
    return scope is not DeduplicationScope.GROUP or endpoint.deduplication_group == first.deduplication_group


def time_left_ms(now_ms: float, request: Request) -> float:
    """Until the objective, or the deadline where that is earlier."""
    return min(request.objective_ms, request.received.deadline_ms) - now_ms


def may_retry(
    now_ms: float, request: Request, settings: Settings, table: EndpointTable, statistics: ClassStatistics
) -> bool:
    """Whether a further attempt could still be in time, and some endpoint may get it."""
    expected_ms = statistics.expected_latency_ms(request.request_class)
    if not time_left_ms(now_ms, request) >= expected_ms:
        return False
    if request.attempt_count >= settings.max_attempts or request.is_body_gone:
        return False
    return allowed_endpoints(now_ms, request, settings, table) != []


def gain_of(now_ms: float, request: Request, expected_latency_ms: float, top_priority: float) -> float:
    """What a retry may gain, of the most that one can: the request's priority times its chance to be in
    time."""
    chance = min(1.0, time_left_ms(now_ms, request) / max(1.0, 2 * expected_latency_ms))
    return request.priority * chance / top_priority


def may_promise_retry(request: Request) -> bool:
    """Whether a rejection's promise holds, that the client may send the request again without a second
    effect."""
    request_class = request.request_class
    if not request.unproven_attempts or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    is_keyed = request_class.idempotency is Idempotency.KEYED
    return is_keyed and request_class.deduplication_scope is DeduplicationScope.ALL
