"""Random settings: the rules hold for any classes, idempotency kinds, deduplication scopes, windows and
limits."""

import random

import pytest
from support.traffic import Checker, Town, settings

from plumpick.policy.actions import StartAttempt
from plumpick.policy.events import AttemptResult
from plumpick.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass


def drawn(seed):
    """A function that returns random valid settings determined by `seed`; the same for each gateway."""
    rng = random.Random(f"settings {seed}")
    kinds = []
    for number in range(rng.choice((1, 1, 2, 3, 5))):
        deadline_ms = rng.choice((200.0, 500.0, 900.0, 2500.0, 7500.0, 25_000.0))
        kinds.append(
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
        ceiling = rng.choice((0.0, 0.0, 2.0)) * rate
        plans.append(
            Plan(
                f"plan-{number}",
                rate,
                rate * 3,
                priority_factor=rng.uniform(0.5, 2),
                over_quota_cost=0.6,
                over_quota_weight=rng.choice((0.0, 0.9)),
                hard_limit_per_s=ceiling,
                hard_limit_burst=ceiling * 3,
                hard_limit_slack=max(4.0, ceiling * 0.3),
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
    return lambda **own: settings(classes=tuple(kinds), plans=tuple(plans), **more, **own)


class Books(Checker):
    """Also checks max_attempts, that nothing is hedged unless the settings allow it, and the time at which a
    retry is actually sent."""

    def __init__(self, config):
        super().__init__(config)
        self.out = {}

    def send(self, now, number, server, drained_ms):
        super().send(now, number, server, drained_ms)
        out = self.out.setdefault(number, set())
        assert self.config.can_hedge or not out, "a second copy"
        out.add(len(self.sent[number]) - 1)
        assert len(self.sent[number]) <= self.config.max_attempts, "too many attempts"

    def leaves(self, now, number):
        """Check the latest attempt of a request at the time when its bytes are sent."""
        _, arrival = self.open[number]
        kind, loose = self.kinds[arrival.class_name], self.unproved(number)
        if kind.idempotency is Idempotency.KEYED and len(loose) > 1:
            assert now - loose[0][0] <= kind.deduplication_window_ms, "rule 2: it left past the window"


class LateTown(Town):
    """Random traffic with late connections; attempts that pass their start_within_ms are not sent."""

    def __init__(self, seed, **more):
        super().__init__(seed, **more)
        self.checker, self.kept_back = Books(self.config), 0

    def act(self, n, action):
        if not isinstance(action, StartAttempt):
            super().act(n, action)
            return
        server = next(one for one in self.fleet if one.id == action.endpoint)
        self.checker.send(self.now, action.id, server, self.learned[n].get(server.id))
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
        took = delay + self.rng.expovariate(1 / 150)
        if delay > action.start_within_ms:
            result, took = AttemptResult.CONNECT_FAILED, delay
            self.kept_back += 1
        else:
            self.checker.leaves(self.now + delay, action.id)
        took = action.timeout_ms if result is AttemptResult.TIMEOUT else min(took, action.timeout_ms)
        self.tries[action.id, number] = (n, server, self.now)
        self.later(took, n, (action.id, number, result))

    def deliver(self, gateway, event):
        if isinstance(event, tuple):
            self.checker.out.get(event[0], set()).discard(event[1])
        super().deliver(gateway, event)


@pytest.mark.parametrize("seed", range(24))
def test_rules_hold_for_random_settings(seed):
    town = LateTown(seed, gateways=2 + seed % 3, loss=(0.1, 0.5)[seed % 2], settings_of=drawn(seed))
    town.run(6000)
    assert len(town.checker.done) > 300


def test_seeds_cover_withheld_retries_and_all_idempotency_kinds():
    """The seeds must produce retries withheld because of late connections, classes of each idempotency kind,
    and settings with a single class."""
    kept, effects, counts = 0, set(), set()
    for seed in range(24):
        config = drawn(seed)()
        effects |= {kind.idempotency for kind in config.classes}
        counts.add(len(config.classes))
        if any(
            kind.idempotency is Idempotency.KEYED and 0 < kind.deduplication_window_ms <= 1000
            for kind in config.classes
        ):
            town = LateTown(seed, settings_of=drawn(seed))
            town.run(3000)
            kept += town.kept_back
    assert kept > 5 and effects == set(Idempotency) and 1 in counts and max(counts) >= 4
