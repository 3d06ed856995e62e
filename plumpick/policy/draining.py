"""Stages in which a draining gateway stops serving clients.

The load balancer in front of this gateway learns from `/up` that new connections should go elsewhere. This
takes a moment, and clients go on using their open connections. So draining has several stages:

1. Each response closes its connection.
2. Idle connections close, once no new connections come. A client whose request crosses the close sends it
   again on a new connection, to another gateway.
3. Requests that arrive late, from clients that write slowly, are answered before draining ends instead of
   within their own deadline.
4. Connections on which no complete request was received are closed.

Requests in progress are finished."""

from __future__ import annotations

from enum import IntEnum

# Times from the command to the later stages. New connections may come for 300 ms after the command: the load
# balancer polls `/up` every 100 ms and may open connections for 200 ms more.
CLOSE_IDLE_AFTER_MS = 500.0
# Requests must be over 4 s after the command unless they are older than 2 s; this leaves 100 ms to spare.
BOUND_LATE_AFTER_MS = 1900.0
# A client that connected in the first 300 ms may take 2 s to write its request.
CLOSE_UNREAD_AFTER_MS = 2500.0
LATE_REQUEST_TIME_MS = 2000.0  # Maximum time to answer a late request, regardless of its own deadline
TIMER_GRAIN_MS = 0.01  # Maximum time by which a timer fires early


class AdmissionState(IntEnum):
    """How the gateway treats clients' connections. Each state adds its rule to those of the states before."""

    OPEN = 0  # clients' connections are kept open
    REDIRECTING = 1  # `/up` directs clients elsewhere, and a response closes its connection.
    CLOSING_IDLE = 2  # idle connections of clients are closed
    BOUNDING_LATE_REQUESTS = 3  # Late requests are answered within LATE_REQUEST_TIME_MS.
    CLOSING_UNREAD = 4  # connections on which no complete request was received are closed


STAGES = (
    (0.0, AdmissionState.REDIRECTING),
    (CLOSE_IDLE_AFTER_MS, AdmissionState.CLOSING_IDLE),
    (BOUND_LATE_AFTER_MS, AdmissionState.BOUNDING_LATE_REQUESTS),
    (CLOSE_UNREAD_AFTER_MS, AdmissionState.CLOSING_UNREAD),
)


class Draining:
    """The draining of a gateway, which advances through STAGES with time. Times are in milliseconds of any
    monotonic clock."""

    def __init__(self) -> None:
        self.since_ms: float | None = None  # Time of the command to drain; None if the gateway is open

    def drain(self, now_ms: float) -> bool:
        """Begin to drain. Returns False, without any effect, if the gateway is draining already."""
        if self.since_ms is not None:
            return False
        self.since_ms = now_ms
        return True

    def undrain(self) -> bool:
        """Admit clients again. Returns False, without any effect, if the gateway was not draining."""
        if self.since_ms is None:
            return False
        self.since_ms = None
        return True

    def stage_times_ms(self) -> list[float]:
        """Return the times at which the stages begin; an empty list if the gateway is not draining."""
        return [] if self.since_ms is None else [self.since_ms + after_ms for after_ms, _ in STAGES]

    def state_at(self, now_ms: float) -> AdmissionState:
        """Return the admission state at a time."""
        if self.since_ms is None:
            return AdmissionState.OPEN
        elapsed_ms = now_ms - self.since_ms + TIMER_GRAIN_MS
        reached = (state for after_ms, state in STAGES if elapsed_ms >= after_ms)
        return max(reached, default=AdmissionState.OPEN)
