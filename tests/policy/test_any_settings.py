"""Random settings: the rules hold for any classes, idempotency kinds, deduplication scopes, windows and
limits."""

import random

import pytest
from support.traffic import RuleChecker, TrafficSimulation, settings

from plumpick.policy.actions import StartAttempt
from plumpick.policy.events import AttemptResult
from plumpick.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass


def random_settings(seed):
    """A function that returns random valid settings determined by `seed`; the same for each gateway."""
    rng = random.Random(f"settings {seed}")
    classes = []
    for number in range(rng.choice((1, 1, 2, 3, 5))):
        deadline_ms = rng.choice((200.0, 500.0, 900.0, 2500.0, 7500.0, 25_000.0))
        classes.append(
            RequestClass(
                f"class-{rng.randrange(1000)}-{number}",
                deadline_ms * rng.uniform(0.2, 0.9),
                deadline_ms,
                rng.choice((0.0, 1.0, 4.0)),
                rng.choice(list(Idempotency)),
                deduplication_scope=rng.choice(list(DeduplicationScope)),
                deduplication_window_ms=rng.choice((0.0, 30.0, 200.0, 700.0, 1000.0, 15_000.0)),
                late_priority_weight=rng.choice((0.0, 0.5)),
            )
        )
    plans = []
    for number in range(rng.choice((1, 2, 3))):
        rate = rng.choice((0.0, 1.0, 6.0, 20.0))
        hard_limit_per_s = rng.choice((0.0, 0.0, 2.0)) * rate
        plans.append(
            Plan(
                f"plan-{number}",
                rate,
                rate * 3,
                priority_factor=rng.uniform(0.5, 2),
                over_quota_cost=0.6,
                over_quota_weight=rng.choice((0.0, 0.9)),
                hard_limit_per_s=hard_limit_per_s,
                hard_limit_burst=hard_limit_per_s * 3,
                hard_limit_slack=max(4.0, hard_limit_per_s * 0.3),
            )
        )
    more = {
        "max_attempts": rng.choice((1, 2, 3, 5)),
        "can_hedge": rng.random() < 0.5,
        "can_cancel_attempts": rng.random() < 0.5,
        "slow_start_initial_ratio": rng.choice((0.1, 0.4)),
        "slow_start_ms": rng.choice((0.0, 3000.0, 17_000.0)),
        "overload_multiple": rng.choice((2.0, 3.0)),
        "load_report_source": rng.choice(("answers", "none")),
        "max_retry_after_ms": rng.choice((0.0, 1000.0)),
    }
    return lambda **own: settings(classes=tuple(classes), plans=tuple(plans), **more, **own)


class AttemptTimingChecker(RuleChecker):
    """Also checks max_attempts, that nothing is hedged unless the settings allow it, and the time at which a
    retry is actually sent."""

    def __init__(self, config):
        super().__init__(config)
        self.in_flight = {}

    def send(self, now, number, endpoint, drained_ms):
        super().send(now, number, endpoint, drained_ms)
        in_flight = self.in_flight.setdefault(number, set())
        assert self.config.can_hedge or not in_flight, "second attempt in flight although hedging is off"
        in_flight.add(len(self.sent[number]) - 1)
        assert len(self.sent[number]) <= self.config.max_attempts, "more attempts than max_attempts"

    def on_attempt_sent(self, now, number):
        """Check the latest attempt of a request at the time when its bytes are sent."""
        _, request = self.open[number]
        kind, unproven = self.kinds[request.class_name], self.unproven_attempts(number)
        if kind.idempotency is Idempotency.KEYED and len(unproven) > 1:
            assert now - unproven[0][0] <= kind.deduplication_window_ms, (
                "rule 2: retry sent after the deduplication window"
            )


class LateConnectionTraffic(TrafficSimulation):
    """Random traffic with late connections; attempts that pass their start_within_ms are not sent."""

    def __init__(self, seed, **more):
        super().__init__(seed, **more)
        self.checker, self.withheld_attempts = AttemptTimingChecker(self.config), 0

    def execute(self, n, action):
        if not isinstance(action, StartAttempt):
            super().execute(n, action)
            return
        endpoint = next(one for one in self.fleet if one.id == action.endpoint)
        self.checker.send(self.now, action.id, endpoint, self.drained_since_ms[n].get(endpoint.id))
        number = len(self.checker.sent[action.id]) - 1
        delay = self.rng.choice((0.0, 0.0, self.rng.uniform(0, 400.0)))
        result = self.rng.choices(
            [
                AttemptResult.OK,
                AttemptResult.ERROR,
                AttemptResult.REJECTED_BY_WORKER,
                AttemptResult.TIMEOUT,
                AttemptResult.CONNECT_FAILED,
                AttemptResult.RESET,
            ],
            [60, 8, 8, 8, 6, 10],
        )[0]
        latency_ms = delay + self.rng.expovariate(1 / 150)
        if delay > action.start_within_ms:
            result, latency_ms = AttemptResult.CONNECT_FAILED, delay
            self.withheld_attempts += 1
        else:
            self.checker.on_attempt_sent(self.now + delay, action.id)
        latency_ms = (
            action.timeout_ms if result is AttemptResult.TIMEOUT else min(latency_ms, action.timeout_ms)
        )
        self.attempts[action.id, number] = (n, endpoint, self.now)
        self.schedule(latency_ms, n, (action.id, number, result))

    def deliver(self, gateway, event):
        if isinstance(event, tuple):
            self.checker.in_flight.get(event[0], set()).discard(event[1])
        super().deliver(gateway, event)


@pytest.mark.parametrize("seed", range(24))
def test_rules_hold_for_random_settings(seed):
    simulation = LateConnectionTraffic(
        seed, gateways=2 + seed % 3, loss=(0.1, 0.5)[seed % 2], settings_of=random_settings(seed)
    )
    simulation.run(6000)
    assert len(simulation.checker.done) > 300


def test_seeds_cover_withheld_retries_and_all_idempotency_kinds():
    """The seeds must produce retries withheld because of late connections, classes of each idempotency kind,
    and settings with a single class."""
    withheld, idempotency_kinds, counts = 0, set(), set()
    for seed in range(24):
        config = random_settings(seed)()
        idempotency_kinds |= {kind.idempotency for kind in config.classes}
        counts.add(len(config.classes))
        if any(
            kind.idempotency is Idempotency.KEYED and 0 < kind.deduplication_window_ms <= 1000
            for kind in config.classes
        ):
            simulation = LateConnectionTraffic(seed, settings_of=random_settings(seed))
            simulation.run(3000)
            withheld += simulation.withheld_attempts
    assert withheld > 5 and idempotency_kinds == set(Idempotency) and 1 in counts and max(counts) >= 4
