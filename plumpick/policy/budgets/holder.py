"""What may I spend now: a floor by number, and a share that is lent and ends.

Guards against: a share of an earlier asking, or of an earlier divider, that comes late (its serial, its
token); a share that comes twice (its level is added once); a stall (time is looked at where the unit
is spent, and nothing fills beyond a share's end); a life that has forgotten what the last one spent (a
floor begins empty)."""

from __future__ import annotations

import math
from dataclasses import dataclass

from plumpick.policy.budgets.budget import Budget, BudgetKind

MAX_PENDING_REQUESTS = 16  # askings whose answers may still come
DEMAND_WINDOW_MS = 300.0  # what is asked for counts over so long, and the time before as long


@dataclass(frozen=True, slots=True)
class Grant:
    """What a divider lends: `amount` units (a second) until one term after the asking, with `level` units
    of a rate to begin with."""

    serial: int
    token: int
    amount: float
    burst: float = 0.0
    level: float = 0.0


class PendingRequests:
    """When each was asked; only these may be answered. Table: `OPEN_MOST` entries, the oldest leaves."""

    def __init__(self) -> None:
        self._serial = 0
        self._asked: dict[int, float] = {}

    def ask(self, now_ms: float) -> int:
        """The serial of a new asking."""
        self._serial += 1
        self._asked[self._serial] = now_ms
        if len(self._asked) > MAX_PENDING_REQUESTS:
            del self._asked[next(iter(self._asked))]
        return self._serial

    def asked_ms(self, serial: int) -> float | None:
        return self._asked.get(serial)

    def estate(self) -> list[list[float]]:
        """For the next process: what is answered late is its own."""
        return [[self._serial, 0.0], *([serial, asked] for serial, asked in self._asked.items())]

    def inherit(self, rows: list[list[float]]) -> None:
        """Raises ValueError or TypeError, and then nothing has changed."""
        (serial, _), *asked = [(int(one), float(ms)) for one, ms in rows]
        self._serial, self._asked = serial, dict(asked[-MAX_PENDING_REQUESTS:])


class TokenBucket:
    """Units that fill at a rate up to a cap, not beyond `until_ms`."""

    __slots__ = ("rate_per_s", "cap", "level", "until_ms", "_at_ms")

    def __init__(
        self, now_ms: float, rate_per_s: float, cap: float, level: float = 0.0, until_ms: float = math.inf
    ) -> None:
        self.rate_per_s, self.cap, self.level = rate_per_s, cap, min(level, cap)
        self.until_ms, self._at_ms = until_ms, now_ms

    def fill(self, now_ms: float) -> None:
        """Up to now, or to its end."""
        end = now_ms if now_ms < self.until_ms else self.until_ms
        if end > self._at_ms:
            level = self.level + (end - self._at_ms) / 1000 * self.rate_per_s
            self.level, self._at_ms = level if level < self.cap else self.cap, end

    def has(self, now_ms: float) -> float:
        """Units there now."""
        self.fill(now_ms)
        return self.level if now_ms < self.until_ms else 0.0


