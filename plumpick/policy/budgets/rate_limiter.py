"""How much of a rate budget this gateway may spend now.

It has two token buckets: one for its guaranteed limit, one for the last grant that it accepted. Guards
against:
- a grant that answers an earlier request, or comes from an earlier allocator: its request id, its token;
- a grant that arrives twice: its tokens are added once;
- a stall: the clock is read where a unit is spent, and no bucket fills past a grant's end;
- a restart: the bucket of the guaranteed limit begins empty."""

from __future__ import annotations

import math

from plumpick.policy.budgets.budget import Budget, BudgetKind
from plumpick.policy.budgets.errors import InvalidSnapshotError
from plumpick.policy.budgets.grant import Grant
from plumpick.policy.budgets.token_bucket import TokenBucket

DEMAND_WINDOW_MS = 300.0  # demand is the larger of the last window and the one before


class LocalRateLimiter:
    """One gateway's part of a rate budget. Times are in milliseconds of one clock that goes on while the
    process is suspended."""

    def __init__(
        self, budget: Budget, number: int, gateways: int, now_ms: float, grant_term_ms: float, drift: float
    ) -> None:
        """`drift`: the ratio by which this clock may run too fast; buckets fill slower by as much."""
        assert budget.kind is BudgetKind.RATE
        self.budget = budget
        self.grant_term_ms = grant_term_ms
        self._clock_factor = 1 / (1 + drift)
        self._number = number
        self._gateways = gateways
        self.guaranteed = TokenBucket(
            now_ms,
            budget.guaranteed_limit(number, gateways) * self._clock_factor,
            budget.guaranteed_burst(gateways),
        )
        self.granted = TokenBucket(now_ms, 0.0, 0.0, expires_ms=now_ms)
        self.last_grant_id = 0  # the request that the last accepted grant answers
        self.fencing_token = 0
        self._granted_per_s = 0.0
        self._window_units = 0.0
        self._window_begin_ms = now_ms
        self._demand_per_s = 0.0
        self._previous_demand_per_s = 0.0
        self._largest_in_window = 0.0
        self.largest_request = 0.0  # units of one request, while there is demand

    # -- spending

    def available(self, now_ms: float) -> float:
        """Units that may be spent now."""
        return self.granted.available(now_ms) + self.guaranteed.available(now_ms)

    def try_spend(self, now_ms: float, units: float) -> bool:
        """Spend so many units, from the grant first, as that ends. False, and nothing spent, where there are
        fewer. Either way they count as demand."""
        self._window_units += units
        if units > self._largest_in_window:
            self._largest_in_window = units
        granted = self.granted.available(now_ms) if now_ms < self.granted.expires_ms else 0.0
        guaranteed = self.guaranteed.available(now_ms)
        if not 0 < units <= granted + guaranteed:
            return False
        from_grant = min(granted, units)
        self.granted.tokens -= from_grant
        self.guaranteed.tokens -= min(guaranteed, units - from_grant)
        return True

    def record_demand(self, units: float) -> None:
        """Count units as demand that are not spent, because another budget of the request has too few."""
        self._window_units += units
        self._largest_in_window = max(self._largest_in_window, units)

    # -- demand

    def excess_demand(self, now_ms: float) -> float:
        """Units a second that are wanted beyond the guaranteed limit; never below 0."""
        elapsed_ms = now_ms - self._window_begin_ms
        if elapsed_ms >= DEMAND_WINDOW_MS:
            self._close_window(now_ms, elapsed_ms)
        self.largest_request = max(self.largest_request, self._largest_in_window)
        current_per_s = self._window_units / DEMAND_WINDOW_MS * 1000
        demand_per_s = max(self._demand_per_s, self._previous_demand_per_s, current_per_s)
        return max(0.0, demand_per_s - self.guaranteed.rate_per_s)

    def has_excess_demand(self, now_ms: float) -> bool:
        """Whether `excess_demand` is above 0; cheaper while demand is low."""
        if (
            now_ms - self._window_begin_ms < DEMAND_WINDOW_MS
            and not self._demand_per_s
            and not self._previous_demand_per_s
            and self._window_units * 1000 <= self.guaranteed.rate_per_s * DEMAND_WINDOW_MS
        ):
            return False
        return self.excess_demand(now_ms) > 0

    def _close_window(self, now_ms: float, elapsed_ms: float) -> None:
        self._previous_demand_per_s = self._demand_per_s if elapsed_ms < 2 * DEMAND_WINDOW_MS else 0.0
        self._demand_per_s = self._window_units / elapsed_ms * 1000
        self._window_units = 0.0
        self._window_begin_ms = now_ms
        # The size of a request must be remembered for as long as the demand: without it the allocator would
        # grant a burst that no request fits in.
        if self._largest_in_window or not (self._demand_per_s or self._previous_demand_per_s):
            self.largest_request = self._largest_in_window
        self._largest_in_window = 0.0

    # -- grants

    def granted_amount(self, now_ms: float) -> float:
        """Units a second that are granted to this gateway now."""
        return self._granted_per_s if now_ms < self.granted.expires_ms else 0.0

    def accept_grant(self, now_ms: float, grant: Grant, sent_ms: float | None) -> bool:
        """Replace the last grant by this one. False, and nothing changed, unless it answers a pending
        request, sent at `sent_ms`, that is later than the last grant's, of no earlier allocator."""
        if sent_ms is None or grant.request_id <= self.last_grant_id:
            return False
        if grant.fencing_token < self.fencing_token:
            return False
        tokens = self.granted.available(now_ms)
        self.last_grant_id = grant.request_id
        self.fencing_token = grant.fencing_token
        self._granted_per_s = grant.amount
        self.granted = TokenBucket(
            now_ms,
            grant.amount * self._clock_factor,
            grant.burst,
            min(grant.burst, tokens + grant.initial_tokens),
            sent_ms + self.grant_term_ms,
        )
        return True

    # -- the guaranteed limit

    def set_limits(self, now_ms: float, budget: Budget) -> None:
        """Use other limits: for the guaranteed part at once, for a grant from the next one on."""
        self.budget = budget
        self.guaranteed.refill(now_ms)
        self.guaranteed.rate_per_s = (
            budget.guaranteed_limit(self._number, self._gateways) * self._clock_factor
        )
        self.guaranteed.capacity = budget.guaranteed_burst(self._gateways)
        self.guaranteed.tokens = min(self.guaranteed.tokens, self.guaranteed.capacity)

    def suspend_guaranteed(self, now_ms: float) -> None:
        """Neither spend nor fill the guaranteed limit until it is resumed."""
        self.guaranteed.refill(now_ms)
        self.guaranteed.expires_ms = now_ms

    def resume_guaranteed(self, now_ms: float) -> None:
        """Fill the guaranteed limit from now on, with nothing for the time in between."""
        self.guaranteed = TokenBucket(
            now_ms, self.guaranteed.rate_per_s, self.guaranteed.capacity, self.guaranteed.tokens
        )

    # -- hot restart

    def export_state(self, now_ms: float) -> list[float]:
        """What the next process of this gateway goes on from; here nothing is left to spend."""
        self.granted.refill(now_ms)
        self.guaranteed.refill(now_ms)
        state = [
            self.last_grant_id,
            self._granted_per_s,
            self.granted.capacity,
            self.granted.tokens,
            self.granted.expires_ms,
            self.guaranteed.tokens,
            now_ms,
        ]
        self.granted = TokenBucket(now_ms, 0.0, 0.0, expires_ms=now_ms)
        self.guaranteed = TokenBucket(now_ms, 0.0, 0.0)
        return state

    def import_state(self, now_ms: float, state: list[float], fencing_token: int) -> None:
        """Go on from the state of the process before, on the same machine and so by the same clock. Of the
        guaranteed limit only the tokens pass on; it fills again once it is resumed. Raises
        InvalidSnapshotError, ValueError or TypeError, and then nothing has changed."""
        grant_id, per_s, capacity, tokens, expires_ms, guaranteed_tokens, exported_ms = map(float, state)
        is_valid = grant_id >= 0 <= per_s and 0 <= tokens <= capacity and guaranteed_tokens >= 0
        if not (is_valid and exported_ms <= now_ms):
            raise InvalidSnapshotError("a share that cannot be")
        if expires_ms - exported_ms > self.grant_term_ms or not math.isfinite(per_s + capacity):
            raise InvalidSnapshotError("a share longer than its term")
        self.last_grant_id = int(grant_id)
        self.fencing_token = fencing_token
        self._granted_per_s = per_s
        self.granted = TokenBucket(exported_ms, per_s * self._clock_factor, capacity, tokens, expires_ms)
        self.guaranteed.tokens = min(self.guaranteed.capacity, guaranteed_tokens)
