"""A version of the settings, and the update that transfers it from a service, as a snapshot or as a delta.

`parse_update` validates the form of an update, `resolve_update` computes the version from it. Both raise
InvalidUpdateError, which does not mean that the version is invalid: the caller requests a snapshot from
another service.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from plumpick.policy.dynamic_config.delta import SettingsJson, apply_changes, settings_digest, shared_settings
from plumpick.policy.dynamic_config.errors import DeltaError, InvalidUpdateError

MAX_VERSION_NUMBER = 2**53  # integers up to this number are exact in JSON


@dataclass(frozen=True, slots=True)
class SettingsVersion:
    """A version with its settings, which must not be modified. Number 0: the settings of the gateway's own
    file."""

    number: int
    digest: str
    activates_at_ms: float  # activation time in Unix ms
    settings: SettingsJson


OWN_FILE = SettingsVersion(0, "", 0.0, {})


@dataclass(frozen=True, slots=True)
class VersionUpdate:
    """A version as sent by a service: with its settings (snapshot), or with the changes from a base
    (delta)."""

    number: int
    digest: str
    activates_at_ms: float  # activation time in Unix ms
    settings: SettingsJson | None  # settings of a snapshot; None for a delta
    changes: Any = None
    base_number: int = 0
    base_digest: str = ""

    def applies_to(self, base: SettingsVersion) -> bool:
        """Whether the update is a snapshot, or a delta from this base."""
        if self.settings is not None:
            return True
        return (self.base_number, self.base_digest) == (base.number, base.digest)


def parse_update(value: Any) -> VersionUpdate:
    """Parse an update from the service's JSON; raises InvalidUpdateError."""
    if not isinstance(value, dict):
        raise InvalidUpdateError(f"update must be a JSON object, got {type(value).__name__}")
    activates_at_ms: Any = value.get("in_force_ms")
    if type(activates_at_ms) not in (int, float) or not 0 <= activates_at_ms <= MAX_VERSION_NUMBER:
        raise InvalidUpdateError(f"in_force_ms must be a number of Unix ms from 0 to {MAX_VERSION_NUMBER}")
    number = _parse_number(value.get("version"))
    digest = _parse_digest(value.get("digest"))
    settings = value.get("settings")
    if isinstance(settings, dict):
        return VersionUpdate(number, digest, float(activates_at_ms), shared_settings(settings))
    changes = value.get("changes")
    if not isinstance(changes, dict):
        raise InvalidUpdateError("update has neither settings nor changes")
    base_number = _parse_number(value.get("base"))
    base_digest = _parse_digest(value.get("base_digest"))
    return VersionUpdate(number, digest, float(activates_at_ms), None, changes, base_number, base_digest)


def resolve_update(update: VersionUpdate, base: SettingsVersion) -> SettingsVersion:
    """The version that results from an update and its base. Raises InvalidUpdateError if a delta is from
    another base or cannot be applied, or if the digest of the result differs from the stated one."""
    try:
        if update.settings is not None:
            settings = update.settings
        elif update.applies_to(base):
            settings = apply_changes(base.settings, update.changes)
        else:
            raise InvalidUpdateError(
                f"changes are based on version {update.base_number} {update.base_digest[:12]}, "
                f"not on version {base.number} {base.digest[:12]}"
            )
        if settings_digest(settings) != update.digest:
            raise InvalidUpdateError(f"digest {update.digest[:12]} does not match the settings")
    except DeltaError as problem:
        raise InvalidUpdateError(str(problem)) from problem
    return SettingsVersion(update.number, update.digest, update.activates_at_ms, settings)


def _parse_number(value: Any) -> int:
    if type(value) is not int or not 1 <= value <= MAX_VERSION_NUMBER:
        raise InvalidUpdateError(
            f"version must be an integer from 1 to {MAX_VERSION_NUMBER}, got {value!r:.40}"
        )
    return int(value)


def _parse_digest(value: Any) -> str:
    if not isinstance(value, str) or len(value) != 64 or set(value) - set("0123456789abcdef"):
        raise InvalidUpdateError(f"digest must be 64 lowercase hexadecimal digits, got {value!r:.80}")
    return value
