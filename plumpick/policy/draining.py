"""Draining of clients: what a drained gateway still does for them, and until when.

The load balancer before this gateway learns by `/up` that new connections should go elsewhere, which takes a
moment, while clients go on using the connections that they have. Hence one state after the other: answers
close their connections; idle connections close, once no new ones come (a request that crosses the close is
sent again on a new connection, elsewhere); requests that come late, since their client writes slowly, are
answered before the end instead of within their own deadline; connections close on which no request has come
whole. What is open is finished."""

from __future__ import annotations

from enum import IntEnum

# new connections come for 0.3 s more: the balancer asks `/up` each 0.1 s and may send for 0.2 s more
CLOSE_IDLE_AFTER_MS = 500.0
# nothing younger than 2 s may be open 4 s after the command, with 0.1 s to spare
BOUND_LATE_AFTER_MS = 1900.0
LATE_REQUEST_TIME_MS = 2000.0  # so what comes from then on is answered within so long, whatever its deadline
CLOSE_UNREAD_AFTER_MS = 2500.0  # who connected in the first 0.3 s may take 2 s to write
TIMER_GRAIN_MS = 0.01  # a timer may fire so early


class AdmissionState(IntEnum):
    """How the gateway treats clients' connections; each state keeps what those before it say."""

    OPEN = 0  # connections are kept
    REDIRECTING = 1  # `/up` says no; an answer closes its connection
    CLOSING_IDLE = 2
    # requests are answered within LATE_REQUEST_TIME_MS of the beginning of this state
    BOUNDING_LATE_REQUESTS = 3
    CLOSING_UNREAD = 4  # connections close on which no request has come whole


STAGES = (
    (0.0, AdmissionState.REDIRECTING),
    (CLOSE_IDLE_AFTER_MS, AdmissionState.CLOSING_IDLE),
    (BOUND_LATE_AFTER_MS, AdmissionState.BOUNDING_LATE_REQUESTS),
    (CLOSE_UNREAD_AFTER_MS, AdmissionState.CLOSING_UNREAD),
)


class Draining:
    """Since when the gateway drains. Times are milliseconds of any clock that only advances."""

    def __init__(self) -> None:
        self.since_ms: float | None = None  # None: it does not

    def drain(self, now_ms: float) -> bool:
        """The operator's command; returns whether it is new. Of two the first counts."""
        if self.since_ms is not None:
            return False
        self.since_ms = now_ms
        return True

    def undrain(self) -> bool:
        """Clients are admitted again; returns False if they were all along."""
        if self.since_ms is None:
            return False
        self.since_ms = None
        return True

    def stage_times_ms(self) -> list[float]:
        """When the stages begin, while the gateway drains."""
        return [] if self.since_ms is None else [self.since_ms + after_ms for after_ms, _ in STAGES]

    def state_at(self, now_ms: float) -> AdmissionState:
        """The state at this time."""
        if self.since_ms is None:
            return AdmissionState.OPEN
        elapsed_ms = now_ms - self.since_ms + TIMER_GRAIN_MS
        reached = (state for after_ms, state in STAGES if elapsed_ms >= after_ms)
        return max(reached, default=AdmissionState.OPEN)
