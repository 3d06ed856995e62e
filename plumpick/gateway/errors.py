"""Errors raised by the gateway; their texts are shown to operators."""

from __future__ import annotations


class GatewayError(ValueError):
    """The gateway rejected a call; its state is unchanged."""


class CommandRejectedError(GatewayError):
    """An operator's command was rejected; the text is the reply to the operator."""


class SettingsRejectedError(GatewayError):
    """New settings cannot be put in force; the text is one line that names the key."""


class StateNotExportedError(GatewayError):
    """The policy failed to export its state for the successor of a hot restart."""
