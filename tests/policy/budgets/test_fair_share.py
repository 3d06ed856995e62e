"""Properties of weighted max-min fairness."""

import math

from hypothesis import given
from hypothesis import strategies as st

from plumpick.policy.budgets.fair_share import max_min_integer_shares, max_min_shares

NUMBERS = st.integers(0, 30)
DEMANDS = st.dictionaries(NUMBERS, st.floats(0, 1e6), max_size=12)
WEIGHTS = st.dictionaries(NUMBERS, st.floats(0.1, 10), max_size=12)


@given(st.floats(0, 1e6), DEMANDS, WEIGHTS)
def test_shares_exceed_neither_the_limit_nor_the_demand(limit, demands, weights):
    shares = max_min_shares(limit, demands, weights)
    assert set(shares) == set(demands)
    assert sum(shares.values()) <= limit * (1 + 1e-9)
    assert all(0 <= shares[one] <= demands[one] for one in shares)


@given(st.floats(1, 1e6), DEMANDS, WEIGHTS)
def test_whole_limit_is_shared_or_every_demand_is_met(limit, demands, weights):
    shares = max_min_shares(limit, demands, weights)
    if sum(demands.values()) >= limit:
        assert math.isclose(sum(shares.values()), limit, rel_tol=1e-6)
    else:
        assert shares == demands


@given(st.floats(1, 1e6), DEMANDS, WEIGHTS)
def test_unmet_demand_has_at_least_the_share_per_weight_of_any_other(limit, demands, weights):
    shares = max_min_shares(limit, demands, weights)
    by_weight = {one: shares[one] / weights.get(one, 1.0) for one in shares}
    for one in shares:
        if shares[one] < demands[one] * (1 - 1e-9) - 1e-9:
            assert all(other <= by_weight[one] * (1 + 1e-6) + 1e-6 for other in by_weight.values())


@given(st.floats(1, 1e6), DEMANDS, NUMBERS, st.floats(1, 1e9))
def test_exaggerated_demand_does_not_reduce_others_below_an_equal_share(
    limit, demands, exaggerating, exaggerated_demand
):
    real_demands = {**demands, exaggerating: 1.0}
    shares = max_min_shares(limit, {**real_demands, exaggerating: exaggerated_demand})
    for one, share in shares.items():
        if one != exaggerating:
            assert share >= min(real_demands[one], limit / len(shares)) * (1 - 1e-9)


@given(st.integers(0, 500), DEMANDS)
def test_integer_shares_exceed_neither_the_limit_nor_the_demand(limit, demands):
    units = max_min_integer_shares(limit, demands)
    assert sum(units.values()) <= limit
    assert all(0 <= units[one] <= math.ceil(demands[one]) for one in units)
    if sum(math.ceil(demand) for demand in demands.values()) >= limit:
        assert sum(units.values()) == limit


def test_single_unit_goes_to_one_of_200_participants():
    assert sum(max_min_integer_shares(1, dict.fromkeys(range(200), 1.0)).values()) == 1


def test_demand_that_is_not_finite_counts_as_zero():
    assert max_min_shares(10, {1: math.nan, 2: math.inf, 3: -5.0, 4: 3.0}) == {1: 0.0, 2: 0.0, 3: 0.0, 4: 3.0}
