"""Sends each release several times: where it is lost, the lease stays granted to nobody for a whole term.

A retransmission has the serial of its release, so that it says nothing of what is requested later."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from plumpick.policy.leases.lease_holder import RESEND_MS

MAX_RETRANSMISSIONS = 2


@dataclass(frozen=True, slots=True)
class PendingRelease:
    """A release that is to be sent once more."""

    due_ms: float
    serial: int
    leases: tuple[int, ...]
    sent: int  # how often


class ReleaseRetransmission:
    """Owns the releases that are to be sent again, each at most MAX_RETRANSMISSIONS times."""

    def __init__(self, send: Callable[[float, int, tuple[int, ...]], None]) -> None:
        """`send(now_ms, serial, leases)` sends a release to all acceptors."""
        self._send = send
        self._pending: list[PendingRelease] = []

    def send(self, now_ms: float, serial: int, leases: tuple[int, ...]) -> None:
        """Send a release for the first time."""
        self._transmit(now_ms, serial, leases, 0)

    def _transmit(self, now_ms: float, serial: int, leases: tuple[int, ...], sent: int) -> None:
        self._send(now_ms, serial, leases)
        if sent < MAX_RETRANSMISSIONS:
            due_ms = now_ms + RESEND_MS * 2**sent
            self._pending.append(PendingRelease(due_ms, serial, leases, sent + 1))

    def on_timer(self, now_ms: float) -> None:
        """Send again what is due."""
        pending = self._pending
        self._pending = []
        for release in pending:
            if now_ms >= release.due_ms:
                self._transmit(now_ms, release.serial, release.leases, release.sent)
            else:
                self._pending.append(release)

    def next_due_ms(self) -> float:
        """When `on_timer` has something to do."""
        return min((release.due_ms for release in self._pending), default=math.inf)
