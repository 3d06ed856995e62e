"""Errors of versioned settings, raised for input that a service or a publisher sent."""

from __future__ import annotations


class DynamicConfigError(ValueError):
    """Base class of the errors of this package; the message is one line for operators."""


class DeltaError(DynamicConfigError):
    """A delta cannot be applied, or a value has no canonical JSON and so no digest."""


class InvalidUpdateError(DynamicConfigError):
    """A service sent a malformed update, or one that does not result in the digest it states. The version
    itself may be valid."""


class EarlyResponseError(DynamicConfigError):
    """A service ended a watch without a change long before the watch timeout."""


class UpdateDeclinedError(DynamicConfigError):
    """An update is not parsed, given the versions that are active, staged or rejected at this gateway."""


class VersionNotStagedError(DynamicConfigError):
    """A parsed version is not staged: it is rejected, or no longer newer than the staged version."""


class PublishError(DynamicConfigError):
    """A published version is not accepted by the version store."""
