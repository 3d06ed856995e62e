"""How much of a budget can be spent in each state of the fleet, from the settings alone: no I/O, no clock.

docs/design/budgets.md derives these bounds; `plumpick bounds --operator` prints them."""

from __future__ import annotations

from dataclasses import dataclass

from plumpick.policy.budgets.budget import Budget, grants_end_within_lease, longest_duration_ms
from plumpick.policy.leases.terms import LeaseTerms

WINDOWS_S = (1.0, 10.0, 60.0)
MAX_VACANCY_TERMS = 2.0  # lease terms within which a slot has a next owner (docs/design/ownership.md, 4)


@dataclass(frozen=True, slots=True)
class BudgetBound:
    """One budget, state and window. `most`: units that all processes together can spend at most, whatever
    fails. `sure`: units that can be spent where there is demand, in that state."""

    budget: str
    state: str
    window_s: float
    most: float
    sure: float


def max_vacancy_s(terms: LeaseTerms, grant_term_ms: float) -> float:
    """For how many seconds at most only guaranteed limits serve after an allocator's death, while a majority
    of acceptors is connected: until the slot has an owner again and, where grants may outlive leases, until
    the last grant has ended."""
    wait_ms = 0.0
    if not grants_end_within_lease(grant_term_ms, terms.term_ms):
        wait_ms = longest_duration_ms(grant_term_ms, terms.drift_ratio)
    return (MAX_VACANCY_TERMS * terms.term_ms + wait_ms) / 1000


def bounds_of(budget: Budget, gateways: int, terms: LeaseTerms, grant_term_ms: float) -> list[BudgetBound]:
    """The bounds for all windows and states. A burst that is available when the window begins is not counted
    as sure; where an allocator's part of the burst holds no whole request, nothing is
    (BudgetAllocator._rotate_burst)."""
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
