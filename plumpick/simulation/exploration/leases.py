"""Ownership, explored: two contenders, two or three voters, one lease, a receiver with a fence.

Every word that was sent stays on its way until it is delivered, however late (a loss is a word that never
is); it may be delivered and stay, so that it comes again. Time passes by half a term, at the worst rates:
contenders' clocks slow, voters' fast. A contender looks at its clock before an effect; the effect comes to
the receiver at any time after. Anybody may be restarted, and has forgotten everything; counters begin at
nothing, so nothing rests on time of day."""

from __future__ import annotations

from bisect import insort
from collections.abc import Hashable, Iterator
from dataclasses import replace
from typing import Any

from plumpick.gateway.cluster.fence import Fence
from plumpick.policy.leases.acceptor import Grant, Voter
from plumpick.policy.leases.codec import NOBODY, Kind, Verdict, Word
from plumpick.policy.leases.lease_holder import Asking, Gained, Holder
from plumpick.policy.leases.terms import Terms, counter_of
from plumpick.simulation.exploration.search import fork_of, name_of

TERM_MS, DRIFT, PART = 1000.0, 0.01, 0.52  # PART of a term passes at once, unless another is named
LEASE, DUTY = 0, "duty"


def _fork_holder(holder: Holder) -> Holder:
    askings = {id(asking): _fork_asking(asking) for asking in holder.open.values()}
    return fork_of(
        holder,
        changes=[],
        to_send=[],
        to_give={},
        held={lease: replace(held) for lease, held in holder.held.items()},
        open={lease: askings[id(asking)] for lease, asking in holder.open.items()},
    )


def _fork_asking(one: Asking) -> Asking:
    return Asking(
        one.serial,
        one.asked_ms,
        dict(one.leases),
        one.taking,
        one.tries,
        {lease: set(voters) for lease, voters in one.yes.items()},
        {lease: dict(said) for lease, said in one.no.items()},
        dict(one.better),
        one.resend_ms,
        one.wait_ms,
    )


def _fork_voter(voter: Voter) -> Voter:
    return fork_of(
        voter,
        grants={lease: Grant(one.token, one.serial, one.until_ms) for lease, one in voter.grants.items()},
        highest=dict(voter.highest),
        given_back=dict(voter.given_back),
    )


def _holder_key(holder: Holder) -> Any:
    return (
        holder.life,
        holder.counter,
        holder.serial,
        tuple((held.token, held.asked_ms) for held in holder.held.values()),
        tuple(
            (
                one.serial,
                one.asked_ms,
                one.taking,
                tuple(one.leases.items()),
                one.resend_ms,
                one.tries,
                tuple(sorted(one.yes.get(LEASE, ()))),
                tuple(sorted(one.no.get(LEASE, {}).items())),
            )
            for one in holder.open.values()
        ),
    )


def _voter_key(voter: Voter) -> Any:
    grants = tuple((one.token, one.serial, one.until_ms) for one in voter.grants.values())
    return voter.silent_until_ms, grants, tuple(voter.highest.items()), tuple(voter.given_back.items())


