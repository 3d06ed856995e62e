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

MAX_VERSIONS = 64  # maximum number of stored versions; the lowest number is dropped first
MAX_SUBSCRIBERS = 4096  # maximum number of subscribers; the one with the oldest call is dropped first
MAX_CACHED_RESPONSES = 64  # maximum number of bases with a cached response to the newest version


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
        # Cached responses by base; cleared by each new version.
        self._responses: dict[tuple[int, str], bytes] = {}

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
        while len(self.versions) > MAX_VERSIONS:
            del self.versions[min(self.versions)]

    def record_subscriber(self, status: SubscriberStatus) -> None:
        """Store the status that a gateway reported with a call."""
        self.subscribers.pop(status.name, None)
        self.subscribers[status.name] = status
        while len(self.subscribers) > MAX_SUBSCRIBERS:
            del self.subscribers[next(iter(self.subscribers))]

    def response_for(self, since_number: int, since_digest: str, rejected_number: int) -> bytes | None:
        """The newest version as JSON, for a subscriber that has version `since_number`; None unless it is
        newer than both `since_number` and `rejected_number`.

        The response is a delta if the base is stored and the delta is shorter, otherwise a snapshot.
        """
        newest = self.newest
        if newest is None or newest.number <= max(since_number, rejected_number):
            return None
        stored = self.versions.get(since_number)
        base = stored.version if stored is not None and stored.version.digest == since_digest else None
        key = (since_number, since_digest) if base is not None else (0, "")
        if key not in self._responses:
            if len(self._responses) >= MAX_CACHED_RESPONSES:
                self._responses.clear()
            self._responses[key] = _encode_response(newest, base)
        return self._responses[key]

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


def _encode_response(newest: SettingsVersion, base: SettingsVersion | None) -> bytes:
    """The newest version as JSON: the shorter one of snapshot and delta; a snapshot without a base."""
    head: dict[str, Any] = {
        "version": newest.number,
        "digest": newest.digest,
        "in_force_ms": newest.activates_at_ms,
    }
    snapshot = json.dumps({**head, "settings": newest.settings}, separators=(",", ":")).encode()
    if base is None:
        return snapshot
    try:
        changes = changes_between(base.settings, newest.settings)
    except DeltaError:
        return snapshot
    delta = canonical_json(
        {**head, "base": base.number, "base_digest": base.digest, "changes": changes}
    ).encode()
    return delta if len(delta) < len(snapshot) else snapshot
