"""Bugs planted in the program as it runs, each a way in which a budget can be got wrong; the trials must
find them."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from plumpick.policy.budgets import ledger, slot_allocations
from plumpick.policy.budgets.allocator import BudgetAllocator
from plumpick.policy.budgets.grant import Grant, PendingRequests
from plumpick.policy.budgets.ledger import BudgetLedger
from plumpick.policy.budgets.rate_limiter import LocalRateLimiter
from plumpick.policy.budgets.token_bucket import TokenBucket


def _gives_before_the_end() -> None:
    """A lease is given back, or ends, before what was lent under it."""
    BudgetLedger.slots_with_grants = lambda self, now_ms: frozenset()  # type: ignore[method-assign]
    request_grant = BudgetAllocator.request_grant

    def without_lease_end(self: Any, *arguments: Any) -> Grant | None:
        return request_grant(self, *arguments[:4])

    BudgetAllocator.request_grant = without_lease_end  # type: ignore[method-assign]


class ForgetsWhatIsOut(BudgetAllocator):
    """Each asking is answered as if nothing were lent to others, neither of the rate nor of the burst."""

    def _grant_rate(self, now_ms: float, number: int, receiver: Any) -> Grant:
        all_of_them = self._receivers
        self._receivers = {key: one for key, one in all_of_them.items() if one is receiver}
        try:
            return super()._grant_rate(now_ms, number, receiver)
        finally:
            self._receivers = all_of_them


class BelievesALateShare(LocalRateLimiter):
    """A share's end counts from when it comes, whenever it was asked for, and an old one is taken too."""

    def accept_grant(self, now_ms: float, grant: Grant, sent_ms: float | None) -> bool:
        self.last_grant_id = min(self.last_grant_id, grant.request_id - 1)
        self.fencing_token = min(self.fencing_token, grant.fencing_token)
        return super().accept_grant(now_ms, grant, now_ms)


class LevelTwice(LocalRateLimiter):
    """A share that comes twice gives its level and its cap twice."""

    def accept_grant(self, now_ms: float, grant: Grant, sent_ms: float | None) -> bool:
        if sent_ms is not None and grant.request_id == self.last_grant_id:
            self.granted.capacity += grant.burst
            self.granted.tokens += max(grant.initial_tokens, grant.burst)
        return super().accept_grant(now_ms, grant, sent_ms)


class FillsOverAStall(LocalRateLimiter):
    """What is lent has no end, and fills for all the time that went by."""

    def accept_grant(self, now_ms: float, grant: Grant, sent_ms: float | None) -> bool:
        taken = super().accept_grant(now_ms, grant, sent_ms)
        self.granted.expires_ms = math.inf
        self.granted.capacity = max(self.granted.capacity, grant.amount * 60)
        return taken


class FloorTwice(LocalRateLimiter):
    """The floor is everybody's, and what is lent is the whole."""

    def __init__(self, budget: Any, number: int, gateways: int, now_ms: float, *more: Any) -> None:
        super().__init__(budget, number, gateways, now_ms, *more)
        self.guaranteed = TokenBucket(now_ms, budget.limit * budget.guaranteed_ratio, budget.burst)
        self.guaranteed.tokens = budget.burst


def _hands_over_and_keeps() -> None:
    """What passes to the next process stays here, too, and the old one goes on to spend."""
    export_state = BudgetLedger.export_state

    def kept(self: Any, now_ms: float) -> dict[str, Any]:
        rows = {
            name: (budget.limiter.granted, budget.limiter.guaranteed) for name, budget in self.budgets.items()
        }
        state = export_state(self, now_ms)
        for name, (granted, guaranteed) in rows.items():
            self.budgets[name].limiter.granted = granted
            self.budgets[name].limiter.guaranteed = guaranteed
        return state

    BudgetLedger.export_state = kept  # type: ignore[method-assign]


class KeepsTheOldWhole(BudgetAllocator):
    """It goes on with the figures that it began with, also where they were lowered."""

    def set_limits(self, now_ms: float, budget: Any) -> None:
        self.budget = budget


def _divider(bug: type[Any]) -> Callable[[], None]:
    return lambda: setattr(slot_allocations, "BudgetAllocator", bug)


def _holder(bug: type[Any]) -> Callable[[], None]:
    return lambda: setattr(ledger, "LocalRateLimiter", bug)


def _late() -> None:
    """The table of askings does not matter to it: any serial is one that was asked."""
    PendingRequests.sent_ms = lambda self, request_id: 0.0  # type: ignore[method-assign]
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
