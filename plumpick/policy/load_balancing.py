"""Which endpoint gets an attempt: the one with the lowest expected time, by load, speed, failures and zone.

Few gateways compare all warm endpoints of their subset; a gateway that seldom sends to each compares a random
few, since what it knows is old, or known to all others, who would all choose the same one."""

from __future__ import annotations

import math
import random

from plumpick.policy.endpoint_state import TrackedEndpoint
from plumpick.policy.endpoint_table import EndpointTable
from plumpick.policy.outlier_detection import PEER_WEIGHT, OutlierDetector
from plumpick.policy.request_state import Request
from plumpick.policy.settings import Idempotency

FAILURE_WEIGHT = 200.0  # of the squared failure ratio: a single failure soon fades, a row of them does not
NON_IDEMPOTENT_FAILURE_FACTOR = 2
CROSS_ZONE_FACTOR = 1.15  # an endpoint of another zone has to be so much better
COST_SCATTER = 1.1  # a cost counts as up to so much more, by chance, or all gateways would choose alike
MIN_SUBSET_WARM = 3  # with fewer warm endpoints in the subset, all warm endpoints serve
MIN_COMPARED = 2.0  # endpoints,
COMPARED_PER_ATTEMPT = 4.0  # and more for each recent attempt of this gateway to each endpoint
FOREIGN_LOAD_MEMORY_MS = 1000.0  # a load report ages
MIN_WEIGHT = 0.01

MAX_WARMING_FAILURE_RATIO = 0.5  # an endpoint that warms up and fails more is passed by
WARMING_SAMPLE_MS = 1000.0  # after which a request may be sampled for a warming endpoint again
WARMING_SAMPLE_ALONE_MS = 100.0  # the same where no warm endpoint could take it
# of the rule's overload multiple, that the warm endpoints' missing capacity may cost
WARMING_LOAD_RATIO = 0.8


class LoadBalancer:
    """Chooses endpoints. Draws from `rng` in a fixed order, so that a history can be repeated."""

    def __init__(self, table: EndpointTable, outliers: OutlierDetector, rng: random.Random) -> None:
        self.table = table
        self.outliers = outliers
        self.rng = rng

    def choose(
        self, now_ms: float, request: Request, allowed: list[TrackedEndpoint] | None
    ) -> TrackedEndpoint | None:
        """An endpoint for one more attempt, or None. `allowed`: the only ones that deduplication leaves to a
        retry; None: all (retry.py)."""
        warm = self._warm(allowed)
        if self.table.subset_warming and now_ms >= request.next_warming_sample_ms:
            wait_ms = WARMING_SAMPLE_MS if self.table.warm else WARMING_SAMPLE_ALONE_MS
            request.next_warming_sample_ms = now_ms + wait_ms
            warming = self._returned(now_ms, request, allowed) or self._sampled(now_ms, request, allowed)
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
        """The warm endpoints of the subset, or all of them where few are left there."""
        warm = self.table.subset_warm
        if allowed is not None:
            warm = [tracked for tracked in warm if tracked in allowed]
        if len(warm) >= MIN_SUBSET_WARM:
            return warm
        if allowed is None:
            return self.table.warm
        return [tracked for tracked in self.table.warm if tracked in allowed]

    def _returned(
        self, now_ms: float, request: Request, allowed: list[TrackedEndpoint] | None
    ) -> TrackedEndpoint | None:
        """An endpoint that an operator has enabled and that has got nothing since: it shows at once whether
        it serves."""
        for tracked in self.table.subset_warming:
            if not is_untried(tracked, request, allowed):
                continue
            if not self.table.disabled.awaits_first_attempt(now_ms, tracked.endpoint.id):
                continue
            if self.table.take_slow_start_allowance(now_ms, tracked):
                return tracked
        return None

    def _sampled(
        self, now_ms: float, request: Request, allowed: list[TrackedEndpoint] | None
    ) -> TrackedEndpoint | None:
        """An endpoint that warms up, by chance: over all gateways each gets the part of the attempts that its
        progress is of the capacity of late.

        With few warm endpoints it gets more, as far as the overload multiple surely allows: what the warm
        ones cannot carry would wait for nobody."""
        multiple = max(1.0, WARMING_LOAD_RATIO * self.table.settings.overload_multiple)
        capacity = max(self.table.capacity, self.table.reference_capacity / multiple)
        sample = self.rng.random() * capacity * self.table.subset_ratio
        for tracked in self.table.subset_warming:
            sample -= self.table.progress(now_ms, tracked)
            if sample < 0:
                return tracked if self._may_warm(now_ms, tracked, request, allowed) else None
        return None

    def _may_warm(
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
        """The endpoint of the lowest expected cost among so many of the pool."""
        class_name = request.request_class.name
        is_fragile = request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        failure_weight = (NON_IDEMPOTENT_FAILURE_FACTOR if is_fragile else 1) * FAILURE_WEIGHT
        zone = self.table.settings.zone
        chance = self.rng.random
        scatter = COST_SCATTER - 1.0
        failure_ratio = self.outliers.failure_ratio
        best: TrackedEndpoint | None = None
        best_cost = math.inf
        # The most frequent loop of all: a factor that would be one is left out.
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
            cost *= 1.0 + scatter * chance()
            if cost < best_cost:
                best = tracked
                best_cost = cost
        return best


def peer_report_weight(table: EndpointTable) -> float:
    """What an attempt that a peer reports counts for: the less, the more attempts this gateway starts itself,
    or all gateways would flee from an endpoint and crowd to another alike."""
    attempts = table.recent_attempts / max(1, len(table.subset_warm))
    return PEER_WEIGHT / (1 + COMPARED_PER_ATTEMPT * attempts)


def is_untried(tracked: TrackedEndpoint, request: Request, allowed: list[TrackedEndpoint] | None) -> bool:
    """Whether a request has not been at an endpoint yet, and may go there."""
    return tracked not in request.tried_endpoints and (allowed is None or tracked in allowed)
