"""What to ask discovery next, and when. No I/O, no clock of its own.

A change counts as told 6 s after discovery had it and could be reached, whatever befell the calls meanwhile
(TOLD_MS). A watch that has fallen silent shows only by what it lacks, so watches are short; all that may
follow has to fit into the rest. `worst_ms` states the sum for either kind of discovery.

Two kinds of discovery. An agent of our own answers at once and at no cost: it is asked for the whole list,
then watched, and asked again soon after a failure. A service that all gateways share has calls wait in turn
and turns away what it cannot take in time. Danger: forty gateways that begin together, give up a call before
its turn has come and ask again twice a second keep it at its limit for good; seen: not one list in 33 s,
2,500 calls turned away. So there a watch begins from the list at hand (one call, not two, for what has
changed), and each gateway has its own slot, by its number, in a round that all share by the one clock: calls
are spread evenly whatever made all fail at once, and none goes out more often than once a round. (Full
jitter, which stood here before, bunches, and its span has to be several rounds: no change was told within 6
s.) Calls that were turned away cost the service nothing and come again in the next round; those that waited
for their turn in vain were worked on, so their gateway leaves out rounds."""

from __future__ import annotations

import random
from dataclasses import dataclass

TOLD_MS = 6000.0  # the operators' term
SPARE_MS = 200.0  # of it, for a busy loop: timers and answers that are taken late
CALL_MS = 1000.0  # for what is answered at once: to connect, and the whole list
# A watch of an agent waits so long; one that is so much late is broken. Then two calls may fail, and the
# third is in time: 2000 + 500 + (20 + 1000) + (40 + 1000) + (80 + 1000).
WATCH_MS, WATCH_SPARE_MS = 2000.0, 500.0
FIRST_WAIT_MS, MOST_WAIT_MS = 20.0, 500.0  # between calls of an agent that fail; doubled each time
# The same of a shared service, where a watch that goes on is no call: then its slot, at most a round away,
# and its turn, as long as such a service keeps a call waiting: 1000 + 300 + 2400 + 2000.
SHARED_WATCH_MS, SHARED_SPARE_MS = 1000.0, 300.0
ROUND_MS, TURN_MS = 2400.0, 2000.0
ROUND_EACH_MS = 500.0  # a few need no longer round than so much for each
FIRST_ROUND_MS = 1700.0  # at a new address: 4 s after SIGHUP what is there counts, and it is 1700 + 2000
# After a call that waited in vain the next is in one of so many rounds; after many, in one of more: it is not
# an outage, and the service works on calls that nobody waits for.
FEW_ROUNDS, MOST_ROUNDS, MANY_VAIN = 2, 8, 5
NOW_MS = 1.0  # a watch that begins asks for what there is


def worst_ms(shared: bool) -> float:
    """From a change to its being told, if the watch fell silent just before it. An agent's next two calls may
    fail; a shared service answers the next one."""
    if shared:
        return SHARED_WATCH_MS + SHARED_SPARE_MS + ROUND_MS + TURN_MS
    waits = (min(MOST_WAIT_MS, FIRST_WAIT_MS * 2.0**place) for place in range(3))
    return WATCH_MS + WATCH_SPARE_MS + sum(wait + CALL_MS for wait in waits)


@dataclass(frozen=True, slots=True)
class Call:
    """One call: for the whole list, or for what has changed since a version."""

    since: int | None  # None: the whole list
    wait_ms: float  # how long a watch may wait for a change
    within_ms: float  # when an answer is overdue
    after_ms: float  # to let go by before it is made


class Watching:
    """Where one gateway is with discovery: the version it has, and how often it has failed in a row.

    `sharers`: how many gateways share one service, of which we are `number`; 0: it is an agent of our own.
    `index`: the version of the list at hand; None if there is none. `rng`: drawn from for a shared service
    alone."""

    def __init__(self, sharers: int, index: int | None, rng: random.Random, number: int = 0) -> None:
        self.shared, self.index, self._rng = sharers > 0, index if sharers else None, rng
        self._round_ms = min(ROUND_MS, ROUND_EACH_MS * max(1, sharers))
        self._place = (number % sharers) / sharers if sharers else 0.0  # of our slot in a round
        self.failures = 0  # in a row
        self.vain = 0  # calls that waited for a turn in vain, since one was answered
        self._goes_on = False  # an answer has come, and its watch may go on
        self._went_back = False  # what was told last was older than what was told before

    def next(self, now: float) -> Call:
        """The call to make now, by a clock in ms that all gateways share."""
        after_ms = self._after_ms(now)
        if self.index is None:
            return Call(None, 0.0, TURN_MS if self.shared else CALL_MS, after_ms)
        if not self.shared:
            return Call(self.index, WATCH_MS, WATCH_MS + WATCH_SPARE_MS, after_ms)
        if not self._goes_on:
            return Call(self.index, NOW_MS, TURN_MS, after_ms)
        return Call(self.index, SHARED_WATCH_MS, SHARED_WATCH_MS + SHARED_SPARE_MS, after_ms)

    def _after_ms(self, now: float) -> float:
        if not self.shared:
            doubled: float = 2.0 ** min(self.failures - 1, 30)
            return min(MOST_WAIT_MS, FIRST_WAIT_MS * doubled) if self.failures else 0.0
        if self._goes_on:
            return 0.0
        rounds = 1 if not self.vain else FEW_ROUNDS if self.vain <= MANY_VAIN else MOST_ROUNDS
        left_out = self._rng.randrange(rounds)
        first = self.index is None and not self.failures
        round_ms = min(self._round_ms, FIRST_ROUND_MS) if first else self._round_ms
        return (self._place * round_ms - now) % round_ms + left_out * round_ms

    def answered(self, index: int, complete: bool) -> str:
        """A list has come; returns what is wrong with it, which counts as a failure, or nothing.

        A version that goes back is an answer that was late, or a service that has begun anew: it is believed
        when it is told twice."""
        before = self.index
        if before is None and not complete:
            return self.failed("a change came where the whole list was asked for")
        if before is not None and index < before and not (complete and self._went_back):
            self._went_back = True
            problem = self.failed("the version went back")
            if not complete:
                self.index = None  # what is to be believed is the whole list
            return problem
        self.index, self.failures, self.vain = index, 0, 0
        self._goes_on, self._went_back = True, False
        return ""

    def failed(self, problem: str = "", waited: bool = False) -> str:
        """A call has come to nothing; `waited`: its connection was up, and its answer did not come in time.
        An agent is then asked for the whole list; of a shared service, whose answer would be long, for what
        we lack."""
        self.failures += 1
        if not self._goes_on:  # a watch that falls silent says nothing of how busy the service is
            self.vain = self.vain + 1 if waited else 0
        self._goes_on = False
        if not self.shared:
            self.index = None
        return problem

    def afresh(self) -> None:
        """Begin with the whole list: what was told was lost here."""
        self.index, self.failures, self.vain, self._goes_on = None, 0, 0, False
