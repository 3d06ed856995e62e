"""The gray failure simulation is deterministic and shows the differences between the compared rules."""

import pytest

from benchmarks.gray.rules import RULES
from benchmarks.gray.world import Failure, World


def play(rule, failure, load=0.6, seed=1):
    return World(RULES[rule], failure, load, 3, 9, seed).play()


@pytest.mark.parametrize("rule", RULES)
def test_same_seed_replays_same_run_and_each_rule_serves_requests_without_failure(rule):
    first = play(rule, Failure())
    assert first == play(rule, Failure())
    assert first["service"] > 0.97 and not first["broken"]


def test_overdue_check_improves_service_with_swallowed_attempts_without_repeating_debits():
    failure = Failure("swallow", "everywhere", 0.3)
    results = [play("plumpick", failure, 0.8, seed) for seed in (1, 2)]
    results_without_overdue_check = [play("before", failure, 0.8, seed) for seed in (1, 2)]
    assert (
        sum(one["service"] for one in results)
        > sum(one["service"] for one in results_without_overdue_check) + 0.1
    )
    assert not any(one["broken"] for one in results)


def test_further_attempts_are_limited_at_any_failure_share():
    """Further attempts are limited to a fifth of the first attempts plus a burst: no retry storm."""
    for share in (0.1, 0.5, 1.0):
        assert play("plumpick", Failure("swallow", "everywhere", share))["further"] < 0.3
    assert play("plumpick", Failure("fast-error", "everywhere"))["further"] < 0.3


def test_overload_does_not_raise_concurrency_limit():
    overloaded = play("plumpick", Failure("half-speed"), 1.0)
    assert overloaded["waiting"] < 0.5 < play("fixed cap", Failure("half-speed"), 1.0)["waiting"]
