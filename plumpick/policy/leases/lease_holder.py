"""The leases that this process holds or requests. The term of a lease counts from the request that renewed
it.

Failures that are handled:
- a response to a request that is no longer pending: dropped, whatever it contains;
- a stall of the process: expired leases are dropped before any message that arrived meanwhile is handled;
- a renewal after the end of a lease: not possible; an expired lease is acquired again, under a larger token;
- grants of a request that failed: released, so that other gateways need not wait for them to expire."""

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

RESEND_MS = 150.0  # time until a request is sent again, doubled each time
# Maximum time of an acquisition. Without a quorum by then, its grants are released, because another gateway
# may hold the grants of the other acceptors.
ACQUISITION_TIMEOUT_MS = 1000.0
MAX_ACQUISITION_RETRIES = 3  # maximum number of retries with a larger counter for one nomination
# Ratio of the term to the time after which a lease is renewed, which is also the time-out of a renewal.
RENEWAL_DIVISOR = 3


@dataclass(slots=True)
class HeldLease:
    """A lease that this process holds."""

    token: int
    requested_ms: float  # time of the request that last renewed the lease, from which its term counts
    acquired_ms: float
    yielding: bool = False  # whether a preferred gateway is up, so that no new work may begin


@dataclass(slots=True)
class LeaseRequest:
    """A request for several leases to all acceptors, which may be sent several times.

    A lease that is acquired or renewed by it ends one term after `requested_ms`, however often the request
    was sent."""

    serial: int
    requested_ms: float
    counters: dict[int, int]  # counters of the requested leases that are not decided yet, by lease
    is_acquisition: bool  # whether the request acquires leases; otherwise it renews them
    retries: int = 0
    grants: dict[int, set[int]] = field(default_factory=dict)  # acceptors that granted the lease, by lease
    denials: dict[int, dict[int, Vote]] = field(default_factory=dict)  # votes by lease and acceptor
    # Number of grants, by lease, whose acceptor knows a gateway that is preferred to this one.
    preferred_others: dict[int, int] = field(default_factory=dict)
    resend_at_ms: float = 0.0
    resend_interval_ms: float = RESEND_MS


