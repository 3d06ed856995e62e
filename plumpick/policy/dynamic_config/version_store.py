"""State of a version service: published versions, responses to subscribers, and the status each one reported.

The state is kept in memory only. A version number never has two contents. After a restart the service has no
versions: subscribers keep theirs, since version numbers only increase, and publishing the same version again
restores it.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from plumpick.policy.dynamic_config.delta import canonical_json, changes_between
from plumpick.policy.dynamic_config.errors import DeltaError, InvalidUpdateError, PublishError
from plumpick.policy.dynamic_config.updates import OWN_FILE, SettingsVersion, parse_update, resolve_update

# Maximum number of stored versions; the lowest number is dropped first, but never the version in force
MAX_VERSIONS = 64
MAX_SUBSCRIBERS = 4096  # maximum number of subscribers; the one with the oldest call is dropped first
MAX_CACHED_RESPONSES = 64  # maximum number of cached responses; all are dropped when it is reached


@dataclass(slots=True)
class SubscriberStatus:
    """Status of a gateway, as reported with its last call."""

    name: str
    number: int
    active_version: int
    active_digest: str
    staged_version: int  # number of the staged version; 0 if none
    rejected_version: int  # highest version number that the gateway rejected; 0 if none
    rejection_reason: str
    last_call_ms: float

    def to_row(self) -> list[Any]:
        """Row of this subscriber in a service's status JSON."""
        return [
            self.name,
            self.number,
            self.active_version,
            self.active_digest,
            self.staged_version,
            self.rejected_version,
            self.rejection_reason,
            self.last_call_ms,
        ]


@dataclass(frozen=True, slots=True)
class StoredVersion:
    """A version, and the time of its publication at this service (Unix ms)."""

    version: SettingsVersion
    published_ms: float


class VersionStore:
    """Published versions and subscribers of one service. All times are Unix ms."""

    def __init__(self) -> None:
        self.versions: dict[int, StoredVersion] = {}  # published versions by number
        self.subscribers: dict[str, SubscriberStatus] = {}  # subscribers by name, in order of the last call
        # Cached responses by version number, base number and base digest; cleared by each new version.
        self._responses: dict[tuple[int, int, str], bytes] = {}

    @property
    def newest(self) -> SettingsVersion | None:
        """The version with the highest number; None without any version."""
        return self.versions[max(self.versions)].version if self.versions else None

    def publish(self, now_ms: float, value: Any) -> None:
        """Store a version given in the service's JSON; publishing the same version again has no effect.
        Raises PublishError."""
        version = _published_version(value)
        known = self.versions.get(version.number)
        if known is not None:
            _require_same(known.version, version)
            return
        newest = self.newest
        if newest is not None and version.number < newest.number:
            raise PublishError(f"version {version.number} is older than {newest.number}")
        self.versions[version.number] = StoredVersion(version, now_ms)
        self._responses.clear()
        self._drop_excess_versions(now_ms)

    def _drop_excess_versions(self, now_ms: float) -> None:
        """Drop the lowest numbers beyond MAX_VERSIONS, except the version in force, which a subscriber
        without a version still needs."""
        in_force = self.version_in_force(now_ms)
        kept_number = in_force.number if in_force is not None else 0
        while len(self.versions) > MAX_VERSIONS:
            del self.versions[min(number for number in self.versions if number != kept_number)]

    def record_subscriber(self, status: SubscriberStatus) -> None:
        """Store the status that a gateway reported with a call."""
        self.subscribers.pop(status.name, None)
        self.subscribers[status.name] = status
        while len(self.subscribers) > MAX_SUBSCRIBERS:
            del self.subscribers[next(iter(self.subscribers))]

    def version_in_force(self, now_ms: float) -> SettingsVersion | None:
        """The version that is active at subscribers that received each version when it was published here;
        None if no version is active yet.

        A subscriber stages one version at a time, so one that still waited for its activation time when a
        higher number was published never becomes active.
        """
        active: SettingsVersion | None = None
        staged: SettingsVersion | None = None
        for number in sorted(self.versions):
            stored = self.versions[number]
            if staged is not None and staged.activates_at_ms <= stored.published_ms:
                active = staged
            staged = stored.version
        if staged is not None and staged.activates_at_ms <= now_ms:
            active = staged
        return active

    def response_for(
        self, now_ms: float, since_number: int, since_digest: str, rejected_number: int
    ) -> bytes | None:
        """The next version as JSON, for a subscriber that has version `since_number`: the version in force,
        or the newest one if the subscriber has that already. None unless it is newer than both `since_number`
        and `rejected_number`.

        The response is a delta if the base is stored and the delta is shorter, otherwise a snapshot.
        """
        version = self._next_version(now_ms, max(since_number, rejected_number))
        if version is None:
            return None
        stored = self.versions.get(since_number)
        base = stored.version if stored is not None and stored.version.digest == since_digest else None
        base_key = (since_number, since_digest) if base is not None else (0, "")
        key = (version.number, *base_key)
        if key not in self._responses:
            if len(self._responses) >= MAX_CACHED_RESPONSES:
                self._responses.clear()
            self._responses[key] = _encode_response(version, base)
        return self._responses[key]

    def _next_version(self, now_ms: float, known_number: int) -> SettingsVersion | None:
        """The version that a subscriber needs next that knows the numbers up to `known_number`; None if it
        needs none."""
        for version in (self.version_in_force(now_ms), self.newest):
            if version is not None and version.number > known_number:
                return version
        return None

    def status(self, now_ms: float) -> dict[str, Any]:
        """Status JSON of this service, as read by `plumpick configuration status`."""
        return {
            "now_ms": now_ms,
            "versions": [
                [
                    stored.version.number,
                    stored.version.digest,
                    stored.version.activates_at_ms,
                    stored.published_ms,
                ]
                for stored in self.versions.values()
            ],
            "balancers": self._gateway_count(),
            "watchers": [subscriber.to_row() for subscriber in self.subscribers.values()],
        }

    def _gateway_count(self) -> int:
        """Number of gateways according to the newest version with a valid `balancers` value; 0 if none has
        one."""
        for number in sorted(self.versions, reverse=True):
            count = self.versions[number].version.settings.get("balancers")
            if type(count) is int and 0 < count <= MAX_SUBSCRIBERS:
                return count
        return 0


def _published_version(value: Any) -> SettingsVersion:
    """Parse the version that a publisher sent, which must be a snapshot; raises PublishError."""
    try:
        update = parse_update(value)
        if update.settings is None:
            raise PublishError("publishing needs the whole settings, got changes")
        return resolve_update(update, OWN_FILE)
    except InvalidUpdateError as problem:
        raise PublishError(str(problem)) from problem


def _require_same(known: SettingsVersion, version: SettingsVersion) -> None:
    if (known.digest, known.activates_at_ms) != (version.digest, version.activates_at_ms):
        raise PublishError(f"version {version.number} is already published with another content or time")


def _encode_response(version: SettingsVersion, base: SettingsVersion | None) -> bytes:
    """A version as JSON: the shorter one of snapshot and delta; a snapshot without a base."""
    head: dict[str, Any] = {
        "version": version.number,
        "digest": version.digest,
        "in_force_ms": version.activates_at_ms,
    }
    snapshot = json.dumps({**head, "settings": version.settings}, separators=(",", ":")).encode()
    if base is None:
        return snapshot
    try:
        changes = changes_between(base.settings, version.settings)
    except DeltaError:
        return snapshot
    delta = canonical_json(
        {**head, "base": base.number, "base_digest": base.digest, "changes": changes}
    ).encode()
    return delta if len(delta) < len(snapshot) else snapshot
