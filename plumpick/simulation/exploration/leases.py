"""State model of lease ownership: two contenders, two or three acceptors, one lease, a receiver with a fence.

A sent message stays in flight until it is delivered, at any later time; a message that is never delivered is
lost, and one that stays in flight after its delivery is duplicated. Time advances by about half a term per
move, at the worst clock rates: contenders' clocks run slow, acceptors' clocks fast. A contender checks its
clock before an effect, and the effect may reach the receiver at any later time. Contenders and acceptors may
restart and lose all their state. Counters start at 0, so that nothing depends on the time of day.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Hashable, Iterator
from dataclasses import replace
from typing import Any

from plumpick.gateway.cluster.fence import Fence
from plumpick.policy.leases.acceptor import Acceptor, Grant
from plumpick.policy.leases.actions import LeaseAcquired
from plumpick.policy.leases.codec import NO_HOLDER, LeaseVote, Message, MessageKind, Vote
from plumpick.policy.leases.lease_holder import LeaseHolder, LeaseRequest
from plumpick.policy.leases.terms import LeaseTerms, token_counter
from plumpick.simulation.exploration.search import copy_with, message_name

TERM_MS, DRIFT = 1000.0, 0.01
WAIT_TERM_FRACTION = 0.52  # fraction of a lease term by which the move "wait" advances time
LEASE, DUTY = 0, "duty"


def _fork_holder(holder: LeaseHolder) -> LeaseHolder:
    requests = {id(request): _fork_request(request) for request in holder.pending.values()}
    return copy_with(
        holder,
        changes=[],
        to_send=[],
        to_release={},
        held={lease: replace(held) for lease, held in holder.held.items()},
        pending={lease: requests[id(request)] for lease, request in holder.pending.items()},
    )


def _fork_request(one: LeaseRequest) -> LeaseRequest:
    return LeaseRequest(
        one.serial,
        one.requested_ms,
        dict(one.counters),
        one.is_acquisition,
        one.retries,
        {lease: set(acceptors) for lease, acceptors in one.grants.items()},
        {lease: dict(votes) for lease, votes in one.denials.items()},
        dict(one.preferred_others),
        one.resend_at_ms,
        one.resend_interval_ms,
    )


def _fork_acceptor(acceptor: Acceptor) -> Acceptor:
    return copy_with(
        acceptor,
        grants={
            lease: Grant(one.token, one.serial, one.expires_ms) for lease, one in acceptor.grants.items()
        },
        highest_tokens=dict(acceptor.highest_tokens),
        releases=dict(acceptor.releases),
    )


def _holder_key(holder: LeaseHolder) -> Any:
    return (
        holder.incarnation,
        holder.counter,
        holder.serial,
        tuple((held.token, held.requested_ms) for held in holder.held.values()),
        tuple(
            (
                one.serial,
                one.requested_ms,
                one.is_acquisition,
                tuple(one.counters.items()),
                one.resend_at_ms,
                one.retries,
                tuple(sorted(one.grants.get(LEASE, ()))),
                tuple(sorted(one.denials.get(LEASE, {}).items())),
            )
            for one in holder.pending.values()
        ),
    )


def _acceptor_key(acceptor: Acceptor) -> Any:
    grants = tuple((one.token, one.serial, one.expires_ms) for one in acceptor.grants.values())
    return (
        acceptor.startup_wait_until_ms,
        grants,
        tuple(acceptor.highest_tokens.items()),
        tuple(acceptor.releases.items()),
    )


class Leases:
    """A state of the lease model, explored by `search.explore`.

    `restarts`, `doubles`, `effects` and `gives` limit the number of restarts, duplicated messages, effects
    and releases in a history. A fork shares its holders and acceptors with the original state until they
    change.
    """

    def __init__(
        self,
        acceptors: int = 3,
        restarts: int = 1,
        doubles: int = 1,
        effects: int = 2,
        gives: int = 1,
        wait_fraction: float = WAIT_TERM_FRACTION,
        holder: type[LeaseHolder] = LeaseHolder,
        acceptor: type[Acceptor] = Acceptor,
        fence: type[Fence] = Fence,
    ) -> None:
        self.types, self.wait_fraction = (holder, acceptor), wait_fraction
        self.terms = LeaseTerms(tuple(range(acceptors)), 1, 0, TERM_MS, DRIFT)
        self.now = 0.0
        self.remaining = {"restart": restarts, "double": doubles, "effect": effects, "give": gives}
        self.acceptors = [acceptor(self.terms, -10 * TERM_MS) for _ in range(acceptors)]
        self.holders = [holder(self.terms, number, number + 1, 0) for number in range(2)]
        self.acceptor_keys = [_acceptor_key(one) for one in self.acceptors]
        self.holder_keys = [_holder_key(one) for one in self.holders]
        self.incarnations = 2
        self.fence = fence()
        self.in_flight: list[tuple[Any, ...]] = []
        self.highest_admitted = 0  # highest fencing token of an effect that the receiver admitted
        self.issued_tokens: frozenset[int] = frozenset()
        self.expired_tokens: frozenset[int] = frozenset()  # fencing tokens whose lease has expired
        self._violation = ""

    def fork(self) -> Leases:
        return copy_with(
            self,
            remaining=dict(self.remaining),
            acceptors=list(self.acceptors),
            holders=list(self.holders),
            acceptor_keys=list(self.acceptor_keys),
            holder_keys=list(self.holder_keys),
            in_flight=list(self.in_flight),
        )

    def _clock(self, contender: bool) -> float:
        return self.now * (1 - DRIFT if contender else 1 + DRIFT)

    # -- moves of the lease model

    def moves(self) -> Iterator[str]:  # noqa: C901  (to be split by concern)
        for number, holder in enumerate(self.holders):
            if not holder.held and not holder.pending:
                yield f"take {number}"
            elif self._clock(True) >= holder.next_due_ms():
                yield f"tick {number}"
            if holder.held:
                if self.remaining["give"]:
                    yield f"give {number}"
                if self.remaining["effect"] and self._clock(True) < holder.usable_until_ms(LEASE):
                    yield f"effect {number}"
            if self.remaining["restart"]:
                yield f"restart contender {number}"
        if self.remaining["restart"]:
            for number in range(len(self.acceptors)):
                yield f"restart voter {number}"
        for position, message in enumerate(self.in_flight):
            if position and message == self.in_flight[position - 1]:
                continue
            yield f"deliver {message_name(message)}"
            if self.remaining["double"]:
                yield f"double {message_name(message)}"
        if self.now < 4 * TERM_MS:
            yield "wait"

    def apply(self, move: str) -> None:
        kind, _, rest = move.partition(" ")
        if kind == "wait":
            self.now += self.wait_fraction * TERM_MS
        elif kind == "restart":
            self.remaining["restart"] -= 1
            who, which = rest.split()
            if who == "voter":
                self._replace_acceptor(int(which), self.types[1](self.terms, self._clock(False)))
            else:
                self.incarnations += 1
                self.holders[int(which)] = self.types[0](self.terms, int(which), self.incarnations, 0)
                self._send_pending(int(which))
        elif kind in ("deliver", "double"):
            message = next(message for message in self.in_flight if message_name(message) == rest)
            if kind == "double":
                self.remaining["double"] -= 1
            else:
                self.in_flight.remove(message)
            self._deliver(message)
        else:
            self._move_contender(kind, int(rest))
        self._check_invariants()

    def _replace_acceptor(self, number: int, acceptor: Acceptor) -> None:
        self.acceptors[number], self.acceptor_keys[number] = acceptor, _acceptor_key(acceptor)

    def _fork_holder_of(self, number: int) -> LeaseHolder:
        holder = self.holders[number] = _fork_holder(self.holders[number])
        return holder

    def _move_contender(self, kind: str, number: int) -> None:
        now = self._clock(True)
        if kind == "effect":  # the clock was checked before this move; the contender may stall from here
            self.remaining["effect"] -= 1
            self._send("effect", number, self.holders[number].held[LEASE].token)
            return
        holder = self._fork_holder_of(number)
        holder.expire(now)
        if kind == "take":
            holder.acquire(now, [LEASE])
        elif kind == "give":
            self.remaining["give"] -= 1
            holder.release(LEASE)
        holder.on_timer(now)
        self._send_pending(number)

    def _send(self, *message: Any) -> None:
        insort(self.in_flight, message, key=message_name)

    def _send_pending(self, number: int) -> None:
        holder = self.holders[number]
        while holder.changes or holder.to_release or holder.to_send:
            for change in holder.changes:
                if isinstance(change, LeaseAcquired):
                    if change.token in self.issued_tokens:
                        self._violation = "a fencing token was issued twice"
                    self.issued_tokens |= {change.token}
            holder.changes = []
            gives, holder.to_release = holder.releasable(), {}
            if gives:
                holder.serial += 1
                for acceptor in range(len(self.acceptors)):
                    self._send("give", number, acceptor, holder.serial, holder.incarnation)
            requests, holder.to_send = holder.to_send, []
            for request in requests:
                for acceptor in range(len(self.acceptors)):
                    for counter in holder.missing_grants(request, acceptor).values():
                        self._send("ask", number, acceptor, request.serial, holder.incarnation, counter)
        self.holder_keys[number] = _holder_key(holder)

    def _deliver(self, message: tuple[Any, ...]) -> None:
        kind, number = message[0], message[1]
        if kind == "effect":
            token = message[2]
            self.fence = copy_with(self.fence, _highest=dict(self.fence._highest))
            if self.fence.admit(DUTY, token):
                if token < self.highest_admitted:
                    self._violation = "an effect was admitted after one with a higher token"
                self.highest_admitted = max(self.highest_admitted, token)
        elif kind == "answer":
            _, _, acceptor, serial, incarnation, vote, highest = message
            holder, now = self._fork_holder_of(number), self._clock(True)
            holder.expire(now)
            row = LeaseVote(LEASE, Vote(vote), False, highest, NO_HOLDER)
            holder.on_response(
                now, acceptor, Message(MessageKind.RESPONSE, 0, 0, serial, 0, incarnation, votes=(row,))
            )
            self._send_pending(number)
        else:
            position, serial, owner = message[2], message[3], (number, message[4])
            acceptor = _fork_acceptor(self.acceptors[position])
            if kind == "give":
                acceptor.on_release(LEASE, owner, serial)
            else:
                vote = acceptor.on_request(self._clock(False), LEASE, owner, message[5], serial)
                if vote is not None:
                    self._send("answer", number, position, serial, owner[1], int(vote.vote), vote.counter)
            self._replace_acceptor(position, acceptor)

    # -- invariants of the lease model

    def _check_invariants(self) -> None:
        holders = 0
        for holder in self.holders:
            for held in holder.held.values():
                if self.now < (held.requested_ms + TERM_MS) / (1 - DRIFT):
                    holders += 1
                    if held.token in self.expired_tokens:
                        self._violation = self._violation or "an expired lease was renewed under its token"
                elif held.token not in self.expired_tokens:
                    self.expired_tokens |= {held.token}
        if holders > 1:
            self._violation = self._violation or "two contenders hold the lease"

    def violation(self) -> str:
        return self._violation

    def key(self) -> Hashable:
        return (
            self.now,
            *self.remaining.values(),
            tuple(self.in_flight),
            self.highest_admitted,
            self.issued_tokens,
            self.expired_tokens,
            self._violation,
            self.fence.highest(DUTY),
            tuple(self.holder_keys),
            tuple(self.acceptor_keys),
        )


HELD = (
    "take 0",
    "deliver ask 0 0 1 1 1",
    "deliver ask 0 1 1 1 1",
    "deliver answer 0 0 1 1 0 1",
    "deliver answer 0 1 1 1 0 1",
)
RENEWED_LATE = (*HELD, "wait", "tick 0", "deliver ask 0 0 2 1 1", "deliver ask 0 1 2 1 1", "wait")
TAKEN_AGAIN = (
    *HELD,
    "give 0",
    "take 0",
    "deliver ask 0 0 3 1 2",
    "deliver ask 0 1 3 1 2",
    "deliver answer 0 0 3 1 0 2",
    "deliver answer 0 1 3 1 0 2",
)
INITIAL_HISTORIES: dict[str, tuple[str, ...]] = {
    "nothing": (),  # initial state: no contender has requested the lease
    "held": HELD,  # contender 0 holds the lease, granted by acceptors 0 and 1
    "given": (*HELD, "give 0"),  # contender 0 has released the lease; its release messages are in flight
    "renewed-late": RENEWED_LATE,  # contender 0 has requested a renewal; the responses are delayed
    "taken-again": TAKEN_AGAIN,  # contender 0 has reacquired the lease; its release is still in flight
}


def begin(name: str, acceptors: int, **more: Any) -> Leases:
    """Returns the state after the named initial history; `more` is passed to Leases."""
    state = Leases(acceptors, **more)
    for move in INITIAL_HISTORIES[name]:
        state.apply(move)
    return state


# -- planted bugs of the lease protocol, which the exploration must find


class ForgetsSilence(Acceptor):
    """An acceptor that votes immediately after its start instead of waiting until old grants have expired."""

    def __init__(self, terms: LeaseTerms, now_ms: float) -> None:
        super().__init__(terms, now_ms)
        self.startup_wait_until_ms = now_ms


class CountsFromAnswer(LeaseHolder):
    """A holder that counts the lease's term from the response instead of from its request."""

    def _decide(self, now_ms: float, request: LeaseRequest, lease: int) -> None:
        if len(request.grants.get(lease, ())) >= self._terms.quorum:
            request.requested_ms = now_ms
        super()._decide(now_ms, request, lease)


