"""Stalls of this process: after one, what is read now may have waited in the kernel all through it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from plumpick.gateway.listeners.interface import STALL_THRESHOLD_MS, Listener

# After a stall the loop accepts connections that waited one turn after the other, and reads each in the next.
BACKLOG_READ_MS = 20.0  # for so long, at least, what is read may date from the stall,
QUIET_TURNS = 3  # and until so many turns of the loop in a row have accepted nothing,
MAX_BACKLOG_MS = 1000.0  # but no longer than that: clients that come all the time are not a backlog


class StallDetector:
    """Tells by the listeners' sweeps, which are due at fixed times, whether and for how long we stalled.
    `call_soon` has something called in the loop's next turn."""

    def __init__(self, listeners: list[Listener], call_soon: Callable[[Callable[[], None]], Any]) -> None:
        self._listeners = listeners
        self._call_soon = call_soon
        self._last_stall_ms = 0.0  # how long it was
        self._backlog_until_ms = 0.0
        self._backlog_ends_ms = 0.0  # at the latest
        self._quiet_turns_left = 0
        self._accepted = 0  # connections, up to the last turn

    def unread_ms(self, now: float) -> float:
        """How long what is read now may have waited for this process, at most; 0.0 without a stall."""
        delay_ms = self._sweep_delay_ms(now)
        if delay_ms > STALL_THRESHOLD_MS:
            return delay_ms
        is_accepting = self._quiet_turns_left > 0 and now < self._backlog_ends_ms
        return self._last_stall_ms if is_accepting or now < self._backlog_until_ms else 0.0

    def sweep(self, now: float) -> None:
        """Note a stall; due before the listeners sweep, which ends their delay."""
        delay_ms = self._sweep_delay_ms(now)
        if delay_ms <= STALL_THRESHOLD_MS:
            return
        self._last_stall_ms = delay_ms
        self._backlog_until_ms = now + BACKLOG_READ_MS
        self._backlog_ends_ms = now + MAX_BACKLOG_MS
        if not self._quiet_turns_left:
            self._call_soon(self._on_turn)
        self._quiet_turns_left = QUIET_TURNS

    def _on_turn(self) -> None:
        """A turn of the loop has begun."""
        accepted = sum(listener.accepted_connections for listener in self._listeners)
        is_quiet = accepted == self._accepted
        self._accepted = accepted
        self._quiet_turns_left = self._quiet_turns_left - 1 if is_quiet else QUIET_TURNS
        if self._quiet_turns_left:
            self._call_soon(self._on_turn)

    def _sweep_delay_ms(self, now: float) -> float:
        return max((listener.sweep_delay_ms(now) for listener in self._listeners), default=0.0)
