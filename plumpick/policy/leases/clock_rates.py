"""Clocks that run too far apart: found by what voters' answers say of their clocks.

An answer's clock was read between our asking and its coming. Over two answers the voter's time that passed
lies beside the least and the most of ours; beyond what two clocks of the stated drift can differ, the
promise of one owner is off, and that is said."""

from __future__ import annotations

from dataclasses import dataclass

LEAST_MS, MOST_MS = 2000.0, 120_000.0  # of time between two answers that are compared
WRAP = 1 << 32


@dataclass(slots=True)
class Sample:
    """One answer: the voter's clock, read between two readings of ours."""

    life: int
    asked_ms: float
    came_ms: float
    clock: int


class Rates:
    """Table: one sample for each voter."""

    def __init__(self, drift: float) -> None:
        self._most = (1 + drift) / (1 - drift)
        self._first: dict[int, Sample] = {}
        self.apart: set[int] = set()

    def answered(self, voter: int, sample: Sample) -> bool | None:
        """True: from now on that voter's clock is too far off; False: no longer; None: as before."""
        first = self._first.get(voter)
        if first is None or first.life != sample.life:
            self._first[voter] = sample
            return None
        least, most = sample.asked_ms - first.came_ms, sample.came_ms - first.asked_ms
        if least < LEAST_MS:
            return None
        passed = (sample.clock - first.clock) % WRAP
        off = passed > most * self._most + 1 or passed < least / self._most - 1
        if most > MOST_MS:
            self._first[voter] = sample
        if off == (voter in self.apart):
            return None
        (self.apart.add if off else self.apart.discard)(voter)
        return off
