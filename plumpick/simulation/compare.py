"""Determinism check: plays a case twice and finds the first step at which the two runs differ."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from plumpick.simulation.faults import Case
from plumpick.simulation.world import Result, World

AROUND = 8  # number of steps shown before the first difference
MAKE = Callable[..., World]


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


def steps_of(case: Case, make: MAKE = World) -> tuple[Result, list[str]]:
    """Plays a case; returns its result and one line for each step."""
    lines: list[str] = []
    world = make(case, trace=lambda step, t, who, what: lines.append(f"{step} {t:.9f} {who} {what}"))
    return world.play(), lines


def difference(case: Case, make: MAKE = World) -> Difference | None:
    """Returns the first step at which two runs of the case differ, or None if the runs are identical."""
    (_, one), (_, two) = steps_of(case, make), steps_of(case, make)
    before: deque[str] = deque(maxlen=AROUND)
    for number, (first, second) in enumerate(itertools.zip_longest(one, two, fillvalue="(run ended)")):
        if first != second:
            return Difference(number, list(before), first, second)
        before.append(first)
    return None