class LeaseHolder:
    """Keeps one entry for each of the `terms.leases` leases that is held or requested.

    `changes`, `to_send` and `to_release` form its outbox, which the caller processes and empties."""

    def __init__(self, terms: LeaseTerms, gateway: int, incarnation: int, counter: int) -> None:
        """`counter`: lower bound of the counters in new tokens, exclusive."""
        self._terms = terms
        self.gateway = gateway
        self.incarnation = incarnation
        self.counter = counter  # maximum over the counters of all tokens granted or seen so far
        self.serial = 0
        self.held: dict[int, HeldLease] = {}
        self.pending: dict[int, LeaseRequest] = {}  # pending request of each requested lease
        self.changes: list[LeaseChange] = []
        self.to_send: list[LeaseRequest] = []  # requests to send to the acceptors that have not granted them
        self.to_release: dict[int, None] = {}  # leases to release at all acceptors
        # Leases that must not be released before they expire, because budgets were granted under them.
        self.pinned: frozenset[int] = frozenset()

    # -- leases held by this process

    def usable_until_ms(self, lease: int) -> float:
        """Time until which work under a lease may begin; -inf if this process does not hold the lease."""
        held = self.held.get(lease)
        return -math.inf if held is None else held.requested_ms + self._terms.term_ms - self._terms.guard_ms

    def expire(self, now_ms: float) -> None:
        """Drop expired leases. Must be called before anything else whenever time has passed."""
        for lease in [lease for lease in self.held if now_ms >= self.usable_until_ms(lease)]:
            self._record_loss(lease, LossReason.NO_QUORUM)
            self._drop_pending(lease)

    def _record_loss(self, lease: int, reason: LossReason) -> None:
        self.changes.append(LeaseLost(lease, self.held.pop(lease).token, reason))

    def _drop_pending(self, lease: int) -> None:
        request = self.pending.pop(lease, None)
        if request is not None:
            request.counters.pop(lease, None)

    # -- requests for leases

    def next_counter(self, least: int = 0) -> int:
        """Return a new counter, at least `least` and larger than those of all tokens that this incarnation
        has requested or seen."""
        self.counter = min(max(self.counter + 1, least), MAX_COUNTER)
        return self.counter

    def observe_counter(self, counter: int) -> None:
        """Record the counter of an existing token; later tokens of this process get larger ones."""
        self.counter = max(self.counter, min(counter, MAX_COUNTER - 1))

    def acquire(self, now_ms: float, leases: list[int], retries: int = 0) -> None:
        """Request those of `leases` that are neither held nor already requested. `retries`: number of earlier
        requests for the same nomination."""
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
        """Request the renewal of all held leases that are due for it, in a single request."""
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
        """Undecided leases of a request, with their counters, that an acceptor has not granted and may still
        grant when the request is sent to it again."""
        return {
            lease: counter
            for lease, counter in request.counters.items()
            if acceptor not in request.grants.get(lease, ())
        }

    # -- responses of acceptors

    def on_response(self, now_ms: float, acceptor: int, message: Message) -> LeaseRequest | None:
        """Count the votes in an acceptor's response. Return the request that it answers; None if that is no
        longer pending."""
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
        """Give up held leases whose token is smaller than one that the acceptor has granted, and acquire them
        again under a larger token.

        The acceptor would otherwise reject each renewal, treat the lease as free, and nominate gateways for
        it indefinitely."""
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
            # The acceptor's grant replaces its earlier denial.
            request.denials.get(lease, {}).pop(acceptor, None)
            request.grants.setdefault(lease, set()).add(acceptor)
            request.preferred_others[lease] = request.preferred_others.get(lease, 0) + vote.flag
        else:
            request.denials.setdefault(lease, {})[acceptor] = vote.vote
            if request.is_acquisition and self._ends_acquisition(vote):
                self._fail(now_ms, request, lease)
                return
        self._decide(now_ms, request, lease)

    def _ends_acquisition(self, vote: LeaseVote) -> bool:
        """Whether a single denial ends an acquisition, either to retry it immediately with a larger counter
        or to give way to another gateway.

        Two gateways that were nominated at the same time, each with the grant of a different acceptor, would
        otherwise block each other. The preferred gateway continues; the other releases its grants
        immediately."""
        if vote.vote is Vote.STALE_COUNTER:
            return True
        if vote.vote is not Vote.HELD_BY_OTHER or not vote.flag or vote.holder == NO_HOLDER:
            return False
        return self._preference(vote.lease, vote.holder) < self._preference(vote.lease, self.gateway)

    @staticmethod
    def _preference(lease: int, gateway: int) -> tuple[int, int]:
        return rendezvous_rank(lease, gateway), gateway

    def _deadline_ms(self, request: LeaseRequest) -> float:
        """Time at which a request without a decision times out."""
        timeout_ms = self._terms.term_ms / RENEWAL_DIVISOR
        if request.is_acquisition:
            timeout_ms = min(ACQUISITION_TIMEOUT_MS, timeout_ms)
        return request.requested_ms + timeout_ms

    def _decide(self, now_ms: float, request: LeaseRequest, lease: int) -> None:
        """Complete the request for a lease when a quorum has granted it, or fail it when a quorum has become
        impossible."""
        terms = self._terms
        if len(request.grants.get(lease, ())) >= terms.quorum:
            counter = request.counters[lease]
            self._drop_pending(lease)
            if request.is_acquisition:
                self._complete_acquisition(now_ms, request, lease, counter)
            else:
                self._complete_renewal(request, lease)
        elif len(request.denials.get(lease, ())) > len(terms.acceptors) - terms.quorum:
            self._fail(now_ms, request, lease)

    def _complete_acquisition(self, now_ms: float, request: LeaseRequest, lease: int, counter: int) -> None:
        end_ms = request.requested_ms + self._terms.term_ms
        # The lease is released if too little of its term is left to begin work under it.
        if now_ms >= end_ms - self._terms.guard_ms:
            self.to_release[lease] = None
            return
        token = fencing_token(counter, self.gateway, self.incarnation)
        self.held[lease] = HeldLease(token, request.requested_ms, now_ms)
        self.changes.append(LeaseAcquired(lease, token, self.usable_until_ms(lease)))

    def _complete_renewal(self, request: LeaseRequest, lease: int) -> None:
        held = self.held[lease]
        held.requested_ms = request.requested_ms
        if request.preferred_others[lease] >= self._terms.quorum and not held.yielding:
            held.yielding = True
            self.changes.append(LeaseYieldRequested(lease))

    def _fail(self, now_ms: float, request: LeaseRequest, lease: int) -> None:
        """End the request for a lease that it can no longer acquire or renew: retry it, or record the loss or
        the denial."""
        denials = request.denials.get(lease, {})
        votes = set(denials.values())
        self._drop_pending(lease)
        if not request.is_acquisition:
            self._record_loss(lease, LossReason.GRANTED_TO_OTHER)
            return
        if len(denials) < len(self._terms.acceptors):  # an acceptor has granted the lease or may still do so
            self.to_release[lease] = None
        if Vote.HELD_BY_OTHER in votes:
            reason = DenialReason.HELD_BY_OTHER
        elif Vote.STALE_COUNTER in votes and request.retries < MAX_ACQUISITION_RETRIES:
            self.acquire(now_ms, [lease], request.retries + 1)
            return
        elif Vote.STARTING in votes:
            reason = DenialReason.ACCEPTORS_STARTING
        else:
            reason = DenialReason.STALE_COUNTER
        self.changes.append(LeaseDenied(lease, reason))

    # -- release of leases

    def release(self, lease: int) -> None:
        """Drop a held or requested lease, and queue its release at the acceptors."""
        self._drop_pending(lease)
        if lease in self.held:
            self._record_loss(lease, LossReason.RELEASED)
        self.to_release[lease] = None

    def releasable(self) -> list[int]:
        """The leases in `to_release` that may be released now.

        A release applies to every request sent before it. A lease that has been requested again is therefore
        excluded: the new request replaces the old one. A pinned lease is never released, because budgets
        granted under it remain valid until it expires."""
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
        """Handle the discovery of a token with a larger or equal counter: drop the lease with `reason` if it
        is held, and acquire it again under a larger token."""
        self.observe_counter(counter)
        held = self.held.get(lease)
        if held is not None and counter >= token_counter(held.token):
            self._record_loss(lease, reason)
            self._drop_pending(lease)
            self.acquire(now_ms, [lease])

    # -- timers of requests and renewals

    def on_timer(self, now_ms: float) -> None:
        """Time out requests, resend requests and renew leases that are due. Must be called after `expire`."""
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
        """Next time at which `expire` or `on_timer` must be called; infinity if there is none."""
        times = [min(request.resend_at_ms, self._deadline_ms(request)) for request in self.pending.values()]
        for lease, held in self.held.items():
            times.append(self.usable_until_ms(lease))
            if lease not in self.pending:
                times.append(self._renewal_ms(held))
        return min(times, default=math.inf)
