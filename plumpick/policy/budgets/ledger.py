"""All budgets at one gateway: spending, demand reports and allocation. No I/O, no clock.

Budgets use the same lease slots as scheduled tasks: the name of a budget determines its slot, and the gateway
that holds the slot's lease allocates the budget. A gateway with demand beyond its guaranteed limits reports
it to the allocator. The caller reports acquired and lost leases, delivers messages, calls `on_timer` at
`next_timer_ms`, and sends the messages in `outbox`. While no allocator is reachable, only the guaranteed
limits can be spent.

Failures that are handled:
- an allocator that is down or unreachable (allocator_directory.py);
- a grant for an earlier incarnation of this gateway: it is rejected;
- an allocator whose lease has ended: `on_lease_lost` must be called before later messages are delivered;
- two processes with the same gateway number, each with guaranteed limits: `resume_guaranteed` must be called
  only when the other process has ended;
- gateways with different limits (limits_agreement.py)."""

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

# Minimum time between two log lines about rejected requests of one budget, in grant terms.
REJECTION_LOG_TERMS = 10.0


class BudgetLedger:
    """The state of all budgets at one gateway: one record for each configured budget, and an index of the
    budgets with demand beyond their guaranteed limit. A budget leaves the index after `DEMAND_MEMORY_TERMS`
    without such demand."""

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
            # Another process may run with this gateway's number until `resume_guaranteed` is called.
            budget.limiter.suspend_guaranteed(now_ms)
        self._is_guaranteed_resumed = False
        self._with_excess_demand: dict[str, None] = {}
        self._schedule = ReportSchedule(gateways, grant_term_ms, rng)
        self._directory = AllocatorDirectory(number, gateways, terms, rng)
        self._allocations = SlotAllocations(gateways, terms, grant_term_ms)
        self.allocators = self._allocations.allocators
        self._limits = LimitsAgreement(number, grant_term_ms, self.allocators)
        self.outbox: list[tuple[int, bytes]] = []  # receivers and payloads of messages to send
        self.warnings = self._limits.warnings  # lines that the caller writes to the log and removes
        self._rejections_logged_ms: dict[str, float] = {}

    # -- spending of units

    def try_spend(self, now_ms: float, charges: list[tuple[str, float]]) -> bool:
        """Charge a request to budgets, given as pairs of name and units. Return whether all of them have
        enough units; if not, nothing is spent. `now_ms` must be read at the moment of spending, from a clock
        that keeps running while the process is stalled."""
        # A charge to a single budget is the most frequent case; it reads the bucket only once.
        if len(charges) == 1:
            ((name, units),) = charges
            budget = self.budgets[name]
            has_enough = budget.limiter.try_spend(now_ms, units)
            self._record_outcome(now_ms, budget, has_enough)
            return has_enough
        charged = [(self.budgets[name], units) for name, units in charges]
        has_enough = all(budget.limiter.available(now_ms) >= units for budget, units in charged)
        for budget, units in charged:
            if has_enough:
                budget.limiter.try_spend(now_ms, units)
            else:
                budget.limiter.record_demand(units)
            self._record_outcome(now_ms, budget, has_enough)
        return has_enough

    def resume_guaranteed(self, now_ms: float) -> None:
        """Allow spending of the guaranteed limits. The caller ensures that no other process runs with this
        gateway's number from now on."""
        if self._is_guaranteed_resumed:
            return
        self._is_guaranteed_resumed = True
        for budget in self._by_index:
            budget.limiter.resume_guaranteed(now_ms)

    def set_limits(self, now_ms: float, budgets: tuple[Budget, ...]) -> None:
        """Apply the limits and bursts of `budgets`; grants under the previous limits remain valid until they
        expire. Raises BudgetMismatchError if any other setting differs, and then changes nothing."""
        configured = [budget.configured for budget in self._by_index]
        if [(one.name, one.kind, one.guaranteed_ratio) for one in budgets] != [
            (one.name, one.kind, one.guaranteed_ratio) for one in configured
        ]:
            raise BudgetMismatchError(
                "budgets: changed names, kinds or floors take effect at the next start of all gatekeepers"
            )
        for new, budget in zip(budgets, self._by_index, strict=True):
            if new == budget.configured:
                continue
            self._limits.configure(now_ms, budget, new)
            if new.name in self._with_excess_demand:
                self._schedule.report_early(now_ms)

    def _record_outcome(self, now_ms: float, budget: LocalBudget, has_enough: bool) -> None:
        if not has_enough:
            budget.rejected += 1
            # Ask for a new grant: the allocator may be able to grant more by now.
            self._schedule.report_early(now_ms)
        if budget.limiter.has_excess_demand(now_ms):
            if now_ms - budget.excess_demand_ms > DEMAND_MEMORY_TERMS * self.grant_term_ms:
                self._schedule.on_demand_began(now_ms)
            budget.excess_demand_ms = now_ms
            budget.first_excess_demand_ms = min(budget.first_excess_demand_ms, now_ms)
            self._with_excess_demand[budget.configured.name] = None

    # -- leases of slots

    def on_lease_acquired(self, now_ms: float, slot: int, fencing_token: int) -> None:
        """Start allocating the budgets of a slot, whose lease this gateway has acquired under
        `fencing_token`."""
        self._directory.record_acquired(slot)
        self._allocations.start(now_ms, slot, fencing_token, self._by_slot.get(slot, ()))

    def on_lease_lost(self, slot: int) -> None:
        """Stop allocating the budgets of a slot, whose lease this gateway no longer holds."""
        self._directory.record_lost(slot)
        self._allocations.remove(self._by_slot.get(slot, ()))

    def stop_granting(self, slots: set[int]) -> None:
        """Make no more grants for the budgets of these slots, whose leases are to be released. Each lease may
        be released once `slots_with_grants` no longer contains its slot."""
        self._allocations.stop(slots)

    def slots_with_grants(self, now_ms: float) -> frozenset[int]:
        """Slots whose leases must not be released yet, because grants made under them are outstanding."""
        return self._allocations.slots_with_grants(now_ms)

    # -- messages of other gateways

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
        """Handle a payload from `incarnation` of gateway `sender`; a malformed one is dropped.
        `lease_holder_of` returns the holder of a slot's lease if this gateway is an acceptor and knows it,
        otherwise None. `lease_end_of` returns the end of a slot's lease by this gateway's clock if it holds
        that lease."""
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
                # The allocator counts the earlier, larger burst as granted until a report confirms the new
                # grant.
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
        """Answer reports on budgets that are allocated here with grants, and others with hints to the
        allocator."""
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
            for payload in encode_grants(incarnation, fencing_token, rows):
                self.outbox.append((sender, payload))
        for slot in sorted(other_slots):
            holder = lease_holder_of(slot)
            if holder is not None and holder != sender:
                self.outbox.append((sender, encode_allocator_hint(AllocatorHint(slot, holder))))

    # -- timer for demand reports and grants

    def on_timer(self, now_ms: float) -> None:
        """Drop the records of expired grants, and send demand reports if they are due."""
        self._allocations.forget_ended(now_ms)
        if now_ms < self._schedule.next_ms:
            return
        self._schedule.begin_reports(now_ms)
        reports: dict[int, list[DemandReport]] = {}  # demand reports to send, by receiving gateway
        targets: dict[int, int] = {}  # receiver of the demand reports, by slot
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
            for payload in encode_demand_reports(rows):
                self.outbox.append((receiver, payload))
        if reports:
            self._schedule.schedule_next(now_ms)

    def next_timer_ms(self) -> float:
        """Time of the next demand reports, or of the next release of a lease if that is earlier."""
        if not self._allocations.stopped_slots:
            return self._schedule.next_ms
        return min(self._schedule.next_ms, self._allocations.next_release_ms(self._directory.is_own))

    def _log_rejections(self, now_ms: float, budget: LocalBudget) -> None:
        """Add a warning about rejected requests, at most once in `REJECTION_LOG_TERMS`. Rejections in the
        first grant term are not logged, because every gateway starts without a grant."""
        name = budget.configured.name
        logged_ms = self._rejections_logged_ms.get(name, -math.inf)
        if not budget.rejected or now_ms - logged_ms <= REJECTION_LOG_TERMS * self.grant_term_ms:
            return
        if now_ms - budget.first_excess_demand_ms <= self.grant_term_ms:
            return
        self._rejections_logged_ms[name] = now_ms
        self.warnings.append(
            f"budget {name}: {budget.rejected} requests rejected, because a grant of "
            f"{budget.limiter.granted_amount(now_ms):.6g} and a floor of "
            f"{budget.limiter.guaranteed.rate_per_s:.6g} units per second are used up"
        )
        budget.rejected = 0

    # -- status for operators

    def status(self, now_ms: float) -> list[BudgetStatus]:
        """Status of all budgets, sorted by name."""
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

    # -- state for a hot restart

    def export_state(self, now_ms: float) -> dict[str, Any]:
        """Return the state for the next process of a hot restart. Afterwards this ledger neither spends nor
        allocates. The next process allocates only after the grants made by this one have expired."""
        self.allocators.clear()
        self._is_guaranteed_resumed = True  # makes later calls of `resume_guaranteed` ineffective
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
        """Continue from a state of `export_state`. Raises InvalidSnapshotError, ValueError, TypeError or
        KeyError if a part of it is malformed: the grants in it then expire unused, and guaranteed limits
        start empty."""
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
    """Open a request for a grant of a budget, and return the demand report that carries it."""
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
