"""One gatekeeper's part in the leases: what comes in, words out, and what it gains and loses.

`Member.handle(now_ms, events) -> actions` is the only way in, and `due_ms` says when it wants to be called
again. `now_ms` is a clock that goes on while the machine or the process stands still. In this order,
always: let go of what has ended; read what came; do what is due."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from plumpick.policy.leases.acceptor import Grant, Voter
from plumpick.policy.leases.clock_rates import Rates, Sample
from plumpick.policy.leases.codec import Kind, Verdict, Word, decode, encode
from plumpick.policy.leases.lease_holder import RESEND_MS, Asking, Change, Gained, Held, Holder, Lost, Refused
from plumpick.policy.leases.proposer import Caller, here_ms
from plumpick.policy.leases.terms import Terms, counter_of

TURN_AGAIN_MS = 400.0  # a turn that is wanted is asked for so often, and up to twice as seldom
GIVE_AGAIN = 2  # times that a word is said again that gives back
HAND_OVER_SERIALS = 1000  # a next process goes on so much further: what the last one sent is none of its own


@dataclass(frozen=True, slots=True)
class Came:
    """A message from another gatekeeper, known by its address."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Give:
    """The duty's work is over, or may not go on: give the lease back."""

    lease: int
    why: str = "given back"


@dataclass(frozen=True, slots=True)
class Outdone:
    """A receiver knows this token, larger than ours."""

    lease: int
    token: int


@dataclass(frozen=True, slots=True)
class WantTurn:
    """Get one of the turns, and keep it; or `not wanted`: give it back."""

    wanted: bool


@dataclass(frozen=True, slots=True)
class Leaving:
    """This process will end: no more slots for it. What it has is given back by Give, one after the other."""


Event = Came | Give | Outdone | WantTurn | Leaving


@dataclass(frozen=True, slots=True)
class Tell:
    """Send this to a gatekeeper."""

    receiver: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Note:
    """Business of a duty has come from a gatekeeper."""

    sender: int
    life: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Say:
    """A line for the log."""

    text: str
    warning: bool = True


Action = Tell | Note | Say | Change


