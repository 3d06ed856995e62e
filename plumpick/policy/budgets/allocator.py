"""The allocator of one budget: decides how much of the budget each gateway is granted, and until when.

The allocator runs at the gateway that holds the lease of the budget's slot. To keep the sum of all grants
within the limit, it accounts for:
- grants of the previous allocator: it grants nothing until all of them have expired;
- lost or delayed grants: every grant counts as outstanding until it expires;
- a smaller grant that has not reached its receiver yet: the earlier, larger grant counts until the receiver
  reports the smaller one;
- a restarted receiver: grants to its previous incarnation count until they expire."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from plumpick.policy.budgets.budget import Budget, BudgetKind, longest_duration_ms
from plumpick.policy.budgets.fair_share import max_min_integer_shares, max_min_shares
from plumpick.policy.budgets.grant import Grant
from plumpick.policy.budgets.messages import DemandReport
from plumpick.policy.budgets.token_bucket import TokenBucket

# Time for which a receiver keeps a burst that other receivers wait for, in grant terms.
BURST_TURN_TERMS = 2.0
# Time without a demand report after which a receiver with no outstanding grant is removed, in grant terms.
RECEIVER_EXPIRY_TERMS = 2.0


@dataclass(slots=True)
class OutstandingGrant:
    """A sent grant, which its receiver may use until `expires_ms`."""

    request_id: int
    amount: float
    burst: float
    expires_ms: float


@dataclass(slots=True)
class GrantReceiver:
    """The allocator's record of one incarnation of a gateway: its last demand report, and its outstanding
    grants, each until it expires."""

    reported_ms: float
    request_id: int = 0
    demand: float = 0.0
    # Granted amount by the receiver's own report, which may exceed its last grant.
    reported_granted: float = 0.0
    reported_granted_until_ms: float = 0.0
    largest_request: float = 0.0
    # Start of the wait for a burst that is large enough for one request; infinity while it does not wait.
    waiting_since_ms: float = math.inf
    turn_began_ms: float = -math.inf
    outstanding: list[OutstandingGrant] = field(default_factory=list)

    def record(self, now_ms: float, report: DemandReport, until_ms: float) -> None:
        """Record a demand report. The granted amount in the report counts until `until_ms`. Grants that are
        older than the last one that the receiver accepted are no longer outstanding."""
        self.reported_ms = now_ms
        self.request_id = report.request_id
        self.demand = max(0.0, report.demand)
        self.largest_request = report.largest_request
        self.reported_granted = max(0.0, report.granted)
        self.reported_granted_until_ms = until_ms
        self.outstanding = [
            grant
            for grant in self.outstanding
            if grant.request_id >= report.last_grant_id and now_ms < grant.expires_ms
        ]

    def granted_amount(self, now_ms: float) -> float:
        """The amount that counts as granted to this receiver: the largest one that it may still apply."""
        self.outstanding = [grant for grant in self.outstanding if now_ms < grant.expires_ms]
        reported = self.reported_granted if now_ms < self.reported_granted_until_ms else 0.0
        return max([reported, *(grant.amount for grant in self.outstanding)])

    def granted_burst(self, now_ms: float) -> float:
        """The largest burst that this receiver may still apply."""
        return max([0.0, *(grant.burst for grant in self.outstanding if now_ms < grant.expires_ms)])


class BudgetAllocator:
    """Grants shares of one budget to gateways. Keeps one entry for each incarnation of a gateway that
    reported within `RECEIVER_EXPIRY_TERMS` or has an outstanding grant."""

    def __init__(
        self,
        budget: Budget,
        gateways: int,
        now_ms: float,
        fencing_token: int,
        grant_term_ms: float,
        drift: float,
        from_ms: float | None = None,
    ) -> None:
        """Create the allocator when the lease is acquired. `from_ms`: time at which the last grant of all
        previous allocators has expired; None if unknown, and then nothing is granted for one grant term."""
        self.budget = budget
        self.fencing_token = fencing_token
        self._gateways = gateways
        self._grant_ms = longest_duration_ms(grant_term_ms, drift)
        self.grants_from_ms = now_ms + self._grant_ms if from_ms is None else max(now_ms, from_ms)
        self.last_grant_expires_ms = -math.inf
        self._grantable = budget.grantable_limit(gateways)
        self._grantable_burst = budget.grantable_burst
        self._receivers: dict[tuple[int, int], GrantReceiver] = {}
        self._clock_factor = 1 / (1 + drift)
        # Fills at the rate that is not granted; the initial tokens of each new grant are taken from it.
        self._reserve = TokenBucket(
            self.grants_from_ms, self._grantable * self._clock_factor, self._grantable_burst
        )

    def set_limits(self, now_ms: float, budget: Budget) -> None:
        """Apply new limits. Where the limit is lowered, earlier grants above it remain valid until they
        expire; until then nothing more is granted, and the reserve does not fill."""
        self._reserve.refill(now_ms)
        self.budget = budget
        self._grantable = budget.grantable_limit(self._gateways)
        self._grantable_burst = budget.grantable_burst
        self._resize_reserve(now_ms)
        self._reserve.tokens = min(self._reserve.tokens, self._reserve.capacity)

    def granted_amount(self, now_ms: float) -> float:
        """The sum of the amounts that count as granted to all receivers."""
        return sum(receiver.granted_amount(now_ms) for receiver in self._receivers.values())

    def request_grant(
        self,
        now_ms: float,
        number: int,
        incarnation: int,
        report: DemandReport,
        lease_end_ms: float = math.inf,
    ) -> Grant | None:
        """Return the grant that answers a demand report of gateway `number`; None for an outdated report, and
        while nothing may be granted. `lease_end_ms`: end of the allocator's lease, which no grant may
        outlast."""
        if not 0 <= number < self._gateways:
            return None
        if now_ms < self.grants_from_ms or now_ms + self._grant_ms > lease_end_ms:
            return None
        self._forget_expired(now_ms)
        receiver = self._receivers.setdefault((number, incarnation), GrantReceiver(now_ms))
        if report.request_id <= receiver.request_id:
            return None
        receiver.record(now_ms, report, now_ms + self._grant_ms)
        if self.budget.kind is BudgetKind.CONCURRENCY:
            return self._record_grant(now_ms, receiver, self._grantable_units(now_ms, number, receiver))
        return self._grant_rate(now_ms, number, receiver)

    def _forget_expired(self, now_ms: float) -> None:
        for key, receiver in list(self._receivers.items()):
            is_inactive = now_ms - receiver.reported_ms > RECEIVER_EXPIRY_TERMS * self._grant_ms
            if is_inactive and receiver.granted_amount(now_ms) == 0:
                del self._receivers[key]

    def _fair_share(self, now_ms: float, number: int) -> float:
        """The max-min fair share of gateway `number` among the gateways that reported within the last grant
        term. Where several incarnations of a gateway reported, only the most recent report counts."""
        demands: dict[int, float] = {}
        latest_ms: dict[int, float] = {}
        for (other, _), receiver in self._receivers.items():
            reported_ms = receiver.reported_ms
            if now_ms - reported_ms <= self._grant_ms and reported_ms >= latest_ms.get(other, -1e18):
                latest_ms[other] = reported_ms
                demands[other] = receiver.demand
        if self.budget.kind is BudgetKind.CONCURRENCY:
            return float(max_min_integer_shares(int(self._grantable), demands).get(number, 0))
        return max_min_shares(self._grantable, demands).get(number, 0.0)

    def _ungranted(self, now_ms: float, receiver: GrantReceiver) -> float:
        """The grantable amount minus all that is granted to other receivers."""
        return self._grantable - sum(
            other.granted_amount(now_ms) for other in self._receivers.values() if other is not receiver
        )

    def _ungranted_burst(self, now_ms: float, receiver: GrantReceiver) -> float:
        """The grantable burst minus all that is granted to other receivers, at least 0. Granted bursts are
        not always proportional to granted rates: a receiver that has its turn in the rotation of bursts holds
        more, and grants under earlier limits may be outstanding."""
        others = sum(
            other.granted_burst(now_ms) for other in self._receivers.values() if other is not receiver
        )
        return max(0.0, self._grantable_burst - others)

    def _grantable_units(self, now_ms: float, number: int, receiver: GrantReceiver) -> float:
        ungranted = float(int(self._ungranted(now_ms, receiver)))
        return max(0.0, min(self._fair_share(now_ms, number), ungranted))

    def _grant_rate(self, now_ms: float, number: int, receiver: GrantReceiver) -> Grant:
        """Grant a fair share of the rate, the same fraction of the burst, and initial tokens from the
        reserve."""
        self._reserve.refill(now_ms)
        fair_share = self._fair_share(now_ms, number)
        amount = max(0.0, min(fair_share, self._ungranted(now_ms, receiver)))
        previous_burst = receiver.granted_burst(now_ms)
        ungranted_burst = self._ungranted_burst(now_ms, receiver)
        burst = 0.0
        if self._grantable > 0:
            burst = min(ungranted_burst, self._grantable_burst * amount / self._grantable)
        if burst < receiver.largest_request <= self._grantable_burst and receiver.demand > 0:
            amount, burst = self._rotate_burst(now_ms, receiver, previous_burst, ungranted_burst)
        else:
            receiver.waiting_since_ms = math.inf
        grant = self._record_grant(now_ms, receiver, amount, burst)
        self._resize_reserve(now_ms)
        tokens = min(self._reserve.tokens, max(0.0, burst - previous_burst))
        self._reserve.tokens = min(self._reserve.tokens - tokens, self._reserve.capacity)
        return Grant(grant.request_id, grant.fencing_token, grant.amount, grant.burst, tokens)

    def _resize_reserve(self, now_ms: float) -> None:
        """Set the reserve to fill at the rate that is not granted, up to the burst that is not granted."""
        ungranted = max(0.0, self._grantable - self.granted_amount(now_ms))
        self._reserve.rate_per_s = ungranted * self._clock_factor
        granted_burst = sum(receiver.granted_burst(now_ms) for receiver in self._receivers.values())
        self._reserve.capacity = max(0.0, self._grantable_burst - granted_burst)

    def _rotate_burst(
        self, now_ms: float, receiver: GrantReceiver, previous_burst: float, ungranted_burst: float
    ) -> tuple[float, float]:
        """Return amount and burst for a receiver if a fair share of the burst is smaller than one request.

        If each of seven gateways were granted a seventh of a burst of four units, none could ever send a
        request of one unit. Therefore the burst rotates: as many receivers as the burst has room for requests
        are granted a burst of one request each, initially full, and an equal part of the rate, for
        `BURST_TURN_TERMS`; the others are granted nothing. The receiver that has waited longest is next. If
        its part of the rate could not refill one request within a turn, the rate stays with the reserve and a
        turn allows one request.
        """
        receivers = max(1, int(self._grantable_burst / receiver.largest_request))
        rate_each = self._grantable / receivers
        turn_ms = BURST_TURN_TERMS * self._grant_ms
        is_slow = rate_each * BURST_TURN_TERMS * self._grant_ms / 1000 < receiver.largest_request
        amount = 0.0
        if not is_slow:
            amount = min(receiver.demand, max(0.0, self._ungranted(now_ms, receiver)), rate_each)
        if previous_burst and not is_slow and now_ms - receiver.turn_began_ms < turn_ms:
            return amount, min(previous_burst, receiver.largest_request, ungranted_burst)
        if receiver.waiting_since_ms == math.inf:
            receiver.waiting_since_ms = now_ms
        ahead = self._waiting_longer(now_ms, receiver)
        available = min(ungranted_burst, self._reserve.tokens)
        if previous_burst or available < receiver.largest_request * (1 + ahead):
            return 0.0, 0.0
        receiver.waiting_since_ms = math.inf
        receiver.turn_began_ms = now_ms
        return amount, receiver.largest_request

    def _waiting_longer(self, now_ms: float, receiver: GrantReceiver) -> int:
        """The number of other receivers that have waited longer for a burst and reported within the last half
        of a grant term."""
        return sum(
            now_ms - other.reported_ms <= self._grant_ms / 2
            and other.waiting_since_ms < receiver.waiting_since_ms
            for other in self._receivers.values()
            if other is not receiver
        )

    def _record_grant(
        self, now_ms: float, receiver: GrantReceiver, amount: float, burst: float = 0.0
    ) -> Grant:
        self.last_grant_expires_ms = now_ms + self._grant_ms
        receiver.outstanding.append(
            OutstandingGrant(receiver.request_id, amount, burst, self.last_grant_expires_ms)
        )
        return Grant(receiver.request_id, self.fencing_token, amount, burst)
