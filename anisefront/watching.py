"""What to ask discovery next, and when. No I/O, no clock.

Two kinds of discovery. An agent of our own answers at once and at no cost: it is asked for the whole list,
then watched, and asked again soon after a failure. A service that all gateways share has calls wait in turn
and turns away what it cannot take in time. Danger: forty gateways that begin together, give up a call
before its turn has come and ask again twice a second keep it at its limit for good; seen: not one list in
33 s, 2,500 calls turned away. So there a watch begins from the list at hand (one call, not two, for what
has changed), waits for its turn, and after a failure comes again by exponential back-off with full jitter
(Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015): anywhere within a span that
doubles, so that calls do not fall in step."""

from __future__ import annotations

import random
from dataclasses import dataclass

CALL_MS = 1000.0  # for what is answered at once: to connect, and the whole list
WATCH_MS, WATCH_SPARE_MS = 5000.0, 1000.0  # a watch waits so long; one that is so much late is broken
FIRST_WAIT_MS, MOST_WAIT_MS = 20.0, 500.0  # between calls of an agent that fail; doubled each time
TURN_MS = 5000.0  # a call of a shared service may wait so long for its turn
# Within which the first call comes there, and one after a failure, doubled each time, for each gateway that
# may come at the same time: a service that takes one of each in some seconds has all in its line else.
START_SPAN_MS, AGAIN_SPAN_MS, MOST_SPAN_MS = 100.0, 200.0, 16_000.0


@dataclass(frozen=True, slots=True)
class Call:
    """One call: for the whole list, or for what has changed since a version."""

    since: int | None  # None: the whole list
    wait_ms: float  # how long a watch may wait for a change
    within_ms: float  # when an answer is overdue
    after_ms: float  # to let go by before it is made


class Watching:
    """Where one gateway is with discovery: the version it has, and how often it has failed in a row.

    `sharers`: how many gateways share one service; 0: it is an agent of our own. `index`: the version of the
    list at hand; None if there is none. `rng`: drawn from for a shared service alone."""

    def __init__(self, sharers: int, index: int | None, rng: random.Random) -> None:
        self.shared, self.index, self._rng = sharers > 0, index if sharers else None, rng
        self._sharers, self._begun, self.failures = sharers, False, 0

    def next(self) -> Call:
        """The call to make now."""
        after_ms = self._after_ms()
        if self.index is None:
            return Call(None, 0.0, TURN_MS if self.shared else CALL_MS, after_ms)
        spare_ms = TURN_MS if self.shared else WATCH_SPARE_MS
        return Call(self.index, WATCH_MS, WATCH_MS + spare_ms, after_ms)

    def _after_ms(self) -> float:
        doubled: float = 2.0 ** min(self.failures - 1, 30)
        if self.shared and not self._begun:
            self._begun = True
            return self._rng.random() * min(MOST_SPAN_MS, START_SPAN_MS * self._sharers)
        if not self.failures:
            return 0.0
        if self.shared:
            return self._rng.random() * min(MOST_SPAN_MS, AGAIN_SPAN_MS * self._sharers * doubled)
        return min(MOST_WAIT_MS, FIRST_WAIT_MS * doubled)

    def answered(self, index: int, complete: bool) -> str:
        """A list has come; returns what is wrong with it, which counts as a failure, or nothing."""
        before = self.index
        if before is None and not complete:
            return self.failed("a change came where the whole list was asked for")
        if before is not None and index < before and not complete:
            self.index = None  # it has begun anew, with versions of its own
            return self.failed("the version went back")
        self.index, self.failures = index, 0
        return ""

    def failed(self, problem: str = "") -> str:
        """A call has come to nothing. An agent is then asked for the whole list; of a shared service, whose
        answer would be long, for what we lack."""
        self.failures += 1
        if not self.shared:
            self.index = None
        return problem

    def afresh(self) -> None:
        """Begin with the whole list: discovery is elsewhere now, or what it told was lost here."""
        self.index, self.failures = None, 0
