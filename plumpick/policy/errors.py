"""Exceptions raised by the decision module (plumpick.policy)."""


class PolicyError(ValueError):
    """Base class of errors reported to operators; the text gives the cause in one line."""


class CommandError(PolicyError):
    """An operator's command cannot be executed; the gateway's state is unchanged."""


class ReconfigurationError(PolicyError):
    """New settings cannot be applied without a restart; the text names the key, and the old settings stay in
    force."""


class SnapshotError(PolicyError):
    """A snapshot is malformed or belongs to another gateway; no part of it is imported."""


class TimerLoopError(PolicyError):
    """A timer of a kind is set for a time in the past again and again; `turns`: number of turns in a row."""

    def __init__(self, kind: str, turns: int) -> None:
        super().__init__(f"timer {kind}: set for a time in the past in {turns} turns in a row")
