"""Cut a failing case down: fewest faults, least strange weather, least load and time that still fail alike.

Source of the method: delta debugging (Zeller and Hildebrandt, 2002), on the list of faults; then each other
part of the case is set to what is plain, where the same rule still breaks.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import replace

from plumpick.simulation.faults import Case, Fault
from plumpick.simulation.world import Result

MOST_PLAYS = 150


class Shrinker:
    """`play` plays a case; `told` hears of each smaller one."""

    def __init__(
        self,
        play: Callable[[Case], Result],
        told: Callable[[Case, Result], None] = lambda _case, _result: None,
        most: int = MOST_PLAYS,
    ) -> None:
        self._play, self._told, self.left = play, told, most

    def shrink(self, case: Case, result: Result) -> tuple[Case, Result]:
        """The smallest case found that breaks the same rule, and what came of it."""
        # What comes after the failure has no part in it: the history up to there is the same.
        case, result = self._try(replace(case, seconds=math.ceil(result.t_ms / 1000) + 1.0), case, result)
        case, result = self._faults(case, result)
        for news in self._plainer(case):
            case, result = self._try(news(case), case, result)
        return self._faults(case, result)

    def _try(self, news: Case, case: Case, result: Result) -> tuple[Case, Result]:
        if news == case or self.left <= 0:
            return case, result
        self.left -= 1
        came = self._play(news)
        if came.rule != result.rule:
            return case, result
        self._told(news, came)
        return news, came

    def _faults(self, case: Case, result: Result) -> tuple[Case, Result]:
        """Delta debugging: leave out ever smaller parts."""
        parts = 2
        while case.faults and self.left > 0:
            size = math.ceil(len(case.faults) / parts)
            for start in range(0, len(case.faults), size):
                less = case.faults[:start] + case.faults[start + size :]
                news, came = self._try(replace(case, faults=less), case, result)
                if news is not case:
                    case, result, parts = news, came, max(2, parts - 1)
                    break
            else:
                if size == 1:
                    break
                parts = min(len(case.faults), parts * 2)
        return case, result

    @staticmethod
    def _plainer(case: Case) -> Iterator[Callable[[Case], Case]]:
        """Each part by itself, as plain as it can be; the time ends soon after the failure."""
        yield lambda one: replace(one, skew_ms=())
        yield lambda one: replace(one, impatient=0.0)
        yield lambda one: replace(one, load=min(one.load, 0.06))
        yield lambda one: replace(one, load=min(one.load, 0.03))
        for number in range(len(case.faults)):
            yield lambda one, number=number: Shrinker._shorter(one, number)  # type: ignore[misc]

    @staticmethod
    def _shorter(case: Case, number: int) -> Case:
        if number >= len(case.faults) or not case.faults[number].for_s:
            return case
        fault = case.faults[number]
        news = Fault(fault.kind, fault.at_s, round(fault.for_s / 2, 3), fault.with_)
        return replace(case, faults=(*case.faults[:number], news, *case.faults[number + 1 :]))
