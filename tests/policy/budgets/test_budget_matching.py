"""Selection of the budgets that a request is charged to."""

from hypothesis import given
from hypothesis import strategies as st

from plumpick.policy.budgets.matching import BudgetMatcher, BudgetRule

NAMES = st.sampled_from(["a", "b", "c"])
SETS = st.frozensets(NAMES, max_size=2)


@given(
    st.lists(st.builds(BudgetRule, NAMES, st.booleans(), SETS, SETS, SETS), max_size=8), NAMES, NAMES, NAMES
)
def test_indexed_matching_equals_a_scan_of_all_rules(rules, class_name, plan, customer):
    expected = [
        (rule.name, 3.0 if rule.charges_units else 1.0)
        for rule in rules
        if all(
            not allowed or value in allowed
            for allowed, value in ((rule.classes, class_name), (rule.plans, plan), (rule.customers, customer))
        )
    ]
    matcher = BudgetMatcher(rules)
    for _ in range(2):  # the second call uses the cache
        assert sorted(matcher.charges_for(class_name, plan, customer, 3.0)) == sorted(expected)
