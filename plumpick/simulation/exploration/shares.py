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
from plumpick.simulation.exploration.search import copy_with, message_name

TERM_MS, DRIFT = 1000.0, 0.01
WAIT_TERM_FRACTION = 0.52  # fraction of a grant's term by which the move "wait" advances time
LIMIT_UNITS = 2  # concurrency limit shared by the two holders
BUDGET = Budget("units", BudgetKind.CONCURRENCY, LIMIT_UNITS, guaranteed_ratio=0.0)


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
        self.types = (holder, divider)
        self.remaining = {"divider": dividers, "restart": restarts, "double": doubles}
        self.now = 0.0
        self.holders = [holder(BUDGET, number, 2, 0.0, TERM_MS) for number in range(2)]
        self.pending_requests = [PendingRequests() for _ in range(2)]
        self.incarnations = [1, 2]
        self.divider = divider(BUDGET, 2, -10 * TERM_MS, 1, TERM_MS, DRIFT)
        self.in_flight: list[tuple[Any, ...]] = []
        # units in use: end of use, holder, holder's incarnation
        self.units_in_use: list[tuple[float, int, int]] = []
        self._violation = ""

    def fork(self) -> Shares:
        divider = copy_with(
            self.divider,
            _receivers={
                key: replace(one, outstanding=[replace(grant) for grant in one.outstanding])
                for key, one in self.divider._receivers.items()
            },
        )
        return copy_with(
            self,
            remaining=dict(self.remaining),
            holders=[copy_with(one) for one in self.holders],
            pending_requests=[copy_with(one, _sent_ms=dict(one._sent_ms)) for one in self.pending_requests],
            incarnations=list(self.incarnations),
            divider=divider,
            in_flight=list(self.in_flight),
            units_in_use=list(self.units_in_use),
        )

    def _holder_clock(self) -> float:
        return self.now * (1 - DRIFT)

    def _allocator_clock(self) -> float:
        return self.now * (1 + DRIFT)

    def moves(self) -> Iterator[str]:
        for number, holder in enumerate(self.holders):
            if sum(message[0] == "ask" and message[1] == number for message in self.in_flight) < 2:
                yield f"ask {number}"
            if holder.available(self._holder_clock(), 0.1 * TERM_MS):
                yield f"take {number}"
            if self.remaining["restart"]:
                yield f"restart {number}"
        if self.remaining["divider"]:
            yield "divider"
        for position, message in enumerate(self.in_flight):
            if position and message == self.in_flight[position - 1]:
                continue
            yield f"deliver {message_name(message)}"
            if self.remaining["double"]:
                yield f"double {message_name(message)}"
        if self.now < 4 * TERM_MS:
            yield "wait"

    def apply(self, move: str) -> None:
        kind, _, rest = move.partition(" ")
        if kind == "wait":
            self.now += WAIT_TERM_FRACTION * TERM_MS
            for until, number, incarnation in [unit for unit in self.units_in_use if unit[0] <= self.now]:
                self.units_in_use.remove((until, number, incarnation))
                if self.incarnations[number] == incarnation:
                    self.holders[number].release(UnitSource.GRANTED)
        elif kind == "divider":
            self.remaining["divider"] -= 1
            self.divider = self.types[1](
                BUDGET, 2, self._allocator_clock(), self.divider.fencing_token + 1, TERM_MS, DRIFT
            )
        elif kind == "restart":
            self.remaining["restart"] -= 1
            number = int(rest)
            self.incarnations[number] += 2
            self.holders[number] = self.types[0](BUDGET, number, 2, self._holder_clock(), TERM_MS)
            self.pending_requests[number] = PendingRequests()
        elif kind == "ask":
            number, holder = int(rest), self.holders[int(rest)]
            serial = self.pending_requests[number].open(self._holder_clock())
            self._send(
                "ask",
                number,
                self.incarnations[number],
                serial,
                int(holder.granted_amount(self._holder_clock())),
                holder.last_grant_id,
            )
        elif kind == "take":
            number = int(rest)
            if self.holders[number].try_acquire(self._holder_clock(), 0.1 * TERM_MS):
                self.units_in_use.append((self.now + 0.1 * TERM_MS, number, self.incarnations[number]))
        else:
            message = next(message for message in self.in_flight if message_name(message) == rest)
            if kind == "double":
                self.remaining["double"] -= 1
            else:
                self.in_flight.remove(message)
            self._deliver(message)
        if len(self.units_in_use) > LIMIT_UNITS:
            self._violation = "more units are in use than the limit allows"

    def _send(self, *message: Any) -> None:
        insort(self.in_flight, message, key=message_name)

    def _deliver(self, message: tuple[Any, ...]) -> None:
        if message[0] == "ask":
            _, number, incarnation, serial, granted, latest_grant_id = message
            report = DemandReport(0, serial, float(LIMIT_UNITS), float(granted), latest_grant_id, 0.0, 0)
            grant = self.divider.request_grant(self._allocator_clock(), number, incarnation, report)
            if grant is not None and grant.amount:
                self._send("share", number, incarnation, serial, grant.fencing_token, int(grant.amount))
        else:
            _, number, incarnation, serial, token, amount = message
            if self.incarnations[number] == incarnation:
                self.holders[number].accept_grant(
                    self._holder_clock(),
                    Grant(serial, token, float(amount)),
                    self.pending_requests[number].sent_ms(serial),
                )

    def violation(self) -> str:
        return self._violation

    def key(self) -> Hashable:
        return (
            self.now,
            *self.remaining.values(),
            tuple(self.in_flight),
            tuple(self.units_in_use),
            tuple(self.incarnations),
            self._violation,
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
            tuple(tuple(one._sent_ms.items()) for one in self.pending_requests),
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
