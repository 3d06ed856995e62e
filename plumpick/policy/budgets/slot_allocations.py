"""The allocators that run at this gateway, one for each budget of the slots whose leases it holds, and the
time until which grants made under each lease are outstanding.

If grants expire within the lease under which they are made, all grants of other gateways have expired when a
lease is acquired. Grants that this gateway made under an earlier lease, or in a previous process, may still
be outstanding. A lease must not be released while grants made under it are outstanding."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from plumpick.policy.budgets.allocator import BudgetAllocator
from plumpick.policy.budgets.budget import grants_end_within_lease
from plumpick.policy.budgets.grant import Grant
from plumpick.policy.budgets.local_budget import LocalBudget
from plumpick.policy.budgets.messages import DemandReport
from plumpick.policy.leases.terms import LeaseTerms


class SlotAllocations:
    """Keeps the allocators by name of their budget; the time at which the last grant of each slot expires,
    until then; and the slots whose leases are to be released."""

    def __init__(self, gateways: int, terms: LeaseTerms, grant_term_ms: float) -> None:
        self._gateways = gateways
        self._terms = terms
        self._grant_term_ms = grant_term_ms
        self._end_within_lease = grants_end_within_lease(grant_term_ms, terms.term_ms)
        self.allocators: dict[str, BudgetAllocator] = {}
        self.grants_end_ms: dict[int, float] = {}
        self.stopped_slots: set[int] = set()

    def start(self, now_ms: float, slot: int, fencing_token: int, budgets: Iterable[LocalBudget]) -> None:
        """Start allocating the budgets of a slot whose lease was acquired."""
        self.stopped_slots.discard(slot)
        from_ms = max(now_ms, self.grants_end_ms.get(slot, now_ms)) if self._end_within_lease else None
        for budget in budgets:
            budget.lower_limits.clear()
            self.allocators[budget.configured.name] = BudgetAllocator(
                budget.configured,
                self._gateways,
                now_ms,
                fencing_token,
                self._grant_term_ms,
                self._terms.drift_ratio,
                from_ms,
            )

    def remove(self, budgets: Iterable[LocalBudget]) -> None:
        """Stop allocating budgets because the lease of their slot was lost."""
        for budget in budgets:
            self.allocators.pop(budget.configured.name, None)

    def stop(self, slots: set[int]) -> None:
        """Make no more grants for the budgets of these slots, so that their leases can be released."""
        self.stopped_slots |= slots

    def slots_with_grants(self, now_ms: float) -> frozenset[int]:
        """Slots whose leases must not be released yet, because grants made under them are outstanding."""
        return frozenset(
            slot for slot, end_ms in self.grants_end_ms.items() if self._end_within_lease and now_ms < end_ms
        )

    def forget_ended(self, now_ms: float) -> None:
        """Remove expiry times that have passed. Otherwise `next_release_ms` would return a time in the past
        while a scheduled task of the slot still runs, and the timer would fire continuously."""
        for slot in [slot for slot, end_ms in self.grants_end_ms.items() if now_ms >= end_ms]:
            del self.grants_end_ms[slot]

    def next_release_ms(self, is_own: Callable[[int], bool]) -> float:
        """Earliest time at which all grants of a slot that this gateway owns and is to release have expired.
        `is_own` returns whether this gateway owns a slot."""
        return min(
            (self.grants_end_ms.get(slot, math.inf) for slot in self.stopped_slots if is_own(slot)),
            default=math.inf,
        )

    def grant(
        self,
        now_ms: float,
        sender: int,
        incarnation: int,
        budget: LocalBudget,
        report: DemandReport,
        lease_end_of: Callable[[int], float],
    ) -> Grant | None:
        """Return the grant of the budget's allocator, which must run here, to the sender of a report; None if
        nothing may be granted now."""
        allocator = self.allocators[budget.configured.name]
        lease_end_ms = lease_end_of(budget.slot) if self._end_within_lease else math.inf
        grant = allocator.request_grant(now_ms, sender, incarnation, report, lease_end_ms)
        end_ms = self.grants_end_ms.get(budget.slot, -math.inf)
        self.grants_end_ms[budget.slot] = max(end_ms, allocator.last_grant_expires_ms)
        return grant
