"""Rules for further attempts: the retry budget, idempotency, deduplication windows and hedged requests.

A further attempt is never made for a non-idempotent request that may have been executed, for a keyed request
outside its deduplication group or window, for a request whose body is not retained, or for one that can no
longer be answered in time."""

from __future__ import annotations

import math

from plumpick.policy.class_statistics import ClassStatistics
from plumpick.policy.endpoint_state import TrackedEndpoint
from plumpick.policy.endpoint_table import EndpointTable
from plumpick.policy.request_state import Request
from plumpick.policy.settings import DeduplicationScope, Idempotency, Settings

TOKENS_PER_REQUEST = 0.2
MAX_TOKENS = 20.0
MIN_PRICE_TOKENS = 0.5  # price of a retry if the previous attempt certainly no longer loads an endpoint
RESERVE_RATIO = 0.25  # fraction of MAX_TOKENS that a retry with the lowest gain may not use
HEDGE_LATENCY_RATIO = 3.0  # delay of a hedged request as a multiple of the usual latency
MIN_HEDGE_DELAY_MS = 150.0
MAX_HEDGE_LOAD_RATIO = 0.7  # load, as a fraction of the concurrency limit, at which hedging stops
MAX_HEDGE_PROBABILITY = 0.5  # probability of an answer above which a hedged request would only add load
HEDGE_RETRY_DELAY_MS = 100.0  # delay before retrying a hedged request that found no room or retry token
WINDOW_MARGIN_MS = 25.0  # time before the end of a deduplication window reserved for an attempt to arrive


class RetryBudget:
    """The tokens with which retries and hedged requests are paid. They bound further attempts to
    TOKENS_PER_REQUEST / MIN_PRICE_TOKENS of the first attempts, plus the tokens saved up before."""

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS / 2

    def on_first_attempt(self) -> None:
        """Add TOKENS_PER_REQUEST for the first attempt of a request."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def allows(self, price: float, gain: float) -> bool:
        """Whether a retry for `price` tokens may start. `gain`: expected gain relative to the highest
        possible one, from 0 to 1; a lower gain has to leave a larger reserve of tokens."""
        reserve = RESERVE_RATIO * MAX_TOKENS * max(0.0, 1 - gain)
        return self.tokens >= price + reserve

    def spend(self, price: float) -> None:
        """Deduct the price of a retry that has started."""
        self.tokens -= price


def price_tokens(answer_probability: float) -> float:
    """Price of a retry in tokens. `answer_probability`: probability that the previous attempt still answers;
    the lower it is, the less load the retry adds, and the lower is its price."""
    return max(MIN_PRICE_TOKENS, answer_probability)


def deduplication_time_left_ms(now_ms: float, request: Request, settings: Settings) -> float:
    """Time in ms, from now, within which a further attempt has to be sent for its deduplication group to
    still remember the first one; infinite for idempotent requests."""
    request_class = request.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return math.inf
    margin_ms = max(WINDOW_MARGIN_MS, settings.tick_ms)
    return request.first_attempt_ms + request_class.deduplication_window_ms - margin_ms - now_ms


def allowed_endpoints(
    now_ms: float, request: Request, settings: Settings, table: EndpointTable
) -> list[TrackedEndpoint] | None:
    """The endpoints that may get the request without the risk that it is executed twice; None if all may."""
    request_class = request.request_class
    first = request.first_endpoint
    if first is None or not request.unproven_attempts:
        return None
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return None
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return []
    if deduplication_time_left_ms(now_ms, request, settings) <= 0:
        return []
    return [tracked for tracked in table.warm + table.warming if is_in_deduplication_group(tracked, request)]


def is_in_deduplication_group(tracked: TrackedEndpoint, request: Request) -> bool:
    """Whether an endpoint is in the deduplication group of a request's first attempt and was already running
    at that time. A worker that started later has no record of the request."""
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
    """Time in ms until the request's latency objective or its deadline, whichever is earlier."""
    return min(request.objective_ms, request.received.deadline_ms) - now_ms


def may_retry(
    now_ms: float, request: Request, settings: Settings, table: EndpointTable, statistics: ClassStatistics
) -> bool:
    """Whether a further attempt could still be in time and an endpoint is allowed to get it."""
    expected_ms = statistics.expected_latency_ms(request.request_class)
    if not time_left_ms(now_ms, request) >= expected_ms:
        return False
    if request.attempt_count >= settings.max_attempts or request.is_body_released:
        return False
    return allowed_endpoints(now_ms, request, settings, table) != []


def relative_gain(now_ms: float, request: Request, expected_latency_ms: float, top_priority: float) -> float:
    """Expected gain of a retry: the request's priority relative to `top_priority`, times its estimated
    probability of being in time."""
    timely_probability = min(1.0, time_left_ms(now_ms, request) / max(1.0, 2 * expected_latency_ms))
    return request.priority * timely_probability / top_priority


def is_client_retry_safe(request: Request) -> bool:
    """Whether the client may send the request again without the risk that it takes effect twice, which is
    what a rejection promises."""
    request_class = request.request_class
    if not request.unproven_attempts or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    is_keyed = request_class.idempotency is Idempotency.KEYED
    return is_keyed and request_class.deduplication_scope is DeduplicationScope.ALL
