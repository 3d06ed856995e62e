"""A version of the settings, and the update in which a service sends one: as a snapshot or as a delta.

`parse_update` checks an update's form, `resolve_update` makes the version of it. Both raise
InvalidUpdateError, which tells nothing about the version itself: the caller asks elsewhere, for the snapshot.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from plumpick.policy.dynamic_config.delta import SettingsJson, apply_changes, settings_digest, shared_settings
from plumpick.policy.dynamic_config.errors import DeltaError, InvalidUpdateError

MAX_VERSION_NUMBER = 2**53  # JSON numbers are exact integers up to here


@dataclass(frozen=True, slots=True)
class SettingsVersion:
    """A version with its settings, which are never changed. Number 0: those of the gateway's own file."""

    number: int
    digest: str
    activates_at_ms: float  # Unix ms
    settings: SettingsJson


OWN_FILE = SettingsVersion(0, "", 0.0, {})


@dataclass(frozen=True, slots=True)
class VersionUpdate:
    """A version as a service sends it: its settings (a snapshot), or the changes from a base (a delta)."""

    number: int
    digest: str
    activates_at_ms: float  # Unix ms
    settings: SettingsJson | None  # None: a delta
    changes: Any = None
    base_number: int = 0
    base_digest: str = ""

    def applies_to(self, base: SettingsVersion) -> bool:
        """Whether it is a snapshot, or a delta of that base."""
        if self.settings is not None:
            return True
        return (self.base_number, self.base_digest) == (base.number, base.digest)


def parse_update(value: Any) -> VersionUpdate:
    """An update in the service's JSON; raises InvalidUpdateError."""
    if not isinstance(value, dict):
        raise InvalidUpdateError("an answer that is no object")
    activates_at_ms: Any = value.get("in_force_ms")
    if type(activates_at_ms) not in (int, float) or not 0 <= activates_at_ms <= MAX_VERSION_NUMBER:
        raise InvalidUpdateError("in_force_ms is no time")
    number = _parse_number(value.get("version"))
    digest = _parse_digest(value.get("digest"))
    settings = value.get("settings")
    if isinstance(settings, dict):
        return VersionUpdate(number, digest, float(activates_at_ms), shared_settings(settings))
    changes = value.get("changes")
    if not isinstance(changes, dict):
        raise InvalidUpdateError("neither settings nor changes")
    base_number = _parse_number(value.get("base"))
    base_digest = _parse_digest(value.get("base_digest"))
    return VersionUpdate(number, digest, float(activates_at_ms), None, changes, base_number, base_digest)


def resolve_update(update: VersionUpdate, base: SettingsVersion) -> SettingsVersion:
    """The version that an update makes of its base, with the digest that it names; raises
    InvalidUpdateError."""
    try:
        if update.settings is not None:
            settings = update.settings
        elif update.applies_to(base):
            settings = apply_changes(base.settings, update.changes)
        else:
            raise InvalidUpdateError("changes from another base")
        if settings_digest(settings) != update.digest:
            raise InvalidUpdateError("the digest is not that of the settings")
    except DeltaError as problem:
        raise InvalidUpdateError(str(problem)) from problem
    return SettingsVersion(update.number, update.digest, update.activates_at_ms, settings)


def _parse_number(value: Any) -> int:
    if type(value) is not int or not 1 <= value <= MAX_VERSION_NUMBER:
        raise InvalidUpdateError(f"{value!r:.40} is no version")
    return int(value)


def _parse_digest(value: Any) -> str:
    if not isinstance(value, str) or len(value) != 64 or set(value) - set("0123456789abcdef"):
        raise InvalidUpdateError(f"{value!r:.80} is no digest")
    return value
