"""One gatekeeper's side: which version of the settings is in force, which is staged and from when, which were
refused and why; what to ask next, of whom, when, and what to tell.

A version comes into force whole or not at all, and numbers only go up: to go back, the old content is
published under a new number. Danger: what an answer says was true when it left. It may come late, twice, or
behind a newer one, and between looking at it and taking it another may have been taken: `take` looks again.

Time. A change is told at once to a watch that waits for it. A watch that has fallen silent ends after WAIT_MS
+ SPARE_MS; then the next address is asked for what there is, within ASK_MS, and so on: `worst_ms` is the sum.
550 gatekeepers whose service died have each their own slot in a round, by number, that doubles."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import Any

from plumpick.policy.dynamic_config.delta import DeltaError, Settings, applied, digest, shared

TOLD_MS = 6000.0  # the operators' term, from publishing to in force everywhere
WAIT_MS, SPARE_MS = 2000.0, 500.0  # a watch; and so much later it is broken
ASK_MS = 1000.0  # to connect; and for what is answered at once
NOW_MS = 1.0  # how long a first call of an address waits
ANSWER_MS = 3000.0  # for the rest of a long answer, once it has begun
FIRST_ROUND_MS, MOST_ROUND_MS = 100.0, 2000.0  # between calls that fail; doubled each time
GAP_MS = 20.0  # after news: a service that always has some is not asked without a pause
STAY = 10  # quiet watches at one address; then another is asked: it may have heard of more
MOST_AHEAD_MS = 86_400_000.0  # a version that is to come into force later than this is refused
MOST_REFUSED = 16  # remembered; the lowest number leaves
MOST_WHY = 200  # characters of a reason
MOST_VERSION = 2**53  # JSON numbers are whole up to here


def worst_ms(silent: int) -> float:
    """From a change to its being told, where so many addresses in turn are silent and the next is not."""
    rounds = (2 * min(MOST_ROUND_MS, FIRST_ROUND_MS * 2.0**place) for place in range(silent))
    return (WAIT_MS + SPARE_MS if silent else 0.0) + sum(rounds) + max(0, silent - 1) * ASK_MS


class Unusable(ValueError):
    """An answer of a service that cannot be taken for what it says; says nothing of the version."""


@dataclass(frozen=True, slots=True)
class Offer:
    """An answer: the whole settings, or the changes from a base."""

    version: int
    digest: str
    in_force_ms: float  # Unix ms
    settings: Settings | None
    changes: Any = None
    base: int = 0
    base_digest: str = ""


@dataclass(frozen=True, slots=True)
class Content:
    """A version with its settings, which are never changed. Version 0: those of the gatekeeper's own file."""

    version: int
    digest: str
    in_force_ms: float
    settings: Settings


@dataclass(frozen=True, slots=True)
class Refused:
    """A version that is not taken, and why: one line."""

    digest: str
    why: str


@dataclass(frozen=True, slots=True)
class Call:
    """What to ask, of which address, after how long; and what to tell with it."""

    address: int
    after_ms: float
    wait_ms: float  # so long the service may wait for news
    within_ms: float  # when its answer is overdue
    since: int  # the newest version that we have,
    digest: str  # and its digest: the base for a delta; "": send the whole
    in_force: int
    in_force_digest: str
    staged: int  # 0: none
    refused: int  # the highest that was refused: neither it nor what is older is wanted; 0: none
    why: str


class Wish(Enum):
    """What to do with an offer."""

    READ = "read"
    OLD = "an older version, or the one at hand"
    BEFORE = "a version that was refused before"
    CONFLICT = "another digest under a number at hand"
    WHOLE = "changes from another base"


def _whole_number(value: Any, least: int) -> int:
    if type(value) is not int or not least <= value <= MOST_VERSION:
        raise Unusable(f"{value!r:.40} is no version")
    return int(value)


def _digest(value: Any) -> str:
    if not isinstance(value, str) or len(value) != 64 or set(value) - set("0123456789abcdef"):
        raise Unusable(f"{value!r:.80} is no digest")
    return value


