"""This process's part in the fleet's budgets, on the daemon's clock: admission, messages, limits in service.

`plumpick.policy.budgets` decides. Before the process takes part, and without budgets, nothing can be spent;
what the process before left and cannot be used is logged and dropped."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from random import Random
from typing import Any

from plumpick.gateway.config import Config
from plumpick.gateway.operator_config import FleetSettings
from plumpick.policy.budgets import codec
from plumpick.policy.budgets.ledger import Book
from plumpick.policy.budgets.matching import Matching
from plumpick.policy.events import RequestReceived
from plumpick.policy.leases.actions import DeliverPayload
from plumpick.policy.leases.participant import LeaseParticipant

SHARE_KIND = bytes([codec.SHARE])
PAYLOAD_KINDS = (bytes([codec.ASK]), SHARE_KIND, bytes([codec.WHERE]))  # first bytes of its messages
MAX_LOGGED_CHARACTERS = 500

log = logging.getLogger(__name__)


class BudgetSpending:
    """Owns the ledger of the budgets that the settings name."""

    def __init__(
        self,
        config: Config,
        settings: FleetSettings,
        clock: Callable[[], float],
        wake: Callable[[float], None],
        send_payload: Callable[[float, int, bytes], None],
    ) -> None:
        """`wake(due_ms)` has `on_timer` called sooner; `send_payload(now_ms, receiver, payload)` sends."""
        self._config = config
        self._settings = settings
        self._clock = clock
        self._wake = wake
        self._send_payload = send_payload
        self._matching = Matching([one.rule for one in settings.budgets])
        self._participant: LeaseParticipant | None = None
        self.book: Book | None = None
        self.timer_ms = math.inf  # when `on_timer` will be called

    def start(self, now_ms: float, participant: LeaseParticipant, chance: Random) -> None:
        """Take part; no floor is spent before `open_floors`."""
        self._participant = participant
        if not self._settings.budgets:
            return
        self.book = Book(
            tuple(one.budget for one in self._settings.budgets),
            self._config.settings.gateway_number,
            self._config.settings.gateway_count,
            self._settings.terms,
            self._settings.share_ms,
            chance,
            now_ms,
        )

    def restore(self, now_ms: float, state: dict[str, Any]) -> None:
        """Continue from what the process before left, if that can be used."""
        if self.book is None:
            return
        try:
            self.book.inherit(now_ms, state.get("budgets", {}))
        except (ValueError, KeyError, TypeError) as problem:
            log.warning("budgets: what the process before left cannot be used: %s", problem)

    def reconfigure(self, settings: FleetSettings) -> bool:
        """Take other wholes and bursts of budgets in service; whether there were any. What else has changed
        takes effect at the next start, which is logged."""
        old = self._settings
        old_budgets = tuple(one.budget for one in old.budgets)
        new_budgets = tuple(one.budget for one in settings.budgets)
        if _fixed_settings(settings) != _fixed_settings(old):
            log.warning(
                "duties: what else than wholes and bursts of budgets has changed in the operator's "
                "file takes effect at the next start"
            )
            return False
        if self.book is None or new_budgets == old_budgets:
            return False
        self.book.change(self._clock(), new_budgets)
        self._settings = settings
        changed = [one for one in new_budgets if one not in old_budgets]
        figures = ", ".join(f"{one.name} whole {one.whole:g}, burst {one.burst:g}" for one in changed)
        log.info("duties: budgets have other figures: %s", figures[:MAX_LOGGED_CHARACTERS])
        return True

    # -- requests

    def admit(self, request: RequestReceived) -> bool:
        """Whether a request may go on by the budgets that are for it; it has spent of them, then."""
        wanted = self._matching.of(request.class_name, request.plan_name, request.customer, request.units)
        return not wanted or self.spend(wanted)

    def spend(self, wanted: list[tuple[str, float]]) -> bool:
        """The same, for so many units of each of these budgets."""
        book = self.book
        if book is None:  # clients may come before this process takes part
            return False
        met = book.spend(self._clock(), wanted)
        due_ms = book.next_ms()
        if due_ms < self.timer_ms:
            self._wake(due_ms)
        return met

    # -- leases and messages

    def pinned_slots(self, now_ms: float) -> frozenset[int]:
        """The slots whose leases must not be released yet: something is lent under them."""
        return frozenset() if self.book is None else self.book.lent(now_ms)

    def on_slot_acquired(self, now_ms: float, slot: int, token: int) -> None:
        """This process divides the slot's budgets from now on."""
        if self.book is not None:
            self.book.gained(now_ms, slot, token)

    def on_slot_lost(self, slot: int) -> None:
        """It divides them no longer."""
        if self.book is not None:
            self.book.lost(slot)

    def yield_slots(self, slots: set[int]) -> None:
        """Lend nothing more under these slots: their leases are to be released."""
        if self.book is not None:
            self.book.yields(slots)

    def open_floors(self, now_ms: float) -> None:
        """Floors may be spent from now on: no other process of this gateway spends them."""
        if self.book is not None:
            self.book.open_floors(now_ms)

    def on_payload(self, now_ms: float, payload: DeliverPayload) -> None:
        """A message about budgets has come."""
        self._deliver(now_ms, payload.sender, payload.incarnation, payload.data)

    def _deliver(self, now_ms: float, sender: int, incarnation: int, data: bytes) -> None:
        if self.book is None or self._participant is None:
            return
        own_incarnation = self._participant.incarnation
        self.book.heard(
            now_ms, sender, incarnation, data, own_incarnation, self._holder_of, self._lease_end_ms
        )

    def _holder_of(self, slot: int) -> int | None:
        """Which gateway holds a slot, as far as this process is an acceptor and knows."""
        if self._participant is None or self._participant.acceptor is None:
            return None
        grant = self._participant.acceptor.active_grant(self._clock(), slot)
        return None if grant is None else grant.owner[0]

    def _lease_end_ms(self, slot: int) -> float:
        """When this process's lease on a slot ends, by its clock."""
        held = None if self._participant is None else self._participant.holder.held.get(slot)
        return -math.inf if held is None else held.requested_ms + self._settings.terms.term_ms

    # -- timers

    def on_timer(self, now_ms: float) -> None:
        """Send what is to be requested and lent."""
        book = self.book
        participant = self._participant
        if book is None or participant is None or participant.closed:
            return
        book.due(now_ms)
        while book.to_send:
            messages = book.to_send
            book.to_send = []
            for receiver, data in messages:
                if receiver == self._config.settings.gateway_number:
                    self._deliver(now_ms, receiver, participant.incarnation, data)
                else:
                    self._send_payload(now_ms, receiver, data)
        for line in book.faults:
            log.warning("duties: %s", line)
        book.faults.clear()

    def next_due_ms(self) -> float:
        """When `on_timer` has something to do."""
        return math.inf if self.book is None else self.book.next_ms()


def _fixed_settings(settings: FleetSettings) -> tuple[Any, ...]:
    """What cannot change in service."""
    rules = [one.rule for one in settings.budgets]
    return settings.terms, settings.duties, settings.share_ms, rules
