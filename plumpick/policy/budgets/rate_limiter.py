"""Limits the spending of a rate budget at one gateway.

The gateway has two token buckets: one for its guaranteed limit, one for the last grant that it accepted.
Failures that are handled:
- a grant that answers an outdated request or comes from an earlier allocator: rejected by its request id or
  its fencing token;
- a duplicated grant: its initial tokens are added once;
- a stall of the process: the clock is read when a unit is spent, and a bucket stops filling when its grant
  expires;
- a restart: the bucket for the guaranteed limit starts empty."""

from __future__ import annotations

import math

from plumpick.policy.budgets.budget import Budget, BudgetKind
from plumpick.policy.budgets.errors import InvalidSnapshotError
from plumpick.policy.budgets.grant import Grant
from plumpick.policy.budgets.token_bucket import TokenBucket

# Length of the windows in which demand is measured. The reported demand is the maximum over recent windows.
DEMAND_WINDOW_MS = 300.0


class LocalRateLimiter:
    """One gateway's guaranteed and granted parts of a rate budget, and its demand. All times are in
    milliseconds of one clock that keeps running while the process is suspended."""

    def __init__(
        self, budget: Budget, number: int, gateways: int, now_ms: float, grant_term_ms: float, drift: float
    ) -> None:
        """`drift`: maximum ratio by which this clock runs too fast; buckets fill slower by the same ratio."""
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
        self.last_grant_id = 0  # id of the request that the last accepted grant answers
        self.fencing_token = 0
        self._granted_per_s = 0.0
        self._window_units = 0.0
        self._window_begin_ms = now_ms
        self._demand_per_s = 0.0
        self._previous_demand_per_s = 0.0
        self._largest_in_window = 0.0
        self.largest_request = 0.0  # maximum units that one request took, 0 without recent demand

    # -- spending of units

    def available(self, now_ms: float) -> float:
        """Number of units that may be spent now."""
        return self.granted.available(now_ms) + self.guaranteed.available(now_ms)

    def try_spend(self, now_ms: float, units: float) -> bool:
        """Spend `units`, from the grant first because it expires. Return whether enough units were available;
        if not, nothing is spent. In either case `units` count as demand."""
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
        """Count `units` as demand without spending them, for a request that another budget rejects."""
        self._window_units += units
        self._largest_in_window = max(self._largest_in_window, units)

    # -- measured demand

    def excess_demand(self, now_ms: float) -> float:
        """Demand beyond the guaranteed limit, in units per second, at least 0."""
        elapsed_ms = now_ms - self._window_begin_ms
        if elapsed_ms >= DEMAND_WINDOW_MS:
            self._close_window(now_ms, elapsed_ms)
        self.largest_request = max(self.largest_request, self._largest_in_window)
        current_per_s = self._window_units / DEMAND_WINDOW_MS * 1000
        demand_per_s = max(self._demand_per_s, self._previous_demand_per_s, current_per_s)
        return max(0.0, demand_per_s - self.guaranteed.rate_per_s)

    def has_excess_demand(self, now_ms: float) -> bool:
        """Whether `excess_demand` is above 0; takes less time than `excess_demand` while demand is low."""
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
        # The largest request must be remembered for as long as the demand: without it the allocator would
        # grant a burst that is smaller than one request.
        if self._largest_in_window or not (self._demand_per_s or self._previous_demand_per_s):
            self.largest_request = self._largest_in_window
        self._largest_in_window = 0.0

    # -- grants of the allocator

    def granted_amount(self, now_ms: float) -> float:
        """Rate of the current grant in units per second; 0 without one."""
        return self._granted_per_s if now_ms < self.granted.expires_ms else 0.0

    def accept_grant(self, now_ms: float, grant: Grant, sent_ms: float | None) -> bool:
        """Replace the last grant with a newer one; return whether it was accepted. Rejected without any
        change: a grant that answers no pending request (`sent_ms` is None), one that answers the same or an
        earlier request than the last grant, and one of an earlier allocator. `sent_ms`: time at which the
        request was sent."""
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

    # -- guaranteed limit

    def set_limits(self, now_ms: float, budget: Budget) -> None:
        """Apply new limits: to the guaranteed part immediately, to grants from the next grant on."""
        self.budget = budget
        self.guaranteed.refill(now_ms)
        self.guaranteed.rate_per_s = (
            budget.guaranteed_limit(self._number, self._gateways) * self._clock_factor
        )
        self.guaranteed.capacity = budget.guaranteed_burst(self._gateways)
        self.guaranteed.tokens = min(self.guaranteed.tokens, self.guaranteed.capacity)

    def suspend_guaranteed(self, now_ms: float) -> None:
        """Stop spending and filling the bucket of the guaranteed limit until `resume_guaranteed` is
        called."""
        self.guaranteed.refill(now_ms)
        self.guaranteed.expires_ms = now_ms

    def resume_guaranteed(self, now_ms: float) -> None:
        """Resume spending and filling the bucket of the guaranteed limit; the time of the suspension adds no
        tokens."""
        self.guaranteed = TokenBucket(
            now_ms, self.guaranteed.rate_per_s, self.guaranteed.capacity, self.guaranteed.tokens
        )

    # -- state for a hot restart

    def export_state(self, now_ms: float) -> list[float]:
        """Return the state for the next process of a hot restart, and leave nothing to spend in this
        process."""
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
        """Continue from a state exported by the previous process, which ran on the same machine and thus used
        the same clock. Of the guaranteed limit only its tokens are imported; its bucket fills again after
        `resume_guaranteed`. Raises InvalidSnapshotError, ValueError or TypeError for a malformed state, and
        then changes nothing."""
        grant_id, per_s, capacity, tokens, expires_ms, guaranteed_tokens, exported_ms = map(float, state)
        is_valid = grant_id >= 0 <= per_s and 0 <= tokens <= capacity and guaranteed_tokens >= 0
        if not (is_valid and exported_ms <= now_ms):
            raise InvalidSnapshotError(
                f"impossible grant: got {state}, expected amounts of at least 0, tokens within the burst and "
                "an export in the past"
            )
        if expires_ms - exported_ms > self.grant_term_ms or not math.isfinite(per_s + capacity):
            raise InvalidSnapshotError(
                f"impossible grant: got {state}, expected an end within {self.grant_term_ms:g} ms after the "
                "export and finite amounts"
            )
        self.last_grant_id = int(grant_id)
        self.fencing_token = fencing_token
        self._granted_per_s = per_s
        self.granted = TokenBucket(exported_ms, per_s * self._clock_factor, capacity, tokens, expires_ms)
        self.guaranteed.tokens = min(self.guaranteed.capacity, guaranteed_tokens)
