"""A service's decisions: which versions are published, what a subscriber is answered, what each one reported.

In memory only. A number is never given to two contents. A service that was restarted knows nothing: its
subscribers keep what they have, since numbers only go up, and publishing the same version again completes it.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from plumpick.policy.dynamic_config.delta import canonical_json, changes_between
from plumpick.policy.dynamic_config.errors import DeltaError, InvalidUpdateError, PublishError
from plumpick.policy.dynamic_config.updates import OWN_FILE, SettingsVersion, parse_update, resolve_update

MAX_VERSIONS = 64  # the lowest number is dropped first
MAX_SUBSCRIBERS = 4096  # names; the one that has not called for longest is dropped first
MAX_CACHED_RESPONSES = 64  # for bases that many ask from


@dataclass(slots=True)
class SubscriberStatus:
    """What a gateway reported with its last call."""

    name: str
    number: int
    active_version: int
    active_digest: str
    staged_version: int  # 0: none
    rejected_version: int  # 0: none
    rejection_reason: str
    last_call_ms: float

    def to_row(self) -> list[Any]:
        """Its row in the JSON of a service's status."""
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
    """A version, and when it was published here (Unix ms)."""

    version: SettingsVersion
    published_ms: float


class VersionStore:
    """The versions and the subscribers of one service. All times are Unix ms."""

    def __init__(self) -> None:
        self.versions: dict[int, StoredVersion] = {}  # by number, at most MAX_VERSIONS
        self.subscribers: dict[str, SubscriberStatus] = {}  # by name, the last caller last
        self._responses: dict[tuple[int, str], bytes] = {}  # by base; dropped at each new version

    @property
    def newest(self) -> SettingsVersion | None:
        """The version with the highest number."""
        return self.versions[max(self.versions)].version if self.versions else None

    def publish(self, now_ms: float, value: Any) -> None:
        """Store a version in the service's JSON; the same one twice is stored once. Raises PublishError."""
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
        """A gateway has called."""
        self.subscribers.pop(status.name, None)
        self.subscribers[status.name] = status
        while len(self.subscribers) > MAX_SUBSCRIBERS:
            del self.subscribers[next(iter(self.subscribers))]

    def response_for(self, since_number: int, since_digest: str, rejected_number: int) -> bytes | None:
        """The newest version as JSON, for a subscriber that has `since_number`; None where it has nothing
        newer.

        A delta where the base is stored and the delta is shorter, else a snapshot.
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
        """All that `plumpick configuration status` reads of one service."""
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
        """How many gateways there are, by the newest version that has a usable count; 0 where none has."""
        for number in sorted(self.versions, reverse=True):
            count = self.versions[number].version.settings.get("balancers")
            if type(count) is int and 0 < count <= MAX_SUBSCRIBERS:
                return count
        return 0


def _published_version(value: Any) -> SettingsVersion:
    """The version that a publisher sent; raises PublishError."""
    try:
        update = parse_update(value)
        if update.settings is None:
            raise PublishError("the whole settings are due")
        return resolve_update(update, OWN_FILE)
    except InvalidUpdateError as problem:
        raise PublishError(str(problem)) from problem


def _require_same(known: SettingsVersion, version: SettingsVersion) -> None:
    if (known.digest, known.activates_at_ms) != (version.digest, version.activates_at_ms):
        raise PublishError(f"version {version.number} is here with another content or time")


def _encode_response(newest: SettingsVersion, base: SettingsVersion | None) -> bytes:
    """The shorter one of snapshot and delta, as JSON."""
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
