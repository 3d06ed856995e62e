"""Bugs planted in the program as it runs, each a way in which a budget can be got wrong; the trials must
find them."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from plumpick.policy.budgets import ledger as books
from plumpick.policy.budgets.allocator import BudgetAllocator
from plumpick.policy.budgets.holder import Grant, LocalRateLimiter, PendingRequests, TokenBucket
from plumpick.policy.budgets.ledger import BudgetLedger


def _gives_before_the_end() -> None:
    """A lease is given back, or ends, before what was lent under it."""
    BudgetLedger.lent = lambda self, now_ms: frozenset()  # type: ignore[method-assign]
    ask = BudgetAllocator.ask

    def asked(self: Any, *arguments: Any) -> Grant | None:
        return ask(self, *arguments[:8])

    BudgetAllocator.ask = asked  # type: ignore[method-assign]


class ForgetsWhatIsOut(BudgetAllocator):
    """Each asking is answered as if nothing were lent to others, neither of the rate nor of the burst."""

    def _rate(self, now_ms: float, number: int, life: int, holder: Any, serial: int) -> Grant:
        all_of_them, self._holders = self._holders, {(number, life): holder}
        try:
            return super()._rate(now_ms, number, life, holder, serial)
        finally:
            self._holders = all_of_them


class BelievesALateShare(LocalRateLimiter):
    """A share's end counts from when it comes, whenever it was asked for, and an old one is taken too."""

    def lend(self, now_ms: float, share: Grant, asked_ms: float | None) -> bool:
        self.serial = min(self.serial, share.serial - 1)
        self.token = min(self.token, share.token)
        return super().lend(now_ms, share, now_ms)


class LevelTwice(LocalRateLimiter):
    """A share that comes twice gives its level and its cap twice."""

    def lend(self, now_ms: float, share: Grant, asked_ms: float | None) -> bool:
        if asked_ms is not None and share.serial == self.serial:
            self.lent.cap += share.burst
            self.lent.level += max(share.level, share.burst)
        return super().lend(now_ms, share, asked_ms)


class FillsOverAStall(LocalRateLimiter):
    """What is lent has no end, and fills for all the time that went by."""

    def lend(self, now_ms: float, share: Grant, asked_ms: float | None) -> bool:
        taken = super().lend(now_ms, share, asked_ms)
        self.lent.until_ms = math.inf
        self.lent.cap = max(self.lent.cap, share.amount * 60)
        return taken


class FloorTwice(LocalRateLimiter):
    """The floor is everybody's, and what is lent is the whole."""

    def __init__(self, budget: Any, number: int, gateways: int, now_ms: float, *more: Any) -> None:
        super().__init__(budget, number, gateways, now_ms, *more)
        self.floor = TokenBucket(now_ms, budget.whole * budget.floor, budget.burst)
        self.floor.level = budget.burst


def _hands_over_and_keeps() -> None:
    """What passes to the next process stays here, too, and the old one goes on to spend."""
    estate = BudgetLedger.estate

    def kept(self: Any, now_ms: float) -> dict[str, Any]:
        rows = {name: (mine.holder.lent, mine.holder.floor) for name, mine in self.mine.items()}
        state = estate(self, now_ms)
        for name, (lent, floor) in rows.items():
            self.mine[name].holder.lent, self.mine[name].holder.floor = lent, floor
        return state

    BudgetLedger.estate = kept  # type: ignore[method-assign]


class KeepsTheOldWhole(BudgetAllocator):
    """It goes on with the figures that it began with, also where they were lowered."""

    def change(self, now_ms: float, budget: Any) -> None:
        self.budget = budget


def _divider(bug: type[Any]) -> Callable[[], None]:
    return lambda: setattr(books, "BudgetAllocator", bug)


def _holder(bug: type[Any]) -> Callable[[], None]:
    return lambda: setattr(books, "LocalRateLimiter", bug)


def _late() -> None:
    """The table of askings does not matter to it: any serial is one that was asked."""
    PendingRequests.asked_ms = lambda self, serial: 0.0  # type: ignore[method-assign]
    _holder(BelievesALateShare)()


PLANTS: dict[str, Callable[[], None]] = {
    "gives-before-the-end": _gives_before_the_end,
    "forgets-what-was-out": _divider(ForgetsWhatIsOut),
    "believes-a-late-share": _late,
    "returns-twice": _holder(LevelTwice),
    "fills-over-a-stall": _holder(FillsOverAStall),
    "counts-the-floor-twice": _holder(FloorTwice),
    "hands-over-and-keeps": _hands_over_and_keeps,
    "keeps-the-old-whole": _divider(KeepsTheOldWhole),
}
CASE_OF = {
    "gives-before-the-end": "divider-leaves",
    "believes-a-late-share": "late-shares",
    "returns-twice": "twice",
    "fills-over-a-stall": "holder-stops",
    "hands-over-and-keeps": "upgrade",
    "forgets-what-was-out": "demand-moves",
    "counts-the-floor-twice": "demand-moves",
    "keeps-the-old-whole": "figures",
}


def plant(name: str) -> None:
    """Into this process."""
    PLANTS[name]()
