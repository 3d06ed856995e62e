"""A turn, which is one call of the decision module: its time, requested actions and exceptions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from plumpick.policy.actions import Action
from plumpick.policy.concurrency_limit import PERIOD_MS

# Number of periods without a call after which this process counts as stalled. After a stall, a missing or
# slow answer says nothing about an endpoint.
STALL_PERIODS = 4.0
BEFORE_FIRST_MS = -1.0  # value of Turn.now_ms before the first turn


class Turn:
    """The current turn. An exception ends only the step that raised it and is collected in `faults`."""

    def __init__(self) -> None:
        self.now_ms = BEFORE_FIRST_MS
        self.is_stalled = False
        self.actions: list[Action] = []
        self.faults: list[Exception] = []

    def begin(self, now_ms: float) -> bool:
        """Start a new turn at `now_ms`; returns whether it is the first one."""
        is_first = self.now_ms < 0
        self.is_stalled = 0 <= self.now_ms < now_ms - STALL_PERIODS * PERIOD_MS
        self.now_ms = now_ms
        self.actions = []
        self.faults = []
        return is_first

    def run_isolated(self, step: Callable[..., object], *arguments: Any) -> bool:
        """Call one step of the turn. Returns False, and collects the exception, if the step raises one."""
        try:
            step(*arguments)
        except Exception as problem:
            self.faults.append(problem)
            return False
        return True
