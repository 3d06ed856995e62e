"""Chooses the endpoint for an attempt: the one with the lowest cost by load, latency, failures and zone.

A gateway that sends often to each endpoint compares all warm endpoints of its subset. One that sends rarely
compares a small random sample: its information is outdated or the same as that of other gateways, so that all
gateways would choose the same endpoint."""

from __future__ import annotations

import math
import random

from plumpick.policy.endpoint_state import TrackedEndpoint
from plumpick.policy.endpoint_table import EndpointTable
from plumpick.policy.outlier_detection import PEER_WEIGHT, OutlierDetector
from plumpick.policy.request_state import Request
from plumpick.policy.settings import Idempotency

# Weight of the squared failure ratio in the cost. Squared, a single failure matters little and soon decays,
# while repeated failures dominate the cost.
FAILURE_WEIGHT = 200.0
NON_IDEMPOTENT_FAILURE_FACTOR = 2  # factor on the failure weight for non-idempotent requests
CROSS_ZONE_FACTOR = 1.15  # factor on the cost of an endpoint in another zone
MAX_RANDOM_COST_FACTOR = 1.1  # maximum of the random cost factor that keeps gateways from all choosing alike
MIN_SUBSET_WARM = 3  # number of warm endpoints in the subset below which all warm endpoints are used
MIN_COMPARED = 2.0  # minimum number of endpoints compared for an attempt
COMPARED_PER_ATTEMPT = 4.0  # number of further endpoints compared per recent attempt to each endpoint
FOREIGN_LOAD_MEMORY_MS = 1000.0  # time constant with which a load report loses weight
MIN_WEIGHT = 0.01  # minimum endpoint weight that divides the cost

MAX_WARMING_FAILURE_RATIO = 0.5  # failure ratio from which an endpoint in slow start gets no attempts
WARMING_SAMPLE_MS = 1000.0  # time after which a request may be drawn again for an endpoint in slow start
WARMING_SAMPLE_NO_WARM_MS = 100.0  # time after which a request may be drawn again while no endpoint is warm
# Fraction of settings.overload_multiple up to which endpoints in slow start make up for missing warm capacity
WARMING_LOAD_RATIO = 0.8


