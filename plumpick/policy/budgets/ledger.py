"""All budgets at one gateway: what it may spend, what it reports, and what it allocates. No I/O, no clock.

It stands beside the scheduled tasks: a budget belongs to a lease slot by its name, and the gateway that
holds the slot's lease allocates it. A gateway with demand beyond its guaranteed limits reports that to the
allocator. The caller tells when leases are acquired and lost, delivers messages, calls `on_timer` at
`next_timer_ms`, and sends what is in `outbox`. While no allocator is reachable, guaranteed limits serve.

Guards against: an allocator that has gone (allocator_directory.py); a grant for an earlier incarnation; an
allocator whose lease has ended (`on_lease_lost` must be called before later messages are delivered); two
processes of one gateway number, each with its guaranteed limits (`resume_guaranteed` is called only when the
other has ended); gateways with different limits (limits_agreement.py)."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import Any

from plumpick.policy.budgets.allocator_directory import AllocatorDirectory
from plumpick.policy.budgets.budget import Budget
from plumpick.policy.budgets.codec import (
    decode,
    encode_allocator_hint,
    encode_demand_reports,
    encode_grants,
    encode_limits,
)
from plumpick.policy.budgets.errors import BudgetMismatchError
from plumpick.policy.budgets.grant import PendingRequests
from plumpick.policy.budgets.limits_agreement import LimitsAgreement
from plumpick.policy.budgets.local_budget import DEMAND_MEMORY_TERMS, BudgetStatus, LocalBudget
from plumpick.policy.budgets.messages import (
    AllocatorHint,
    DemandReport,
    GrantMessage,
    GrantRow,
    LimitsMessage,
)
from plumpick.policy.budgets.rate_limiter import LocalRateLimiter
from plumpick.policy.budgets.report_schedule import ReportSchedule
from plumpick.policy.budgets.slot_allocations import SlotAllocations
from plumpick.policy.leases.terms import LeaseTerms
from plumpick.policy.scheduled_tasks import slot_of

REJECTION_LOG_TERMS = 10.0  # grant terms between two log lines on one budget's rejections


class BudgetLedger:
    """Owns one record for each configured budget, and an index of those with demand beyond their guaranteed
    limit, each until there has been none for `DEMAND_MEMORY_TERMS`."""

    def __init__(
        self,
        budgets: tuple[Budget, ...],
        number: int,
        gateways: int,
        terms: LeaseTerms,
        grant_term_ms: float,
        rng: Random,
        now_ms: float,
    ) -> None:
        self.number = number
        self.gateways = gateways
        self.terms = terms
        self.grant_term_ms = grant_term_ms
        self.budgets = {
            budget.name: LocalBudget(
                index,
                slot_of(budget.name, terms.slots),
                budget,
                LocalRateLimiter(budget, number, gateways, now_ms, grant_term_ms, terms.drift_ratio),
                PendingRequests(),
            )
            for index, budget in enumerate(budgets)
        }
        self._by_index = list(self.budgets.values())
        self._by_slot: dict[int, list[LocalBudget]] = {}
        for budget in self._by_index:
            self._by_slot.setdefault(budget.slot, []).append(budget)
            # Until it is known that no other process has this gateway's number.
            budget.limiter.suspend_guaranteed(now_ms)
        self._is_guaranteed_resumed = False
        self._with_excess_demand: dict[str, None] = {}
        self._schedule = ReportSchedule(gateways, grant_term_ms, rng)
        self._directory = AllocatorDirectory(number, gateways, terms, rng)
        self._allocations = SlotAllocations(gateways, terms, grant_term_ms)
        self.allocators = self._allocations.allocators
        self._limits = LimitsAgreement(number, grant_term_ms, self.allocators)
        self.outbox: list[tuple[int, bytes]] = []  # receiver and payload
        self.warnings = self._limits.warnings  # lines for the log
        self._rejections_logged_ms: dict[str, float] = {}

    # -- spending

    def try_spend(self, now_ms: float, charges: list[tuple[str, float]]) -> bool:
        """Charge a request to these budgets, so many units each; False, and nothing spent, where one of them
        has too few. `now_ms` is read from a clock that goes on through a stall, at the moment of spending."""
        if len(charges) == 1:  # most requests: the bucket is looked at once
            ((name, units),) = charges
            budget = self.budgets[name]
            is_met = budget.limiter.try_spend(now_ms, units)
            self._record_outcome(now_ms, budget, is_met)
            return is_met
        charged = [(self.budgets[name], units) for name, units in charges]
        is_met = all(budget.limiter.available(now_ms) >= units for budget, units in charged)
        for budget, units in charged:
            if is_met:
                budget.limiter.try_spend(now_ms, units)
            else:
                budget.limiter.record_demand(units)
            self._record_outcome(now_ms, budget, is_met)
        return is_met

    def resume_guaranteed(self, now_ms: float) -> None:
        """No other process has this gateway's number from now on: the guaranteed limits may be spent."""
        if self._is_guaranteed_resumed:
            return
        self._is_guaranteed_resumed = True
        for budget in self._by_index:
            budget.limiter.resume_guaranteed(now_ms)

    def set_limits(self, now_ms: float, budgets: tuple[Budget, ...]) -> None:
        """Use the limits and bursts of these budgets from now on; what is granted by the limits before stays
        until its end. Raises BudgetMismatchError where anything else differs; then nothing has changed."""
        configured = [budget.configured for budget in self._by_index]
        if [(one.name, one.kind, one.guaranteed_ratio) for one in budgets] != [
            (one.name, one.kind, one.guaranteed_ratio) for one in configured
        ]:
            raise BudgetMismatchError("budgets: other names or floors take effect at the next start of all")
        for new, budget in zip(budgets, self._by_index, strict=True):
            if new == budget.configured:
                continue
            self._limits.configure(now_ms, budget, new)
            if new.name in self._with_excess_demand:
                self._schedule.report_early(now_ms)

    def _record_outcome(self, now_ms: float, budget: LocalBudget, is_met: bool) -> None:
        if not is_met:
            budget.rejected += 1
            self._schedule.report_early(now_ms)  # something may have become available to grant
        if budget.limiter.has_excess_demand(now_ms):
            if now_ms - budget.excess_demand_ms > DEMAND_MEMORY_TERMS * self.grant_term_ms:
                self._schedule.on_demand_began(now_ms)
            budget.excess_demand_ms = now_ms
            budget.first_excess_demand_ms = min(budget.first_excess_demand_ms, now_ms)
            self._with_excess_demand[budget.configured.name] = None

    # -- leases

    def on_lease_acquired(self, now_ms: float, slot: int, fencing_token: int) -> None:
        """This gateway holds the slot's lease and allocates its budgets."""
        self._directory.record_acquired(slot)
        self._allocations.start(now_ms, slot, fencing_token, self._by_slot.get(slot, ()))

    def on_lease_lost(self, slot: int) -> None:
        """This gateway allocates nothing of the slot any more."""
        self._directory.record_lost(slot)
        self._allocations.remove(self._by_slot.get(slot, ()))

    def stop_granting(self, slots: set[int]) -> None:
        """The leases of these slots are to be given back once `slots_with_grants` has none of them."""
        self._allocations.stop(slots)

    def slots_with_grants(self, now_ms: float) -> frozenset[int]:
        """Slots whose leases may not be given back yet, as a grant relies on them."""
        return self._allocations.slots_with_grants(now_ms)

    # -- messages

    def on_message(
        self,
        now_ms: float,
        sender: int,
        incarnation: int,
        data: bytes,
        own_incarnation: int,
        lease_holder_of: Callable[[int], int | None],
        lease_end_of: Callable[[int], float] = lambda _slot: math.inf,
    ) -> None:
        """A payload came from that incarnation of the sender; one that cannot be decoded is dropped.
        `lease_holder_of` tells, at an acceptor, who holds a slot's lease; `lease_end_of`, at its holder, when
        it ends by the own clock."""
        message = decode(data)
        if isinstance(message, AllocatorHint):
            if self._directory.accept_hint(message):
                self._schedule.report_at_once(now_ms)
        elif isinstance(message, GrantMessage):
            if message.incarnation == own_incarnation:
                self._on_grants(now_ms, sender, message)
        elif isinstance(message, LimitsMessage):
            self._on_limits(now_ms, sender, message)
        elif message is not None:
            self._on_demand_reports(now_ms, sender, incarnation, message, lease_holder_of, lease_end_of)

    def _on_grants(self, now_ms: float, sender: int, message: GrantMessage) -> None:
        for row in message.rows:
            if row.budget_index >= len(self._by_index):
                continue
            budget = self._by_index[row.budget_index]
            limiter = budget.limiter
            previous_burst = limiter.granted.capacity
            sent_ms = budget.requests.sent_ms(row.grant.request_id)
            if not limiter.accept_grant(now_ms, row.grant, sent_ms):
                continue
            self._directory.record_answer(budget.slot, sender)
            query = self._limits.on_grant(now_ms, budget, row.fingerprint)
            if query is not None:
                self.outbox.append((sender, encode_limits(query)))
            if row.grant.burst < previous_burst / 2:
                # The larger burst counts as granted until the allocator knows that this one has come.
                self._schedule.report_early(now_ms)

    def _on_limits(self, now_ms: float, sender: int, message: LimitsMessage) -> None:
        if message.budget_index >= len(self._by_index):
            return
        budget = self._by_index[message.budget_index]
        if message.is_query:
            answer = self._limits.on_query(now_ms, sender, budget, message)
            if answer is not None:
                self.outbox.append((sender, encode_limits(answer)))
        elif self._directory.allocator_of(budget.slot) == sender:
            self._limits.on_limits(now_ms, sender, budget, message)

    def _on_demand_reports(
        self,
        now_ms: float,
        sender: int,
        incarnation: int,
        reports: list[DemandReport],
        lease_holder_of: Callable[[int], int | None],
        lease_end_of: Callable[[int], float],
    ) -> None:
        """Grant what is allocated here, and name the owner of the other slots."""
        rows_by_token: dict[int, list[GrantRow]] = {}
        other_slots: set[int] = set()
        for report in reports:
            if report.budget_index >= len(self._by_index):
                continue
            budget = self._by_index[report.budget_index]
            allocator = self.allocators.get(budget.configured.name)
            if allocator is None:
                other_slots.add(budget.slot)
                continue
            if budget.slot in self._allocations.stopped_slots:
                continue
            self._limits.on_report(now_ms, sender, budget, report.fingerprint)
            grant = self._allocations.grant(now_ms, sender, incarnation, budget, report, lease_end_of)
            if grant is not None:
                row = GrantRow(report.budget_index, grant, allocator.budget.fingerprint)
                rows_by_token.setdefault(allocator.fencing_token, []).append(row)
        for fencing_token, rows in rows_by_token.items():
            for note in encode_grants(incarnation, fencing_token, rows):
                self.outbox.append((sender, note))
        for slot in sorted(other_slots):
            holder = lease_holder_of(slot)
            if holder is not None and holder != sender:
                self.outbox.append((sender, encode_allocator_hint(AllocatorHint(slot, holder))))

    # -- time

    def on_timer(self, now_ms: float) -> None:
        """Report demand if that is due; forget grants that have ended."""
        self._allocations.forget_ended(now_ms)
        if now_ms < self._schedule.next_ms:
            return
        self._schedule.begin_reports(now_ms)
        reports: dict[int, list[DemandReport]] = {}  # by receiver
        targets: dict[int, int] = {}  # by slot
        for name in list(self._with_excess_demand):
            budget = self.budgets[name]
            if now_ms - budget.excess_demand_ms > DEMAND_MEMORY_TERMS * self.grant_term_ms:
                del self._with_excess_demand[name]
                continue
            if budget.slot not in targets:
                targets[budget.slot] = self._directory.next_target(budget.slot)
            reports.setdefault(targets[budget.slot], []).append(_report_of(now_ms, budget))
            self._log_rejections(now_ms, budget)
        for receiver, rows in reports.items():
            for note in encode_demand_reports(rows):
                self.outbox.append((receiver, note))
        if reports:
            self._schedule.schedule_next(now_ms)

    def next_timer_ms(self) -> float:
        """When `on_timer` has something to do, or a lease can be given back."""
        if not self._allocations.stopped_slots:
            return self._schedule.next_ms
        return min(self._schedule.next_ms, self._allocations.next_release_ms(self._directory.is_own))

    def _log_rejections(self, now_ms: float, budget: LocalBudget) -> None:
        """Add a warning for requests that were rejected, once in a while; none for those of the first grant
        term, as every start begins with nothing."""
        name = budget.configured.name
        logged_ms = self._rejections_logged_ms.get(name, -math.inf)
        if not budget.rejected or now_ms - logged_ms <= REJECTION_LOG_TERMS * self.grant_term_ms:
            return
        if now_ms - budget.first_excess_demand_ms <= self.grant_term_ms:
            return
        self._rejections_logged_ms[name] = now_ms
        self.warnings.append(
            f"budget {name}: {budget.rejected} requests turned back, nothing left of a "
            f"share of {budget.limiter.granted_amount(now_ms):.6g} and a floor of "
            f"{budget.limiter.guaranteed.rate_per_s:.6g} a second"
        )
        budget.rejected = 0

    # -- operators

    def status(self, now_ms: float) -> list[BudgetStatus]:
        """All budgets, by name."""
        return [self._status_of(now_ms, self.budgets[name]) for name in sorted(self.budgets)]

    def _status_of(self, now_ms: float, budget: LocalBudget) -> BudgetStatus:
        limiter = budget.limiter
        allocator = self.allocators.get(budget.configured.name)
        expires_in_ms = limiter.granted.expires_ms - now_ms
        return BudgetStatus(
            budget.configured.name,
            limiter.budget.limit,
            limiter.guaranteed.rate_per_s,
            limiter.granted_amount(now_ms),
            expires_in_ms if expires_in_ms > 0 else None,
            limiter.available(now_ms),
            limiter.excess_demand(now_ms),
            budget.rejected,
            self._directory.allocator_of(budget.slot),
            limiter.fencing_token if allocator is None else allocator.fencing_token,
            None if allocator is None else allocator.granted_amount(now_ms),
        )

    # -- hot restart

    def export_state(self, now_ms: float) -> dict[str, Any]:
        """What the next process goes on from. Here nothing is left to spend, and nothing is allocated any
        more; the next process allocates only when the grants made here have ended."""
        self.allocators.clear()
        self._is_guaranteed_resumed = True  # so that the guaranteed limits are not resumed here any more
        self._schedule.stop()
        return {
            "lent": [[slot, end_ms] for slot, end_ms in self._allocations.grants_end_ms.items()],
            "holders": {
                name: {
                    "digest": self.terms.digest,
                    "share_ms": self.grant_term_ms,
                    "token": f"{budget.limiter.fencing_token:x}",
                    "askings": budget.requests.export_state(),
                    "holder": budget.limiter.export_state(now_ms),
                }
                for name, budget in self.budgets.items()
            },
        }

    def import_state(self, now_ms: float, state: dict[str, Any]) -> None:
        """Go on from that. Raises InvalidSnapshotError, ValueError, TypeError or KeyError where a part cannot
        be used: grants then end by their time, and the guaranteed limits begin empty."""
        for slot, end_ms in state["lent"]:
            self._allocations.grants_end_ms[int(slot)] = min(float(end_ms), now_ms + self.terms.term_ms)
        for name, row in state["holders"].items():
            budget = self.budgets.get(name)
            if budget is None or row["digest"] != self.terms.digest:
                continue
            if row["share_ms"] != self.grant_term_ms:
                continue
            budget.limiter.import_state(now_ms, list(row["holder"]), int(row["token"], 16))
            budget.requests.import_state([list(sent) for sent in row["askings"]])


def _report_of(now_ms: float, budget: LocalBudget) -> DemandReport:
    """A new request for a grant of that budget."""
    limiter = budget.limiter
    return DemandReport(
        budget.index,
        budget.requests.open(now_ms),
        limiter.excess_demand(now_ms),
        limiter.granted_amount(now_ms),
        limiter.last_grant_id,
        limiter.largest_request,
        budget.configured.fingerprint,
    )
