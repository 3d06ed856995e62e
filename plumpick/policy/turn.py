"""One call of the decision module: its time, what it asks to be done, and what failed in it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from plumpick.policy.actions import Action
from plumpick.policy.concurrency_limit import PERIOD_MS

STALL_PERIODS = 4.0  # without a call for so long this process stood still: silence is then no evidence
BEFORE_FIRST_MS = -1.0


class Turn:
    """The present turn. Its steps fail one by one: a fault ends its step and is kept for the log."""

    def __init__(self) -> None:
        self.now_ms = BEFORE_FIRST_MS
        self.is_stalled = False
        self.actions: list[Action] = []
        self.faults: list[Exception] = []

    def begin(self, now_ms: float) -> bool:
        """A new turn; returns whether it is the first."""
        is_first = self.now_ms < 0
        self.is_stalled = 0 <= self.now_ms < now_ms - STALL_PERIODS * PERIOD_MS
        self.now_ms = now_ms
        self.actions = []
        self.faults = []
        return is_first

    def run_isolated(self, step: Callable[..., object], *arguments: Any) -> bool:
        """Take a step of the turn; returns False if it failed. The turn's other steps go on."""
        try:
            step(*arguments)
        except Exception as problem:
            self.faults.append(problem)
            return False
        return True
