"""Reduces a failing case to fewer and shorter faults, less load and less time that still break the same rule.

The list of faults is reduced by delta debugging (Zeller and Hildebrandt, 2002). Then each other parameter of
the case is set to a simpler value if the same rule still breaks.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import replace

from plumpick.simulation.faults import Case, Fault
from plumpick.simulation.world import Result

MAX_PLAYS = 150  # maximum number of runs for reducing one case


class Shrinker:
    """Reduces failing cases. `play` runs a case; `on_smaller` is called with each smaller failing case."""

    def __init__(
        self,
        play: Callable[[Case], Result],
        on_smaller: Callable[[Case, Result], None] = lambda _case, _result: None,
        max_plays: int = MAX_PLAYS,
    ) -> None:
        self._play, self._on_smaller, self.plays_left = play, on_smaller, max_plays

    def shrink(self, case: Case, result: Result) -> tuple[Case, Result]:
        """Returns the smallest case found that breaks the same rule as `result`, with its result."""
        # Faults after the failure are cut off first: they do not change the run before it.
        case, result = self._keep_if_failing(
            replace(case, seconds=math.ceil(result.t_ms / 1000) + 1.0), case, result
        )
        case, result = self._reduce_faults(case, result)
        for candidate in self._simplifications(case):
            case, result = self._keep_if_failing(candidate(case), case, result)
        return self._reduce_faults(case, result)

    def _keep_if_failing(self, candidate: Case, case: Case, result: Result) -> tuple[Case, Result]:
        if candidate == case or self.plays_left <= 0:
            return case, result
        self.plays_left -= 1
        outcome = self._play(candidate)
        if outcome.rule != result.rule:
            return case, result
        self._on_smaller(candidate, outcome)
        return candidate, outcome

    def _reduce_faults(self, case: Case, result: Result) -> tuple[Case, Result]:
        """Reduces the list of faults by delta debugging: tries to remove ever smaller parts of it."""
        parts = 2
        while case.faults and self.plays_left > 0:
            size = math.ceil(len(case.faults) / parts)
            for start in range(0, len(case.faults), size):
                fewer_faults = case.faults[:start] + case.faults[start + size :]
                candidate, outcome = self._keep_if_failing(replace(case, faults=fewer_faults), case, result)
                if candidate is not case:
                    case, result, parts = candidate, outcome, max(2, parts - 1)
                    break
            else:
                if size == 1:
                    break
                parts = min(len(case.faults), parts * 2)
        return case, result

    @staticmethod
    def _simplifications(case: Case) -> Iterator[Callable[[Case], Case]]:
        """Yields functions that each simplify one parameter of a case, such as the load or a duration."""
        yield lambda one: replace(one, skew_ms=())
        yield lambda one: replace(one, impatient=0.0)
        yield lambda one: replace(one, load=min(one.load, 0.06))
        yield lambda one: replace(one, load=min(one.load, 0.03))
        for number in range(len(case.faults)):
            yield lambda one, number=number: Shrinker._with_shorter_fault(one, number)  # type: ignore[misc]

    @staticmethod
    def _with_shorter_fault(case: Case, number: int) -> Case:
        if number >= len(case.faults) or not case.faults[number].for_s:
            return case
        fault = case.faults[number]
        candidate = Fault(fault.kind, fault.at_s, round(fault.for_s / 2, 3), fault.with_)
        return replace(case, faults=(*case.faults[:number], candidate, *case.faults[number + 1 :]))
