"""The timers of the decision module: what has to be looked at again, and when."""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from enum import IntEnum

CLOCK_GRAIN_MS = 0.001  # a timer may fire so early
NO_KEY = -1


class TimerKind(IntEnum):
    """What a timer is for; its key is a request's id unless said otherwise."""

    PERIOD = 1  # one step of limits and shares; no key
    WATCH_ENDPOINTS = 2  # discovery has to be asked again; no key
    ADMISSION_STATE = 3  # a stage of draining begins; no key
    OUTBOX = 4  # messages to peers wait; no key
    LEDGER = 5  # a quota ledger can grant again; the key is the ledger's
    GRANT_REPLY = 6  # the quota owner has not answered yet
    GRANT_EXPIRY = 7  # the quota owner no longer keeps the request queued
    HEDGE = 8  # an attempt takes longer than usual
    OVERDUE_CHECK = 9  # an overdue attempt is checked again
    FIRST_ATTEMPT = 10  # without an attempt by now, a request is rejected
    DEADLINE = 11  # a request needs its final answer


# These end with their request.
OF_REQUESTS = frozenset(
    (
        TimerKind.GRANT_REPLY,
        TimerKind.GRANT_EXPIRY,
        TimerKind.HEDGE,
        TimerKind.OVERDUE_CHECK,
        TimerKind.FIRST_ATTEMPT,
        TimerKind.DEADLINE,
    )
)
_SPARE_ENTRIES = 256  # of requests that have ended, before the queue is searched for them

Entry = tuple[float, int, TimerKind, int]  # at, serial number, kind, key


class TimerQueue:
    """Timers by time, those of one time in the order in which they were set."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.serial = 0

    def schedule(self, at_ms: float, kind: TimerKind, key: int = NO_KEY) -> None:
        """Look at something at that time."""
        self.serial += 1
        heapq.heappush(self.entries, (at_ms, self.serial, kind, key))

    def pop_due(self, now_ms: float) -> Entry | None:
        """The next timer that is due, or None."""
        if self.entries and self.entries[0][0] <= now_ms + CLOCK_GRAIN_MS:
            return heapq.heappop(self.entries)
        return None

    def next_ms(self, open_requests: Mapping[int, object]) -> float:
        """When the next timer is due. Those of requests that have ended are dropped on the way: most are."""
        entries = self.entries
        while entries[0][2] in OF_REQUESTS and entries[0][3] not in open_requests:
            heapq.heappop(entries)
        return entries[0][0]

    def forget_ended(self, open_requests: Mapping[int, object]) -> None:
        """Drop the timers of ended requests, once there are many."""
        if len(self.entries) > _SPARE_ENTRIES + len(OF_REQUESTS) * len(open_requests):
            self.entries = [
                entry for entry in self.entries if entry[2] not in OF_REQUESTS or entry[3] in open_requests
            ]
            heapq.heapify(self.entries)

    def rekey_ledgers(self, new_keys: dict[int, int], restarted: set[int]) -> None:
        """Ledgers have other keys now: timers of those that are gone, or that get a new timer, are
        dropped."""
        entries = []
        for at_ms, serial, kind, key in self.entries:
            if kind is TimerKind.LEDGER:
                if key not in new_keys or new_keys[key] in restarted:
                    continue
                key = new_keys[key]
            entries.append((at_ms, serial, kind, key))
        heapq.heapify(entries)
        self.entries = entries
