"""One gateway's subscription to its settings: which version is active, which is staged and from when, which
were rejected and why; what to ask next, of which address and when, and what to report with it.

A version becomes active entirely or not at all, and numbers only go up: to go back, the old settings are
published under a new number. An answer was true when it was sent. It may arrive late, twice or behind a newer
one, and another may have been staged while it was read: `stage` checks again.

Time. A waiting watch is answered at once when a version is published. A silent watch ends after
WATCH_TIMEOUT_MS + WATCH_GRACE_MS; then the next address is asked for what there is, within
RESPONSE_TIMEOUT_MS, and so on: `worst_notification_ms` is the sum. After failures each gateway calls in a
slot of its own, by its number, within a backoff that doubles, so that 550 gateways whose service died do not
call at once.

It raises DynamicConfigError for what it refuses; the failure is counted by then, and the caller only logs it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from plumpick.policy.dynamic_config.errors import (
    EarlyResponseError,
    UpdateDeclinedError,
    VersionNotStagedError,
)
from plumpick.policy.dynamic_config.updates import OWN_FILE, SettingsVersion, VersionUpdate

ACTIVATION_DEADLINE_MS = 6000.0  # the operators' term, from publishing to active everywhere
WATCH_TIMEOUT_MS = 2000.0
WATCH_GRACE_MS = 500.0  # a watch that is so much late is broken
RESPONSE_TIMEOUT_MS = 1000.0  # to connect, and for what is answered at once
IMMEDIATE_WATCH_MS = 1.0  # how long the first watch at an address waits
BODY_TIMEOUT_MS = 3000.0  # for the rest of a long answer, once it has begun
INITIAL_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 2000.0
MIN_WATCH_INTERVAL_MS = 20.0  # after an update: a service that always has one is not asked in a tight loop
MAX_UNCHANGED_WATCHES = 10  # at one address; another one may know of a newer version
MAX_ACTIVATION_DELAY_MS = 86_400_000.0  # a version that is to become active later is rejected
MAX_REJECTED_VERSIONS = 16  # the lowest number is forgotten first
MAX_REASON_CHARS = 200


def worst_notification_ms(silent_addresses: int) -> float:
    """From publishing to notification, where so many addresses in turn are silent and the next one
    answers."""
    backoffs = (
        2 * min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0**failures) for failures in range(silent_addresses)
    )
    broken_watch_ms = WATCH_TIMEOUT_MS + WATCH_GRACE_MS if silent_addresses else 0.0
    return broken_watch_ms + sum(backoffs) + max(0, silent_addresses - 1) * RESPONSE_TIMEOUT_MS


@dataclass(frozen=True, slots=True)
class RejectedVersion:
    """A version that is never made active here, and why: one line."""

    digest: str
    reason: str


@dataclass(frozen=True, slots=True)
class ConfigWatchRequest:
    """What to ask, of which address, after how long; and the gateway's own state, reported with it."""

    address_index: int
    delay_ms: float  # before the call
    watch_timeout_ms: float  # so long the service may wait for a newer version
    response_timeout_ms: float  # when its answer is overdue
    since_number: int  # the newest version that is here
    since_digest: str  # the base for a delta; "": a snapshot is wanted
    active_number: int
    active_digest: str
    staged_number: int  # 0: none
    rejected_number: int  # the highest one: neither it nor an older one is wanted; 0: none
    rejection_reason: str


class Assessment(Enum):
    """Whether an update is worth reading; the value is the text for operators."""

    WANTED = "read"
    OUTDATED = "an older version, or the one at hand"
    ALREADY_REJECTED = "a version that was refused before"
    DIGEST_CONFLICT = "another digest under a number at hand"
    BASE_MISMATCH = "changes from another base"