def offer_from(value: Any) -> Offer:
    """An offer in the service's JSON; raises Unusable."""
    if not isinstance(value, dict):
        raise Unusable("an answer that is no object")
    at_ms = value.get("in_force_ms")
    if type(at_ms) not in (int, float) or not 0 <= at_ms <= MOST_VERSION:
        raise Unusable("in_force_ms is no time")
    version, its = _whole_number(value.get("version"), 1), _digest(value.get("digest"))
    settings, changes = value.get("settings"), value.get("changes")
    if isinstance(settings, dict):
        return Offer(version, its, float(at_ms), shared(settings))
    if not isinstance(changes, dict):
        raise Unusable("neither settings nor changes")
    return Offer(
        version,
        its,
        float(at_ms),
        None,
        changes,
        _whole_number(value.get("base"), 1),
        _digest(value.get("base_digest")),
    )


def read(offer: Offer, base: Content) -> Content:
    """The settings that an offer makes of its base, with the digest that it names; raises Unusable."""
    try:
        if offer.settings is not None:
            settings = offer.settings
        elif (offer.base, offer.base_digest) != (base.version, base.digest):
            raise Unusable("changes from another base")
        else:
            settings = applied(base.settings, offer.changes)
        if digest(settings) != offer.digest:
            raise Unusable("the digest is not that of the settings")
    except DeltaError as problem:
        raise Unusable(str(problem)) from problem
    return Content(offer.version, offer.digest, offer.in_force_ms, settings)


