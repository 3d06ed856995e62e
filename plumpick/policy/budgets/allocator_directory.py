"""Directory of allocators: the gateway that is presumed to allocate the budgets of each slot.

Where the allocator of a slot is unknown, demand reports go to an acceptor of the leases, which knows the
owner of the slot and replies with a hint. An allocator that leaves `MAX_UNANSWERED_REPORTS` reports
unanswered is presumed down, and the acceptors are asked in turn."""

from __future__ import annotations

from random import Random

from plumpick.policy.budgets.messages import AllocatorHint
from plumpick.policy.leases.terms import LeaseTerms

MAX_UNANSWERED_REPORTS = 2  # unanswered reports to an allocator after which it is presumed down


class AllocatorDirectory:
    """Tracks the presumed allocator and the unanswered reports of each slot: at most one entry per slot in
    each of its two tables."""

    def __init__(self, number: int, gateways: int, terms: LeaseTerms, rng: Random) -> None:
        self._number = number
        self._gateways = gateways
        self._terms = terms
        self._allocators: dict[int, int] = {}
        self._unanswered: dict[int, int] = {}  # number of reports since the last answer, by slot
        self._next_acceptor = rng.randrange(len(terms.acceptors))

    def allocator_of(self, slot: int) -> int | None:
        """The gateway that is presumed to own the slot; None if unknown."""
        return self._allocators.get(slot)

    def is_own(self, slot: int) -> bool:
        """Whether this gateway owns the slot."""
        return self._allocators.get(slot) == self._number

    def record_acquired(self, slot: int) -> None:
        """Record that this gateway has acquired the slot's lease."""
        self._allocators[slot] = self._number

    def record_lost(self, slot: int) -> None:
        """Record that this gateway has lost the slot's lease."""
        if self.is_own(slot):
            del self._allocators[slot]

    def record_answer(self, slot: int, allocator: int) -> None:
        """Record that gateway `allocator` has answered a report on a budget of the slot with a grant."""
        self._allocators[slot] = allocator
        self._unanswered[slot] = 0

    def accept_hint(self, hint: AllocatorHint) -> bool:
        """Apply an acceptor's hint; return whether it names a new allocator for the slot. A hint that names
        this gateway is ignored: the acceptor may only know that this gateway owned the slot earlier, and
        following the hint, the gateway would send reports to itself."""
        if hint.gateway == self._number or hint.gateway >= self._gateways:
            return False
        if hint.slot >= self._terms.slots or self.is_own(hint.slot):
            return False
        if self._allocators.get(hint.slot) == hint.gateway:
            return False
        self._unanswered[hint.slot] = 0
        self._allocators[hint.slot] = hint.gateway
        return True

    def next_target(self, slot: int) -> int:
        """Return the gateway to send the next demand report to: the allocator, or else the next acceptor. The
        report is counted as unanswered, unless the target is this gateway."""
        allocator = self._allocators.get(slot)
        if allocator == self._number:
            return allocator
        unanswered = self._unanswered.get(slot, 0)
        self._unanswered[slot] = unanswered + 1
        if allocator is not None and unanswered < MAX_UNANSWERED_REPORTS:
            return allocator
        self._allocators.pop(slot, None)
        self._next_acceptor = (self._next_acceptor + 1) % len(self._terms.acceptors)
        return self._terms.acceptors[self._next_acceptor]