class ConfigSubscriber:
    """One gateway's state. `gateway_number` of `gateway_count` is its slot in a backoff; `address_count`: how
    many services there are; `rng`: jitter. All times are Unix ms, by the clock that all machines read."""

    def __init__(
        self,
        gateway_number: int,
        gateway_count: int,
        address_count: int,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self._slot_start_ratio = (gateway_number % max(1, gateway_count)) / max(1, gateway_count)
        self._slot_ratio = 1 / max(1, gateway_count)  # of a backoff
        self._address_count = address_count
        self._rng = rng
        self.active = OWN_FILE
        self.staged: SettingsVersion | None = None
        self.rejected: dict[int, RejectedVersion] = {}  # by number, at most MAX_REJECTED_VERSIONS
        self.address_index = gateway_number % address_count
        self.consecutive_failures = 0
        self.last_response_ms = now_ms  # or the start, before the first response
        self._unchanged_watches = 0  # at this address, in a row
        self._may_watch = False  # this address has answered, and a watch may wait there
        self._wants_snapshot = False
        self._had_update = False  # the last answer brought one

    @property
    def newest(self) -> SettingsVersion:
        """The newest version that is here: the base for a delta."""
        return self.staged or self.active

    # -- requests

    def next_request(self, now_ms: float) -> ConfigWatchRequest:
        """The call to make now; draws jitter after a failure."""
        delay_ms = self._delay_ms(now_ms)
        watch_timeout_ms = IMMEDIATE_WATCH_MS
        response_timeout_ms = RESPONSE_TIMEOUT_MS
        if self._may_watch:
            watch_timeout_ms = WATCH_TIMEOUT_MS
            response_timeout_ms = WATCH_TIMEOUT_MS + WATCH_GRACE_MS
        newest = self.newest
        rejected_number = max(self.rejected, default=0)
        return ConfigWatchRequest(
            address_index=self.address_index,
            delay_ms=delay_ms,
            watch_timeout_ms=watch_timeout_ms,
            response_timeout_ms=response_timeout_ms,
            since_number=newest.number,
            since_digest="" if self._wants_snapshot else newest.digest,
            active_number=self.active.number,
            active_digest=self.active.digest,
            staged_number=self.staged.number if self.staged else 0,
            rejected_number=rejected_number,
            rejection_reason=self.rejected[rejected_number].reason if rejected_number else "",
        )

    def _delay_ms(self, now_ms: float) -> float:
        """The wait before a call: after failures until this gateway's slot in the backoff, with jitter."""
        if not self.consecutive_failures:
            return MIN_WATCH_INTERVAL_MS if self._had_update else 0.0
        doublings = min(self.consecutive_failures - 1, 30)
        backoff_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0**doublings)
        until_slot_ms = (self._slot_start_ratio * backoff_ms - now_ms) % backoff_ms
        return until_slot_ms + self._rng.random() * self._slot_ratio * backoff_ms

    # -- responses

    def on_unchanged(self, now_ms: float, request: ConfigWatchRequest, elapsed_ms: float) -> None:
        """The service has nothing newer. Raises EarlyResponseError where it did not wait for it."""
        if request.watch_timeout_ms >= WATCH_TIMEOUT_MS and elapsed_ms < WATCH_TIMEOUT_MS / 2:
            self.on_call_failed()
            raise EarlyResponseError("an answer without news before its time")
        self._on_response(now_ms)
        self._unchanged_watches += 1
        if self._unchanged_watches >= MAX_UNCHANGED_WATCHES and self._address_count > 1:
            self._use_next_address()

    def on_call_failed(self) -> None:
        """A call failed, or its answer is of no use: another address is next."""
        self.consecutive_failures += 1
        self._use_next_address()

    def on_invalid_update(self) -> None:
        """An answer is not what it says: a snapshot is wanted, and another address is next."""
        self._wants_snapshot = True
        self.on_call_failed()

    def _use_next_address(self) -> None:
        self.address_index = (self.address_index + 1) % self._address_count
        self._unchanged_watches = 0
        self._may_watch = False
        self._had_update = False

    def _on_response(self, now_ms: float) -> None:
        self.last_response_ms = now_ms
        self.consecutive_failures = 0
        self._may_watch = True
        self._had_update = False

    # -- updates

    def assess(self, update: VersionUpdate) -> Assessment:
        """Whether an update is worth reading."""
        for known in (self.active, self.staged):
            if known is not None and update.number == known.number and update.digest != known.digest:
                return Assessment.DIGEST_CONFLICT
        if update.number <= self.newest.number:
            return Assessment.OUTDATED
        if update.number in self.rejected:
            return Assessment.ALREADY_REJECTED
        if not update.applies_to(self.newest):
            return Assessment.BASE_MISMATCH
        return Assessment.WANTED

    def require_wanted(self, update: VersionUpdate) -> None:
        """Raises UpdateDeclinedError for an update that is not worth reading, which counts as a failed
        call."""
        assessment = self.assess(update)
        if assessment is Assessment.WANTED:
            return
        if assessment is Assessment.DIGEST_CONFLICT:
            self._reject(
                update.number, update.digest, "this number is in force or staged with another digest"
            )
        if assessment is Assessment.BASE_MISMATCH:
            self._wants_snapshot = True
        self.on_call_failed()
        raise UpdateDeclinedError(f"version {update.number}: {assessment.value}")

    def stage(self, now_ms: float, version: SettingsVersion) -> None:
        """A version that was read and whose settings are good: it becomes active at its time.

        Raises VersionNotStagedError where it is outdated by now, or to become active too far ahead.
        """
        self._on_version_read(now_ms, version)
        if version.activates_at_ms > now_ms + MAX_ACTIVATION_DELAY_MS:
            self._raise_rejected(version, "in_force_ms is more than a day ahead")
        self.staged = version

    def reject(self, now_ms: float, version: SettingsVersion, reason: str) -> None:
        """A version that was read and whose settings are bad: raises VersionNotStagedError."""
        self._on_version_read(now_ms, version)
        self._raise_rejected(version, reason)

    def _on_version_read(self, now_ms: float, version: SettingsVersion) -> None:
        """Another version may have been staged since this one was asked for: raises VersionNotStagedError."""
        self._on_response(now_ms)
        self._wants_snapshot = False
        self._had_update = True
        self._unchanged_watches = 0
        if version.number <= self.newest.number or version.number in self.rejected:
            raise VersionNotStagedError(f"version {version.number}: {Assessment.OUTDATED.value}")

    def _raise_rejected(self, version: SettingsVersion, reason: str) -> None:
        self._reject(version.number, version.digest, reason)
        raise VersionNotStagedError(f"version {version.number} is refused: {reason}")

    def _reject(self, number: int, digest: str, reason: str) -> None:
        line = "".join(char if char.isprintable() else " " for char in reason)[:MAX_REASON_CHARS]
        self.rejected.setdefault(number, RejectedVersion(digest, line))
        while len(self.rejected) > MAX_REJECTED_VERSIONS:
            del self.rejected[min(self.rejected)]

    # -- activation

    def due_version(self, now_ms: float) -> SettingsVersion | None:
        """The version that has to become active now."""
        if self.staged is None or self.staged.activates_at_ms > now_ms:
            return None
        return self.staged

    def on_activated(self, version: SettingsVersion) -> None:
        """The gateway works by that version now."""
        self.active = version
        self._unstage_if_done(version)

    def on_activation_failed(self, version: SettingsVersion, reason: str) -> None:
        """The gateway could not take that version over, and nothing has changed there."""
        self._reject(version.number, version.digest, reason)
        self._unstage_if_done(version)

    def _unstage_if_done(self, version: SettingsVersion) -> None:
        if self.staged is None:
            return
        if self.staged is version or self.staged.number <= self.active.number:
            self.staged = None

    def is_newer_than_active(self, version: SettingsVersion) -> bool:
        """Whether a version that the previous process had active is to be made active here, at once and
        whatever is staged."""
        return version.number > self.active.number and version.number not in self.rejected

    # -- for operators

    def status_line(self, now_ms: float) -> str:
        """One line: what is active, staged and rejected, and since when no service has answered."""
        active = self.active
        parts = [f"version {active.number} {active.digest[:12] or '(own file)'} in force"]
        if self.staged is not None:
            delay_s = max(0.0, self.staged.activates_at_ms - now_ms) / 1000
            parts.append(f"{self.staged.number} {self.staged.digest[:12]} staged for in {delay_s:.1f} s")
        if self.rejected:
            number = max(self.rejected)
            rejected = self.rejected[number]
            parts.append(f"{number} {rejected.digest[:12]} refused ({rejected.reason})")
        parts.append(f"service heard {max(0.0, now_ms - self.last_response_ms) / 1000:.1f} s ago")
        return "; ".join(parts)
