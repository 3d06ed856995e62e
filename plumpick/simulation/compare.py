"""Determinism check: plays a case twice and finds the first step at which the two runs differ."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from plumpick.simulation.faults import Case
from plumpick.simulation.world import Result, World

CONTEXT_STEPS = 8  # number of steps shown before the first difference
WorldFactory = Callable[..., World]


@dataclass
class Difference:
    """The first step at which two runs of a case differ, with the steps that precede it."""

    step: int
    before: list[str]
    first: str
    second: str

    def __str__(self) -> str:
        lines = [f"the two runs differ from step {self.step}", *(f"    {line}" for line in self.before)]
        return "\n".join([*lines, f"  1 {self.first}", f"  2 {self.second}"])


def trace_run(case: Case, make: WorldFactory = World) -> tuple[Result, list[str]]:
    """Plays a case; returns its result and one line for each step."""
    lines: list[str] = []
    world = make(case, trace=lambda step, t, who, what: lines.append(f"{step} {t:.9f} {who} {what}"))
    return world.play(), lines


def find_difference(case: Case, make: WorldFactory = World) -> Difference | None:
    """Returns the first step at which two runs of the case differ, or None if the runs are identical."""
    (_, one), (_, two) = trace_run(case, make), trace_run(case, make)
    before: deque[str] = deque(maxlen=CONTEXT_STEPS)
    for number, (first, second) in enumerate(itertools.zip_longest(one, two, fillvalue="(run ended)")):
        if first != second:
            return Difference(number, list(before), first, second)
        before.append(first)
    return None
