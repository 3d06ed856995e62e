"""Which budgets a request is charged to, by its class, plan and customer.

Thousands of budgets may be configured, most of them for a single customer, and every request is matched. So
budgets of customers are indexed by customer, and the others are worked out once for each class and plan that
occurs. tests/policy/budgets/test_budget_matching.py compares the result with a scan of all budgets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BudgetRule:
    """The requests that one budget is for: those of any of the named classes, plans and customers, where an
    empty set means all. `charges_units`: a request is charged its units, otherwise 1."""

    name: str
    charges_units: bool = False
    classes: frozenset[str] = frozenset()
    plans: frozenset[str] = frozenset()
    customers: frozenset[str] = frozenset()

    def matches(self, class_name: str, plan_name: str) -> bool:
        """Whether class and plan match, whoever the customer is."""
        is_class = not self.classes or class_name in self.classes
        return is_class and (not self.plans or plan_name in self.plans)


class BudgetMatcher:
    """Matches requests with rules. Owns two tables: rules by customer, bounded by the settings; and one
    cached entry for each class and plan that occurs, bounded by the platform's settings."""

    def __init__(self, rules: list[BudgetRule]) -> None:
        self._rules_for_all = [rule for rule in rules if not rule.customers]
        self._rules_by_customer: dict[str, list[BudgetRule]] = {}
        for rule in rules:
            for customer in rule.customers:
                self._rules_by_customer.setdefault(customer, []).append(rule)
        # The charges where no rule counts units, whether one does, and the rules.
        self._cache: dict[tuple[str, str], tuple[list[tuple[str, float]], bool, list[BudgetRule]]] = {}

    def charges_for(
        self, class_name: str, plan_name: str, customer: str, units: float
    ) -> list[tuple[str, float]]:
        """The names of the budgets that match, and the units that the request is charged to each. The list is
        shared between calls: the caller must not change it."""
        key = class_name, plan_name
        cached = self._cache.get(key)
        if cached is None:
            cached = self._cache[key] = self._entry(class_name, plan_name)
        charges, charges_units, rules = cached
        customer_rules = self._rules_by_customer.get(customer)
        if customer_rules is None and not charges_units:
            return charges
        more = [rule for rule in customer_rules or () if rule.matches(class_name, plan_name)]
        return [(rule.name, units if rule.charges_units else 1.0) for rule in (*rules, *more)]

    def _entry(
        self, class_name: str, plan_name: str
    ) -> tuple[list[tuple[str, float]], bool, list[BudgetRule]]:
        rules = [rule for rule in self._rules_for_all if rule.matches(class_name, plan_name)]
        charges = [(rule.name, 1.0) for rule in rules]
        return charges, any(rule.charges_units for rule in rules), rules
