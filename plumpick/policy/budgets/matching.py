"""Selects the budgets that a request is charged to, by its request class, plan and customer.

Thousands of budgets may be configured, most of them for a single customer, and every request has to be
matched. Therefore budgets for named customers are indexed by customer, and the matches of all others are
cached for each pair of class and plan. tests/policy/budgets/test_budget_matching.py compares the result with
a scan of all budgets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BudgetRule:
    """The requests that are charged to one budget: those with one of the given classes, one of the given
    plans and one of the given customers; an empty set matches all. `charges_units`: whether a request is
    charged the units that it takes, otherwise 1."""

    name: str
    charges_units: bool = False
    classes: frozenset[str] = frozenset()
    plans: frozenset[str] = frozenset()
    customers: frozenset[str] = frozenset()

    def matches(self, class_name: str, plan_name: str) -> bool:
        """Whether the rule applies to the class and the plan, regardless of the customer."""
        is_class = not self.classes or class_name in self.classes
        return is_class and (not self.plans or plan_name in self.plans)


class BudgetMatcher:
    """Matches requests with budget rules. Keeps the rules for named customers, by customer, bounded by the
    budget settings; and one cache entry for each pair of class and plan in use, bounded by the platform's
    settings."""

    def __init__(self, rules: list[BudgetRule]) -> None:
        self._rules_for_all = [rule for rule in rules if not rule.customers]
        self._rules_by_customer: dict[str, list[BudgetRule]] = {}
        for rule in rules:
            for customer in rule.customers:
                self._rules_by_customer.setdefault(customer, []).append(rule)
        # By class and plan: charges of 1 unit each, whether any rule charges units, and the matching rules.
        self._cache: dict[tuple[str, str], tuple[list[tuple[str, float]], bool, list[BudgetRule]]] = {}

    def charges_for(
        self, class_name: str, plan_name: str, customer: str, units: float
    ) -> list[tuple[str, float]]:
        """Return pairs of the name of a matching budget and the units to charge to it, for a request that
        takes `units`. The list may be shared between calls, and the caller must not modify it."""
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
