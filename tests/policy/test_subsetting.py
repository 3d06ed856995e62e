"""Subsets of a large tier: evenness of load, coverage, stability and number of gateway-endpoint pairs."""

import random
from collections import Counter

import pytest

from plumpick.policy.actions import StartAttempt
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    RequestReceived,
)
from plumpick.policy.settings import Idempotency, Plan, RequestClass, Settings
from plumpick.policy.subsetting import (
    GATEWAYS_PER_POINT,
    MIN_SUBSET_CAPACITY,
    ring_position,
    subset_of,
    subset_ratio,
)


def ring(ids, weight=lambda _: 1.0):
    return [(name, weight(name)) for name in sorted(ids, key=ring_position)]


def load_per_capacity_of(endpoints, gateways, weight=lambda _: 1.0):
    """Load per capacity of each endpoint if each gateway distributes one unit over its subset by capacity."""
    load_by_endpoint = Counter()
    for number in range(gateways):
        subset = subset_of(endpoints, gateways, number)
        whole = sum(weight(name) for name in subset)
        for name in subset:
            load_by_endpoint[name] += weight(name) / whole
    return {name: load_by_endpoint[name] / weight(name) for name, _ in endpoints}


@pytest.mark.parametrize("gateways, count", [(40, 60), (30, 60), (100, 500), (12, 30)])
def test_endpoint_load_is_even_and_few_gateways_use_each_endpoint(gateways, count):
    endpoints = ring(f"s-{n:08x}" for n in range(count))
    load_per_capacity = load_per_capacity_of(endpoints, gateways)
    assert (
        max(load_per_capacity.values()) <= 1.4 * gateways / count
        and min(load_per_capacity.values()) >= 0.6 * gateways / count
    )
    pairs = sum(len(subset_of(endpoints, gateways, number)) for number in range(gateways))
    most = max(GATEWAYS_PER_POINT, MIN_SUBSET_CAPACITY * gateways / count) + 1
    assert pairs <= most * count and all(subset_of(endpoints, gateways, n) for n in range(gateways))


def test_load_follows_capacity_while_most_endpoints_are_cold():
    ids, rng = [f"s-{n:08x}" for n in range(60)], random.Random(3)
    cold = set(rng.sample(ids, 42))

    def weight(name):
        return 0.3 if name in cold else 1.0

    load_per_capacity = load_per_capacity_of(ring(ids, weight), 40, weight)
    mean = 40 / (18 + 42 * 0.3)
    assert max(load_per_capacity.values()) <= 1.6 * mean and min(load_per_capacity.values()) >= 0.4 * mean


def test_removing_an_endpoint_changes_few_subset_members():
    ids = [f"s-{n:08x}" for n in range(60)]
    moved = 0
    for gone in ids[:20]:
        for number in range(40):
            before = set(subset_of(ring(ids), 40, number))
            after = set(subset_of(ring(name for name in ids if name != gone), 40, number))
            moved += len(before ^ after)
    assert moved / 20 / 40 <= 2.0  # of twelve endpoints in a subset


def test_subset_with_few_gateways_no_endpoints_or_zero_capacity():
    ids = ring(["a", "b", "c"])
    assert len(subset_of(ids, GATEWAYS_PER_POINT, 0)) == 3 and subset_ratio(3.0, GATEWAYS_PER_POINT) == 1.0
    assert subset_of([], 40, 3) == [] and subset_ratio(0.0, 40) == 1.0
    assert subset_of([("a", 0.0), ("b", 0.0)], 40, 3) == ["a", "b"]  # unknown capacity


class TierSimulation:
    """Controllers of 40 gateways that send to 60 endpoints; each attempt is answered at once."""

    def __init__(self, gateways=40, endpoints=60, started=lambda n: 0.0):
        kinds = (RequestClass("look", 1000, 2000, 1, Idempotency.IDEMPOTENT),)
        self.controllers = [
            Controller(
                Settings(
                    gateway_count=gateways,
                    gateway_number=number,
                    zone="a",
                    classes=kinds,
                    plans=(Plan("basic"),),
                    slow_start_ms=17_000,
                    slow_start_initial_ratio=0.25,
                    overload_multiple=2.5,
                    overload_window_ms=1000,
                    max_attempts=3,
                ),
                number,
            )
            for number in range(gateways)
        ]
        self.rng, self.ids, self.sent = random.Random(1), 0, []
        self.endpoints_event = EndpointsUpdated(
            tuple(
                Endpoint(f"s-{n:08x}", "a", n, EndpointState.READY, started_ms=started(n))
                for n in range(endpoints)
            )
        )
        for controller in self.controllers:
            controller.handle(100_000.0, [self.endpoints_event])

    def run(self, seconds, rate_per_s):
        for step in range(int(seconds * rate_per_s)):
            now, number = 100_000 + step * 1000 / rate_per_s, self.rng.randrange(len(self.controllers))
            self.ids += 1
            request = RequestReceived(self.ids, f"c{step}", "look", "basic", now + 2000)
            actions = self.controllers[number].handle(now, [request])
            for action in actions:
                if isinstance(action, StartAttempt):
                    self.sent.append((now, number, action.endpoint))
                    completion = AttemptCompleted(
                        action.id, 0, action.endpoint, 200.0, AttemptResult.OK, True
                    )
                    self.controllers[number].handle(now, [completion])


def test_large_tier_reaches_each_endpoint_through_few_gateways():
    """Without subsets all 2,400 pairs of gateway and endpoint would be used, each with its own connection."""
    simulation = TierSimulation()
    simulation.run(20, 240)
    pairs = {(number, endpoint) for _, number, endpoint in simulation.sent}
    assert len(simulation.sent) == 4800 and len(pairs) <= 9 * 60
    attempts_by_endpoint = Counter(endpoint for _, _, endpoint in simulation.sent)
    assert len(attempts_by_endpoint) == 60 and max(attempts_by_endpoint.values()) <= 1.6 * 4800 / 60


def test_request_is_sent_outside_the_subset_if_its_endpoints_are_gone():
    simulation = TierSimulation()
    controller = simulation.controllers[0]
    subset = {tracked.endpoint.id for tracked in controller.state.endpoints.subset_warm}
    gone = EndpointsUpdated(
        tuple(Endpoint(name, "a", 0, EndpointState.GONE) for name in subset), is_snapshot=False
    )
    controller.handle(100_100.0, [gone])
    actions = controller.handle(100_200.0, [RequestReceived(1, "c", "look", "basic", 102_200.0)])
    sent = [action.endpoint for action in actions if isinstance(action, StartAttempt)]
    assert len(sent) == 1 and sent[0] not in subset
