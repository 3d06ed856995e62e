"""Sending clients away: what a drained gatekeeper still does for them, and until when. No I/O, no clock.

After the operator's word the front learns by `/up` that it should send new connections elsewhere, which
takes a moment; clients go on using the connections that they have. So at first only the answers change: each
closes its connection. Then idle connections close, when no new one comes in any more and a request that
crosses the close is sent again on a new one, elsewhere. What comes late, on a connection whose client writes
slowly, is given an answer before the end, in place of its own time. At last those close on which no request
has come whole. What is open is finished."""

from __future__ import annotations

from enum import IntEnum

IDLE_AFTER_MS = 500.0  # new connections come for 0.3 s more: the front asks each 0.1 s and sends for 0.2 s
LATE_AFTER_MS = 1900.0  # nothing younger than 2 s may be open 4 s after the word; 0.1 s of that to spare
LATE_FOR_MS = 2000.0  # so what comes from then on is answered within so long after that, whatever its time
UNHEARD_AFTER_MS = 2500.0  # who connected in the first 0.3 s may take 2 s to write
GRAIN_MS = 0.01  # a wake-up may be so early


class AdmissionState(IntEnum):
    """How the gatekeeper treats clients' connections; each stage keeps what those before it say."""

    OPEN = 0  # connections are kept
    REDIRECTING = 1  # `/up` says no; an answer closes its connection
    CLOSING_IDLE = 2  # idle connections close
    BOUNDING_LATE_REQUESTS = 3  # requests are answered within LATE_FOR_MS from the beginning of this stage
    CLOSING_UNREAD = 4  # all close on which no request has come whole


STAGES = (
    (0.0, AdmissionState.REDIRECTING),
    (IDLE_AFTER_MS, AdmissionState.CLOSING_IDLE),
    (LATE_AFTER_MS, AdmissionState.BOUNDING_LATE_REQUESTS),
    (UNHEARD_AFTER_MS, AdmissionState.CLOSING_UNREAD),
)


class Draining:
    """The state. `now` in milliseconds of any clock that only advances."""

    def __init__(self) -> None:
        self.since_ms: float | None = None

    def drain(self, now: float) -> bool:
        """The operator's word; whether it is new. Said twice, the first counts."""
        if self.since_ms is not None:
            return False
        self.since_ms = now
        return True

    def undrain(self) -> AdmissionState | None:
        """Clients are taken again; None if they were all along."""
        if self.since_ms is None:
            return None
        self.since_ms = None
        return AdmissionState.OPEN

    def times(self) -> list[float]:
        """When its stages begin, for as long as the word stands."""
        return [] if self.since_ms is None else [self.since_ms + after_ms for after_ms, _ in STAGES]

    def stage(self, now: float) -> AdmissionState:
        """Which stage it is at this time."""
        if self.since_ms is None:
            return AdmissionState.OPEN
        gone_ms = now - self.since_ms + GRAIN_MS
        return max((door for after_ms, door in STAGES if gone_ms >= after_ms), default=AdmissionState.OPEN)