class Versions:
    """Where one gatekeeper is with its settings. `number` of `gateways`: its slot among all; `addresses`: how
    many services there are; `rng`: jitter. Times are Unix ms, by the clock that all machines read."""

    def __init__(self, number: int, gateways: int, addresses: int, rng: random.Random, now: float) -> None:
        self._place, self._each = (number % max(1, gateways)) / max(1, gateways), 1 / max(1, gateways)
        self._addresses, self._rng = addresses, rng
        self.in_force = Content(0, "", 0.0, {})
        self.staged: Content | None = None
        self.refused: dict[int, Refused] = {}
        self.address = number % addresses
        self.failures = 0  # in a row
        self._quiet = 0  # watches at this address that brought nothing
        self._goes_on = False  # this address has answered, and a watch may wait there
        self._want_whole = self._had_news = False
        self.heard_ms = now  # when a service answered last, or since when none has

    @property
    def newest(self) -> Content:
        """The newest version that is at hand."""
        return self.staged or self.in_force

    # -- what to ask

    def next(self, now: float) -> Call:
        """The call to make now."""
        after_ms = GAP_MS if self._had_news else 0.0
        if self.failures:
            round_ms = min(MOST_ROUND_MS, FIRST_ROUND_MS * 2.0 ** min(self.failures - 1, 30))
            after_ms = (self._place * round_ms - now) % round_ms + self._rng.random() * self._each * round_ms
        wait_ms, within_ms = (WAIT_MS, WAIT_MS + SPARE_MS) if self._goes_on else (NOW_MS, ASK_MS)
        newest, refused = self.newest, max(self.refused, default=0)
        return Call(
            self.address,
            after_ms,
            wait_ms,
            within_ms,
            newest.version,
            "" if self._want_whole else newest.digest,
            self.in_force.version,
            self.in_force.digest,
            self.staged.version if self.staged else 0,
            refused,
            self.refused[refused].why if refused else "",
        )

    def quiet(self, now: float, call: Call, took_ms: float) -> str:
        """The service has nothing new; returns what is wrong with that, which counts as a failure."""
        if call.wait_ms >= WAIT_MS and took_ms < WAIT_MS / 2:
            return self.failed("an answer without news before its time")
        self._heard(now)
        self._quiet += 1
        if self._quiet >= STAY and self._addresses > 1:
            self._move()
        return ""

    def failed(self, problem: str) -> str:
        """A call has come to nothing, or brought what is of no use: another address is next."""
        self.failures += 1
        self._move()
        return problem

    def _move(self) -> None:
        self.address = (self.address + 1) % self._addresses
        self._quiet, self._goes_on, self._had_news = 0, False, False

    def _heard(self, now: float) -> None:
        self.heard_ms, self.failures, self._goes_on, self._had_news = now, 0, True, False

    # -- what comes

    def wish(self, offer: Offer) -> Wish:
        """Whether an offer is worth reading."""
        for held in (self.in_force, self.staged):
            if held is not None and offer.version == held.version and offer.digest != held.digest:
                return Wish.CONFLICT
        if offer.version <= self.newest.version:
            return Wish.OLD
        if offer.version in self.refused:
            return Wish.BEFORE
        if offer.settings is None and (offer.base, offer.base_digest) != (
            self.newest.version,
            self.newest.digest,
        ):
            return Wish.WHOLE
        return Wish.READ

    def declined(self, now: float, offer: Offer, wish: Wish) -> str:
        """An offer that was not worth reading: what to log."""
        if wish is Wish.CONFLICT:
            self._refuse(offer.version, offer.digest, "this number is in force or staged with another digest")
        if wish is Wish.WHOLE:
            self._want_whole = True
        return self.failed(f"version {offer.version}: {wish.value}")

    def unusable(self, problem: str) -> str:
        """An offer whose bytes do not make what it says: the whole is asked for, elsewhere first."""
        self._want_whole = True
        return self.failed(problem)

    def take(self, now: float, content: Content, problem: str) -> str:
        """A version has been read; `problem`: what is wrong with its settings, in one line. Returns what is
        wrong, or nothing: then it is staged. Another may have been taken since it was asked for."""
        self._heard(now)
        self._want_whole, self._had_news, self._quiet = False, True, 0
        if content.version <= self.newest.version or content.version in self.refused:
            return f"version {content.version}: {Wish.OLD.value}"
        if not problem and content.in_force_ms > now + MOST_AHEAD_MS:
            problem = "in_force_ms is more than a day ahead"
        if problem:
            self._refuse(content.version, content.digest, problem)
            return f"version {content.version} is refused: {problem}"
        self.staged = content
        return ""

    def due(self, now: float) -> Content | None:
        """The version that has to come into force now."""
        return self.staged if self.staged is not None and self.staged.in_force_ms <= now else None

    def put(self, content: Content, problem: str) -> None:
        """The gatekeeper took a version over, or refused it: then nothing has changed."""
        if problem:
            self._refuse(content.version, content.digest, problem)
        else:
            self.in_force = content
        if self.staged is not None and (
            self.staged is content or self.staged.version <= self.in_force.version
        ):
            self.staged = None

    def outdone(self, content: Content) -> bool:
        """Whether what the process before had in force is newer than what is in force here: then it is put
        in force at once, whatever is staged."""
        return content.version > self.in_force.version and content.version not in self.refused

    def _refuse(self, version: int, its: str, why: str) -> None:
        line = "".join(c if c.isprintable() else " " for c in why)[:MOST_WHY]
        self.refused.setdefault(version, Refused(its, line))
        while len(self.refused) > MOST_REFUSED:
            del self.refused[min(self.refused)]

    # -- what to tell

    def line(self, now: float) -> str:
        """For staff: one line."""
        held, parts = self.in_force, []
        parts.append(f"version {held.version} {held.digest[:12] or '(own file)'} in force")
        if self.staged is not None:
            after_s = max(0.0, self.staged.in_force_ms - now) / 1000
            parts.append(f"{self.staged.version} {self.staged.digest[:12]} staged for in {after_s:.1f} s")
        for version in sorted(self.refused, reverse=True)[:1]:
            one = self.refused[version]
            parts.append(f"{version} {one.digest[:12]} refused ({one.why})")
        parts.append(f"service heard {max(0.0, now - self.heard_ms) / 1000:.1f} s ago")
        return "; ".join(parts)
