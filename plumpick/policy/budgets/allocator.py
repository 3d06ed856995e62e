"""Who gets a share, until when: the divider's side of one budget.

Guards against: what the divider before lent (it lends nothing until all of that has ended); a share whose
word is lost or late (it counts as out until its end); a smaller share that its holder has not heard of yet
(the larger one counts until the holder says the later serial); a holder's next life (what the one before
had counts until its end)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from plumpick.policy.budgets.budget import Budget, BudgetKind, longest_duration_ms
from plumpick.policy.budgets.fair_share import max_min_integer_shares, max_min_shares
from plumpick.policy.budgets.holder import Grant, TokenBucket

BURST_TURN_TERMS = 2.0  # so long a burst that others wait for stays with one
HOLDER_EXPIRY_TERMS = 2.0  # who has not asked for so long is forgotten, when nothing of it is out


@dataclass(slots=True)
class OutstandingGrant:
    """One share that was sent."""

    serial: int
    amount: float
    burst: float
    until_ms: float


@dataclass(slots=True)
class GrantHolder:
    """A gatekeeper's life, as the divider knows it."""

    asked_ms: float
    serial: int = 0
    demand: float = 0.0
    holding: float = 0.0  # as it said with its last asking: more may be out than the last share says
    holding_until_ms: float = 0.0
    need: float = 0.0  # units that one request takes
    waits_ms: float = math.inf  # since when it waits for a burst that one request fits in
    turn_ms: float = -math.inf  # when it got one
    given: list[OutstandingGrant] = field(default_factory=list)

    def out(self, now_ms: float) -> float:
        """What counts as lent to it."""
        self.given = [one for one in self.given if now_ms < one.until_ms]
        held = self.holding if now_ms < self.holding_until_ms else 0.0
        return max([held, *(one.amount for one in self.given)])

    def burst(self, now_ms: float) -> float:
        return max([0.0, *(one.burst for one in self.given if now_ms < one.until_ms)])


