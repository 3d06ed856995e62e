"""Detects clocks that drift apart by more than the agreed ratio, from the clock readings in acceptors'
responses.

The clock in a response was read between the sending of the request and the arrival of the response. The time
that passed at an acceptor between two responses must therefore lie between the shortest and the longest time
that may have passed here, each extended by the maximum difference of two clocks within the agreed drift.
Outside of this range, a lease is not guaranteed to have a single owner, and the caller must log a warning."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

MIN_INTERVAL_MS = 2000.0  # minimum time between two responses that are compared
MAX_INTERVAL_MS = 120_000.0  # time after which a later response replaces the first one of a comparison
CLOCK_WRAP_MS = 1 << 32  # modulus of the clock readings in messages
ROUNDING_MS = 1  # maximum rounding error of clock readings, which are sent as integers


@dataclass(slots=True)
class ClockSample:
    """The acceptor's clock reading in one response, with the local times of the request and of the
    response."""

    incarnation: int
    requested_ms: float
    received_ms: float
    remote_clock_ms: int


class ClockRateChange(Enum):
    """A change of an acceptor's clock: it begins to diverge beyond the agreed drift, or no longer does."""

    DIVERGED = auto()
    CONVERGED = auto()


class ClockRateMonitor:
    """Compares the clock of each acceptor with the local clock. Keeps one sample for each acceptor."""

    def __init__(self, drift_ratio: float) -> None:
        self._max_rate = (1 + drift_ratio) / (1 - drift_ratio)
        self._first: dict[int, ClockSample] = {}
        self._diverging: set[int] = set()

    def observe(self, acceptor: int, sample: ClockSample) -> ClockRateChange | None:
        """Compare a sample of an acceptor's clock with its first sample. Return the change between diverging
        and converging clocks; None if nothing has changed or the samples are too close together."""
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
