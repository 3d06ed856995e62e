"""Limits the units of a concurrency budget that are in use at one gateway.

The limit is the gateway's guaranteed units plus those of the last grant that it accepted. Late grants are
rejected as in rate_limiter.py. Units that the gateway's previous process left in use are accounted for: the
guaranteed units become available only after those have been released."""

from __future__ import annotations

import math
from enum import Enum

from plumpick.policy.budgets.budget import Budget, BudgetKind
from plumpick.policy.budgets.grant import Grant


class UnitSource(Enum):
    """The limit that a unit counts against while it is in use."""

    GUARANTEED = "guaranteed"
    GRANTED = "granted"


class LocalConcurrencyLimiter:
    """One gateway's guaranteed and granted units of a concurrency budget, and the number of them in use."""

    def __init__(
        self, budget: Budget, number: int, gateways: int, now_ms: float, grant_term_ms: float
    ) -> None:
        assert budget.kind is BudgetKind.CONCURRENCY
        self.budget = budget
        self.grant_term_ms = grant_term_ms
        self._guaranteed_units = int(budget.guaranteed_limit(number, gateways))
        self._guaranteed_from_ms = now_ms + budget.release_delay_ms
        self.guaranteed_in_use = 0
        self.granted_in_use = 0
        self.last_grant_id = 0  # id of the request that the last accepted grant answers
        self.fencing_token = 0
        self._granted_units = 0
        self._grant_expires_ms = -math.inf
        self._rejected = 0  # number of rejected units since the last call of `excess_demand`

    def available(self, now_ms: float, duration_ms: float = 0.0) -> int:
        """Number of units that may be acquired now, each for at most `duration_ms`."""
        guaranteed = 0
        if now_ms >= self._guaranteed_from_ms:
            guaranteed = self._guaranteed_units - self.guaranteed_in_use
        granted = 0
        if now_ms + duration_ms < self._grant_expires_ms:
            granted = self._granted_units - self.granted_in_use
        return max(0, guaranteed) + max(0, granted)

    def try_acquire(self, now_ms: float, duration_ms: float) -> UnitSource | None:
        """Acquire one unit. Return its source, which the caller passes to `release` within `duration_ms`;
        None if no unit is available."""
        if now_ms >= self._guaranteed_from_ms and self.guaranteed_in_use < self._guaranteed_units:
            self.guaranteed_in_use += 1
            return UnitSource.GUARANTEED
        if now_ms + duration_ms < self._grant_expires_ms and self.granted_in_use < self._granted_units:
            self.granted_in_use += 1
            return UnitSource.GRANTED
        self._rejected += 1
        return None

    def release(self, source: UnitSource) -> None:
        """Release a unit that `try_acquire` took from `source`."""
        if source is UnitSource.GUARANTEED:
            self.guaranteed_in_use -= 1
        else:
            self.granted_in_use -= 1

    def excess_demand(self, _now_ms: float) -> float:
        """Number of units requested beyond the guaranteed limit: granted units in use, plus units rejected
        since the last call."""
        wanted = self.granted_in_use + self._rejected
        self._rejected = 0
        return float(wanted)

    def granted_amount(self, now_ms: float) -> float:
        """Number of units that count as granted to this gateway: those of the current grant, or more while
        units of an earlier, larger grant are in use."""
        granted = self._granted_units if now_ms < self._grant_expires_ms else 0
        return float(max(granted, self.granted_in_use))

    def accept_grant(self, _now_ms: float, grant: Grant, sent_ms: float | None) -> bool:
        """Replace the last grant with a newer one; return whether it was accepted. Rejected without any
        change: a grant that answers no pending request (`sent_ms` is None), one that answers the same or an
        earlier request than the last grant, and one of an earlier allocator. `sent_ms`: time at which the
        request was sent."""
        if sent_ms is None or grant.request_id <= self.last_grant_id:
            return False
        if grant.fencing_token < self.fencing_token:
            return False
        self.last_grant_id = grant.request_id
        self.fencing_token = grant.fencing_token
        self._granted_units = int(grant.amount)
        self._grant_expires_ms = sent_ms + self.grant_term_ms
        return True
