"""The errors that the gateway raises to its own process; their texts are what operators read."""

from __future__ import annotations


class GatewayError(ValueError):
    """The gateway has refused what was asked of it, and nothing has changed."""


class CommandRejectedError(GatewayError):
    """An operator's command is rejected; the text is the reply to it."""


class SettingsRejectedError(GatewayError):
    """Settings cannot be taken into service; the text is one line that names the key."""


class StateNotExportedError(GatewayError):
    """The policy gave no state for the next process."""
