"""One gatekeeper's part in all budgets: what it may spend, what it asks for, and what it divides.

No I/O, no clock. It stands beside `Duties` (duties.py): the leases say whose a slot is, a budget lies on a
slot by its name, and the slot's owner divides it. Who wants more than its floor asks the owner, as far as it
knows who that is; a voter that is asked says who has the slot. Guards against: a divider that has gone (after
`TRIES` askings without an answer the voters are asked in turn); a share for an earlier life (its number);
an owner whose lease has ended (`lost` is told before what came is read); two processes of one number, each
with the floor (`open_floors` only once the other has ended); gatekeepers whose settings have other figures
(`_figures`: the lower hold, once they hear one another)."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from plumpick.policy.budgets.allocator import BudgetAllocator
from plumpick.policy.budgets.budget import Budget, grants_end_within_lease
from plumpick.policy.budgets.codec import (
    AllocatorHint,
    DemandReport,
    GrantMessage,
    LimitsMessage,
    decode,
    encode_allocator_hint,
    encode_demand_reports,
    encode_grants,
    encode_limits,
)
from plumpick.policy.budgets.holder import Grant, LocalRateLimiter, PendingRequests
from plumpick.policy.leases.terms import Terms
from plumpick.policy.scheduled_tasks import slot_of

REPORT_INTERVAL_RATIO = 0.25  # of a share's term, between two askings; where more is wanted,
MIN_REPORT_INTERVAL_MS = 100.0  # that soon,
MAX_REPORTS_PER_S = 30.0  # and so seldom that all gatekeepers together ask one of them no more often
MAX_UNANSWERED_REPORTS = 2  # askings without an answer after which who was asked is not thought to divide
REJECTION_LOG_TERMS = 10.0  # a line of the log for what is turned back at most so often
DEMAND_MEMORY_TERMS = 2.0  # so long after its last demand a budget is still asked for


@dataclass(slots=True)
class LocalBudget:
    """One budget at this gatekeeper."""

    place: int
    slot: int
    own: Budget  # as the settings have it
    holder: LocalRateLimiter
    askings: PendingRequests
    wanted_ms: float = -math.inf  # when more than the floor was last wanted
    unmet: int = 0  # requests turned back since the last line of the log
    first_ms: float = math.inf  # when more than the floor was first wanted
    told: tuple[float, float] | None = None  # whole and burst that the divider goes by, where they are others
    # At its divider: whole, burst and mark of those that have a lower one, and when they last said so. An
    # entry a gatekeeper at most; it leaves when that has ours, or does not ask for `LINGER_TERMS`.
    lower: dict[int, tuple[float, float, int, float]] = field(default_factory=dict)
    said: tuple[float, float] | None = None  # the other figures that the log knows of


@dataclass(slots=True)
class BudgetStatus:
    """What staff want to know of one budget."""

    name: str
    whole: float
    floor: float
    lent: float
    until_ms: float | None  # from now
    level: float
    demand: float
    unmet: int
    divider: int | None
    token: int
    out: float | None  # lent to all, where we divide


class BudgetLedger:
    """Tables: one entry for each budget that the settings name, another for each that we divide, and who is
    thought to have a slot. `_wanted` is an index by demand: budgets of which more than the floor was wanted
    of late, each until it has not been for `LINGER_TERMS`."""

    def __init__(
        self,
        budgets: tuple[Budget, ...],
        number: int,
        gateways: int,
        terms: Terms,
        share_ms: float,
        chance: Random,
        now_ms: float,
    ) -> None:
        self.number, self.gateways, self.terms, self.share_ms = number, gateways, terms, share_ms
        self._chance = chance
        self.mine = {
            budget.name: LocalBudget(
                place,
                slot_of(budget.name, terms.slots),
                budget,
                LocalRateLimiter(budget, number, gateways, now_ms, share_ms, terms.drift),
                PendingRequests(),
            )
            for place, budget in enumerate(budgets)
        }
        self._names = [budget.name for budget in budgets]
        self._by_slot: dict[int, list[str]] = {}
        for name, mine in self.mine.items():
            self._by_slot.setdefault(mine.slot, []).append(name)
        self._wanted: dict[str, None] = {}
        for mine in self.mine.values():  # closed until it is known that nobody else has our number
            mine.holder.close_floor(now_ms)
        self.floors = False
        self.dividers: dict[str, BudgetAllocator] = {}
        self._within = grants_end_within_lease(share_ms, terms.term_ms)
        self._lent_ms: dict[int, float] = {}  # slot: when the last share that was lent here ends
        self._closing: set[int] = set()  # slots that are to be given back: nothing more is lent
        self._gap_ms = max(MIN_REPORT_INTERVAL_MS, 1000 * gateways / MAX_REPORTS_PER_S)
        self._asked_ms = -math.inf
        self._every_ms = max(
            self._gap_ms, REPORT_INTERVAL_RATIO * share_ms
        )  # between two askings in ordinary times
        self._hurry_ms, self._hurried = self._gap_ms, False  # the least pause before an early one
        self._at: dict[int, int] = {}  # slot: who is thought to have it
        self._unanswered: dict[int, int] = {}  # slot: askings since the last answer
        self._turn = chance.randrange(len(terms.voters))  # which voter is asked next
        self._ask_ms = math.inf
        self.to_send: list[tuple[int, bytes]] = []  # notes: to whom, what
        self.faults: list[str] = []  # lines for the log
        self._told: dict[str, float] = {}  # budget: when it was last said to have nothing left

    # -- spending

    def spend(self, now_ms: float, wanted: list[tuple[str, float]]) -> bool:
        """Whether a request that takes so many units of each of these budgets may go on; it has, then.
        `now_ms` is the moment of spending: a clock that goes on through a stall, looked at just now."""
        if len(wanted) == 1:  # most requests take from one, and its level is looked at once
            ((name, units),) = wanted
            mine = self.mine[name]
            met = mine.holder.spend(now_ms, units)
            self._note(now_ms, mine, met)
            return met
        whole = [(self.mine[name], units) for name, units in wanted]
        met = all(mine.holder.has(now_ms) >= units for mine, units in whole)
        for mine, units in whole:
            if met:
                mine.holder.spend(now_ms, units)
            else:
                mine.holder.miss(units)
            self._note(now_ms, mine, met)
        return met

    def _note(self, now_ms: float, mine: LocalBudget, met: bool) -> None:
        """What a request wants is met, or not: ask, if it is more than the floor."""
        if not met:
            mine.unmet += 1
            self._soon(now_ms)  # a share that has room may be had by now
        if mine.holder.wants(now_ms):
            if now_ms - mine.wanted_ms > DEMAND_MEMORY_TERMS * self.share_ms:
                self._ask_ms = min(self._ask_ms, now_ms)  # it begins: ask at once
                self._hurry_ms = self._gap_ms
            mine.wanted_ms, mine.first_ms = now_ms, min(mine.first_ms, now_ms)
            self._wanted[mine.own.name] = None

    def _soon(self, now_ms: float) -> None:
        """Ask before it is time again.

        Danger: where all want more than there is, somebody is always turned back, and as many askings as an
        inbox takes would crowd out what renews the leases. So each that comes early is followed by a longer
        pause, until none was needed."""
        self._ask_ms = min(self._ask_ms, max(now_ms, self._asked_ms + self._hurry_ms))
        self._hurried = True

    def open_floors(self, now_ms: float) -> None:
        """From now on nobody else has our number: the floors fill."""
        if self.floors:
            return
        self.floors = True
        for mine in self.mine.values():
            mine.holder.open_floor(now_ms)

    # -- what the leases say

    def gained(self, now_ms: float, slot: int, token: int) -> None:
        """The slot is ours: its budgets are ours to divide."""
        self._at[slot] = self.number
        self._closing.discard(slot)
        # Where shares end within leases, what others lent has ended; what we lent under an earlier token of
        # ours, or the process before this one, may be out.
        from_ms = max(now_ms, self._lent_ms.get(slot, now_ms)) if self._within else None
        for name in self._by_slot.get(slot, ()):
            self.mine[name].lower.clear()
            self.dividers[name] = BudgetAllocator(
                self.mine[name].own, self.gateways, now_ms, token, self.share_ms, self.terms.drift, from_ms
            )

    def yields(self, slots: set[int]) -> None:
        """These are to be given back: nothing more is lent, and what is ends soon."""
        self._closing |= slots

    def lent(self, now_ms: float) -> frozenset[int]:
        """Slots under whose lease something is lent that counts on it: it may not be given back yet."""
        return frozenset(
            slot for slot, until_ms in self._lent_ms.items() if self._within and now_ms < until_ms
        )

    def lost(self, slot: int) -> None:
        """From now on we divide nothing of it."""
        if self._at.get(slot) == self.number:
            del self._at[slot]
        for name in self._by_slot.get(slot, ()):
            self.dividers.pop(name, None)

    # -- words

    def heard(
        self,
        now_ms: float,
        sender: int,
        life: int,
        data: bytes,
        our_life: int,
        holder_of: Callable[[int], int | None],
        end_of: Callable[[int], float] = lambda _slot: math.inf,
    ) -> None:
        """A note has come. `holder_of` tells, at a voter, who has a slot; `end_of` when our lease on one that
        we have ends, by our clock."""
        said = decode(data)
        if isinstance(said, AllocatorHint):
            # Danger: a voter may know no more than that we had it once, and then each would ask itself.
            if (
                said.number != self.number
                and said.slot < self.terms.slots
                and (said.number < self.gateways and self._at.get(said.slot) != self.number)
            ):
                if self._at.get(said.slot) != said.number:
                    self._unanswered[said.slot] = 0
                    self._ask_ms = min(self._ask_ms, now_ms)
                self._at[said.slot] = said.number
        elif isinstance(said, GrantMessage):
            if said.life == our_life:
                self._take(now_ms, sender, said)
        elif isinstance(said, LimitsMessage):
            if said.budget < len(self._names):
                self._figures(now_ms, sender, self.mine[self._names[said.budget]], said)
        elif said is not None:
            self._asked(now_ms, sender, life, said, holder_of, end_of)

    def _take(self, now_ms: float, sender: int, said: GrantMessage) -> None:
        for place, share, mark in said.rows:
            if place >= len(self._names):
                continue
            mine = self.mine[self._names[place]]
            before = mine.holder.lent.cap
            if mine.holder.lend(now_ms, share, mine.askings.asked_ms(share.serial)):
                self._at[mine.slot], self._unanswered[mine.slot] = sender, 0
                if mark == mine.own.mark:
                    mine.told = mine.said = None
                    if mine.holder.budget != mine.own:
                        mine.holder.change(now_ms, mine.own)
                elif mark != mine.holder.budget.mark or mine.told is None:
                    self.to_send.append(
                        (sender, encode_limits(LimitsMessage(place, mine.own.whole, mine.own.burst, True)))
                    )
                if share.burst < before / 2:  # what it was before is out until we say that we have this one
                    self._soon(now_ms)

    def _figures(self, now_ms: float, sender: int, mine: LocalBudget, said: LimitsMessage) -> None:
        """Somebody's settings have other figures than those that its divider goes by: the lower hold."""
        name, own = mine.own.name, mine.own
        if not said.asks:  # what the divider goes by
            if self._at.get(mine.slot) != sender:
                return
            mine.told = said.whole, said.burst
            mine.holder.change(now_ms, own.lowered(*mine.told))
        elif (divider := self.dividers.get(name)) is not None:
            mark = replace(own, whole=said.whole, burst=said.burst).mark if said.whole < 1e9 else 0
            if sender != self.number and mark and (said.whole < own.whole or said.burst < own.burst):
                mine.lower[sender] = said.whole, said.burst, mark, now_ms
                self._lowest(now_ms, mine)
            goes_by = divider.budget
            self.to_send.append(
                (sender, encode_limits(LimitsMessage(mine.place, goes_by.whole, goes_by.burst, False)))
            )
        if (said.whole, said.burst) not in (mine.said, (own.whole, own.burst)):
            mine.said = said.whole, said.burst
            self.faults.append(
                f"budget {name}: n{sender} has whole {said.whole:.6g}, burst {said.burst:.6g}, this "
                f"gatekeeper {own.whole:.6g}, {own.burst:.6g}: the lower hold"
            )

    def _lowest(self, now_ms: float, mine: LocalBudget) -> None:
        """Divide the lowest that anybody has who asked of late."""
        divider = self.dividers[mine.own.name]
        lowest = mine.own
        for number, (whole, burst, _, at_ms) in list(mine.lower.items()):
            if now_ms - at_ms > DEMAND_MEMORY_TERMS * self.share_ms:
                del mine.lower[number]
            else:
                lowest = lowest.lowered(whole, burst)
        if lowest != divider.budget:
            divider.change(now_ms, lowest)

    def change(self, now_ms: float, budgets: tuple[Budget, ...]) -> None:
        """Other wholes and bursts from now on; raises ValueError where something else differs, and then
        nothing has changed. What is lent by the figures before is out until its end."""
        if [(one.name, one.kind, one.floor) for one in budgets] != [
            (mine.own.name, mine.own.kind, mine.own.floor) for mine in self.mine.values()
        ]:
            raise ValueError("budgets: other names or floors take effect at the next start of all")
        for budget, mine in zip(budgets, self.mine.values(), strict=True):
            if budget == mine.own:
                continue
            mine.own, mine.said = budget, None
            mine.holder.change(now_ms, budget if mine.told is None else budget.lowered(*mine.told))
            if budget.name in self.dividers:
                self._lowest(now_ms, mine)
            if budget.name in self._wanted:
                self._soon(now_ms)

    def _asked(  # noqa: C901  (to be split by concern)
        self,
        now_ms: float,
        sender: int,
        life: int,
        rows: list[DemandReport],
        holder_of: Callable[[int], int | None],
        end_of: Callable[[int], float],
    ) -> None:
        shares: dict[int, list[tuple[int, Grant, int]]] = {}  # by token
        others: set[int] = set()
        for row in rows:
            if row.budget >= len(self._names):
                continue
            name = self._names[row.budget]
            divider = self.dividers.get(name)
            if divider is None:
                others.add(self.mine[name].slot)
                continue
            slot = self.mine[name].slot
            if slot in self._closing:
                continue
            mine = self.mine[name]
            if mine.lower:
                lower = mine.lower.get(sender)
                if row.mark == mine.own.mark:
                    mine.lower.pop(sender, None)
                elif lower is not None and lower[2] == row.mark:
                    mine.lower[sender] = (*lower[:3], now_ms)
                self._lowest(now_ms, mine)
            share = divider.ask(
                now_ms,
                sender,
                life,
                row.serial,
                row.demand,
                row.holding,
                row.has_serial,
                row.need,
                end_of(slot) if self._within else math.inf,
            )
            self._lent_ms[slot] = max(self._lent_ms.get(slot, -math.inf), divider.lent_until_ms)
            if share is not None:
                shares.setdefault(divider.token, []).append((row.budget, share, divider.budget.mark))
        for token, parts in shares.items():
            for note in encode_grants(life, token, parts):
                self.to_send.append((sender, note))
        for slot in sorted(others):
            number = holder_of(slot)
            if number is not None and number != sender:
                self.to_send.append((sender, encode_allocator_hint(slot, number)))

    # -- time

    def due(self, now_ms: float) -> None:
        """Ask for what is wanted, if it is time; forget shares that have ended. Danger: one that stayed, of a
        slot whose duty still runs, would be a wake-up in the past, again and again."""
        for slot in [slot for slot, until_ms in self._lent_ms.items() if now_ms >= until_ms]:
            del self._lent_ms[slot]
        if now_ms < self._ask_ms:
            return
        self._ask_ms, self._asked_ms = math.inf, now_ms
        self._hurry_ms = min(2 * self._hurry_ms, self._every_ms) if self._hurried else self._gap_ms
        self._hurried = False
        rows: dict[int, list[DemandReport]] = {}  # by whom to ask
        slots: dict[int, int] = {}
        for name in list(self._wanted):
            mine = self.mine[name]
            if now_ms - mine.wanted_ms > DEMAND_MEMORY_TERMS * self.share_ms:
                del self._wanted[name]
                continue
            if mine.slot not in slots:
                slots[mine.slot] = self._whom(mine.slot)
            holder = mine.holder
            rows.setdefault(slots[mine.slot], []).append(
                DemandReport(
                    mine.place,
                    mine.askings.ask(now_ms),
                    holder.demand(now_ms),
                    holder.holding(now_ms),
                    holder.serial,
                    holder.need,
                    mine.own.mark,
                )
            )
            if (
                mine.unmet
                and now_ms - self._told.get(name, -math.inf) > REJECTION_LOG_TERMS * self.share_ms
                and (now_ms - mine.first_ms > self.share_ms)
            ):  # a start begins with nothing
                self._told[name] = now_ms
                self.faults.append(
                    f"budget {name}: {mine.unmet} requests turned back, nothing left of a "
                    f"share of {holder.holding(now_ms):.6g} and a floor of "
                    f"{holder.floor.rate_per_s:.6g} a second"
                )
                mine.unmet = 0
        for number, asked in rows.items():
            for note in encode_demand_reports(asked):
                self.to_send.append((number, note))
        if rows:
            self._ask_ms = now_ms + self._every_ms * self._chance.uniform(0.9, 1.1)

    def _whom(self, slot: int) -> int:
        """Who is to be asked about that slot: its owner, or the next voter."""
        number = self._at.get(slot)
        if number == self.number:
            return number
        tried = self._unanswered.get(slot, 0)
        self._unanswered[slot] = tried + 1
        if number is not None and tried < MAX_UNANSWERED_REPORTS:
            return number
        self._at.pop(slot, None)
        self._turn = (self._turn + 1) % len(self.terms.voters)
        return self.terms.voters[self._turn]

    def next_ms(self) -> float:
        """When `due` has something to do, or a slot can be given back."""
        if not self._closing:
            return self._ask_ms
        return min(
            [
                self._ask_ms,
                *(
                    self._lent_ms.get(slot, math.inf)
                    for slot in self._closing
                    if self._at.get(slot) == self.number
                ),
            ]
        )

    # -- staff

    def rows(self, now_ms: float) -> list[BudgetStatus]:
        """All budgets, by name."""
        rows = []
        for name, mine in sorted(self.mine.items()):
            holder, divider = mine.holder, self.dividers.get(name)
            left_ms = holder.lent.until_ms - now_ms
            rows.append(
                BudgetStatus(
                    name,
                    holder.budget.whole,
                    holder.floor.rate_per_s,
                    holder.holding(now_ms),
                    left_ms if left_ms > 0 else None,
                    holder.has(now_ms),
                    holder.demand(now_ms),
                    mine.unmet,
                    self._at.get(mine.slot),
                    divider.token if divider is not None else holder.token,
                    divider.out(now_ms) if divider is not None else None,
                )
            )
        return rows

    # -- an upgrade: one process after the other, one holder

    def estate(self, now_ms: float) -> dict[str, Any]:
        """What the next process goes on from; here nothing is left to spend, and nothing is divided. Who
        divides begins anew there, once what was lent here has ended."""
        self.dividers.clear()
        self.floors, self._ask_ms = True, math.inf  # no floor opens here any more
        return {
            "lent": [[slot, until_ms] for slot, until_ms in self._lent_ms.items()],
            "holders": {
                name: {
                    "digest": self.terms.digest,
                    "share_ms": self.share_ms,
                    "token": f"{mine.holder.token:x}",
                    "askings": mine.askings.estate(),
                    "holder": mine.holder.estate(now_ms),
                }
                for name, mine in self.mine.items()
            },
        }

    def inherit(self, now_ms: float, state: dict[str, Any]) -> None:
        """Go on from there. Raises ValueError, TypeError or KeyError where it cannot be: what was lent then
        ends by its time, and the floor begins empty."""
        for slot, until_ms in state["lent"]:
            self._lent_ms[int(slot)] = min(float(until_ms), now_ms + self.terms.term_ms)
        for name, one in state["holders"].items():
            mine = self.mine.get(name)
            if mine is None or one["digest"] != self.terms.digest or one["share_ms"] != self.share_ms:
                continue
            mine.holder.inherit(now_ms, list(one["holder"]), int(one["token"], 16))
            mine.askings.inherit([list(row) for row in one["askings"]])
