"""Retransmission of lease releases: without it, the loss of a release would leave the lease unused for a
whole term.

A retransmission carries the serial number of the original release, so it does not affect later requests."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from plumpick.policy.leases.lease_holder import RESEND_MS

MAX_RETRANSMISSIONS = 2  # maximum number of retransmissions of one release


@dataclass(frozen=True, slots=True)
class PendingRelease:
    """A release that is to be retransmitted at `due_ms`."""

    due_ms: float
    serial: int
    leases: tuple[int, ...]
    sent: int  # number of transmissions of the release so far


class ReleaseRetransmission:
    """Sends releases and retransmits each of them MAX_RETRANSMISSIONS times, with a growing interval."""

    def __init__(self, send: Callable[[float, int, tuple[int, ...]], None]) -> None:
        """`send(now_ms, serial, leases)` sends a release to all acceptors."""
        self._send = send
        self._pending: list[PendingRelease] = []

    def send(self, now_ms: float, serial: int, leases: tuple[int, ...]) -> None:
        """Send a new release, and schedule its retransmissions."""
        self._transmit(now_ms, serial, leases, 0)

    def _transmit(self, now_ms: float, serial: int, leases: tuple[int, ...], sent: int) -> None:
        self._send(now_ms, serial, leases)
        if sent < MAX_RETRANSMISSIONS:
            due_ms = now_ms + RESEND_MS * 2**sent
            self._pending.append(PendingRelease(due_ms, serial, leases, sent + 1))

    def on_timer(self, now_ms: float) -> None:
        """Retransmit the releases that are due."""
        pending = self._pending
        self._pending = []
        for release in pending:
            if now_ms >= release.due_ms:
                self._transmit(now_ms, release.serial, release.leases, release.sent)
            else:
                self._pending.append(release)

    def next_due_ms(self) -> float:
        """Time of the next retransmission; infinity if there is none."""
        return min((release.due_ms for release in self._pending), default=math.inf)
