"""The timer queue of the decision module."""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from enum import IntEnum

CLOCK_GRAIN_MS = 0.001  # time by which a timer may fire early, for rounding of the clock
NO_KEY = -1  # key of a timer that belongs to no request or ledger


class TimerKind(IntEnum):
    """Purpose of a timer. The timer's key is a request id unless noted otherwise."""

    PERIOD = 1  # periodic update of limits and shares; no key
    WATCH_ENDPOINTS = 2  # renewal of the endpoint watch at discovery; no key
    ADMISSION_STATE = 3  # start of the next stage of draining; no key
    OUTBOX = 4  # sending of queued messages to other gateways; no key
    LEDGER = 5  # time at which a quota ledger can grant again; the key is the ledger's
    GRANT_REPLY = 6  # time-out of the quota owner's answer to a grant request
    GRANT_EXPIRY = 7  # time after which the quota owner no longer queues the request
    HEDGE = 8  # time after which an attempt is slower than usual and may be hedged
    OVERDUE_CHECK = 9  # next check of an overdue attempt
    FIRST_ATTEMPT = 10  # time at which a request without an attempt is rejected
    DEADLINE = 11  # time by which a request gets its final answer


# Kinds of timers that become void when their request ends.
REQUEST_TIMER_KINDS = frozenset(
    (
        TimerKind.GRANT_REPLY,
        TimerKind.GRANT_EXPIRY,
        TimerKind.HEDGE,
        TimerKind.OVERDUE_CHECK,
        TimerKind.FIRST_ATTEMPT,
        TimerKind.DEADLINE,
    )
)
# Number of queue entries above the maximum for open requests that triggers a search for void entries
_MAX_VOID_ENTRIES = 256

Entry = tuple[float, int, TimerKind, int]  # entry of the queue: time in ms, serial number, kind, key


class TimerQueue:
    """Timers ordered by time; timers for the same time fire in the order in which they were set."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.serial = 0

    def schedule(self, at_ms: float, kind: TimerKind, key: int = NO_KEY) -> None:
        """Add a timer that fires at `at_ms`."""
        self.serial += 1
        heapq.heappush(self.entries, (at_ms, self.serial, kind, key))

    def has_due(self, now_ms: float) -> bool:
        """Whether the earliest timer is due."""
        return bool(self.entries) and self.entries[0][0] <= now_ms + CLOCK_GRAIN_MS

    def take_due(self, now_ms: float) -> list[Entry]:
        """Remove the timers that are due, and return them in the order in which they fire."""
        due: list[Entry] = []
        while self.has_due(now_ms):
            due.append(heapq.heappop(self.entries))
        return due

    def next_ms(self, open_requests: Mapping[int, object]) -> float:
        """Time of the earliest timer. Drops timers of ended requests from the head of the queue, since most
        timers outlive their request."""
        entries = self.entries
        while entries[0][2] in REQUEST_TIMER_KINDS and entries[0][3] not in open_requests:
            heapq.heappop(entries)
        return entries[0][0]

    def remove_ended(self, open_requests: Mapping[int, object]) -> None:
        """Drop the timers of ended requests if the queue is much longer than the open requests explain."""
        if len(self.entries) > _MAX_VOID_ENTRIES + len(REQUEST_TIMER_KINDS) * len(open_requests):
            self.entries = [
                entry
                for entry in self.entries
                if entry[2] not in REQUEST_TIMER_KINDS or entry[3] in open_requests
            ]
            heapq.heapify(self.entries)

    def rekey_ledgers(self, new_keys: dict[int, int], restarted: set[int]) -> None:
        """Give ledger timers the ledgers' new keys (`new_keys`: new key by old key). Drops timers of ledgers
        that no longer exist and of those in `restarted`, which get a new timer."""
        entries = []
        for at_ms, serial, kind, key in self.entries:
            if kind is TimerKind.LEDGER:
                if key not in new_keys or new_keys[key] in restarted:
                    continue
                key = new_keys[key]
            entries.append((at_ms, serial, kind, key))
        heapq.heapify(entries)
        self.entries = entries
