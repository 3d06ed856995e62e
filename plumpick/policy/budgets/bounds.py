"""What a budget comes to in each state, from the settings alone: no I/O, no clock.

`most`: units that all processes together may spend in a window, whatever breaks (promise 1). `sure`: units
that may be spent where the demand is there, in that state: the floors of those that are cut off, or all but
one share on its way. The derivation stands in docs/design/budgets.md."""

from __future__ import annotations

from dataclasses import dataclass

from plumpick.policy.budgets.budget import Budget, grants_end_within_lease, longest_duration_ms
from plumpick.policy.leases.terms import Terms

WINDOWS_S = (1.0, 10.0, 60.0)
MAX_VACANCY_TERMS = 2.0  # within so many lease terms a slot has a next owner (ownership, promise 4)


@dataclass(frozen=True, slots=True)
class BudgetBound:
    """For one budget, window and state, in units."""

    budget: str
    state: str
    window_s: float
    most: float
    sure: float


def max_vacancy_s(terms: Terms, share_ms: float) -> float:
    """How long at most floors alone serve after a divider's death, while a majority of voters hear one
    another: the vacancy, and a share's term more where shares may outlive leases."""
    wait_ms = (
        0.0
        if grants_end_within_lease(share_ms, terms.term_ms)
        else longest_duration_ms(share_ms, terms.drift)
    )
    return (MAX_VACANCY_TERMS * terms.term_ms + wait_ms) / 1000


def bounds_of(budget: Budget, gateways: int, terms: Terms, share_ms: float) -> list[BudgetBound]:
    """All states and windows. A burst that is there at the window's begin is not counted as sure, and where a
    part of the burst holds no whole request nothing is (divider.Divider._in_turn)."""
    rows = []
    slower = 1 / (1 + terms.drift)
    floors = sum(budget.floor_of(number, gateways) for number in range(gateways)) * slower
    one = budget.floor_of(gateways - 1, gateways) * slower
    whole = floors + budget.lendable(gateways) * slower
    for window in WINDOWS_S:
        away = min(window, max_vacancy_s(terms, share_ms))
        for state, sure in (
            ("in service, all want more", whole * window),
            ("the divider dies", floors * away + whole * (window - away)),
            ("no majority of voters", floors * window),
            ("cut off alone", one * window),
        ):
            rows.append(BudgetBound(budget.name, state, window, budget.burst + budget.whole * window, sure))
    return rows
