"""The settings of a budget: rejection of invalid values, and the split of the limit."""

import math

import pytest

from plumpick.policy.budgets.budget import Budget, BudgetKind
from plumpick.policy.budgets.errors import InvalidBudgetError

RATE = Budget("tries", BudgetKind.RATE, 60.0, burst=30.0, guaranteed_ratio=0.3)
CONCURRENCY = Budget("open", BudgetKind.CONCURRENCY, 12, guaranteed_ratio=0.3, release_delay_ms=200.0)
MANY = Budget("many", BudgetKind.CONCURRENCY, 1000, guaranteed_ratio=0.37)


@pytest.mark.parametrize(
    ("field", "value", "key"),
    [
        ("limit", -1, "whole"),
        ("limit", 1.5, "whole"),
        ("guaranteed_ratio", 2, "floor"),
        ("burst", -1, "burst"),
        ("release_delay_ms", -1, "outlives_ms"),
        # Guards against numbers of TOML with which every comparison, and so every check of a limit, is false.
        *(
            (field, value, key)
            for field, key in (
                ("limit", "whole"),
                ("guaranteed_ratio", "floor"),
                ("burst", "burst"),
                ("release_delay_ms", "outlives_ms"),
            )
            for value in (math.nan, math.inf, -math.inf)
        ),
    ],
)
def test_invalid_budget_is_rejected_with_the_key_in_the_error(field, value, key):
    with pytest.raises(InvalidBudgetError, match=key):
        Budget(**{"name": "x", "kind": BudgetKind.CONCURRENCY, "limit": 5, field: value})


@pytest.mark.parametrize("gateways", [1, 3, 7, 200])
@pytest.mark.parametrize("budget", [RATE, CONCURRENCY, MANY], ids=lambda budget: budget.name)
def test_guaranteed_and_grantable_limits_add_up_to_the_limit(budget, gateways):
    guaranteed = sum(budget.guaranteed_limit(number, gateways) for number in range(gateways))
    assert guaranteed + budget.grantable_limit(gateways) == pytest.approx(budget.limit)
