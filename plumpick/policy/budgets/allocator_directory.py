"""Which gateway is thought to allocate the budgets of a slot, and whom to ask where that is not known.

An acceptor of the leases knows the owner of a slot, and answers a demand report that was sent to it with a
hint. Guards against an allocator that has gone: after `MAX_UNANSWERED_REPORTS` the acceptors are asked in
turn."""

from __future__ import annotations

from random import Random

from plumpick.policy.budgets.messages import AllocatorHint
from plumpick.policy.leases.terms import LeaseTerms

MAX_UNANSWERED_REPORTS = 2


class AllocatorDirectory:
    """Owns two tables, each with at most one entry for each slot."""

    def __init__(self, number: int, gateways: int, terms: LeaseTerms, rng: Random) -> None:
        self._number = number
        self._gateways = gateways
        self._terms = terms
        self._allocators: dict[int, int] = {}
        self._unanswered: dict[int, int] = {}  # reports since the last answer
        self._next_acceptor = rng.randrange(len(terms.acceptors))

    def allocator_of(self, slot: int) -> int | None:
        """The gateway that is thought to own the slot."""
        return self._allocators.get(slot)

    def is_own(self, slot: int) -> bool:
        """Whether this gateway owns the slot."""
        return self._allocators.get(slot) == self._number

    def record_acquired(self, slot: int) -> None:
        """This gateway owns the slot from now on."""
        self._allocators[slot] = self._number

    def record_lost(self, slot: int) -> None:
        """This gateway does not own the slot any more."""
        if self.is_own(slot):
            del self._allocators[slot]

    def record_answer(self, slot: int, allocator: int) -> None:
        """That gateway has granted something of the slot."""
        self._allocators[slot] = allocator
        self._unanswered[slot] = 0

    def accept_hint(self, hint: AllocatorHint) -> bool:
        """Whether an acceptor's hint names another gateway than is known so far. An acceptor may know no more
        than that we owned the slot before; believing it, a gateway would ask itself."""
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
        """The gateway to send the next report to: the allocator, or else the next acceptor. Counts as a
        report without an answer so far, unless it is this gateway."""
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
