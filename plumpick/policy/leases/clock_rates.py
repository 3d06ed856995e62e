"""Detects clocks that drift apart by more than the agreed ratio, from the clocks in acceptors' responses.

A response's clock was read between our request and its arrival. Over two responses the time that passed at
the acceptor lies between the shortest and the longest time that passed here, each stretched by what two
clocks of the agreed drift can differ. Outside of that the guarantee of one owner is off; the caller has to
warn."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

MIN_INTERVAL_MS = 2000.0  # between two responses that are compared
MAX_INTERVAL_MS = 120_000.0
CLOCK_WRAP_MS = 1 << 32
ROUNDING_MS = 1  # clocks are sent in whole milliseconds


@dataclass(slots=True)
class ClockSample:
    """One response: the acceptor's clock, read between two readings of ours."""

    incarnation: int
    requested_ms: float
    received_ms: float
    remote_clock_ms: int


class ClockRateChange(Enum):
    """What became of an acceptor's clock."""

    DIVERGED = auto()
    CONVERGED = auto()


class ClockRateMonitor:
    """Compares each acceptor's clock with ours; owns one sample for each acceptor."""

    def __init__(self, drift_ratio: float) -> None:
        self._max_rate = (1 + drift_ratio) / (1 - drift_ratio)
        self._first: dict[int, ClockSample] = {}
        self._diverging: set[int] = set()

    def observe(self, acceptor: int, sample: ClockSample) -> ClockRateChange | None:
        """Whether that acceptor's clock diverges from now on, or no longer; None: no change."""
        first = self._first.get(acceptor)
        if first is None or first.incarnation != sample.incarnation:
            self._first[acceptor] = sample
            return None
        shortest_ms = sample.requested_ms - first.received_ms
        longest_ms = sample.received_ms - first.requested_ms
        if shortest_ms < MIN_INTERVAL_MS:
            return None
        passed_ms = (sample.remote_clock_ms - first.remote_clock_ms) % CLOCK_WRAP_MS
        is_fast = passed_ms > longest_ms * self._max_rate + ROUNDING_MS
        is_slow = passed_ms < shortest_ms / self._max_rate - ROUNDING_MS
        if longest_ms > MAX_INTERVAL_MS:
            self._first[acceptor] = sample
        return self._update(acceptor, is_fast or is_slow)

    def _update(self, acceptor: int, diverges: bool) -> ClockRateChange | None:
        if diverges == (acceptor in self._diverging):
            return None
        if diverges:
            self._diverging.add(acceptor)
            return ClockRateChange.DIVERGED
        self._diverging.discard(acceptor)
        return ClockRateChange.CONVERGED
