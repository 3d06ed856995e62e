"""The runner: leases and duties on the daemon's loop, sockets and clock. It decides nothing.

Each time it runs, it hands the time and what came to `Member` (who owns what) and to `Duties` (what runs
when), and carries out what they say. The clock is one that goes on while the process or the machine stands
still; it is looked at again as the last thing before an effect is written. That may not be enough (the
process may stand still just then): what makes a late effect harmless is its receiver's fence."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import zlib
from collections.abc import Callable
from random import Random
from typing import Any

from plumpick.gateway.cluster import fenced_effects
from plumpick.gateway.config import Config
from plumpick.gateway.operator_config import USE, FleetSettings, ScheduledTaskSettings
from plumpick.gateway.platform import System
from plumpick.policy import scheduled_tasks as plans
from plumpick.policy import usage_report
from plumpick.policy.budgets import codec as shares
from plumpick.policy.budgets.ledger import BudgetLedger
from plumpick.policy.budgets.matching import BudgetMatcher
from plumpick.policy.events import RequestReceived
from plumpick.policy.leases.lease_holder import Gained, Lost, Refused, Yield
from plumpick.policy.leases.participant import (
    Came,
    Event,
    Give,
    Leaving,
    Member,
    Note,
    Outdone,
    Say,
    Tell,
    WantTurn,
)
from plumpick.policy.leases.rate_limit import Pace
from plumpick.policy.scheduled_tasks import Duties

STILL_MS = 1000.0  # a stall of so long is worth a line
GUARD_S = 0.5  # the place of a voter that another process has is tried for again so often
GATHER_S = 0.02
PAGE = 16  # duties, or budgets, in an answer to staff
SHARES = (bytes([shares.DEMAND_REPORT]), bytes([shares.GRANT]), bytes([shares.ALLOCATOR_HINT]))

log = logging.getLogger(__name__)


class Runner:
    """One process's part in what is done for the fleet."""

    def __init__(
        self,
        config: Config,
        settings: FleetSettings,
        loop: asyncio.AbstractEventLoop,
        system: System,
        tell: Callable[[int, bytes], None],
        order: Callable[[str], str],
    ) -> None:
        """`tell` sends a datagram to a gatekeeper; `order` is an operator's DRAIN or UNDRAIN."""
        self._config, self._settings, self._loop, self._system = config, settings, loop, system
        self._tell, self._order = tell, order
        self._chance = Random(config.seed ^ 0xD5)
        self._pace = Pace()
        self._receivers = {one.task.name: one for one in settings.scheduled_tasks}
        self._tallies = {
            one.task.name: usage_report.Tally(one.task.period_ms, system.unix_ms())
            for one in settings.scheduled_tasks
            if one.task.kind == USE
        }
        self._tags = {zlib.crc32(name.encode()): name for name in self._tallies}
        self._plans = [plan.name for plan in config.settings.plans]
        self._duties = Duties(
            tuple(one.task for one in settings.scheduled_tasks), settings.terms.slots, self._chance
        )
        self.book: BudgetLedger | None = None  # and in budgets, where some are named
        self._matching = BudgetMatcher([one.rule for one in settings.budgets])
        self.member: Member | None = None  # this process's part in the leases
        self._runs: dict[str, asyncio.Task[None]] = {}  # by duty
        self._gathering: dict[
            str, tuple[int, usage_report.Gathering]
        ] = {}  # by duty: the period, and what came
        self._timer: asyncio.TimerHandle | None = None
        self._due_ms = math.inf
        self._guard: Any = None  # while it is held no other process of this machine has our number's vote
        self._guard_timer: asyncio.TimerHandle | None = None
        self._stepping = False
        system.takes_part(self)
        self.passed_on: Callable[[list[Any]], None] | None = None  # what is counted goes to another process
        self.turn_drained = False

    # -- start and end

    def open(self, state: dict[str, Any] | None = None) -> None:
        """Take part, from the state of the process before if there is one."""
        now = self._system.boottime()
        self.member = Member(
            self._settings.terms,
            self._config.settings.gateway_number,
            self._config.settings.gateway_count,
            self._system.life(),
            self._chance,
            now,
            self._system.unix_ms(),
            votes=False,
        )
        if self._settings.budgets:
            self.book = BudgetLedger(
                tuple(one.budget for one in self._settings.budgets),
                self._config.settings.gateway_number,
                self._config.settings.gateway_count,
                self._settings.terms,
                self._settings.grant_term_ms,
                self._chance,
                now,
            )
        if state is not None and self.book is not None:
            try:
                self.book.import_state(now, state.get("budgets", {}))
            except (ValueError, KeyError, TypeError) as problem:
                log.warning("budgets: what the process before left cannot be used: %s", problem)
        self._try_guard(first=True)
        if state is not None:
            try:
                self.member.inherit(now, state["leases"], votes=self._guard is not None)
                for name, rows in state["use"].items():
                    if name in self._tallies:
                        self._tallies[name].inherit(rows)
                for lease, held in self.member.holder.held.items():
                    self._duties.gained(now, lease, held.token)
                    if self.book is not None:
                        self.book.on_lease_acquired(now, lease, held.token)
                self.turn_drained = bool(state["drained"])
                log.info("duties: %d leases taken over from the process before", len(self.member.holder.held))
            except (ValueError, KeyError, TypeError) as problem:
                log.warning("duties: %s; this process begins anew", problem)
        self._step()

    def _try_guard(self, first: bool = False) -> None:
        """Two processes with one voter's number would each give its word, and each spend a budget's floor:
        one of them has to wait."""
        self._guard_timer = None
        member, votes = self.member, self._config.settings.gateway_number in self._settings.terms.voters
        if member is None or member.closed or not (votes or self.book):
            return
        self._guard = self._system.guard(self._config.peer_listen)
        if self._guard is None:
            if first:
                log.warning(
                    "duties: another process of this number %s; this one waits until it has ended",
                    "votes" if votes else "has the floors of its budgets",
                )
            self._guard_timer = self._loop.call_later(GUARD_S, self._try_guard)
            return
        member.vote(self._system.boottime())
        if self.book is not None:
            self.book.resume_guaranteed(self._system.boottime())
        if not first:
            self._step()

    def _drop_guard(self) -> None:
        if self._guard_timer is not None:
            self._guard_timer.cancel()
            self._guard_timer = None
        if self._guard is not None:
            self._guard.close()
            self._guard = None

    def leave(self) -> None:
        """The process will end: give back what is held, each lease when nothing of it runs. A turn is
        kept, for it is this gatekeeper that will be out."""
        self._duties.leave()
        if self.book is not None:
            self.book.stop_granting(set(range(self._settings.terms.slots)))
        self._step([Leaving()])

    def hand_over(self) -> dict[str, Any]:
        """What the next process goes on from; this one has no part any more."""
        assert self.member is not None
        state = {
            "leases": self.member.estate(),
            "drained": self.turn_drained,
            "use": {name: tally.estate() for name, tally in self._tallies.items()},
        }
        if self.book is not None:
            state["budgets"] = self.book.export_state(self._system.boottime())
        self.close()
        return state

    def close(self) -> None:
        """No part any more, from now on."""
        if self.member is not None:
            self.member.closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for run in self._runs.values():
            run.cancel()
        self._runs.clear()
        self._drop_guard()

    def resume(self) -> None:
        """The next process has died: begin anew. What was handed over ends by its time."""
        self.passed_on = None
        self._duties = Duties(
            tuple(one.task for one in self._settings.scheduled_tasks),
            self._settings.terms.slots,
            self._chance,
        )
        self.open()

    # -- in

    def heard(self, sender: int, data: bytes) -> None:
        """A datagram about leases has come."""
        self._step([Came(sender, data)])

    def count(self, plan: str, outcome: int, units: float) -> None:
        """A request has its final answer."""
        if self.passed_on is not None:
            self.passed_on([plan, outcome, units])
            return
        number = self._plans.index(plan) if plan in self._plans else 255
        for tally in self._tallies.values():
            tally.count(self._system.unix_ms(), number, outcome, units)

    def counted_elsewhere(self, value: Any) -> None:
        """The same, by the process before; raises ValueError or TypeError."""
        plan, outcome, units = value
        if outcome not in (usage_report.SERVED, usage_report.REFUSED, usage_report.FAILED):
            raise ValueError(f"{outcome!r} is no outcome")
        self.count(str(plan), outcome, float(units))

    def want_turn(self, wanted: bool) -> str:
        """Be out when it is our turn, or no longer; what is wrong with that, or nothing."""
        if not self._settings.terms.turns:
            return "there are no turns: fleet.turns in the operator's file is 0"
        self._step([WantTurn(wanted)])
        return ""

    # -- a step

    def _step(self, events: list[Event] | None = None) -> None:
        member, system = self.member, self._system
        if member is None or member.closed:
            return
        if self._stepping:  # carried out within a step: an order, an end
            self._loop.call_soon(self._step, events)
            return
        self._stepping = True
        try:
            now = system.boottime()
            if self.book is not None:
                member.holder.lent = self.book.slots_with_grants(now)
            if now - self._due_ms > STILL_MS:
                log.warning("duties: this process stood still for %.1f s", (now - self._due_ms) / 1000)
            todo: list[Event] | None = events or []
            while todo is not None:
                for action in member.handle(now, todo):
                    self._carry(now, action)
                gives: list[Event] = []
                if self.book is not None:
                    self._duties.kept = self.book.slots_with_grants(now)
                for act in self._duties.handle(now, system.unix_ms()):
                    if isinstance(act, plans.GiveBack):
                        gives.append(Give(act.slot))
                    else:
                        self._run_or_stop(act)
                todo = gives or None
            self._share(now)
        finally:
            self._stepping = False
        self._arm(now)

    def _arm(self, now: float) -> None:
        assert self.member is not None
        self._due_ms = min(self.member.due_ms, self._duties.next_ms())
        if self.book is not None:
            self._due_ms = min(self._due_ms, self.book.next_timer_ms())
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        if self._due_ms < math.inf:
            delay_ms = math.ceil(min(60_000.0, max(1.0, self._due_ms - now)))
            self._timer = self._loop.call_later(delay_ms / 1000, self._step)

    def _say(self, now: float, tell: Tell, leases: bool = False) -> None:
        if self._pace.allows(now, tell.receiver, leases):
            self._tell(tell.receiver, tell.data)

    def _carry(self, now: float, action: Any) -> None:  # noqa: C901  (to be split by concern)
        terms = self._settings.terms
        match action:
            case Tell():
                self._say(now, action, leases=True)
            case Note():
                self._note(now, action)
            case Say():
                (log.warning if action.warning else log.info)(action.text)
            case Gained():
                if action.lease >= terms.slots:
                    self._out(action.token)
                    return
                names = [name for name, work in self._duties.work.items() if work.slot == action.lease]
                log.info(
                    "duties: slot %d is ours, token %x: %s",
                    action.lease,
                    action.token,
                    ", ".join(names[:8]) or "no duty",
                )
                self._duties.gained(now, action.lease, action.token)
                if self.book is not None:
                    self.book.on_lease_acquired(now, action.lease, action.token)
            case Lost():
                log.info(
                    "duties: slot %d is no longer ours, token %x: %s", action.lease, action.token, action.why
                )
                if action.lease >= terms.slots:
                    self._back(action.why)
                else:
                    if self.book is not None:
                        self.book.on_lease_lost(action.lease)
                    self._duties.lost(now, action.lease, action.why)
            case Yield():
                if action.lease < terms.slots:
                    self._duties.yields(action.lease)
                    if self.book is not None:
                        self.book.stop_granting({action.lease})
            case Refused():
                log.debug("duties: slot %d was not to be had: %s", action.lease, action.why)

    # -- budgets

    def change(self, settings: FleetSettings) -> None:
        """The operator's file was read anew: wholes and bursts of budgets change in service, what else is
        another takes effect at the next start. That is said."""
        old, new = self._settings, tuple(one.budget for one in settings.budgets)
        if (
            settings.terms,
            settings.scheduled_tasks,
            settings.grant_term_ms,
            [one.rule for one in settings.budgets],
        ) != (
            old.terms,
            old.scheduled_tasks,
            old.grant_term_ms,
            [one.rule for one in old.budgets],
        ):
            log.warning(
                "duties: what else than wholes and bursts of budgets has changed in the operator's "
                "file takes effect at the next start"
            )
        elif self.book is not None and new != tuple(one.budget for one in old.budgets):
            self.book.set_limits(self._system.boottime(), new)
            self._settings = settings
            log.info(
                "duties: budgets have other figures: %s",
                ", ".join(
                    f"{one.name} whole {one.limit:g}, burst {one.burst:g}"
                    for one in new
                    if one not in {row.budget for row in old.budgets}
                )[:500],
            )
            self._step()

    def admits(self, arrival: RequestReceived) -> bool:
        """Whether a request may go on by the budgets that are for it; it has spent of them, then."""
        wanted = self._matching.charges_for(
            arrival.class_name, arrival.plan_name, arrival.customer, arrival.units
        )
        return not wanted or self.spends(wanted)

    def spends(self, wanted: list[tuple[str, float]]) -> bool:
        """The same, for so many units of each of these budgets."""
        book = self.book
        if book is None:  # Danger: clients come before the part in the fleet's work is opened
            return False
        met = book.try_spend(self._system.boottime(), wanted)
        if book.next_timer_ms() < self._due_ms and self.member is not None and not self.member.closed:
            self._due_ms = book.next_timer_ms()
            self._loop.call_soon(self._step)
        return met

    def _share(self, now: float) -> None:
        """What is to be asked and said of budgets."""
        book, member = self.book, self.member
        if book is None or member is None or member.closed:
            return
        book.on_timer(now)
        while book.outbox:
            notes, book.outbox = book.outbox, []
            for number, data in notes:
                if number == self._config.settings.gateway_number:
                    book.on_message(
                        now, number, member.life, data, member.life, self._holder_of, self._end_of
                    )
                else:
                    self._say(now, member.note(now, number, data))
        for line in book.warnings:
            log.warning("duties: %s", line)
        book.warnings.clear()

    def _holder_of(self, slot: int) -> int | None:
        """Who has a slot, where we vote on it."""
        member = self.member
        grant = (
            None
            if member is None or member.voter is None
            else (member.voter.holder(self._system.boottime(), slot))
        )
        return None if grant is None else grant.owner[0]

    def _end_of(self, slot: int) -> float:
        """When our lease on a slot ends, by our clock."""
        held = None if self.member is None else self.member.holder.held.get(slot)
        return -math.inf if held is None else held.asked_ms + self._settings.terms.term_ms

    # -- turns for planned restarts

    def _out(self, token: int) -> None:
        log.info("duties: it is our turn to be out, token %x", token)
        self.turn_drained = True
        wrong = self._order("DRAIN")
        if wrong:
            log.warning("duties: DRAIN: %s", wrong)

    def _back(self, why: str) -> None:
        if not self.turn_drained:
            return
        self.turn_drained = False
        if why != "given back":
            log.warning("duties: our turn has ended (%s): clients are taken again", why)
        wrong = self._order("UNDRAIN")
        if wrong:
            log.warning("duties: UNDRAIN: %s", wrong)

    # -- runs

    def may(self, slot: int, token: int) -> bool:
        """Whether work under this token may go on, by the clock as it is now."""
        member = self.member
        if member is None or member.closed:
            return False
        held, now = member.holder.held.get(slot), self._system.boottime()
        return held is not None and held.token == token and now < member.holder.stop_ms(slot)

    def _run_or_stop(self, act: Any) -> None:
        name = act.duty.name
        if isinstance(act, plans.Start):
            self._runs[name] = self._loop.create_task(self._run(self._receivers[name], act))
        elif isinstance(act, plans.Stop):
            log.warning("duties: %s, period %d: stopped, %s", name, act.period, act.why)
            run = self._runs.pop(name, None)
            if run is not None:
                run.cancel()
        else:
            log.warning("duties: %s, period %d: no run of ours (%s)", name, act.period, act.why)

    async def _run(self, settings: ScheduledTaskSettings, start: plans.Start) -> None:
        """One run; whatever becomes of it is told to the decisions."""
        name, wrong = settings.task.name, ""
        outdone: int | None = None
        try:
            body = await self._gather(settings, start) if settings.task.kind == USE else {}
            await fenced_effects.send(
                settings.receiver,
                name,
                start.period,
                start.token,
                {"duty": name, "period": start.period, "gatekeeper": self._config.name, **body},
                lambda: self.may(start.slot, start.token),
            )
        except fenced_effects.Outdone as problem:
            outdone, wrong = problem.token, str(problem)
        except fenced_effects.Failed as problem:
            wrong = str(problem)
        except fenced_effects.Ended:
            wrong = "its lease had ended before the effect was written"
        except Exception as problem:  # a run that raises must end neither the others nor the leases
            wrong = f"{type(problem).__name__}: {problem}"
            log.exception("duties: %s, period %d raised", name, start.period)
        finally:
            self._gathering.pop(name, None)
        if self._runs.get(name) is not asyncio.current_task():
            return  # it was stopped, or another run has begun since
        del self._runs[name]
        if wrong:
            log.warning("duties: %s, period %d: %s", name, start.period, wrong)
        else:
            log.debug("duties: %s, period %d: done, token %x", name, start.period, start.token)
        self._duties.ended(self._system.boottime(), name, start.period, wrong)
        self._step([Outdone(start.slot, outdone)] if outdone is not None else [])

    # -- the fleet's use

    async def _gather(self, settings: ScheduledTaskSettings, start: plans.Start) -> dict[str, Any]:
        """What all gatekeepers did in the period, and what is not known."""
        name, period, member = settings.task.name, start.period, self.member
        assert member is not None
        gathering = usage_report.Gathering(self._config.settings.gateway_count, self._system.boottime())
        self._gathering[name] = period, gathering
        tag = zlib.crc32(name.encode())
        while not gathering.over(now := self._system.boottime()):
            for number in gathering.due(now):
                if number == self._config.settings.gateway_number:
                    for data in self._told(name, tag, period):
                        said = usage_report.read(data)
                        assert said is not None
                        gathering.heard(number, said)
                else:
                    self._say(now, member.note(now, number, usage_report.asking(tag, period)))
            await asyncio.sleep(GATHER_S)
        sums, gaps = gathering.result(settings.task.period_ms)
        span_ms = settings.task.period_ms
        return {
            "from_ms": period * span_ms,
            "until_ms": (period + 1) * span_ms,
            "plans": [
                {
                    "plan": self._plans[plan] if plan < len(self._plans) else "other",
                    "served": int(row[0]),
                    "refused": int(row[1]),
                    "failed": int(row[2]),
                    "units": row[3],
                }
                for plan, row in sorted(sums.items())
            ],
            "gaps": [
                {"gatekeeper": number, "from_ms": begin, "until_ms": end} for number, begin, end in gaps
            ],
        }

    def _told(self, name: str, tag: int, period: int) -> list[bytes]:
        return usage_report.telling(tag, period, *self._tallies[name].told(self._system.unix_ms(), period))

    def _note(self, now: float, note: Note) -> None:
        if note.data[:1] in SHARES:
            if self.book is not None and self.member is not None:
                self.book.on_message(
                    now, note.sender, note.life, note.data, self.member.life, self._holder_of, self._end_of
                )
            return
        said, member = usage_report.read(note.data), self.member
        name = self._tags.get(said.tag) if said is not None else None
        if said is None or name is None or member is None:
            return
        if said.kind == usage_report.ASK:
            for data in self._told(name, said.tag, said.period):
                self._say(now, member.note(now, note.sender, data))
            return
        period, gathering = self._gathering.get(name, (-1, None))
        if gathering is not None and period == said.period:
            gathering.heard(note.sender, said)

    # -- staff

    def budgets(self, argument: str) -> tuple[bool, str]:
        """The answer to BUDGETS [PAGE]: one line of JSON."""
        book, page = self.book, int(argument) if argument.isdigit() else 0
        if book is None or self.member is None or self.member.closed:
            return True, "no budgets are named here" if book is None else "another process has the budgets"
        rows = book.status(self._system.boottime())
        return False, json.dumps(
            {
                "gatekeeper": self._config.name,
                "pages": max(1, math.ceil(len(rows) / PAGE)),
                "budgets": [
                    {
                        "name": row.name,
                        "whole": row.limit,
                        "floor": round(row.guaranteed, 6),
                        "lent": round(row.granted, 6),
                        "until_ms": row.expires_in_ms and round(row.expires_in_ms),
                        "left": round(row.available, 3),
                        "demand": round(row.demand, 3),
                        "unmet": row.rejected,
                        "divider": row.allocator,
                        "token": f"{row.fencing_token:x}",
                        "out": None if row.granted_to_all is None else round(row.granted_to_all, 6),
                    }
                    for row in rows[page * PAGE : (page + 1) * PAGE]
                ],
            },
            separators=(",", ":"),
        )

    def status(self, argument: str) -> tuple[bool, str]:
        """The answer to DUTIES [PAGE]: one line of JSON."""
        member = self.member
        if member is None or member.closed:
            return True, "another process has the duties"
        page = int(argument) if argument.isdigit() else 0
        now, terms, holder = self._system.boottime(), self._settings.terms, member.holder
        names = sorted(self._duties.work)
        rows = []
        for name in names[page * PAGE : (page + 1) * PAGE]:
            work = self._duties.work[name]
            last = work.last
            rows.append(
                [
                    name,
                    work.slot,
                    work.running,
                    None if last is None else [last.period, round(last.took_ms, 1), last.what[:60]],
                ]
            )
        leases = []
        for lease in range(terms.leases if not page else 0):
            held = holder.held.get(lease)
            if held is not None:
                leases.append(
                    [
                        lease,
                        self._config.settings.gateway_number,
                        f"{held.token:x}",
                        round(now - held.since_ms),
                        round(holder.stop_ms(lease) - now),
                        "",
                    ]
                )
                continue
            grant = member.voter.holder(now, lease) if member.voter is not None else None
            if grant is not None:
                leases.append(
                    [lease, grant.owner[0], f"{grant.token:x}", None, round(grant.until_ms - now), ""]
                )
            else:
                why = member.refusals.get(lease, "")
                if member.voter is not None and now < member.voter.silent_until_ms:
                    why = "this voter is silent after its start"
                leases.append([lease, None, "", None, None, why])
        return False, json.dumps(
            {
                "gatekeeper": self._config.name,
                "voters": list(terms.voters),
                "votes": member.voter is not None,
                "slots": terms.slots,
                "pages": max(1, math.ceil(len(names) / PAGE)),
                "leases": leases,
                "duties": rows,
            },
            separators=(",", ":"),
        )