class Member:
    """Tables: those of its parts; one entry a peer for what was said of its settings."""

    def __init__(
        self,
        terms: Terms,
        number: int,
        gateways: int,
        life: int,
        chance: Random,
        now_ms: float,
        unix_ms: float,
        votes: bool = True,
    ) -> None:
        """`unix_ms`: a hint of where counters may begin; nothing rests on it. Not `votes`: only from
        `vote`."""
        self.terms, self.number, self.life = terms, number, life
        self._gateways, self._chance = gateways, chance
        self.holder = Holder(terms, number, life, int(unix_ms))
        self.voter: Voter | None = None
        self.caller: Caller | None = None
        if votes:
            self.vote(now_ms)
        self.rates = Rates(terms.drift)
        self.leaving = self.closed = False
        self.turn_wanted = False
        self._turn_ms = math.inf  # when to ask for a turn
        self._here_ms = now_ms + chance.uniform(0, min(500.0, here_ms(gateways)))
        # Words that give back, to be said again: when, their serial, the leases, how often it was said.
        self._gives: list[tuple[float, int, tuple[tuple[int, int], ...], int]] = []
        self._others: set[int] = set()  # whose settings are not ours
        self._actions: list[Action] = []
        self.refusals: dict[int, str] = {}  # why a lease was not got, by lease
        self.due_ms = now_ms

    def vote(self, now_ms: float) -> None:
        """Be a voter from now on, if that is our part; silent at first, as after every start."""
        if self.number in self.terms.voters and self.voter is None:
            self.voter = Voter(self.terms, now_ms)
            self.caller = Caller(self.terms, self._gateways, now_ms)

    # -- in

    def handle(self, now_ms: float, events: Iterable[Event] = ()) -> list[Action]:
        """What is to be done. Raises nothing on what peers say."""
        self._actions = []
        if self.closed:
            return []
        self.holder.expire(now_ms)
        self._flush(now_ms)  # what has ended is told before anything that came is looked at
        for event in events:
            match event:
                case Came():
                    self._came(now_ms, event)
                case Give():
                    self.holder.give(event.lease, event.why)
                case Outdone():
                    self.holder.outdo(now_ms, event.lease, counter_of(event.token))
                case WantTurn():
                    self._want_turn(now_ms, event.wanted)
                case Leaving():
                    self.leaving, self._here_ms = True, now_ms
        self._due(now_ms)
        self._flush(now_ms)
        self.due_ms = self._next_ms(now_ms)
        return self._actions

    def _came(self, now_ms: float, event: Came) -> None:
        word = decode(event.data)
        if word is None or not 0 <= event.sender < self._gateways:
            return
        if word.digest != self.terms.digest:
            if event.sender not in self._others:
                self._others.add(event.sender)
                self._actions.append(
                    Say(
                        f"duties: the settings of gatekeeper {event.sender} are not ours; "
                        "its word counts for nothing here"
                    )
                )
            return
        self._others.discard(event.sender)
        self._word(now_ms, event.sender, word)

    def _word(self, now_ms: float, sender: int, word: Word) -> None:  # noqa: C901  (to be split by concern)
        voter, caller = self.voter, self.caller
        if word.kind is Kind.NOTE:
            self._actions.append(Note(sender, word.life, word.note))
        elif word.kind is Kind.ANSWER:
            self._answer(now_ms, sender, word)
        elif word.kind is Kind.CALL:
            if not self.leaving and sender in self.terms.voters:
                self.holder.take(now_ms, [lease for lease, _ in word.asked if lease < self.terms.slots])
        elif voter is None or caller is None:
            return
        elif word.kind is Kind.HERE:
            caller.here(now_ms, sender, word.life, bool(word.serial))
        elif word.kind is Kind.GIVE:
            for lease, _ in word.asked:
                voter.give(lease, (sender, word.life), word.serial)
        elif word.kind is Kind.ASK:
            rows = []
            for lease, counter in word.asked:
                said = voter.ask(now_ms, lease, (sender, word.life), counter, word.serial)
                if said is not None:
                    verdict, highest, holder = said
                    better = (
                        caller.better(now_ms, lease, sender)
                        if verdict is Verdict.YES
                        else (verdict is Verdict.HELD and voter.is_fresh(now_ms, lease))
                    )
                    rows.append((lease, verdict, better, highest, holder))
            if rows:
                self._send(now_ms, sender, Kind.ANSWER, word.serial, to_life=word.life, answered=tuple(rows))

    def _answer(self, now_ms: float, sender: int, word: Word) -> None:
        asking = self.holder.answered(now_ms, sender, word)
        if asking is None or sender == self.number:
            return
        changed = self.rates.answered(sender, Sample(word.life, asking.asked_ms, now_ms, word.clock))
        if changed is not None:
            self._actions.append(
                Say(
                    f"duties: the clock of gatekeeper {sender} and ours run apart by more than "
                    f"{self.terms.drift:.1%} each: the promise of one owner is off"
                    if changed
                    else f"duties: the clock of gatekeeper {sender} and ours run alike again",
                    changed,
                )
            )

    # -- due

    def _due(self, now_ms: float) -> None:
        holder, voter, caller = self.holder, self.voter, self.caller
        holder.tick(now_ms)
        if voter is not None and caller is not None:
            free, gone = voter.free(now_ms)
            for number, life in gone:
                caller.gone(number, life)
            for number, leases in caller.due(now_ms, free).items():
                self._send(now_ms, number, Kind.CALL, 0, asked=tuple((lease, 0) for lease in leases))
        again, self._gives = self._gives, []
        for row in again:
            if now_ms >= row[0]:
                self._give(now_ms, *row[1:])
            else:
                self._gives.append(row)
        if now_ms >= self._turn_ms:
            self._ask_turn(now_ms)
        if now_ms >= self._here_ms:
            self._here_ms = now_ms + here_ms(self._gateways) * self._chance.uniform(0.9, 1.1)
            for number in self.terms.voters:
                self._send(now_ms, number, Kind.HERE, int(self.leaving))

    def _turns(self) -> range:
        return range(self.terms.slots, self.terms.leases)

    def turn(self) -> int | None:
        """The turn that is held."""
        return next((lease for lease in self._turns() if lease in self.holder.held), None)

    def _want_turn(self, now_ms: float, wanted: bool) -> None:
        if wanted and not self.turn_wanted:
            self._turn_ms = now_ms
        self.turn_wanted = wanted
        if not wanted:
            self._turn_ms = math.inf
            for lease in self._turns():
                if lease in self.holder.held or lease in self.holder.open:
                    self.holder.give(lease, "given back")

    def _ask_turn(self, now_ms: float) -> None:
        """Chance spreads those who ask over the turns, and over time."""
        self._turn_ms = now_ms + TURN_AGAIN_MS * self._chance.uniform(1, 2)
        if self.turn() is None and not any(lease in self.holder.open for lease in self._turns()):
            self.holder.take(now_ms, [self._chance.choice(self._turns())])

    # -- out

    def _flush(self, now_ms: float) -> None:
        """Words and changes that have gathered; our own voter's word may bring more."""
        holder = self.holder
        while holder.to_send or holder.to_give or holder.changes:
            changes, holder.changes = holder.changes, []
            for change in changes:
                if isinstance(change, Gained):
                    self.refusals.pop(change.lease, None)
                elif isinstance(change, Lost | Refused):
                    self.refusals[change.lease] = change.why
                self._actions.append(change)
            gives, holder.to_give = holder.gives(), {}
            if gives:
                holder.serial += 1
                self._give(now_ms, holder.serial, tuple((lease, 0) for lease in gives), 0)
            askings, holder.to_send = holder.to_send, []
            for asking in askings:
                self._ask(now_ms, asking)

    def _give(self, now_ms: float, serial: int, leases: tuple[tuple[int, int], ...], sent: int) -> None:
        """Danger: where this word is lost the lease stays given, to nobody, for a term. So it is said
        again under its own serial, which says nothing of what is asked for later."""
        for number in self.terms.voters:
            self._send(now_ms, number, Kind.GIVE, serial, asked=leases)
        if sent < GIVE_AGAIN:
            self._gives.append((now_ms + RESEND_MS * 2**sent, serial, leases, sent + 1))

    def _ask(self, now_ms: float, asking: Asking) -> None:
        for number in self.terms.voters:
            rows = self.holder.waits_for(asking, number)
            if rows:
                self._send(now_ms, number, Kind.ASK, asking.serial, asked=tuple(rows.items()))

    def note(self, now_ms: float, receiver: int, data: bytes) -> Tell:
        """A message about a duty's business, of up to words.MAX_NOTE bytes."""
        word = Word(Kind.NOTE, self.terms.digest, self.life, 0, int(now_ms), note=data)
        return Tell(receiver, encode(word))

    def _send(
        self,
        now_ms: float,
        number: int,
        kind: Kind,
        serial: int,
        to_life: int = 0,
        asked: tuple[tuple[int, int], ...] = (),
        answered: tuple[tuple[int, Verdict, bool, int, int], ...] = (),
    ) -> None:
        word = Word(
            kind, self.terms.digest, self.life, serial, int(now_ms) & 0xFFFFFFFF, to_life, asked, answered
        )
        if number == self.number:
            self._word(now_ms, number, word)
        else:
            self._actions.append(Tell(number, encode(word)))

    def _next_ms(self, now_ms: float) -> float:
        times = [self.holder.next_ms(), self._here_ms, self._turn_ms, *(row[0] for row in self._gives)]
        if self.voter is not None and self.caller is not None:
            times += [self.voter.next_ms(now_ms), self.caller.next_ms()]
        return min(times)

    # -- an upgrade: one process after the other, one owner

    def estate(self) -> dict[str, Any]:
        """What the next process goes on from. From here on this one holds nothing, says nothing and hears
        nothing: whatever becomes of the estate, it is never at two."""
        holder, voter = self.holder, self.voter
        state: dict[str, Any] = {
            "life": self.life,
            "serial": holder.serial,
            "counter": holder.counter,
            "digest": self.terms.digest,
            "turn": self.turn_wanted,
            "held": [
                [lease, f"{held.token:x}", held.asked_ms, held.since_ms]
                for lease, held in holder.held.items()
            ],
        }
        if voter is not None:
            state["voter"] = {
                "silent": voter.silent_until_ms,
                "grants": [
                    [lease, f"{grant.token:x}", grant.serial, grant.until_ms]
                    for lease, grant in voter.grants.items()
                ],
                "highest": [[lease, f"{token:x}"] for lease, token in voter.highest.items()],
                "back": [[lease, *owner, serial] for lease, (owner, serial) in voter.given_back.items()],
            }
        self.closed = True
        return state

    def inherit(self, now_ms: float, state: dict[str, Any], votes: bool = True) -> None:
        """Go on from there, as voter too if it `votes`; raises ValueError where it cannot be, and then
        nothing has changed. The settings have to be alike: else it is a start like any other, and what was
        held ends by its time."""
        try:
            if state["digest"] != self.terms.digest:
                raise ValueError("its settings of duties are not ours")
            held = {
                int(lease): Held(int(token, 16), float(asked), float(since))
                for lease, token, asked, since in state["held"]
            }
            life, serial = int(state["life"]), int(state["serial"]) + HAND_OVER_SERIALS
            counter, turn = int(state["counter"]), bool(state["turn"])
            rows = state.get("voter")
            if rows is not None:
                silent = float(rows["silent"])
                grants = {
                    int(lease): Grant(int(token, 16), int(number), float(until))
                    for lease, token, number, until in rows["grants"]
                }
                highest = {int(lease): int(token, 16) for lease, token in rows["highest"]}
                back = {
                    int(lease): ((int(number), int(other)), int(given))
                    for lease, number, other, given in rows["back"]
                }
        except (KeyError, TypeError, ValueError) as problem:
            raise ValueError(f"duties: what the process before left cannot be used: {problem}") from problem
        self.life = self.holder.life = life
        self.holder.serial, self.holder.held = serial, held
        self.holder.learn(counter)
        if votes and self.voter is not None and rows is not None:
            self.voter.silent_until_ms, self.voter.grants = silent, grants
            self.voter.highest, self.voter.given_back = highest, back
        self._want_turn(now_ms, turn)
