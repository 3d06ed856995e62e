"""Agreement on limits while gateways are configured with different ones: the lowest limits of all gateways
that report demand apply.

Demand reports and grants carry a fingerprint of the limits; the limits themselves are sent only if
fingerprints differ. The gateway then sends a query with its limits to the allocator, which lowers its own
limits if necessary and answers with them, and the gateway lowers its guaranteed limit in the same way."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from plumpick.policy.budgets.allocator import BudgetAllocator
from plumpick.policy.budgets.budget import MAX_LIMIT, Budget
from plumpick.policy.budgets.local_budget import DEMAND_MEMORY_TERMS, LocalBudget, LowerLimits
from plumpick.policy.budgets.messages import LimitsMessage


class LimitsAgreement:
    """Applies the agreed limits to the budgets and allocators of this gateway. `warnings` holds lines for the
    log, which the caller removes."""

    def __init__(self, number: int, grant_term_ms: float, allocators: Mapping[str, BudgetAllocator]) -> None:
        self._number = number
        self._memory_ms = DEMAND_MEMORY_TERMS * grant_term_ms
        self._allocators = allocators
        self.warnings: list[str] = []

    def on_grant(self, now_ms: float, budget: LocalBudget, fingerprint: int) -> LimitsMessage | None:
        """Handle an accepted grant that was made under the limits with `fingerprint`. Return the query to
        send to the allocator if they differ from this gateway's limits, otherwise None."""
        configured = budget.configured
        if fingerprint == configured.fingerprint:
            budget.allocator_limits = None
            budget.logged_limits = None
            if budget.limiter.budget != configured:
                budget.limiter.set_limits(now_ms, configured)
            return None
        if fingerprint == budget.limiter.budget.fingerprint and budget.allocator_limits is not None:
            return None
        return LimitsMessage(budget.index, configured.limit, configured.burst, True)

    def on_limits(self, now_ms: float, sender: int, budget: LocalBudget, message: LimitsMessage) -> None:
        """Apply the limits that the allocator uses where they are lower than this gateway's configured
        limits."""
        budget.allocator_limits = message.limit, message.burst
        budget.limiter.set_limits(now_ms, budget.configured.capped_at(message.limit, message.burst))
        self._log_difference(sender, budget, message)

    def on_query(
        self, now_ms: float, sender: int, budget: LocalBudget, message: LimitsMessage
    ) -> LimitsMessage | None:
        """Handle a query of gateway `sender`, whose limits differ from the allocator's: record them if they
        are lower. Return the answer; None if the budget is not allocated here."""
        answer = None
        allocator = self._allocators.get(budget.configured.name)
        if allocator is not None:
            self._record_lower(now_ms, sender, budget, message)
            answer = LimitsMessage(budget.index, allocator.budget.limit, allocator.budget.burst, False)
        self._log_difference(sender, budget, message)
        return answer

    def on_report(self, now_ms: float, sender: int, budget: LocalBudget, fingerprint: int) -> None:
        """Update the recorded lower limits of gateway `sender` from the fingerprint in its demand report."""
        if not budget.lower_limits:
            return
        lower = budget.lower_limits.get(sender)
        if fingerprint == budget.configured.fingerprint:
            budget.lower_limits.pop(sender, None)
        elif lower is not None and lower.fingerprint == fingerprint:
            budget.lower_limits[sender] = lower._replace(reported_ms=now_ms)
        self.apply_lowest(now_ms, budget)

    def configure(self, now_ms: float, budget: LocalBudget, configured: Budget) -> None:
        """Apply limits of a budget that an operator has configured at this gateway."""
        budget.configured = configured
        budget.logged_limits = None
        limits = configured
        if budget.allocator_limits is not None:
            limits = configured.capped_at(*budget.allocator_limits)
        budget.limiter.set_limits(now_ms, limits)
        if configured.name in self._allocators:
            self.apply_lowest(now_ms, budget)

    def apply_lowest(self, now_ms: float, budget: LocalBudget) -> None:
        """Set the budget's allocator, which must run here, to the lowest limits that any gateway reported
        within `DEMAND_MEMORY_TERMS`."""
        allocator = self._allocators[budget.configured.name]
        lowest = budget.configured
        for number, lower in list(budget.lower_limits.items()):
            if now_ms - lower.reported_ms > self._memory_ms:
                del budget.lower_limits[number]
            else:
                lowest = lowest.capped_at(lower.limit, lower.burst)
        if lowest != allocator.budget:
            allocator.set_limits(now_ms, lowest)

    def _record_lower(self, now_ms: float, sender: int, budget: LocalBudget, message: LimitsMessage) -> None:
        configured = budget.configured
        if sender == self._number or message.limit >= MAX_LIMIT:
            return
        if message.limit >= configured.limit and message.burst >= configured.burst:
            return
        fingerprint = replace(configured, limit=message.limit, burst=message.burst).fingerprint
        budget.lower_limits[sender] = LowerLimits(message.limit, message.burst, fingerprint, now_ms)
        self.apply_lowest(now_ms, budget)

    def _log_difference(self, sender: int, budget: LocalBudget, message: LimitsMessage) -> None:
        configured = budget.configured
        limits = message.limit, message.burst
        if limits in (budget.logged_limits, (configured.limit, configured.burst)):
            return
        budget.logged_limits = limits
        self.warnings.append(
            f"budget {configured.name}: gatekeeper n{sender} has whole {message.limit:.6g} and burst "
            f"{message.burst:.6g}, this one whole {configured.limit:.6g} and burst {configured.burst:.6g}; "
            "the lower values apply"
        )
