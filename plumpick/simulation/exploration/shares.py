"""State model of budget grants: a concurrency limit of two units, two holders, allocators in succession.

Requests for grants and the grants stay in flight until they are delivered, at any later time, and may be
duplicated. A new allocator may take over at any moment; messages of the old one are still delivered. Time
advances by about half a term per move; holders' clocks run slow and the allocator's fast. A unit is used for
a tenth of a term. The invariant is violated when more units are in use than the limit allows.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Hashable, Iterator
from dataclasses import replace
from typing import Any

from plumpick.policy.budgets.allocator import BudgetAllocator, GrantReceiver
from plumpick.policy.budgets.budget import Budget, BudgetKind
from plumpick.policy.budgets.concurrency_limiter import LocalConcurrencyLimiter, UnitSource
from plumpick.policy.budgets.grant import Grant, PendingRequests
from plumpick.policy.budgets.messages import DemandReport
from plumpick.simulation.exploration.search import fork_of, name_of

TERM_MS, DRIFT, PART, WHOLE = 1000.0, 0.01, 0.52, 2
BUDGET = Budget("units", BudgetKind.CONCURRENCY, WHOLE, guaranteed_ratio=0.0)


class Shares:
    """A state of the grant model, explored by `search.explore`.

    `dividers`, `restarts` and `doubles` limit the number of allocator changes, holder restarts and duplicated
    messages in a history.
    """

    def __init__(
        self,
        dividers: int = 1,
        restarts: int = 1,
        doubles: int = 1,
        holder: type[LocalConcurrencyLimiter] = LocalConcurrencyLimiter,
        divider: type[BudgetAllocator] = BudgetAllocator,
    ) -> None:
        self.make = (holder, divider)
        self.left = {"divider": dividers, "restart": restarts, "double": doubles}
        self.now = 0.0
        self.holders = [holder(BUDGET, number, 2, 0.0, TERM_MS) for number in range(2)]
        self.askings = [PendingRequests() for _ in range(2)]
        self.lives = [1, 2]
        self.divider = divider(BUDGET, 2, -10 * TERM_MS, 1, TERM_MS, DRIFT)
        self.on_the_way: list[tuple[Any, ...]] = []
        self.units: list[tuple[float, int, int]] = []  # units in use: end, holder, incarnation
        self.wrong = ""

    def fork(self) -> Shares:
        divider = fork_of(
            self.divider,
            _receivers={
                key: replace(one, outstanding=[replace(grant) for grant in one.outstanding])
                for key, one in self.divider._receivers.items()
            },
        )
        return fork_of(
            self,
            left=dict(self.left),
            holders=[fork_of(one) for one in self.holders],
            askings=[fork_of(one, _sent_ms=dict(one._sent_ms)) for one in self.askings],
            lives=list(self.lives),
            divider=divider,
            on_the_way=list(self.on_the_way),
            units=list(self.units),
        )

    def _slow(self) -> float:
        return self.now * (1 - DRIFT)

    def _fast(self) -> float:
        return self.now * (1 + DRIFT)

    def moves(self) -> Iterator[str]:
        for number, holder in enumerate(self.holders):
            if sum(word[0] == "ask" and word[1] == number for word in self.on_the_way) < 2:
                yield f"ask {number}"
            if holder.available(self._slow(), 0.1 * TERM_MS):
                yield f"take {number}"
            if self.left["restart"]:
                yield f"restart {number}"
        if self.left["divider"]:
            yield "divider"
        for place, word in enumerate(self.on_the_way):
            if place and word == self.on_the_way[place - 1]:
                continue
            yield f"deliver {name_of(word)}"
            if self.left["double"]:
                yield f"double {name_of(word)}"
        if self.now < 4 * TERM_MS:
            yield "wait"

    def play(self, move: str) -> None:
        kind, _, rest = move.partition(" ")
        if kind == "wait":
            self.now += PART * TERM_MS
            for until, number, life in [unit for unit in self.units if unit[0] <= self.now]:
                self.units.remove((until, number, life))
                if self.lives[number] == life:
                    self.holders[number].release(UnitSource.GRANTED)
        elif kind == "divider":
            self.left["divider"] -= 1
            self.divider = self.make[1](
                BUDGET, 2, self._fast(), self.divider.fencing_token + 1, TERM_MS, DRIFT
            )
        elif kind == "restart":
            self.left["restart"] -= 1
            number = int(rest)
            self.lives[number] += 2
            self.holders[number] = self.make[0](BUDGET, number, 2, self._slow(), TERM_MS)
            self.askings[number] = PendingRequests()
        elif kind == "ask":
            number, holder = int(rest), self.holders[int(rest)]
            serial = self.askings[number].open(self._slow())
            self._send(
                "ask",
                number,
                self.lives[number],
                serial,
                int(holder.granted_amount(self._slow())),
                holder.last_grant_id,
            )
        elif kind == "take":
            number = int(rest)
            if self.holders[number].try_acquire(self._slow(), 0.1 * TERM_MS):
                self.units.append((self.now + 0.1 * TERM_MS, number, self.lives[number]))
        else:
            word = next(word for word in self.on_the_way if name_of(word) == rest)
            if kind == "double":
                self.left["double"] -= 1
            else:
                self.on_the_way.remove(word)
            self._deliver(word)
        if len(self.units) > WHOLE:
            self.wrong = "more is out than there is"

    def _send(self, *word: Any) -> None:
        insort(self.on_the_way, word, key=name_of)

    def _deliver(self, word: tuple[Any, ...]) -> None:
        if word[0] == "ask":
            _, number, life, serial, holding, has_serial = word
            report = DemandReport(0, serial, float(WHOLE), float(holding), has_serial, 0.0, 0)
            share = self.divider.request_grant(self._fast(), number, life, report)
            if share is not None and share.amount:
                self._send("share", number, life, serial, share.fencing_token, int(share.amount))
        else:
            _, number, life, serial, token, amount = word
            if self.lives[number] == life:
                self.holders[number].accept_grant(
                    self._slow(), Grant(serial, token, float(amount)), self.askings[number].sent_ms(serial)
                )

    def broken(self) -> str:
        return self.wrong

    def key(self) -> Hashable:
        return (
            self.now,
            *self.left.values(),
            tuple(self.on_the_way),
            tuple(self.units),
            tuple(self.lives),
            self.wrong,
            tuple(
                (
                    one.last_grant_id,
                    one.fencing_token,
                    one._granted_units,
                    one._grant_expires_ms,
                    one.granted_in_use,
                )
                for one in self.holders
            ),
            tuple(tuple(one._sent_ms.items()) for one in self.askings),
            self.divider.fencing_token,
            self.divider.grants_from_ms,
            tuple(
                (
                    key,
                    one.request_id,
                    one.reported_ms,
                    one.reported_granted,
                    one.reported_granted_until_ms,
                    tuple((row.request_id, row.amount, row.expires_ms) for row in one.outstanding),
                )
                for key, one in self.divider._receivers.items()
            ),
        )


# -- planted bugs of budget grants, which the exploration must find


class GivesBeforeTheEnd(BudgetAllocator):
    """An allocator that grants at once instead of waiting until its predecessor's grants have expired."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.grants_from_ms -= 10 * TERM_MS