class TokenTwice(LeaseHolder):
    """A holder that acquires a lease again under the fencing token of its earlier acquisition."""

    def next_counter(self, least: int = 0) -> int:
        return max(1, self.counter)


class RenewsAfterTheEnd(LeaseHolder):
    """A holder that keeps an expired lease while a request is pending, and so can renew it."""

    def expire(self, now_ms: float) -> None:
        if not self.pending:
            super().expire(now_ms)


class BelievesLateAnswers(LeaseHolder):
    """A holder that counts a response to an earlier request for its pending request."""

    def on_response(self, now_ms: float, acceptor: int, message: Message) -> LeaseRequest | None:
        for request in self.pending.values():
            message = message._replace(serial=request.serial)
        return super().on_response(now_ms, acceptor, message)


class FenceByCounter(Fence):
    """A fence that admits a token with the highest counter even if it belongs to another owner."""

    def admit(self, duty: str, token: int) -> bool:
        if token_counter(token) == token_counter(self.highest(duty)):
            return True
        return super().admit(duty, token)


class GivesWhatIsAsked(LeaseHolder):
    """A holder that sends a release although it has requested the same lease again."""

    def releasable(self) -> list[int]:
        return list(self.to_release)


class BelievesLateGives(Acceptor):
    """An acceptor that accepts a release although the owner has requested the lease again since."""

    def on_release(self, lease: int, owner: tuple[int, int], serial: int) -> bool:
        grant = self.grants.get(lease)
        if grant is not None and grant.owner == owner:
            serial = max(serial, grant.serial)
        return super().on_release(lease, owner, serial)


PLANTS: dict[str, dict[str, Any]] = {
    "forgets-silence": {"acceptor": ForgetsSilence},
    "counts-from-answer": {"holder": CountsFromAnswer},
    "token-twice": {"holder": TokenTwice},
    "renews-after-the-end": {"holder": RenewsAfterTheEnd},
    "believes-late-answers": {"holder": BelievesLateAnswers},
    "fence-takes-equal": {"fence": FenceByCounter},
    "gives-what-is-asked": {"holder": GivesWhatIsAsked},
    "believes-late-gives": {"acceptor": BelievesLateGives},
}
