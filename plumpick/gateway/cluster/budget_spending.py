"""Budgets of the fleet in this process: admission of requests, budget messages, changes of limits at run
time.

The decisions are made in `plumpick.policy.budgets`. Requests that are charged to a budget are rejected until
`start` was called. A malformed state of the hot-restart predecessor is logged and dropped."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from random import Random
from typing import Any

from plumpick.gateway.config import Config
from plumpick.gateway.operator_config import FleetSettings
from plumpick.policy.budgets.ledger import BudgetLedger
from plumpick.policy.budgets.matching import BudgetMatcher
from plumpick.policy.events import RequestReceived
from plumpick.policy.leases.actions import DeliverPayload
from plumpick.policy.leases.participant import LeaseParticipant

MAX_LOGGED_CHARACTERS = 500

log = logging.getLogger(__name__)


class BudgetSpending:
    """Owns the ledger of the configured budgets."""

    def __init__(
        self,
        config: Config,
        settings: FleetSettings,
        clock: Callable[[], float],
        wake: Callable[[float], None],
        send_payload: Callable[[float, int, bytes], None],
    ) -> None:
        """`wake(due_ms)` schedules `on_timer` earlier; `send_payload(now_ms, receiver, payload)` sends a
        budget message to the gateway with the number `receiver`."""
        self._config = config
        self._settings = settings
        self._clock = clock
        self._wake = wake
        self._send_payload = send_payload
        self._matcher = BudgetMatcher([one.rule for one in settings.budgets])
        self._participant: LeaseParticipant | None = None
        self.ledger: BudgetLedger | None = None
        self.timer_ms = math.inf  # time of the next call of `on_timer`

    def start(self, now_ms: float, participant: LeaseParticipant, chance: Random) -> None:
        """Create the ledger, if budgets are configured. Guaranteed limits are spent after
        `resume_guaranteed`."""
        self._participant = participant
        if not self._settings.budgets:
            return
        self.ledger = BudgetLedger(
            tuple(one.budget for one in self._settings.budgets),
            self._config.settings.gateway_number,
            self._config.settings.gateway_count,
            self._settings.terms,
            self._settings.grant_term_ms,
            chance,
            now_ms,
        )

    def restore(self, now_ms: float, state: dict[str, Any]) -> None:
        """Import the budgets' state of the hot-restart predecessor; a malformed state is logged and
        dropped."""
        if self.ledger is None:
            return
        try:
            self.ledger.import_state(now_ms, state.get("budgets", {}))
        except (ValueError, KeyError, TypeError) as problem:
            log.warning("budgets: the state of the previous process cannot be used: %s", problem)

    def reconfigure(self, settings: FleetSettings) -> bool:
        """Apply changed limits and bursts of budgets; returns whether any was changed. Other changes of the
        fleet's settings take effect at the next start; then nothing is applied, and a warning is logged."""
        old = self._settings
        old_budgets = tuple(one.budget for one in old.budgets)
        new_budgets = tuple(one.budget for one in settings.budgets)
        if _fixed_settings(settings) != _fixed_settings(old):
            log.warning(
                "duties: the operator's file changes more than wholes and bursts of budgets; "
                "all its changes take effect at the next start"
            )
            return False
        if self.ledger is None or new_budgets == old_budgets:
            return False
        self.ledger.set_limits(self._clock(), new_budgets)
        self._settings = settings
        changed = [one for one in new_budgets if one not in old_budgets]
        figures = ", ".join(f"{one.name} whole {one.limit:g}, burst {one.burst:g}" for one in changed)
        log.info("duties: limits of budgets changed: %s", figures[:MAX_LOGGED_CHARACTERS])
        return True

    # -- charging of requests

    def admit(self, request: RequestReceived) -> bool:
        """Charge a request to all budgets that match it; returns whether all of them had enough units."""
        charges = self._matcher.charges_for(
            request.class_name, request.plan_name, request.customer, request.units
        )
        return not charges or self.spend(charges)

    def spend(self, charges: list[tuple[str, float]]) -> bool:
        """Spend the units of each (budget, units) pair; returns whether all budgets had enough units."""
        ledger = self.ledger
        if ledger is None:  # without a ledger nothing is spent: clients may connect before `start`
            return False
        is_spent = ledger.try_spend(self._clock(), charges)
        due_ms = ledger.next_timer_ms()
        if due_ms < self.timer_ms:
            self._wake(due_ms)
        return is_spent

    # -- leases and messages

    def pinned_slots(self, now_ms: float) -> frozenset[int]:
        """The slots whose leases must not be released yet, because grants under them have not expired."""
        return frozenset() if self.ledger is None else self.ledger.slots_with_grants(now_ms)

    def on_slot_acquired(self, now_ms: float, slot: int, token: int) -> None:
        """Start allocating the slot's budgets, under this fencing token."""
        if self.ledger is not None:
            self.ledger.on_lease_acquired(now_ms, slot, token)

    def on_slot_lost(self, slot: int) -> None:
        """Stop allocating the slot's budgets: its lease was lost."""
        if self.ledger is not None:
            self.ledger.on_lease_lost(slot)

    def yield_slots(self, slots: set[int]) -> None:
        """Stop granting under these slots, so that their leases can be released once the grants expire."""
        if self.ledger is not None:
            self.ledger.stop_granting(slots)

    def resume_guaranteed(self, now_ms: float) -> None:
        """Allow guaranteed limits to be spent. The caller ensures that no other process of this gateway
        does."""
        if self.ledger is not None:
            self.ledger.resume_guaranteed(now_ms)

    def on_payload(self, now_ms: float, payload: DeliverPayload) -> None:
        """Handle a budget message that was received from a gateway."""
        self._deliver(now_ms, payload.sender, payload.incarnation, payload.data)

    def _deliver(self, now_ms: float, sender: int, incarnation: int, data: bytes) -> None:
        if self.ledger is None or self._participant is None:
            return
        own_incarnation = self._participant.incarnation
        self.ledger.on_message(
            now_ms, sender, incarnation, data, own_incarnation, self._holder_of, self._lease_end_ms
        )

    def _holder_of(self, slot: int) -> int | None:
        """The number of the gateway that holds a slot's lease; None if unknown or if this is no acceptor."""
        if self._participant is None or self._participant.acceptor is None:
            return None
        grant = self._participant.acceptor.active_grant(self._clock(), slot)
        return None if grant is None else grant.owner[0]

    def _lease_end_ms(self, slot: int) -> float:
        """The expiry of this process's lease on a slot, by its own clock; -inf if the lease is not held."""
        held = None if self._participant is None else self._participant.holder.held.get(slot)
        return -math.inf if held is None else held.requested_ms + self._settings.terms.term_ms

    # -- timer of the ledger

    def on_timer(self, now_ms: float) -> None:
        """Send the reports and grants that are due, and log the ledger's warnings."""
        ledger = self.ledger
        participant = self._participant
        if ledger is None or participant is None or participant.closed:
            return
        ledger.on_timer(now_ms)
        while ledger.outbox:
            messages = ledger.outbox
            ledger.outbox = []
            for receiver, data in messages:
                if receiver == self._config.settings.gateway_number:
                    self._deliver(now_ms, receiver, participant.incarnation, data)
                else:
                    self._send_payload(now_ms, receiver, data)
        for line in ledger.warnings:
            log.warning("duties: %s", line)
        ledger.warnings.clear()

    def next_due_ms(self) -> float:
        """The time of the ledger's next timer; infinity without budgets."""
        return math.inf if self.ledger is None else self.ledger.next_timer_ms()


def _fixed_settings(settings: FleetSettings) -> tuple[Any, ...]:
    """The settings of the fleet that take effect only at the next start."""
    rules = [one.rule for one in settings.budgets]
    return settings.terms, settings.scheduled_tasks, settings.grant_term_ms, rules
