"""Who is granted how much of one budget, and until when.

The allocator runs at the gateway that holds the lease of the budget's slot. Guards against:
- grants of the allocator before: it grants nothing until all of them have ended;
- a grant that is lost or delayed: it counts as outstanding until its end;
- a smaller grant that its receiver does not know yet: the larger one counts until the receiver reports it;
- a restarted receiver: what was granted to its last incarnation counts until its end."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from plumpick.policy.budgets.budget import Budget, BudgetKind, longest_duration_ms
from plumpick.policy.budgets.fair_share import max_min_integer_shares, max_min_shares
from plumpick.policy.budgets.grant import Grant
from plumpick.policy.budgets.messages import DemandReport
from plumpick.policy.budgets.token_bucket import TokenBucket

# Both in grant terms.
BURST_TURN_TERMS = 2.0  # how long one receiver keeps a burst that others wait for
RECEIVER_EXPIRY_TERMS = 2.0  # without a report for so long, and with nothing outstanding, it is forgotten


@dataclass(slots=True)
class OutstandingGrant:
    """A grant that was sent and may be in use until `expires_ms`."""

    request_id: int
    amount: float
    burst: float
    expires_ms: float


@dataclass(slots=True)
class GrantReceiver:
    """One incarnation of a gateway, as the allocator knows it. Owns its outstanding grants, each until it
    ends."""

    reported_ms: float
    request_id: int = 0
    demand: float = 0.0
    reported_granted: float = 0.0  # its own count, which may be above its last grant
    reported_granted_until_ms: float = 0.0
    largest_request: float = 0.0
    waiting_since_ms: float = math.inf  # for a burst that one request fits in
    turn_began_ms: float = -math.inf
    outstanding: list[OutstandingGrant] = field(default_factory=list)

    def record(self, now_ms: float, report: DemandReport, until_ms: float) -> None:
        """Take in its demand, its own count of what it was granted (valid until `until_ms`), and that all
        before the last grant that it accepted has ended."""
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
        """What counts as granted to it: the largest that it may go by."""
        self.outstanding = [grant for grant in self.outstanding if now_ms < grant.expires_ms]
        reported = self.reported_granted if now_ms < self.reported_granted_until_ms else 0.0
        return max([reported, *(grant.amount for grant in self.outstanding)])

    def granted_burst(self, now_ms: float) -> float:
        """The largest burst that it may go by."""
        return max([0.0, *(grant.burst for grant in self.outstanding if now_ms < grant.expires_ms)])


class BudgetAllocator:
    """Grants one budget. Table: one entry for each incarnation of a gateway that reported of late or has a
    grant outstanding."""

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
        """Starts when the lease was acquired. `from_ms`: when the last grant of anybody before has ended, if
        that is known; otherwise one grant term from now."""
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
        # What is not granted fills this bucket, and a new grant's first tokens come out of it.
        self._reserve = TokenBucket(
            self.grants_from_ms, self._grantable * self._clock_factor, self._grantable_burst
        )

    def set_limits(self, now_ms: float, budget: Budget) -> None:
        """Use other limits from now on. Grants above a lower limit stay until their end; until then nothing
        more is granted and the reserve does not fill."""
        self._reserve.refill(now_ms)
        self.budget = budget
        self._grantable = budget.grantable_limit(self._gateways)
        self._grantable_burst = budget.grantable_burst
        self._resize_reserve(now_ms)
        self._reserve.tokens = min(self._reserve.tokens, self._reserve.capacity)

    def granted_amount(self, now_ms: float) -> float:
        """All that counts as granted."""
        return sum(receiver.granted_amount(now_ms) for receiver in self._receivers.values())

    def request_grant(
        self,
        now_ms: float,
        number: int,
        incarnation: int,
        report: DemandReport,
        lease_end_ms: float = math.inf,
    ) -> Grant | None:
        """Answer the demand report of an incarnation of a gateway; None for an outdated one, and while
        nothing may be granted. `lease_end_ms`: when the lease ends under which this is granted; no grant may
        end later."""
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
            is_silent = now_ms - receiver.reported_ms > RECEIVER_EXPIRY_TERMS * self._grant_ms
            if is_silent and receiver.granted_amount(now_ms) == 0:
                del self._receivers[key]

    def _fair_share(self, now_ms: float, number: int) -> float:
        """The max-min share of a gateway among those that reported within a grant term. Of several
        incarnations only the one that reported last counts."""
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
        """What is granted to nobody but this receiver."""
        return self._grantable - sum(
            other.granted_amount(now_ms) for other in self._receivers.values() if other is not receiver
        )

    def _ungranted_burst(self, now_ms: float, receiver: GrantReceiver) -> float:
        """The burst that is granted to nobody but this receiver. It is not always in proportion to the rate:
        a receiver whose turn it is has more, and grants by earlier limits may be outstanding."""
        others = sum(
            other.granted_burst(now_ms) for other in self._receivers.values() if other is not receiver
        )
        return max(0.0, self._grantable_burst - others)

    def _grantable_units(self, now_ms: float, number: int, receiver: GrantReceiver) -> float:
        ungranted = float(int(self._ungranted(now_ms, receiver)))
        return max(0.0, min(self._fair_share(now_ms, number), ungranted))

    def _grant_rate(self, now_ms: float, number: int, receiver: GrantReceiver) -> Grant:
        """A fair share of the rate, the same part of the burst, and first tokens out of the reserve."""
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
        """Let the reserve fill at the rate that is not granted, up to the burst that is not granted."""
        ungranted = max(0.0, self._grantable - self.granted_amount(now_ms))
        self._reserve.rate_per_s = ungranted * self._clock_factor
        granted_burst = sum(receiver.granted_burst(now_ms) for receiver in self._receivers.values())
        self._reserve.capacity = max(0.0, self._grantable_burst - granted_burst)

    def _rotate_burst(
        self, now_ms: float, receiver: GrantReceiver, previous_burst: float, ungranted_burst: float
    ) -> tuple[float, float]:
        """Amount and burst where a fair part of the burst holds no whole request.

        If each of seven gateways had a seventh of a burst of four units, none could ever send a request of
        one unit. So as many receivers as there are requests in the burst have one request's burst each, full
        at first, and their part of the rate, for `BURST_TURN_TERMS`; the others have nothing. The one that
        has waited longest is next. Where that part of the rate would not fill one request within a turn,
        the rate stays with the reserve, and a turn is one request.
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
        """How many others wait for a burst for longer, and reported within half a grant term."""
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