class Leases:
    """A state. `restarts`, `doubles`, `effects` and `gives` are how many a history may have. Holders and
    voters are shared with the state that it was forked from until they change."""

    def __init__(
        self,
        voters: int = 3,
        restarts: int = 1,
        doubles: int = 1,
        effects: int = 2,
        gives: int = 1,
        part: float = PART,
        holder: type[Holder] = Holder,
        voter: type[Voter] = Voter,
        fence: type[Fence] = Fence,
    ) -> None:
        self.make, self.part = (holder, voter), part
        self.terms = Terms(tuple(range(voters)), 1, 0, TERM_MS, DRIFT)
        self.now = 0.0
        self.left = {"restart": restarts, "double": doubles, "effect": effects, "give": gives}
        self.voters = [voter(self.terms, -10 * TERM_MS) for _ in range(voters)]
        self.holders = [holder(self.terms, number, number + 1, 0) for number in range(2)]
        self.voter_keys = [_voter_key(one) for one in self.voters]
        self.holder_keys = [_holder_key(one) for one in self.holders]
        self.lives = 2
        self.fence = fence()
        self.on_the_way: list[tuple[Any, ...]] = []
        self.taken = 0  # the largest token whose effect the receiver took
        self.gained: frozenset[int] = frozenset()
        self.over: frozenset[int] = frozenset()  # tokens whose lease had ended
        self.wrong = ""

    def fork(self) -> Leases:
        return fork_of(
            self,
            left=dict(self.left),
            voters=list(self.voters),
            holders=list(self.holders),
            voter_keys=list(self.voter_keys),
            holder_keys=list(self.holder_keys),
            on_the_way=list(self.on_the_way),
        )

    def _clock(self, contender: bool) -> float:
        return self.now * (1 - DRIFT if contender else 1 + DRIFT)

    # -- moves

    def moves(self) -> Iterator[str]:  # noqa: C901  (to be split by concern)
        for number, holder in enumerate(self.holders):
            if not holder.held and not holder.open:
                yield f"take {number}"
            elif self._clock(True) >= holder.next_ms():
                yield f"tick {number}"
            if holder.held:
                if self.left["give"]:
                    yield f"give {number}"
                if self.left["effect"] and self._clock(True) < holder.stop_ms(LEASE):
                    yield f"effect {number}"
            if self.left["restart"]:
                yield f"restart contender {number}"
        if self.left["restart"]:
            for number in range(len(self.voters)):
                yield f"restart voter {number}"
        for place, word in enumerate(self.on_the_way):
            if place and word == self.on_the_way[place - 1]:
                continue
            yield f"deliver {name_of(word)}"
            if self.left["double"]:
                yield f"double {name_of(word)}"
        if self.now < 4 * TERM_MS:
            yield "wait"

    def play(self, move: str) -> None:
        kind, _, rest = move.partition(" ")
        if kind == "wait":
            self.now += self.part * TERM_MS
        elif kind == "restart":
            self.left["restart"] -= 1
            who, which = rest.split()
            if who == "voter":
                self._voter(int(which), self.make[1](self.terms, self._clock(False)))
            else:
                self.lives += 1
                self.holders[int(which)] = self.make[0](self.terms, int(which), self.lives, 0)
                self._flush(int(which))
        elif kind in ("deliver", "double"):
            word = next(word for word in self.on_the_way if name_of(word) == rest)
            if kind == "double":
                self.left["double"] -= 1
            else:
                self.on_the_way.remove(word)
            self._deliver(word)
        else:
            self._contender(kind, int(rest))
        self._judge()

    def _voter(self, number: int, voter: Voter) -> None:
        self.voters[number], self.voter_keys[number] = voter, _voter_key(voter)

    def _holder(self, number: int) -> Holder:
        holder = self.holders[number] = _fork_holder(self.holders[number])
        return holder

    def _contender(self, kind: str, number: int) -> None:
        now = self._clock(True)
        if kind == "effect":  # its look at the clock: from here on it may stand still
            self.left["effect"] -= 1
            self._send("effect", number, self.holders[number].held[LEASE].token)
            return
        holder = self._holder(number)
        holder.expire(now)
        if kind == "take":
            holder.take(now, [LEASE])
        elif kind == "give":
            self.left["give"] -= 1
            holder.give(LEASE, "given back")
        holder.tick(now)
        self._flush(number)

    def _send(self, *word: Any) -> None:
        insort(self.on_the_way, word, key=name_of)

    def _flush(self, number: int) -> None:
        holder = self.holders[number]
        while holder.changes or holder.to_give or holder.to_send:
            for change in holder.changes:
                if isinstance(change, Gained):
                    if change.token in self.gained:
                        self.wrong = "a token is used twice"
                    self.gained |= {change.token}
            holder.changes = []
            gives, holder.to_give = holder.gives(), {}
            if gives:
                holder.serial += 1
                for voter in range(len(self.voters)):
                    self._send("give", number, voter, holder.serial, holder.life)
            askings, holder.to_send = holder.to_send, []
            for asking in askings:
                for voter in range(len(self.voters)):
                    for counter in holder.waits_for(asking, voter).values():
                        self._send("ask", number, voter, asking.serial, holder.life, counter)
        self.holder_keys[number] = _holder_key(holder)

    def _deliver(self, word: tuple[Any, ...]) -> None:
        kind, number = word[0], word[1]
        if kind == "effect":
            token = word[2]
            self.fence = fork_of(self.fence, _highest=dict(self.fence._highest))
            if self.fence.admit(DUTY, token):
                if token < self.taken:
                    self.wrong = "an effect is taken after one with a larger token"
                self.taken = max(self.taken, token)
        elif kind == "answer":
            _, _, voter, serial, life, verdict, highest = word
            holder, now = self._holder(number), self._clock(True)
            holder.expire(now)
            row = (LEASE, Verdict(verdict), False, highest, NOBODY)
            holder.answered(now, voter, Word(Kind.ANSWER, 0, 0, serial, 0, life, answered=(row,)))
            self._flush(number)
        else:
            place, serial, owner = word[2], word[3], (number, word[4])
            voter = _fork_voter(self.voters[place])
            if kind == "give":
                voter.give(LEASE, owner, serial)
            else:
                said = voter.ask(self._clock(False), LEASE, owner, word[5], serial)
                if said is not None:
                    self._send("answer", number, place, serial, owner[1], int(said[0]), said[1])
            self._voter(place, voter)

    # -- promises

    def _judge(self) -> None:
        holders = 0
        for holder in self.holders:
            for held in holder.held.values():
                if self.now < (held.asked_ms + TERM_MS) / (1 - DRIFT):
                    holders += 1
                    if held.token in self.over:
                        self.wrong = self.wrong or "a lease that had ended goes on under the same token"
                elif held.token not in self.over:
                    self.over |= {held.token}
        if holders > 1:
            self.wrong = self.wrong or "two hold the lease"

    def broken(self) -> str:
        return self.wrong

    def key(self) -> Hashable:
        return (
            self.now,
            *self.left.values(),
            tuple(self.on_the_way),
            self.taken,
            self.gained,
            self.over,
            self.wrong,
            self.fence.highest(DUTY),
            tuple(self.holder_keys),
            tuple(self.voter_keys),
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
BEGINS: dict[str, tuple[str, ...]] = {
    "nothing": (),  # nobody has asked
    "held": HELD,  # the first contender holds the lease, by the first two voters
    "given": (*HELD, "give 0"),  # and has just given it back: its words are on their way
    "renewed-late": RENEWED_LATE,  # it has asked to renew, and the answers are on their way for long
    "taken-again": TAKEN_AGAIN,  # it gave it back and has it anew; the words that gave it are on their way
}


def begin(name: str, voters: int, **more: Any) -> Leases:
    """A state to explore from."""
    state = Leases(voters, **more)
    for move in BEGINS[name]:
        state.play(move)
    return state


# -- planted bugs, each a way in which a lease can be got wrong


class ForgetsSilence(Voter):
    """A voter that speaks at once after its start."""

    def __init__(self, terms: Terms, now_ms: float) -> None:
        super().__init__(terms, now_ms)
        self.silent_until_ms = now_ms


class CountsFromAnswer(Holder):
    """The lease's end counts from the answer, not from the asking."""

    def _settle(self, now_ms: float, asking: Asking, lease: int) -> None:
        if len(asking.yes.get(lease, ())) >= self._terms.majority:
            asking.asked_ms = now_ms
        super()._settle(now_ms, asking, lease)


class TokenTwice(Holder):
    """It takes the lease anew under the token that it had."""

    def next_counter(self, least: int = 0) -> int:
        return max(1, self.counter)


class RenewsAfterTheEnd(Holder):
    """What has ended is not let go of while an answer may still come."""

    def expire(self, now_ms: float) -> None:
        if not self.open:
            super().expire(now_ms)


class BelievesLateAnswers(Holder):
    """An answer to any asking counts for the open one."""

    def answered(self, now_ms: float, voter: int, word: Word) -> Asking | None:
        for asking in self.open.values():
            word = word._replace(serial=asking.serial)
        return super().answered(now_ms, voter, word)


class FenceByCounter(Fence):
    """A fence that takes an equal token of another owner."""

    def admit(self, duty: str, token: int) -> bool:
        if counter_of(token) == counter_of(self.highest(duty)):
            return True
        return super().admit(duty, token)


class GivesWhatIsAsked(Holder):
    """A word that gives back is sent behind a new asking for the same lease."""

    def gives(self) -> list[int]:
        return list(self.to_give)


class BelievesLateGives(Voter):
    """A word that gives back counts also where the lease was asked for since."""

    def give(self, lease: int, owner: tuple[int, int], serial: int) -> bool:
        grant = self.grants.get(lease)
        if grant is not None and grant.owner == owner:
            serial = max(serial, grant.serial)
        return super().give(lease, owner, serial)


PLANTS: dict[str, dict[str, Any]] = {
    "forgets-silence": {"voter": ForgetsSilence},
    "counts-from-answer": {"holder": CountsFromAnswer},
    "token-twice": {"holder": TokenTwice},
    "renews-after-the-end": {"holder": RenewsAfterTheEnd},
    "believes-late-answers": {"holder": BelievesLateAnswers},
    "fence-takes-equal": {"fence": FenceByCounter},
    "gives-what-is-asked": {"holder": GivesWhatIsAsked},
    "believes-late-gives": {"voter": BelievesLateGives},
}