class LoadBalancer:
    """Chooses endpoints. It draws from `rng` in a fixed order, so that recorded histories can be replayed."""

    def __init__(self, table: EndpointTable, outliers: OutlierDetector, rng: random.Random) -> None:
        self.table = table
        self.outliers = outliers
        self.rng = rng

    def choose(
        self, now_ms: float, request: Request, allowed: list[TrackedEndpoint] | None
    ) -> TrackedEndpoint | None:
        """The endpoint for one more attempt, or None if there is none. `allowed`: the endpoints that may get
        the request without executing it twice (retry.py); None if all may."""
        warm = self._warm(allowed)
        if self.table.subset_warming and now_ms >= request.next_warming_sample_ms:
            wait_ms = WARMING_SAMPLE_MS if self.table.warm else WARMING_SAMPLE_NO_WARM_MS
            request.next_warming_sample_ms = now_ms + wait_ms
            warming = self._pick_reenabled(now_ms, request, allowed) or self._sample_warming(
                now_ms, request, allowed
            )
            if warming is not None:
                return warming
        compared = MIN_COMPARED + COMPARED_PER_ATTEMPT * self.table.recent_attempts / max(1, len(warm))
        if self.outliers.candidates:
            ejected = self.outliers.ejected(now_ms, request.request_class.name, self.table.warm)
            warm = [tracked for tracked in warm if id(tracked) not in ejected] or warm
        pool = warm
        if request.tried_endpoints:
            pool = [tracked for tracked in warm if tracked not in request.tried_endpoints] or warm
        return self._cheapest(now_ms, request, pool, math.ceil(compared))

    def _warm(self, allowed: list[TrackedEndpoint] | None) -> list[TrackedEndpoint]:
        """The allowed warm endpoints of the subset, or of the whole table if the subset has too few."""
        warm = self.table.subset_warm
        if allowed is not None:
            warm = [tracked for tracked in warm if tracked in allowed]
        if len(warm) >= MIN_SUBSET_WARM:
            return warm
        if allowed is None:
            return self.table.warm
        return [tracked for tracked in self.table.warm if tracked in allowed]

    def _pick_reenabled(
        self, now_ms: float, request: Request, allowed: list[TrackedEndpoint] | None
    ) -> TrackedEndpoint | None:
        """An endpoint in slow start that an operator has enabled again and that has had no attempt since;
        None if there is none. It is tried first, to find out at once whether it serves."""
        for tracked in self.table.subset_warming:
            if not is_untried(tracked, request, allowed):
                continue
            if not self.table.disabled.awaits_first_attempt(now_ms, tracked.endpoint.id):
                continue
            if self.table.take_slow_start_allowance(now_ms, tracked):
                return tracked
        return None

    def _sample_warming(
        self, now_ms: float, request: Request, allowed: list[TrackedEndpoint] | None
    ) -> TrackedEndpoint | None:
        """A randomly drawn endpoint in slow start, or None. Over all gateways, each gets a part of the
        attempts equal to its slow-start progress divided by the capacity.

        If few endpoints are warm it gets more, as far as the overload multiple safely allows, because the
        warm ones cannot serve the load alone."""
        multiple = max(1.0, WARMING_LOAD_RATIO * self.table.settings.overload_multiple)
        capacity = max(self.table.capacity, self.table.reference_capacity / multiple)
        sample = self.rng.random() * capacity * self.table.subset_ratio
        for tracked in self.table.subset_warming:
            sample -= self.table.progress(now_ms, tracked)
            if sample < 0:
                return tracked if self._may_get_attempt(now_ms, tracked, request, allowed) else None
        return None

    def _may_get_attempt(
        self, now_ms: float, tracked: TrackedEndpoint, request: Request, allowed: list[TrackedEndpoint] | None
    ) -> bool:
        if not is_untried(tracked, request, allowed):
            return False
        failure_ratio = self.outliers.failure_ratio(now_ms, tracked, request.request_class.name)
        if failure_ratio >= MAX_WARMING_FAILURE_RATIO:
            return False
        return self.table.take_slow_start_allowance(now_ms, tracked)

    def _cheapest(
        self, now_ms: float, request: Request, pool: list[TrackedEndpoint], compared: int
    ) -> TrackedEndpoint | None:
        """The endpoint with the lowest cost among `compared` randomly drawn ones of the pool."""
        class_name = request.request_class.name
        is_non_idempotent = request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        failure_weight = (NON_IDEMPOTENT_FAILURE_FACTOR if is_non_idempotent else 1) * FAILURE_WEIGHT
        zone = self.table.settings.zone
        draw = self.rng.random
        jitter = MAX_RANDOM_COST_FACTOR - 1.0
        failure_ratio = self.outliers.failure_ratio
        best: TrackedEndpoint | None = None
        best_cost = math.inf
        # This is the hottest loop of the module: factors that would be 1 are skipped.
        for tracked in self.rng.sample(pool, compared) if compared < len(pool) else pool:
            endpoint = tracked.endpoint
            cost = 1.0 + tracked.in_flight
            if tracked.foreign_load:
                age = (tracked.load_report_ms - now_ms) / FOREIGN_LOAD_MEMORY_MS
                cost += tracked.foreign_load * math.exp(max(-50.0, age))
            if tracked.latency_ratio != 1.0:
                cost *= tracked.current_latency_ratio(now_ms)
            cost /= max(MIN_WEIGHT, endpoint.weight)
            if tracked.failed:
                cost *= 1 + failure_weight * failure_ratio(now_ms, tracked, class_name) ** 2
            if endpoint.zone != zone:
                cost *= CROSS_ZONE_FACTOR
            cost *= 1.0 + jitter * draw()
            if cost < best_cost:
                best = tracked
                best_cost = cost
        return best


def peer_report_weight(table: EndpointTable) -> float:
    """Weight of an attempt reported by another gateway. It falls with the number of attempts that this
    gateway starts itself; otherwise all gateways would move from one endpoint to another together."""
    attempts = table.recent_attempts / max(1, len(table.subset_warm))
    return PEER_WEIGHT / (1 + COMPARED_PER_ATTEMPT * attempts)


def is_untried(tracked: TrackedEndpoint, request: Request, allowed: list[TrackedEndpoint] | None) -> bool:
    """Whether a request has had no attempt at an endpoint yet and is allowed one there."""
    return tracked not in request.tried_endpoints and (allowed is None or tracked in allowed)
