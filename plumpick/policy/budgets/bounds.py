"""Bounds on the spending of a budget in each state of the fleet, computed from the settings alone.

No I/O, no clock. docs/design/budgets.md derives these bounds; `plumpick bounds --operator` prints them."""

from __future__ import annotations

from dataclasses import dataclass

from plumpick.policy.budgets.budget import Budget, grants_end_within_lease, longest_duration_ms
from plumpick.policy.leases.terms import LeaseTerms

WINDOWS_S = (1.0, 10.0, 60.0)  # lengths of the windows that bounds are computed for, in seconds
# Maximum time until a slot has a new owner, in lease terms (guarantee 4 in docs/design/ownership.md).
MAX_VACANCY_TERMS = 2.0


@dataclass(frozen=True, slots=True)
class BudgetBound:
    """The bounds for one budget in one state of the fleet and one window. `most`: maximum number of units
    that all processes together can spend, whatever fails. `sure`: number of units that can be spent for
    certain in that state if the demand is high enough."""

    budget: str
    state: str
    window_s: float
    most: float
    sure: float


def max_vacancy_s(terms: LeaseTerms, grant_term_ms: float) -> float:
    """Maximum time in seconds after an allocator's death in which only the guaranteed limits can be spent,
    while a majority of acceptors is connected. It ends when the slot has an owner again and, if grants may
    outlast their lease, the last grant has expired."""
    wait_ms = 0.0
    if not grants_end_within_lease(grant_term_ms, terms.term_ms):
        wait_ms = longest_duration_ms(grant_term_ms, terms.drift_ratio)
    return (MAX_VACANCY_TERMS * terms.term_ms + wait_ms) / 1000


def bounds_of(budget: Budget, gateways: int, terms: LeaseTerms, grant_term_ms: float) -> list[BudgetBound]:
    """Return the bounds of one budget for all windows and states. `sure` does not include a burst that is
    available when the window begins, and does not hold where the share of the burst that each gateway is
    granted is smaller than one request (see BudgetAllocator._rotate_burst)."""
    slowest_clock = 1 / (1 + terms.drift_ratio)
    all_guaranteed = sum(budget.guaranteed_limit(number, gateways) for number in range(gateways))
    all_guaranteed *= slowest_clock
    one_guaranteed = budget.guaranteed_limit(gateways - 1, gateways) * slowest_clock
    in_service = all_guaranteed + budget.grantable_limit(gateways) * slowest_clock
    rows = []
    for window_s in WINDOWS_S:
        most = budget.burst + budget.limit * window_s
        vacant_s = min(window_s, max_vacancy_s(terms, grant_term_ms))
        for state, sure in (
            ("in service, all want more", in_service * window_s),
            ("the divider dies", all_guaranteed * vacant_s + in_service * (window_s - vacant_s)),
            ("no majority of voters", all_guaranteed * window_s),
            ("cut off alone", one_guaranteed * window_s),
        ):
            rows.append(BudgetBound(budget.name, state, window_s, most, sure))
    return rows