class ForgetsWhatIsOut(BudgetAllocator):
    """An allocator that counts only the latest grant of each holder as outstanding."""

    def _record_grant(
        self, now_ms: float, receiver: GrantReceiver, amount: float, burst: float = 0.0
    ) -> Grant:
        receiver.outstanding.clear()
        receiver.reported_granted = 0.0
        return super()._record_grant(now_ms, receiver, amount, burst)


class BelievesALateShare(LocalConcurrencyLimiter):
    """A holder that counts a grant's term from its receipt instead of from the request."""

    def accept_grant(self, now_ms: float, grant: Grant, sent_ms: float | None) -> bool:
        return super().accept_grant(now_ms, grant, now_ms)


class TakesAnOldShare(LocalConcurrencyLimiter):
    """A holder that replaces a newer grant with a grant for an earlier request."""

    def accept_grant(self, now_ms: float, grant: Grant, sent_ms: float | None) -> bool:
        self.last_grant_id = min(self.last_grant_id, grant.request_id - 1)
        return super().accept_grant(now_ms, grant, sent_ms)


PLANTS: dict[str, dict[str, Any]] = {
    "gives-before-the-end": {"divider": GivesBeforeTheEnd},
    "forgets-what-is-out": {"divider": ForgetsWhatIsOut},
    "believes-a-late-share": {"holder": BelievesALateShare},
    "takes-an-old-share": {"holder": TakesAnOldShare},
}
