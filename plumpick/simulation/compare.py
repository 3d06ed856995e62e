"""Play a case twice and find the first step that differs, with what was done around it."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from plumpick.simulation.faults import Case
from plumpick.simulation.world import Result, World

AROUND = 8  # steps before the first difference that are shown
MAKE = Callable[..., World]


@dataclass
class Difference:
    """Where two histories part."""

    step: int
    before: list[str]
    first: str
    second: str

    def __str__(self) -> str:
        lines = [f"the histories part at step {self.step}", *(f"    {line}" for line in self.before)]
        return "\n".join([*lines, f"  1 {self.first}", f"  2 {self.second}"])


def steps_of(case: Case, make: MAKE = World) -> tuple[Result, list[str]]:
    """A run and all its steps, as lines."""
    lines: list[str] = []
    world = make(case, trace=lambda step, t, who, what: lines.append(f"{step} {t:.9f} {who} {what}"))
    return world.play(), lines


def difference(case: Case, make: MAKE = World) -> Difference | None:
    """The first step at which two runs of the case differ; None where they are alike."""
    (_, one), (_, two) = steps_of(case, make), steps_of(case, make)
    before: deque[str] = deque(maxlen=AROUND)
    for number, (first, second) in enumerate(itertools.zip_longest(one, two, fillvalue="(it is over)")):
        if first != second:
            return Difference(number, list(before), first, second)
        before.append(first)
    return None