class LocalRateLimiter:
    """One gatekeeper's side of a rate."""

    def __init__(
        self, budget: Budget, number: int, gateways: int, now_ms: float, term_ms: float, drift: float
    ) -> None:
        """`drift`: a clock that runs so much too fast fills no more than is due."""
        assert budget.kind is BudgetKind.RATE
        self.budget, self.term_ms, self._slower = budget, term_ms, 1 / (1 + drift)
        self._number, self._gateways = number, gateways
        self.floor = TokenBucket(
            now_ms, budget.floor_of(number, gateways) * self._slower, budget.floor_burst(gateways)
        )
        self.lent = TokenBucket(now_ms, 0.0, 0.0, until_ms=now_ms)
        self.serial, self.token, self._amount = 0, 0, 0.0
        self._wanted, self._since_ms, self._demand, self._before = 0.0, now_ms, 0.0, 0.0
        self._largest, self.need = 0.0, 0.0  # units of one request, of late

    def change(self, now_ms: float, budget: Budget) -> None:
        """Other figures from now on: of the floor at once, of what is lent at its end."""
        self.budget = budget
        self.floor.fill(now_ms)
        self.floor.rate_per_s = budget.floor_of(self._number, self._gateways) * self._slower
        self.floor.cap = budget.floor_burst(self._gateways)
        self.floor.level = min(self.floor.level, self.floor.cap)

    def has(self, now_ms: float) -> float:
        """Units that may go out now."""
        return self.lent.has(now_ms) + self.floor.has(now_ms)

    def miss(self, units: float) -> None:
        """So many are wanted, and go out nowhere: another budget has none."""
        self._wanted += units
        self._largest = max(self._largest, units)

    def spend(self, now_ms: float, units: float) -> bool:
        """Whether so many may go out now; they have, then. From what is lent first: it ends."""
        self._wanted += units
        if units > self._largest:
            self._largest = units
        lent = self.lent.has(now_ms) if now_ms < self.lent.until_ms else 0.0
        floor = self.floor.has(now_ms)
        if not 0 < units <= lent + floor:
            return False
        from_lent = min(lent, units)
        self.lent.level -= from_lent
        self.floor.level -= min(floor, units - from_lent)
        return True

    def demand(self, now_ms: float) -> float:
        """Units a second beyond the floor, of late."""
        passed = now_ms - self._since_ms
        if passed >= DEMAND_WINDOW_MS:
            self._before = self._demand if passed < 2 * DEMAND_WINDOW_MS else 0.0
            self._demand = self._wanted / passed * 1000
            self._wanted, self._since_ms = 0.0, now_ms
            # Danger: demand is remembered for longer than its requests' size would be: with no size it is
            # lent a part of a burst in which no request of its fits.
            self.need = self._largest if self._largest or not (self._demand or self._before) else self.need
            self._largest = 0.0
        self.need = max(self.need, self._largest)
        so_far = self._wanted / DEMAND_WINDOW_MS * 1000
        return max(0.0, max(self._demand, self._before, so_far) - self.floor.rate_per_s)

    def wants(self, now_ms: float) -> bool:
        """Whether more than the floor is wanted; as `demand`, at less cost while it is not."""
        if (
            now_ms - self._since_ms < DEMAND_WINDOW_MS
            and not self._demand
            and not self._before
            and (self._wanted * 1000 <= self.floor.rate_per_s * DEMAND_WINDOW_MS)
        ):
            return False
        return self.demand(now_ms) > 0

    def holding(self, now_ms: float) -> float:
        """What is lent to it now."""
        return self._amount if now_ms < self.lent.until_ms else 0.0

    def close_floor(self, now_ms: float) -> None:
        """Nothing of the floor may be spent, nor fills, until it is opened."""
        self.floor.fill(now_ms)
        self.floor.until_ms = now_ms

    def open_floor(self, now_ms: float) -> None:
        """It fills from now on; what time went by before is lost."""
        self.floor = TokenBucket(now_ms, self.floor.rate_per_s, self.floor.cap, self.floor.level)

    def estate(self, now_ms: float) -> list[float]:
        """What the next process of this gatekeeper goes on from; nothing is left here."""
        self.lent.fill(now_ms)
        self.floor.fill(now_ms)
        state = [
            self.serial,
            self._amount,
            self.lent.cap,
            self.lent.level,
            self.lent.until_ms,
            self.floor.level,
            now_ms,
        ]
        self.lent = TokenBucket(now_ms, 0.0, 0.0, until_ms=now_ms)
        self.floor = TokenBucket(now_ms, 0.0, 0.0)
        return state

    def inherit(self, now_ms: float, state: list[float], token: int) -> None:
        """Go on from there, on the same machine and so by the same clock. The floor's level alone passes: it
        fills again from when it is opened. Raises ValueError or TypeError, and then nothing has changed."""
        serial, amount, cap, level, until_ms, floor, left_ms = map(float, state)
        if not (serial >= 0 <= amount and 0 <= level <= cap and left_ms <= now_ms and floor >= 0):
            raise ValueError("a share that cannot be")
        if until_ms - left_ms > self.term_ms or not math.isfinite(amount + cap):
            raise ValueError("a share longer than its term")
        self.serial, self.token, self._amount = int(serial), token, amount
        self.lent = TokenBucket(left_ms, amount * self._slower, cap, level, until_ms)
        self.floor.level = min(self.floor.cap, floor)

    def lend(self, now_ms: float, share: Grant, asked_ms: float | None) -> bool:
        """Whether the share is taken: it answers an open asking, later than the one that is held."""
        if asked_ms is None or share.serial <= self.serial or share.token < self.token:
            return False
        level = self.lent.has(now_ms)
        self.serial, self.token = share.serial, share.token
        self._amount = share.amount
        self.lent = TokenBucket(
            now_ms,
            share.amount * self._slower,
            share.burst,
            min(share.burst, level + share.level),
            asked_ms + self.term_ms,
        )
        return True


class LocalConcurrencyLimiter:
    """One gatekeeper's side of a stock."""

    def __init__(self, budget: Budget, number: int, gateways: int, now_ms: float, term_ms: float) -> None:
        assert budget.kind is BudgetKind.STOCK
        self.budget, self.term_ms = budget, term_ms
        self._floor, self._floor_from_ms = int(budget.floor_of(number, gateways)), now_ms + budget.outlives_ms
        self.out_of_floor = self.out_of_lent = 0
        self.serial, self.token = 0, 0
        self._share, self._until_ms = 0, -math.inf
        self._refused = 0

    def room(self, now_ms: float, life_ms: float = 0.0) -> int:
        """Units that may be taken now, for at most so long."""
        floor = self._floor - self.out_of_floor if now_ms >= self._floor_from_ms else 0
        lent = self._share - self.out_of_lent if now_ms + life_ms < self._until_ms else 0
        return max(0, floor) + max(0, lent)

    def take(self, now_ms: float, life_ms: float) -> str:
        """One unit, that will be put back within `life_ms`: 'floor' or 'lent', to be named when it is; ''
        if there is none."""
        if now_ms >= self._floor_from_ms and self.out_of_floor < self._floor:
            self.out_of_floor += 1
            return "floor"
        if now_ms + life_ms < self._until_ms and self.out_of_lent < self._share:
            self.out_of_lent += 1
            return "lent"
        self._refused += 1
        return ""

    def put_back(self, which: str) -> None:
        """A unit is over."""
        if which == "floor":
            self.out_of_floor -= 1
        elif which == "lent":
            self.out_of_lent -= 1

    def demand(self, _now_ms: float) -> float:
        """Units beyond the floor: those that are out, and those that were refused since the last look."""
        wanted, self._refused = self.out_of_lent + self._refused, 0
        return float(wanted)

    def holding(self, now_ms: float) -> float:
        """What counts as lent to it: its share, or more where more is still out of a larger one before."""
        return float(max(self._share if now_ms < self._until_ms else 0, self.out_of_lent))

    def lend(self, _now_ms: float, share: Grant, asked_ms: float | None) -> bool:
        """Whether the share is taken: it answers an open asking, later than the one that is held."""
        if asked_ms is None or share.serial <= self.serial or share.token < self.token:
            return False
        self.serial, self.token = share.serial, share.token
        self._share, self._until_ms = int(share.amount), asked_ms + self.term_ms
        return True
