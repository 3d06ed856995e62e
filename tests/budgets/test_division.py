"""The division of a whole: properties of weighted max-min."""

import math

from hypothesis import given
from hypothesis import strategies as st

from plumpick.policy.budgets.fair_share import max_min_integer_shares, max_min_shares

NUMBERS = st.integers(0, 30)
DEMANDS = st.dictionaries(NUMBERS, st.floats(0, 1e6), max_size=12)
WEIGHTS = st.dictionaries(NUMBERS, st.floats(0.1, 10), max_size=12)


@given(st.floats(0, 1e6), DEMANDS, WEIGHTS)
def test_never_more_than_the_whole_nor_than_what_is_asked_for(whole, demands, weights):
    parts = max_min_shares(whole, demands, weights)
    assert set(parts) == set(demands)
    assert sum(parts.values()) <= whole * (1 + 1e-9)
    assert all(0 <= parts[one] <= demands[one] for one in parts)


@given(st.floats(1, 1e6), DEMANDS, WEIGHTS)
def test_all_is_given_or_everybody_has_what_it_asked_for(whole, demands, weights):
    parts = max_min_shares(whole, demands, weights)
    if sum(demands.values()) >= whole:
        assert math.isclose(sum(parts.values()), whole, rel_tol=1e-6)
    else:
        assert parts == demands


@given(st.floats(1, 1e6), DEMANDS, WEIGHTS)
def test_who_is_left_wanting_has_no_less_for_its_weight_than_anybody(whole, demands, weights):
    parts = max_min_shares(whole, demands, weights)
    by_weight = {one: parts[one] / weights.get(one, 1.0) for one in parts}
    for one in parts:
        if parts[one] < demands[one] * (1 - 1e-9) - 1e-9:
            assert all(other <= by_weight[one] * (1 + 1e-6) + 1e-6 for other in by_weight.values())


@given(st.floats(1, 1e6), DEMANDS, NUMBERS, st.floats(1, 1e9))
def test_a_lie_takes_no_more_than_its_weights_part_of_what_others_want(whole, demands, liar, lie):
    honest = {**demands, liar: 1.0}
    parts = max_min_shares(whole, {**honest, liar: lie})
    for one, part in parts.items():
        if one != liar:
            assert part >= min(honest[one], whole / len(parts)) * (1 - 1e-9)


@given(st.integers(0, 500), DEMANDS)
def test_whole_units_are_never_more_than_the_whole_nor_than_what_is_asked_for(whole, demands):
    units = max_min_integer_shares(whole, demands)
    assert sum(units.values()) <= whole
    assert all(0 <= units[one] <= math.ceil(demands[one]) for one in units)
    if sum(math.ceil(demand) for demand in demands.values()) >= whole:
        assert sum(units.values()) == whole


def test_one_unit_for_two_hundred_goes_to_one():
    assert sum(max_min_integer_shares(1, dict.fromkeys(range(200), 1.0)).values()) == 1


def test_a_demand_that_is_no_number_counts_as_none():
    assert max_min_shares(10, {1: math.nan, 2: math.inf, 3: -5.0, 4: 3.0}) == {1: 0.0, 2: 0.0, 3: 0.0, 4: 3.0}
