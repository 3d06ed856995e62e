"""Errors of the decision module."""


class PolicyError(ValueError):
    """Why something was refused, in one line for an operator."""


class CommandError(PolicyError):
    """An operator's command that cannot be executed; nothing has changed."""


class ReconfigurationError(PolicyError):
    """Settings that cannot be taken over in service; the text names the key, and nothing has changed."""


class SnapshotError(PolicyError):
    """A snapshot that cannot be read or is another gateway's; nothing of it counts."""
