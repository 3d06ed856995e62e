"""Which budgets a request takes from: by class, plan and firm.

Thousands of budgets may be named, most of them for one firm, and each request asks. So those of firms lie in
a table by firm, and the others are worked out once for each class and plan that occurs. Beside it stands the
plain way, a look at every budget (tests/budgets)."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BudgetRule:
    """One budget's requests: of any of these, where some are named; `by_units`: a request takes its units,
    not one."""

    name: str
    by_units: bool = False
    classes: frozenset[str] = frozenset()
    plans: frozenset[str] = frozenset()
    firms: frozenset[str] = frozenset()

    def fits(self, class_name: str, plan_name: str) -> bool:
        """Whatever the firm."""
        return (not self.classes or class_name in self.classes) and (
            not self.plans or plan_name in self.plans
        )


class BudgetMatcher:
    """Tables: rules by firm, as the settings name them; and one entry for each class and plan that occurs,
    which the platform's settings name."""

    def __init__(self, rules: list[BudgetRule]) -> None:
        self._general = [rule for rule in rules if not rule.firms]
        self._by_firm: dict[str, list[BudgetRule]] = {}
        for rule in rules:
            for firm in rule.firms:
                self._by_firm.setdefault(firm, []).append(rule)
        # What a request takes where no rule counts units, whether one does, and the rules.
        self._known: dict[tuple[str, str], tuple[list[tuple[str, float]], bool, list[BudgetRule]]] = {}

    def of(self, class_name: str, plan_name: str, firm: str, units: float) -> list[tuple[str, float]]:
        """The budgets, and what the request takes of each; not to be changed."""
        key = class_name, plan_name
        known = self._known.get(key)
        if known is None:
            rules = [rule for rule in self._general if rule.fits(class_name, plan_name)]
            known = self._known[key] = (
                [(rule.name, 1.0) for rule in rules],
                any(rule.by_units for rule in rules),
                rules,
            )
        plain, by_units, rules = known
        of_firm = self._by_firm.get(firm)
        if of_firm is None and not by_units:
            return plain
        more = [rule for rule in of_firm or () if rule.fits(class_name, plan_name)]
        return [(rule.name, units if rule.by_units else 1.0) for rule in (*rules, *more)]
