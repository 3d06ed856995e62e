"""When a duty of the fleet runs, under which token, and when it is stopped. No I/O, no clock.

A duty has a name and a period. Its slot is a hash of its name; who owns the slot runs it, once in each
period. The pair of duty and period is the key by which a receiver knows a repeat, so a run may be tried
again, here or by the next owner. Guards against: a run that outlives its lease (stopped when the slot is
lost), that never ends (stopped after `limit_ms`), that fails (tried again with full jitter, until the
period is too old), and hundreds at one time (`MOST_RUNS`)."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

MOST_RUNS = 16
AGAIN_MS, AGAIN_MOST_MS = 200.0, 5000.0  # after a failure, doubled each time


@dataclass(frozen=True, slots=True)
class Duty:
    """As the operator's settings name it."""

    name: str
    kind: str
    period_ms: float
    limit_ms: float  # a run may take so long
    catch_up: int = 1  # periods back that are still worth a run
    after: bool = False  # the period is over before its run: it is about what was


@dataclass(frozen=True, slots=True)
class Start:
    """Run the duty for this period, under this token."""

    duty: Duty
    period: int
    token: int
    slot: int


@dataclass(frozen=True, slots=True)
class Stop:
    """End this run at once: it may not go on."""

    duty: Duty
    period: int
    why: str


@dataclass(frozen=True, slots=True)
class GiveBack:
    """The slot is to be given back, and nothing of it runs."""

    slot: int


@dataclass(frozen=True, slots=True)
class Missed:
    """This period has no run of ours, and will have none."""

    duty: Duty
    period: int
    why: str


Action = Start | Stop | GiveBack | Missed


@dataclass(slots=True)
class Last:
    """What staff want to know of a duty's last run here."""

    period: int
    took_ms: float
    what: str


@dataclass(slots=True)
class Work:
    """One duty, as its slot's owner has it."""

    duty: Duty
    slot: int
    done: int = -1  # the last period that is over, by a run or given up
    tries: int = 0
    next_ms: float = 0.0  # not before, by the clock that goes on
    running: int | None = None  # the period
    since_ms: float = 0.0
    last: Last | None = None


def slot_of(name: str, slots: int) -> int:
    """The slot of a duty."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest()) % slots


class Duties:
    """Tables: one entry for each duty, of which the settings name so many; they stay."""

    def __init__(self, duties: tuple[Duty, ...], slots: int, chance: Random) -> None:
        self._chance, self._slots = chance, slots
        self.work = {duty.name: Work(duty, slot_of(duty.name, slots)) for duty in duties}
        self._by_slot: dict[int, list[Work]] = {}
        for work in self.work.values():
            self._by_slot.setdefault(work.slot, []).append(work)
        self.tokens: dict[int, int] = {}  # of the slots that are owned
        self._yielding: set[int] = set()
        self.kept: frozenset[int] = frozenset()  # slots that are not to be given back yet (budgets)
        self._due: list[tuple[float, str]] = []  # by the clock that goes on; old entries are looked through
        self._running: dict[str, Work] = {}
        self.actions: list[Action] = []

    # -- what the leases say

    def gained(self, now_ms: float, slot: int, token: int) -> None:
        self.tokens[slot] = token
        self._yielding.discard(slot)
        for work in self._by_slot.get(slot, ()):
            work.done, work.tries, work.next_ms = -1, 0, now_ms
            heapq.heappush(self._due, (now_ms, work.duty.name))

    def lost(self, now_ms: float, slot: int, why: str) -> None:
        """What runs under it ends."""
        if self.tokens.pop(slot, None) is None:
            return
        self._yielding.discard(slot)
        for work in self._by_slot.get(slot, ()):
            if work.running is not None:
                self._stop(now_ms, work, why)

    def yields(self, slot: int) -> None:
        """It is meant for another: given back as soon as nothing runs."""
        if slot in self.tokens:
            self._yielding.add(slot)

    def leave(self) -> None:
        """The process will end: all slots are given back, each as soon as nothing of it runs."""
        self._yielding |= set(self.tokens)

    def _stop(self, now_ms: float, work: Work, why: str) -> None:
        assert work.running is not None
        self.actions.append(Stop(work.duty, work.running, why))
        work.last = Last(work.running, now_ms - work.since_ms, f"stopped: {why}")
        work.running = None
        self._running.pop(work.duty.name, None)

    # -- what runs say

    def ended(self, now_ms: float, name: str, period: int, wrong: str) -> None:
        """A run is over; `wrong`: why it has failed, or nothing."""
        work = self.work.get(name)
        if work is None or work.running != period:
            return  # it was stopped before
        work.last = Last(period, now_ms - work.since_ms, wrong or "done")
        work.running = None
        self._running.pop(name, None)
        if wrong:
            work.tries += 1
            most = min(AGAIN_MOST_MS, AGAIN_MS * 2 ** min(work.tries, 10))
            work.next_ms = now_ms + self._chance.uniform(most / 2, most)
        else:
            work.done, work.tries, work.next_ms = period, 0, now_ms
        heapq.heappush(self._due, (work.next_ms, name))

    # -- time

    def handle(self, now_ms: float, unix_ms: float) -> list[Action]:
        """What is to be done now; `unix_ms` numbers the periods, and two clocks that differ cost no more
        than a run that the receiver knows already."""
        for work in list(self._running.values()):
            if now_ms - work.since_ms >= work.duty.limit_ms:
                period = work.running
                assert period is not None
                self._stop(now_ms, work, f"no end within {work.duty.limit_ms / 1000:g} s")
                work.tries += 1
                work.next_ms = now_ms + min(AGAIN_MOST_MS, AGAIN_MS * 2 ** min(work.tries, 10))
                heapq.heappush(self._due, (work.next_ms, work.duty.name))
        while self._due and self._due[0][0] <= now_ms and len(self._running) < MOST_RUNS:
            _, name = heapq.heappop(self._due)
            self._look(now_ms, unix_ms, self.work[name])
        for slot in sorted(self._yielding):
            if slot not in self.kept and not any(
                work.running is not None for work in self._by_slot.get(slot, ())
            ):
                self._yielding.discard(slot)
                self.actions.append(GiveBack(slot))
        actions, self.actions = self.actions, []
        return actions

    def _look(self, now_ms: float, unix_ms: float, work: Work) -> None:
        duty, token = work.duty, self.tokens.get(work.slot)
        if token is None or work.running is not None or now_ms < work.next_ms or work.slot in self._yielding:
            return
        newest = int(unix_ms // duty.period_ms) - duty.after
        if work.done < 0:  # nothing is known of what the owner before did: its receiver knows
            work.done = newest - 1 - duty.catch_up
        if newest - duty.catch_up > work.done + 1:
            for period in range(max(work.done + 1, newest - duty.catch_up - 8), newest - duty.catch_up):
                self.actions.append(Missed(duty, period, work.last.what if work.last else "nobody ran it"))
            work.done, work.tries = newest - duty.catch_up - 1, 0
        if work.done >= newest:
            work.next_ms = now_ms + (newest + 1 + duty.after) * duty.period_ms - unix_ms
            heapq.heappush(self._due, (work.next_ms, duty.name))
            return
        work.running, work.since_ms = work.done + 1, now_ms
        self._running[duty.name] = work
        self.actions.append(Start(duty, work.running, token, work.slot))

    def next_ms(self) -> float:
        """When `handle` has something to do."""
        times = [work.since_ms + work.duty.limit_ms for work in self._running.values()]
        if self._due and len(self._running) < MOST_RUNS:
            times.append(self._due[0][0])
        return min(times, default=math.inf)
