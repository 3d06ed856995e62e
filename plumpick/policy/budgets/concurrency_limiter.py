"""How many units of a concurrency budget this gateway may have in use now.

It has whole units of its guaranteed limit, and those of the last grant that it accepted. Guards against late
grants as rate_limiter.py does, and against units that the process before left in use: the guaranteed limit
opens only when they are released."""

from __future__ import annotations

import math
from enum import Enum

from plumpick.policy.budgets.budget import Budget, BudgetKind
from plumpick.policy.budgets.grant import Grant


class UnitSource(Enum):
    """Which limit a unit counts against while it is in use."""

    GUARANTEED = "guaranteed"
    GRANTED = "granted"


class LocalConcurrencyLimiter:
    """One gateway's part of a concurrency budget."""

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
        self.last_grant_id = 0  # the request that the last accepted grant answers
        self.fencing_token = 0
        self._granted_units = 0
        self._grant_expires_ms = -math.inf
        self._rejected = 0  # since the demand was last read

    def available(self, now_ms: float, duration_ms: float = 0.0) -> int:
        """Units that may be acquired now, each for at most `duration_ms`."""
        guaranteed = 0
        if now_ms >= self._guaranteed_from_ms:
            guaranteed = self._guaranteed_units - self.guaranteed_in_use
        granted = 0
        if now_ms + duration_ms < self._grant_expires_ms:
            granted = self._granted_units - self.granted_in_use
        return max(0, guaranteed) + max(0, granted)

    def try_acquire(self, now_ms: float, duration_ms: float) -> UnitSource | None:
        """Take one unit, which the caller releases within `duration_ms`, naming the source that is returned;
        None where there is no unit."""
        if now_ms >= self._guaranteed_from_ms and self.guaranteed_in_use < self._guaranteed_units:
            self.guaranteed_in_use += 1
            return UnitSource.GUARANTEED
        if now_ms + duration_ms < self._grant_expires_ms and self.granted_in_use < self._granted_units:
            self.granted_in_use += 1
            return UnitSource.GRANTED
        self._rejected += 1
        return None

    def release(self, source: UnitSource) -> None:
        """Give a unit back."""
        if source is UnitSource.GUARANTEED:
            self.guaranteed_in_use -= 1
        else:
            self.granted_in_use -= 1

    def excess_demand(self, _now_ms: float) -> float:
        """Units wanted beyond the guaranteed limit: those in use, and those rejected since the last call."""
        wanted = self.granted_in_use + self._rejected
        self._rejected = 0
        return float(wanted)

    def granted_amount(self, now_ms: float) -> float:
        """Units that count as granted to this gateway: the grant, or more where units of an earlier, larger
        one are still in use."""
        granted = self._granted_units if now_ms < self._grant_expires_ms else 0
        return float(max(granted, self.granted_in_use))

    def accept_grant(self, _now_ms: float, grant: Grant, sent_ms: float | None) -> bool:
        """Replace the last grant by this one. False, and nothing changed, unless it answers a pending
        request, sent at `sent_ms`, that is later than the last grant's, of no earlier allocator."""
        if sent_ms is None or grant.request_id <= self.last_grant_id:
            return False
        if grant.fencing_token < self.fencing_token:
            return False
        self.last_grant_id = grant.request_id
        self.fencing_token = grant.fencing_token
        self._granted_units = int(grant.amount)
        self._grant_expires_ms = sent_ms + self.grant_term_ms
        return True
