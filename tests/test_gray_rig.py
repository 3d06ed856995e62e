"""The study rig of gray failures: it replays, and tells apart what it is made to tell apart."""

import pytest

from benchmarks.gray.rules import RULES
from benchmarks.gray.world import Failure, World


def play(rule, failure, load=0.6, seed=1):
    return World(RULES[rule], failure, load, 3, 9, seed).play()


@pytest.mark.parametrize("rule", RULES)
def test_the_same_seed_gives_the_same_run_and_each_rule_serves_a_calm_day(rule):
    first = play(rule, Failure())
    assert first == play(rule, Failure())
    assert first["service"] > 0.97 and not first["broken"]


def test_swallowed_attempts_cost_the_module_less_than_before_and_debits_go_out_once():
    failure = Failure("swallow", "everywhere", 0.3)
    now = [play("plumpick", failure, 0.8, seed) for seed in (1, 2)]
    before = [play("before", failure, 0.8, seed) for seed in (1, 2)]
    assert sum(one["service"] for one in now) > sum(one["service"] for one in before) + 0.1
    assert not any(one["broken"] for one in now)


def test_further_attempts_stay_under_their_share_at_any_failure_share():
    """A fifth of the first ones, and what may be saved up: no storm of further attempts."""
    for share in (0.1, 0.5, 1.0):
        assert play("plumpick", Failure("swallow", "everywhere", share))["further"] < 0.3
    assert play("plumpick", Failure("fast-error", "everywhere"))["further"] < 0.3


def test_overload_does_not_open_the_cap():
    pressed = play("plumpick", Failure("half-speed"), 1.0)
    assert pressed["waiting"] < 0.5 < play("fixed cap", Failure("half-speed"), 1.0)["waiting"]
