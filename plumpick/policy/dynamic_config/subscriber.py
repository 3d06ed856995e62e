"""A gateway's subscription to versioned settings: the active, staged and rejected versions, and the next call
to a service with its address, time and reported status.

A version becomes active completely or not at all, and version numbers only increase: for a rollback, the old
settings are published under a new number. Responses may be delayed, duplicated or reordered, and another
version may be staged while one is parsed; `stage` therefore checks the number again.

Timing. A service answers a waiting watch as soon as a version is published. A watch without a response ends
after WATCH_TIMEOUT_MS + WATCH_GRACE_MS; then the next address is called for an immediate answer, within
RESPONSE_TIMEOUT_MS, and so on; `worst_notification_ms` is the sum. After failures, each gateway calls in its
own time slot, given by its number, within an exponential backoff, so that 550 gateways do not call at the
same time after a failure of their service.

Methods raise DynamicConfigError for responses that they decline. The failure is already recorded then, and
the caller only logs the error.
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

ACTIVATION_DEADLINE_MS = 6000.0  # time allowed by operators from publishing to activation at all gateways
WATCH_TIMEOUT_MS = 2000.0
WATCH_GRACE_MS = 500.0  # additional time after WATCH_TIMEOUT_MS before a watch counts as failed
RESPONSE_TIMEOUT_MS = 1000.0  # timeout of connecting, and of a response that needs no waiting
IMMEDIATE_WATCH_MS = 1.0  # watch timeout of the first call at an address
BODY_TIMEOUT_MS = 3000.0  # timeout of the rest of a long response after its first bytes
INITIAL_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 2000.0
# Pause after an update, so that a service with an update for every call is not called in a tight loop
MIN_WATCH_INTERVAL_MS = 20.0
# Consecutive watches without a change at one address; then the next one is used, as it may have a newer
# version
MAX_UNCHANGED_WATCHES = 10
MAX_ACTIVATION_DELAY_MS = 86_400_000.0  # maximum time until activation of a version that is not rejected
MAX_REJECTED_VERSIONS = 16  # maximum number of rejected versions kept; the lowest number is dropped first
MAX_REASON_CHARS = 200


def worst_notification_ms(silent_addresses: int) -> float:
    """Maximum time in ms from publishing to notification if `silent_addresses` consecutive addresses do not
    answer and the next one does."""
    backoffs = (
        2 * min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0**failures) for failures in range(silent_addresses)
    )
    broken_watch_ms = WATCH_TIMEOUT_MS + WATCH_GRACE_MS if silent_addresses else 0.0
    return broken_watch_ms + sum(backoffs) + max(0, silent_addresses - 1) * RESPONSE_TIMEOUT_MS


@dataclass(frozen=True, slots=True)
class RejectedVersion:
    """A version that this gateway will not activate, by its digest, with a reason of one line."""

    digest: str
    reason: str


@dataclass(frozen=True, slots=True)
class ConfigWatchRequest:
    """The next call to a service: address, times, base version, and the status of the gateway to report."""

    address_index: int
    delay_ms: float  # time to wait before the call
    watch_timeout_ms: float  # maximum time that the service waits for a newer version
    response_timeout_ms: float  # time after which the call has failed without a response
    since_number: int  # number of the newest version at this gateway
    since_digest: str  # digest of the base for a delta; "" to request a snapshot
    active_number: int
    active_digest: str
    staged_number: int  # number of the staged version; 0 if none
    rejected_number: int  # highest rejected number; the service sends only newer versions; 0 if none
    rejection_reason: str


class Assessment(Enum):
    """Result of checking an update against the versions at this gateway; the value is a text for
    operators."""

    WANTED = "read"
    OUTDATED = "not newer than the active or staged version"
    ALREADY_REJECTED = "a version that was refused before"
    DIGEST_CONFLICT = "its number is active or staged with another digest"
    BASE_MISMATCH = "its changes are based on another version"


class ConfigSubscriber:
    """State of one gateway's subscription.

    `gateway_number` of `gateway_count` determines its time slot in a backoff; `address_count` is the number
    of services; `rng` draws the jitter. All times are Unix ms of the clock shared by all machines."""

    def __init__(
        self,
        gateway_number: int,
        gateway_count: int,
        address_count: int,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self._slot_start_ratio = (gateway_number % max(1, gateway_count)) / max(1, gateway_count)
        self._slot_ratio = 1 / max(1, gateway_count)  # length of a slot as a fraction of the backoff
        self._address_count = address_count
        self._rng = rng
        self.active = OWN_FILE
        self.staged: SettingsVersion | None = None
        self.rejected: dict[int, RejectedVersion] = {}  # rejected versions by number
        self.address_index = gateway_number % address_count
        self.consecutive_failures = 0
        self.last_response_ms = now_ms  # time of the last valid response; start time before the first one
        self._unchanged_watches = 0  # consecutive watches without a change at the current address
        self._may_watch = False  # whether the current address has answered, so that a watch may wait there
        self._wants_snapshot = False
        self._had_update = False  # whether the last response contained an update

    @property
    def newest(self) -> SettingsVersion:
        """The staged version, or the active one if none is staged; the base for a delta."""
        return self.staged or self.active

    # -- calls to a service

    def next_request(self, now_ms: float) -> ConfigWatchRequest:
        """The next call to a service; draws jitter for its delay after a failure."""
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
        """Delay before the next call in ms: after failures, the time to this gateway's slot in the backoff,
        plus jitter."""
        if not self.consecutive_failures:
            return MIN_WATCH_INTERVAL_MS if self._had_update else 0.0
        doublings = min(self.consecutive_failures - 1, 30)
        backoff_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0**doublings)
        until_slot_ms = (self._slot_start_ratio * backoff_ms - now_ms) % backoff_ms
        return until_slot_ms + self._rng.random() * self._slot_ratio * backoff_ms

    # -- responses of a service

    def on_unchanged(self, now_ms: float, request: ConfigWatchRequest, elapsed_ms: float) -> None:
        """Record a response without a newer version. Raises EarlyResponseError if the service answered long
        before the watch timeout."""
        if request.watch_timeout_ms >= WATCH_TIMEOUT_MS and elapsed_ms < WATCH_TIMEOUT_MS / 2:
            self.on_call_failed()
            raise EarlyResponseError("service ended a watch without a newer version before the watch timeout")
        self._on_response(now_ms)
        self._unchanged_watches += 1
        if self._unchanged_watches >= MAX_UNCHANGED_WATCHES and self._address_count > 1:
            self._use_next_address()

    def on_call_failed(self) -> None:
        """Record a failed call or an unusable response; the next call goes to the next address."""
        self.consecutive_failures += 1
        self._use_next_address()

    def on_invalid_update(self) -> None:
        """Record an invalid update; the next call requests a snapshot from the next address."""
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

    # -- updates received in responses

    def assess(self, update: VersionUpdate) -> Assessment:
        """Check the number, digest and base of an update against the versions at this gateway."""
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
        """Raise UpdateDeclinedError, and record a failed call, unless the update is assessed as WANTED."""
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
        """Stage a parsed version with valid settings, to be activated at its activation time.

        Raises VersionNotStagedError if it is no longer newer than the staged or active version, or if its
        activation time is more than MAX_ACTIVATION_DELAY_MS ahead.
        """
        self._on_version_read(now_ms, version)
        if version.activates_at_ms > now_ms + MAX_ACTIVATION_DELAY_MS:
            self._raise_rejected(version, "in_force_ms is more than a day ahead")
        self.staged = version

    def reject(self, now_ms: float, version: SettingsVersion, reason: str) -> None:
        """Reject a parsed version with invalid settings; always raises VersionNotStagedError."""
        self._on_version_read(now_ms, version)
        self._raise_rejected(version, reason)

    def _on_version_read(self, now_ms: float, version: SettingsVersion) -> None:
        """Record a valid response. Raises VersionNotStagedError if the version is outdated or rejected, as
        another one may have been staged since the call."""
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

    # -- activation of versions

    def due_version(self, now_ms: float) -> SettingsVersion | None:
        """The staged version if its activation time has come; otherwise None."""
        if self.staged is None or self.staged.activates_at_ms > now_ms:
            return None
        return self.staged

    def on_activated(self, version: SettingsVersion) -> None:
        """Record that the gateway has activated a version."""
        self.active = version
        self._unstage_if_done(version)

    def on_activation_failed(self, version: SettingsVersion, reason: str) -> None:
        """Reject a version that the gateway could not activate; its active version has not changed."""
        self._reject(version.number, version.digest, reason)
        self._unstage_if_done(version)

    def _unstage_if_done(self, version: SettingsVersion) -> None:
        if self.staged is None:
            return
        if self.staged is version or self.staged.number <= self.active.number:
            self.staged = None

    def is_newer_than_active(self, version: SettingsVersion) -> bool:
        """Whether to activate at once, regardless of the staged version, a version that was active in the
        hot-restart predecessor."""
        return version.number > self.active.number and version.number not in self.rejected

    # -- status for operators

    def status_line(self, now_ms: float) -> str:
        """Status line for operators: active, staged and rejected versions, and the time since the last
        response of a service."""
        active = self.active
        parts = [f"version {active.number} {active.digest[:12] or '(own file)'} in force"]
        if self.staged is not None:
            delay_s = max(0.0, self.staged.activates_at_ms - now_ms) / 1000
            parts.append(
                f"{self.staged.number} {self.staged.digest[:12]} staged, in force in {delay_s:.1f} s"
            )
        if self.rejected:
            number = max(self.rejected)
            rejected = self.rejected[number]
            parts.append(f"{number} {rejected.digest[:12]} refused ({rejected.reason})")
        parts.append(f"service heard {max(0.0, now_ms - self.last_response_ms) / 1000:.1f} s ago")
        return "; ".join(parts)
