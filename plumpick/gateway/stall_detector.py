"""Detects stalls of this process. Bytes read after a stall may have waited in the kernel during all of it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from plumpick.gateway.listeners.interface import STALL_THRESHOLD_MS, Listener

# After a stall the event loop accepts waiting connections over several iterations and reads each of them one
# iteration later. These bounds tell for how long bytes read may date from the stall.
BACKLOG_READ_MS = 20.0  # minimum time after a stall for which its backlog lasts
# Number of consecutive loop iterations without a new connection that end a stall's backlog.
QUIET_ITERATIONS = 3
# Maximum time for which a stall's backlog lasts: under steady traffic connections never cease.
MAX_BACKLOG_MS = 1000.0


class StallDetector:
    """Detects stalls by the delay of the listeners' sweeps, which are due at fixed intervals. `call_soon`
    schedules a callback for the next iteration of the event loop."""

    def __init__(self, listeners: list[Listener], call_soon: Callable[[Callable[[], None]], Any]) -> None:
        self._listeners = listeners
        self._call_soon = call_soon
        self._last_stall_ms = 0.0  # duration of the latest stall
        self._backlog_until_ms = 0.0  # earliest end of the latest stall's backlog
        self._backlog_ends_ms = 0.0  # latest end of the latest stall's backlog
        self._quiet_iterations_left = 0
        self._accepted = 0  # connections accepted up to the previous loop iteration

    def max_unread_ms(self, now: float) -> float:
        """Return the maximum time for which bytes read now may have been unread; 0.0 without a stall."""
        delay_ms = self.sweep_delay_ms(now)
        if delay_ms > STALL_THRESHOLD_MS:
            return delay_ms
        is_accepting = self._quiet_iterations_left > 0 and now < self._backlog_ends_ms
        return self._last_stall_ms if is_accepting or now < self._backlog_until_ms else 0.0

    def sweep(self, now: float) -> None:
        """Record a stall, if there was one. To be called before the listeners sweep, which resets their
        delay."""
        delay_ms = self.sweep_delay_ms(now)
        if delay_ms <= STALL_THRESHOLD_MS:
            return
        self._last_stall_ms = delay_ms
        self._backlog_until_ms = now + BACKLOG_READ_MS
        self._backlog_ends_ms = now + MAX_BACKLOG_MS
        if not self._quiet_iterations_left:
            self._call_soon(self._on_loop_iteration)
        self._quiet_iterations_left = QUIET_ITERATIONS

    def _on_loop_iteration(self) -> None:
        """Check at the start of a loop iteration whether the previous one accepted connections."""
        accepted = sum(listener.accepted_connections for listener in self._listeners)
        has_accepted_none = accepted == self._accepted
        self._accepted = accepted
        self._quiet_iterations_left = (
            self._quiet_iterations_left - 1 if has_accepted_none else QUIET_ITERATIONS
        )
        if self._quiet_iterations_left:
            self._call_soon(self._on_loop_iteration)

    def sweep_delay_ms(self, now: float) -> float:
        """Return by how much the next sweep of the listeners is overdue."""
        return max((listener.sweep_delay_ms(now) for listener in self._listeners), default=0.0)
