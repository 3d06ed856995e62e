"""Stalls of this process: after one, what is read now may have waited in the kernel all through it."""

from __future__ import annotations

from plumpick.gateway.listeners.interface import STALL_THRESHOLD_MS, Listener

BACKLOG_READ_MS = 20.0  # so long after a stall what is read may date from it


class StallDetector:
    """Tells by the listeners' sweeps, which are due at fixed times, whether and for how long we stalled."""

    def __init__(self, listeners: list[Listener]) -> None:
        self._listeners = listeners
        self._last_stall_ms = 0.0  # how long it was
        self._backlog_until_ms = 0.0

    def unread_ms(self, now: float) -> float:
        """How long what is read now may have waited for this process, at most; 0.0 without a stall."""
        delay_ms = self._sweep_delay_ms(now)
        if delay_ms > STALL_THRESHOLD_MS:
            return delay_ms
        return self._last_stall_ms if now < self._backlog_until_ms else 0.0

    def sweep(self, now: float) -> None:
        """Note a stall; due before the listeners sweep, which ends their delay."""
        delay_ms = self._sweep_delay_ms(now)
        if delay_ms > STALL_THRESHOLD_MS:
            self._last_stall_ms = delay_ms
            self._backlog_until_ms = now + BACKLOG_READ_MS

    def _sweep_delay_ms(self, now: float) -> float:
        return max((listener.sweep_delay_ms(now) for listener in self._listeners), default=0.0)
