"""Static division of a hard limit over the gateways of a customer's set."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.quota_rig import QuotaSimulation, partition

from plumpick.policy.quota import hard_limits
from plumpick.policy.quota.hard_limits import set_part


@given(st.floats(0, 100), st.integers(1, 60))
def test_set_parts_sum_to_one_and_each_nonzero_part_holds_a_unit_if_the_burst_has_one(burst, set_size):
    parts = [set_part(burst, set_size, place) for place in range(set_size)]
    assert sum(parts) == pytest.approx(1.0)
    if burst >= 1:
        assert all(part == 0 or part * burst >= 1 - 1e-9 or set_size == 1 for part in parts)
    if burst >= set_size:  # the division is even
        assert parts == [1 / set_size] * set_size


def served_ratio_without_owner(set_size):
    """Fraction of the quota that a customer gets at the other gateways of its set during the last 5 s of a 6
    s partition of its quota owner, and the simulation."""
    simulation = QuotaSimulation(rate=6.9, burst=13.0, hard_limit_ratio=2.0, gateways=20, set_size=set_size)
    owner = simulation.owner_of()
    others = [number for number in range(set_size) if number != owner]
    simulation.message_delay = partition({owner}, 4000, 10_000)
    simulation.schedule_load(others, simulation.plan.rate_per_s, 0, 10_000)
    simulation.run(12_000)
    forwarded = simulation.forwarded_count(5000, 10_000, others)
    return forwarded / (5 * simulation.plan.rate_per_s), simulation


def test_customer_with_hard_limit_and_large_set_is_served_while_owner_is_unreachable(monkeypatch):
    """With an even division over a large set, each part of the hard limit is below one unit, which no request
    can be charged to. In a simulated day with a partition of 60 gateways, 1,049 of 1,604 rejections while
    owners were unreachable were of the plan with a hard limit, in sets of 13 gateways."""
    ratio, simulation = served_ratio_without_owner(13)
    assert ratio > 0.2 and simulation.max_excess() <= 13
    monkeypatch.setattr(hard_limits, "set_part", lambda _burst, set_size, _place: 1 / set_size)
    assert served_ratio_without_owner(13)[0] == 0
