"""Seeded random event sequences for controllers, with an independent check of the five rules.

Rule 1: one final answer in time. Rule 2: no double execution. Rule 3: no attempts at draining endpoints. Rule
4: bounded load of cold endpoints. Rule 5: hard limits of customers."""

import heapq
import random

import pytest
from support.traffic import TICK_MS, TrafficSimulation, settings

from plumpick.policy.actions import (
    StartAttempt,
)
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    RequestReceived,
)


@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_for_random_event_sequences(seed):
    simulation = TrafficSimulation(seed, gateways=2 + seed % 3, loss=(0.1, 0.5, 1.0)[seed % 3])
    simulation.run(20_000)
    assert len(simulation.checker.done) > 1000
    assert sum(len(sent) > 1 for sent in simulation.checker.sent.values()) > 20


def test_rules_hold_while_gateways_are_killed_often():
    simulation = TrafficSimulation(99, kill=0.01, rate=300)
    simulation.run(15_000)
    assert max(simulation.incarnations.values()) > 5


def test_same_events_give_same_actions():
    first, second = TrafficSimulation(7), TrafficSimulation(7)
    first.run(4000)
    second.run(4000)
    assert first.log == second.log


@pytest.mark.parametrize("seed", range(3))
def test_cold_endpoint_gets_no_more_than_its_slow_start_allows(seed):
    """Rule 4: from its start, a cold endpoint gets fewer attempts than a warm one from all gateways
    together."""
    rng = random.Random(seed)
    gateways = {n: Controller(settings(number=n), rng.randrange(1 << 30)) for n in range(3)}
    now, serial, sends, pending_answers = 50_000.0, 0, [], []
    fleet = [Endpoint(f"s{n}", "z0", 0, EndpointState.READY) for n in range(5)]
    cold = Endpoint("cold", "z0", 0, EndpointState.READY, 1.0, 52_000.0)
    while now < 56_000:
        now += TICK_MS
        for n, controller in gateways.items():
            events = []
            if now == 50_004.0:
                events.append(EndpointsUpdated(tuple(fleet)))
            if now == 52_000.0:
                events.append(EndpointsUpdated((cold,), is_snapshot=False))
            if rng.random() < 0.12:
                serial += 1
                events.append(
                    RequestReceived(serial, f"c{serial % 400}", "look", "rated", now + 1500, 1, 0, 3)
                )
            while pending_answers and pending_answers[0][0] <= now and pending_answers[0][1] == n:
                _, _, number, endpoint = heapq.heappop(pending_answers)
                events.append(AttemptCompleted(number, 0, endpoint, 120.0, AttemptResult.OK, True))
            for action in controller.handle(now, events):
                if isinstance(action, StartAttempt):
                    sends.append((now, action.endpoint))
                    heapq.heappush(pending_answers, (now + 120, n, action.id, action.endpoint))
        pending_answers.sort()
    for start in range(52_000, 54_500, 100):
        window = [endpoint for at, endpoint in sends if start <= at < start + 1500]
        share = 0.25 + 0.75 * (start + 1500 - 52_000) / 8000
        warm = sum(endpoint != "cold" for endpoint in window) / 5
        assert window.count("cold") <= share * warm * 1.5 + 3
