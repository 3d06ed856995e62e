"""The leases that this process holds and requests. A lease's end counts from the request that renewed it.

Guards against: a response to another request than the pending one (dropped, whatever it contains); a stall
(what has expired is dropped before anything that came meanwhile is looked at); a renewal after the end (there
is none: what has expired is acquired again, under a larger token); grants that nobody needs (released, so
that others need not wait)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from plumpick.policy.leases.actions import (
    DenialReason,
    LeaseAcquired,
    LeaseChange,
    LeaseDenied,
    LeaseLost,
    LeaseYieldRequested,
    LossReason,
)
from plumpick.policy.leases.codec import NO_HOLDER, LeaseVote, Message, Vote
from plumpick.policy.leases.terms import (
    MAX_COUNTER,
    LeaseTerms,
    fencing_token,
    rendezvous_rank,
    token_counter,
)

RESEND_MS = 150.0  # doubled each time
ACQUISITION_TIMEOUT_MS = 1000.0  # without a quorum by then its grants are released: another may have the rest
MAX_ACQUISITION_RETRIES = 3  # with a larger counter, for one nomination
RENEWAL_DIVISOR = 3  # a lease is renewed after a third of its term; a request may take as long


@dataclass(slots=True)
class HeldLease:
    """A lease that this process holds."""

    token: int
    requested_ms: float  # of the request that renewed it last: its term counts from then
    acquired_ms: float
    yielding: bool = False  # a preferred gateway is up: nothing new begins


@dataclass(slots=True)
class LeaseRequest:
    """One request to all acceptors, for several leases, that may be sent several times.

    A lease that it gains ends a term after `requested_ms`, however often it was sent."""

    serial: int
    requested_ms: float
    counters: dict[int, int]  # by lease; those that are not decided yet
    is_acquisition: bool  # or a renewal
    retries: int = 0
    grants: dict[int, set[int]] = field(default_factory=dict)  # by lease: acceptors
    denials: dict[int, dict[int, Vote]] = field(default_factory=dict)  # by lease and acceptor
    preferred_others: dict[int, int] = field(default_factory=dict)  # by lease: grants with that flag
    resend_at_ms: float = 0.0
    resend_interval_ms: float = RESEND_MS


class LeaseHolder:
    """Owns one entry for each lease held or requested, of which there are `terms.leases`.

    `changes`, `to_send` and `to_release` are its outbox: the caller empties them."""

    def __init__(self, terms: LeaseTerms, gateway: int, incarnation: int, counter: int) -> None:
        """`counter`: tokens begin above it."""
        self._terms = terms
        self.gateway = gateway
        self.incarnation = incarnation
        self.counter = counter  # no token that was granted or seen has a larger one
        self.serial = 0
        self.held: dict[int, HeldLease] = {}
        self.pending: dict[int, LeaseRequest] = {}  # by lease
        self.changes: list[LeaseChange] = []
        self.to_send: list[LeaseRequest] = []  # to the acceptors that have not granted it
        self.to_release: dict[int, None] = {}  # leases, at all acceptors
        self.pinned: frozenset[int] = (
            frozenset()
        )  # leases that must not be released before their end (budgets)

    # -- what is held

    def usable_until_ms(self, lease: int) -> float:
        """Until when work under the lease may begin; -inf when it is not held."""
        held = self.held.get(lease)
        return -math.inf if held is None else held.requested_ms + self._terms.term_ms - self._terms.guard_ms

    def expire(self, now_ms: float) -> None:
        """Drop the leases that have expired. Called before all else whenever time has passed."""
        for lease in [lease for lease in self.held if now_ms >= self.usable_until_ms(lease)]:
            self._lose(lease, LossReason.NO_QUORUM)
            self._drop_pending(lease)

    def _lose(self, lease: int, reason: LossReason) -> None:
        self.changes.append(LeaseLost(lease, self.held.pop(lease).token, reason))

    def _drop_pending(self, lease: int) -> None:
        request = self.pending.pop(lease, None)
        if request is not None:
            request.counters.pop(lease, None)

    # -- requests

    def next_counter(self, least: int = 0) -> int:
        """A counter that no token of this incarnation had, nor any token that it has seen."""
        self.counter = min(max(self.counter + 1, least), MAX_COUNTER)
        return self.counter

    def observe_counter(self, counter: int) -> None:
        """A token with that counter exists: ours have to be larger."""
        self.counter = max(self.counter, min(counter, MAX_COUNTER - 1))

    def acquire(self, now_ms: float, leases: list[int], retries: int = 0) -> None:
        """Request those leases that are neither held nor requested."""
        wanted = [lease for lease in leases if self._can_acquire(lease)]
        if wanted:
            counters = {lease: self.next_counter() for lease in wanted}
            self._request(now_ms, counters, is_acquisition=True, retries=retries)

    def _can_acquire(self, lease: int) -> bool:
        if lease in self.held or lease in self.pending:
            return False
        return 0 <= lease < self._terms.leases

    def _renewal_ms(self, held: HeldLease) -> float:
        return held.requested_ms + self._terms.term_ms / RENEWAL_DIVISOR

    def renew(self, now_ms: float) -> None:
        """Request the renewal of all held leases that are due for it, together."""
        counters = {
            lease: token_counter(held.token)
            for lease, held in self.held.items()
            if lease not in self.pending and now_ms >= self._renewal_ms(held)
        }
        if counters:
            self._request(now_ms, counters, is_acquisition=False, retries=0)

    def _request(self, now_ms: float, counters: dict[int, int], is_acquisition: bool, retries: int) -> None:
        self.serial += 1
        request = LeaseRequest(
            self.serial, now_ms, counters, is_acquisition, retries, resend_at_ms=now_ms + RESEND_MS
        )
        for lease in counters:
            self.pending[lease] = request
        self.to_send.append(request)

    def missing_grants(self, request: LeaseRequest, acceptor: int) -> dict[int, int]:
        """The leases, with their counters, that an acceptor has not granted: it may, when asked again."""
        return {
            lease: counter
            for lease, counter in request.counters.items()
            if acceptor not in request.grants.get(lease, ())
        }

    # -- responses

    def on_response(self, now_ms: float, acceptor: int, message: Message) -> LeaseRequest | None:
        """Count an acceptor's votes; the request that they answer, if it is pending."""
        if acceptor not in self._terms.acceptors or message.to_incarnation != self.incarnation:
            return None
        self._reacquire_stale(now_ms, message.votes)
        request = self._pending_with(message.serial)
        if request is None:
            return None
        for vote in message.votes:
            self._count_vote(now_ms, request, acceptor, vote)
        return request

    def _reacquire_stale(self, now_ms: float, votes: tuple[LeaseVote, ...]) -> None:
        """Give up leases whose token is smaller than one that the acceptor has granted.

        It would reject each renewal, count the lease as free, and nominate for it for ever."""
        for lease, vote, _, counter, _ in votes:
            held = self.held.get(lease)
            if vote is Vote.STALE_COUNTER and held is not None and counter > token_counter(held.token):
                self.on_larger_token(now_ms, lease, counter, LossReason.LARGER_TOKEN_AT_ACCEPTOR)

    def _pending_with(self, serial: int) -> LeaseRequest | None:
        for request in self.pending.values():
            if request.serial == serial:
                return request
        return None

    def _count_vote(self, now_ms: float, request: LeaseRequest, acceptor: int, vote: LeaseVote) -> None:
        lease = vote.lease
        self.observe_counter(vote.counter)
        if lease not in request.counters or acceptor in request.grants.get(lease, ()):
            return
        if vote.vote is Vote.GRANTED:
            request.denials.get(lease, {}).pop(acceptor, None)  # another held it until just now
            request.grants.setdefault(lease, set()).add(acceptor)
            request.preferred_others[lease] = request.preferred_others.get(lease, 0) + vote.flag
        else:
            request.denials.setdefault(lease, {})[acceptor] = vote.vote
            if request.is_acquisition and self._fails_acquisition(vote):
                self._fail(now_ms, request, lease)
                return
        self._settle(now_ms, request, lease)

    def _fails_acquisition(self, vote: LeaseVote) -> bool:
        """Whether one denial is enough to give up: to retry at once, or to make way for another.

        Two that were nominated at the same time, each with its own acceptor's grant, would wait for the
        other's. The preferred one continues, the other releases its grants at once."""
        if vote.vote is Vote.STALE_COUNTER:
            return True
        if vote.vote is not Vote.HELD_BY_OTHER or not vote.flag or vote.holder == NO_HOLDER:
            return False
        return self._preference(vote.lease, vote.holder) < self._preference(vote.lease, self.gateway)

    @staticmethod
    def _preference(lease: int, gateway: int) -> tuple[int, int]:
        return rendezvous_rank(lease, gateway), gateway

    def _deadline_ms(self, request: LeaseRequest) -> float:
        """When a request is given up."""
        timeout_ms = self._terms.term_ms / RENEWAL_DIVISOR
        if request.is_acquisition:
            timeout_ms = min(ACQUISITION_TIMEOUT_MS, timeout_ms)
        return request.requested_ms + timeout_ms

    def _settle(self, now_ms: float, request: LeaseRequest, lease: int) -> None:
        """Decide a lease as soon as a quorum has granted it, or can no longer do so."""
        terms = self._terms
        if len(request.grants.get(lease, ())) >= terms.quorum:
            counter = request.counters[lease]
            self._drop_pending(lease)
            if request.is_acquisition:
                self._gain(now_ms, request, lease, counter)
            else:
                self._extend(request, lease)
        elif len(request.denials.get(lease, ())) > len(terms.acceptors) - terms.quorum:
            self._fail(now_ms, request, lease)

    def _gain(self, now_ms: float, request: LeaseRequest, lease: int, counter: int) -> None:
        end_ms = request.requested_ms + self._terms.term_ms
        if now_ms >= end_ms - self._terms.guard_ms:  # too late to begin anything
            self.to_release[lease] = None
            return
        token = fencing_token(counter, self.gateway, self.incarnation)
        self.held[lease] = HeldLease(token, request.requested_ms, now_ms)
        self.changes.append(LeaseAcquired(lease, token, self.usable_until_ms(lease)))

    def _extend(self, request: LeaseRequest, lease: int) -> None:
        held = self.held[lease]
        held.requested_ms = request.requested_ms
        if request.preferred_others[lease] >= self._terms.quorum and not held.yielding:
            held.yielding = True
            self.changes.append(LeaseYieldRequested(lease))

    def _fail(self, now_ms: float, request: LeaseRequest, lease: int) -> None:
        """The request cannot gain this lease any more."""
        denials = request.denials.get(lease, {})
        votes = set(denials.values())
        self._drop_pending(lease)
        if not request.is_acquisition:
            self._lose(lease, LossReason.GRANTED_TO_OTHER)
            return
        if len(denials) < len(self._terms.acceptors):  # a grant is there, or may still come
            self.to_release[lease] = None
        if Vote.HELD_BY_OTHER in votes:
            reason = DenialReason.HELD_BY_OTHER
        elif Vote.STALE_COUNTER in votes and request.retries < MAX_ACQUISITION_RETRIES:
            self.acquire(now_ms, [lease], request.retries + 1)
            return
        elif Vote.SILENT in votes:
            reason = DenialReason.ACCEPTORS_SILENT
        else:
            reason = DenialReason.STALE_COUNTER
        self.changes.append(LeaseDenied(lease, reason))

    # -- release

    def release(self, lease: int) -> None:
        """Drop a lease that is held or requested, and release it at the acceptors."""
        self._drop_pending(lease)
        if lease in self.held:
            self._lose(lease, LossReason.RELEASED)
        self.to_release[lease] = None

    def releasable(self) -> list[int]:
        """Which of `to_release` to release now.

        A release covers every request sent before it. So a lease that is requested again is left out: the new
        request replaces the old one. A pinned lease is never released: what was lent under it counts on its
        end."""
        return [
            lease
            for lease in self.to_release
            if lease not in self.pending and lease not in self.held and lease not in self.pinned
        ]

    def on_larger_token(
        self,
        now_ms: float,
        lease: int,
        counter: int,
        reason: LossReason = LossReason.LARGER_TOKEN_AT_RECEIVER,
    ) -> None:
        """A token with that counter exists: a held lease with a smaller one is acquired again, above it."""
        self.observe_counter(counter)
        held = self.held.get(lease)
        if held is not None and counter >= token_counter(held.token):
            self._lose(lease, reason)
            self._drop_pending(lease)
            self.acquire(now_ms, [lease])

    # -- time

    def on_timer(self, now_ms: float) -> None:
        """Give up requests, send them again, and renew, whatever is due. Called after `expire`."""
        for request in {id(request): request for request in self.pending.values()}.values():
            if now_ms >= self._deadline_ms(request):
                self._time_out(request)
            elif now_ms >= request.resend_at_ms:
                request.resend_interval_ms *= 2
                request.resend_at_ms = now_ms + request.resend_interval_ms
                self.to_send.append(request)
        self.renew(now_ms)

    def _time_out(self, request: LeaseRequest) -> None:
        for lease in list(request.counters):
            self._drop_pending(lease)
            if request.is_acquisition:
                self.to_release[lease] = None
                self.changes.append(LeaseDenied(lease, DenialReason.NO_QUORUM))

    def next_due_ms(self) -> float:
        """When `expire` or `on_timer` has something to do."""
        times = [min(request.resend_at_ms, self._deadline_ms(request)) for request in self.pending.values()]
        for lease, held in self.held.items():
            times.append(self.usable_until_ms(lease))
            if lease not in self.pending:
                times.append(self._renewal_ms(held))
        return min(times, default=math.inf)