class BudgetAllocator:
    """Table: one entry for each life of a gatekeeper that asked of late or has something out."""

    def __init__(
        self,
        budget: Budget,
        gateways: int,
        now_ms: float,
        token: int,
        term_ms: float,
        drift: float,
        from_ms: float | None = None,
    ) -> None:
        """Of the owner of the duty, from when it became that. `from_ms`: by then all that was lent before has
        ended, where that is known; else a share's term from now."""
        self.budget, self.token = budget, token
        self._gateways, self._keep_ms = gateways, longest_duration_ms(term_ms, drift)
        self.from_ms = now_ms + self._keep_ms if from_ms is None else max(now_ms, from_ms)
        self.lent_until_ms = -math.inf  # the last end of a share
        self._lendable = budget.lendable(gateways)
        self._burst = budget.lendable_burst
        self._holders: dict[tuple[int, int], GrantHolder] = {}
        self._slower = 1 / (1 + drift)
        self._pool = TokenBucket(self.from_ms, self._lendable * self._slower, self._burst)  # empty at first

    def change(self, now_ms: float, budget: Budget) -> None:
        """Other figures from now on. What is out beyond a lower whole is out until its end; meanwhile nothing
        more is lent, and the pool does not fill."""
        self._pool.fill(now_ms)
        self.budget = budget
        self._lendable = budget.lendable(self._gateways)
        self._burst = budget.lendable_burst
        self._settle(now_ms)
        self._pool.level = min(self._pool.level, self._pool.cap)

    def out(self, now_ms: float) -> float:
        """All that counts as lent."""
        return sum(holder.out(now_ms) for holder in self._holders.values())

    def _forget(self, now_ms: float) -> None:
        for key, holder in list(self._holders.items()):
            if now_ms - holder.asked_ms > HOLDER_EXPIRY_TERMS * self._keep_ms and holder.out(now_ms) == 0:
                del self._holders[key]

    def ask(
        self,
        now_ms: float,
        number: int,
        life: int,
        serial: int,
        demand: float,
        holding: float,
        has_serial: int,
        need: float = 0.0,
        end_ms: float = math.inf,
    ) -> Grant | None:
        """The answer to an asking: a share, or None where it is an old one or the divider may not lend yet.
        `has_serial`: of the share that it has; what it was given before that is its no more. `need`: units
        that one request of its takes, of a rate. `end_ms`: of the lease under which this is lent; no share
        may end later."""
        if not 0 <= number < self._gateways or now_ms < self.from_ms or now_ms + self._keep_ms > end_ms:
            return None
        self._forget(now_ms)
        holder = self._holders.setdefault((number, life), GrantHolder(now_ms))
        if serial <= holder.serial:
            return None
        holder.asked_ms, holder.serial, holder.demand = now_ms, serial, max(0.0, demand)
        holder.need = need
        holder.holding, holder.holding_until_ms = max(0.0, holding), now_ms + self._keep_ms
        holder.given = [one for one in holder.given if one.serial >= has_serial and now_ms < one.until_ms]
        if self.budget.kind is BudgetKind.STOCK:
            return self._lend(now_ms, holder, serial, self._stock(now_ms, number, life, holder))
        return self._rate(now_ms, number, life, holder, serial)

    def _fair(self, now_ms: float, number: int, life: int) -> float:
        """Its part by max-min over who asked of late; lives that are over want nothing."""
        demands: dict[int, float] = {}
        newest: dict[int, float] = {}
        for (one, _), holder in self._holders.items():
            if now_ms - holder.asked_ms <= self._keep_ms and holder.asked_ms >= newest.get(one, -1e18):
                newest[one], demands[one] = holder.asked_ms, holder.demand
        if self.budget.kind is BudgetKind.STOCK:
            return float(max_min_integer_shares(int(self._lendable), demands).get(number, 0))
        return max_min_shares(self._lendable, demands).get(number, 0.0)

    def _free(self, now_ms: float, besides: GrantHolder) -> float:
        """What is lent to nobody else."""
        return self._lendable - sum(one.out(now_ms) for one in self._holders.values() if one is not besides)

    def _stock(self, now_ms: float, number: int, life: int, holder: GrantHolder) -> float:
        return max(0.0, min(self._fair(now_ms, number, life), float(int(self._free(now_ms, holder)))))

    def _rate(self, now_ms: float, number: int, life: int, holder: GrantHolder, serial: int) -> Grant:
        self._pool.fill(now_ms)
        amount = max(0.0, min(self._fair(now_ms, number, life), self._free(now_ms, holder)))
        before = holder.burst(now_ms)
        # Danger: a part of the burst is not always the like part of the rate: who has one in turn has more of
        # it, and where the whole has just been raised parts by the figures before are out beside it.
        free = max(
            0.0, self._burst - sum(one.burst(now_ms) for one in self._holders.values() if one is not holder)
        )
        burst = min(free, self._burst * amount / self._lendable) if self._lendable > 0 else 0.0
        if burst < holder.need <= self._burst and holder.demand > 0:
            amount, burst = self._in_turn(now_ms, holder, before, free)
        else:
            holder.waits_ms = math.inf
        share = self._lend(now_ms, holder, serial, amount, burst)
        self._settle(now_ms)
        level = min(self._pool.level, max(0.0, burst - before))
        self._pool.level = min(self._pool.level - level, self._pool.cap)
        return Grant(share.serial, share.token, share.amount, share.burst, level)

    def _settle(self, now_ms: float) -> None:
        """The pool keeps what is not lent: it fills at that rate, up to that part of the burst. What a holder
        may hold beside its rate comes out of it, once."""
        self._pool.rate_per_s = max(0.0, self._lendable - self.out(now_ms)) * self._slower
        lent_burst = sum(one.burst(now_ms) for one in self._holders.values())
        self._pool.cap = max(0.0, self._burst - lent_burst)

    def _in_turn(self, now_ms: float, holder: GrantHolder, before: float, free: float) -> tuple[float, float]:
        """Amount and burst where a fair part of the burst holds no whole request; `free`: of the burst, what
        nobody else has.

        Danger: seven parts of a burst of four units are each less than one request, and nobody could send
        any. So some have a burst that one request fits in, full to begin with and for `TURN_TERMS`, with
        their part of the rate, and the others nothing; who waits longest is next, who had one goes behind.
        Where that part would not fill one request in a turn, the rate stays with the pool, and a turn is
        one request.
        """
        fit = max(1, int(self._burst / holder.need))
        each = self._lendable / fit
        slow = each * BURST_TURN_TERMS * self._keep_ms / 1000 < holder.need
        amount = 0.0 if slow else min(holder.demand, max(0.0, self._free(now_ms, holder)), each)
        if before and not slow and now_ms - holder.turn_ms < BURST_TURN_TERMS * self._keep_ms:
            return amount, min(before, holder.need, free)
        if holder.waits_ms == math.inf:
            holder.waits_ms = now_ms
        others = [one for one in self._holders.values() if one is not holder]
        earlier = sum(
            now_ms - one.asked_ms <= self._keep_ms / 2 and one.waits_ms < holder.waits_ms for one in others
        )
        if before or min(free, self._pool.level) < holder.need * (1 + earlier):
            return 0.0, 0.0
        holder.waits_ms, holder.turn_ms = math.inf, now_ms
        return amount, holder.need

    def _lend(
        self, now_ms: float, holder: GrantHolder, serial: int, amount: float, burst: float = 0.0
    ) -> Grant:
        self.lent_until_ms = now_ms + self._keep_ms
        holder.given.append(OutstandingGrant(serial, amount, burst, self.lent_until_ms))
        return Grant(serial, self.token, amount, burst)
