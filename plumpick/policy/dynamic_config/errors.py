"""The errors of versioned settings: all are values that somebody else sent or published."""

from __future__ import annotations


class DynamicConfigError(ValueError):
    """A base for the errors of this package; the text is one line for operators."""


class DeltaError(DynamicConfigError):
    """Changes that cannot be applied, or settings that have no digest."""


class InvalidUpdateError(DynamicConfigError):
    """An answer of a service that is not what it says; it tells nothing about the version."""


class EarlyResponseError(DynamicConfigError):
    """A service ended a watch without a change long before its time."""


class UpdateDeclinedError(DynamicConfigError):
    """An update that is not worth reading, by what is active, staged or rejected here."""


class VersionNotStagedError(DynamicConfigError):
    """A version that was read and is not staged: outdated meanwhile, or rejected."""


class PublishError(DynamicConfigError):
    """A version that the store does not take."""
