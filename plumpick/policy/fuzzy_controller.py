"""A PI-type fuzzy controller for one request class's share of the concurrency limit.

Source: Loudini and others, "Incorporate intelligence into the differentiated services strategies of a Web
server", Tables 6 and 7 (absolute delay). Inputs are the error (target minus mean wait) and its change per
period; the output changes the share. Shares apply only while the concurrency limit is reached (admission.py).
"""

from __future__ import annotations

import functools

ERROR_GAIN_PER_S = 0.4
CHANGE_GAIN_PER_S = 3.0
SHARE_PER_OUTPUT = 0.01  # change of the share for an output of 1
SET_CENTRES = (-1.0, -0.5, 0.0, 0.5, 1.0)  # centres of triangular fuzzy sets that overlap by half
OUTPUT_STEPS = 20  # number of steps on each side of 0 in the centre-of-gravity sum
MIN_SHARE = 0.05  # minimum share, so that no class is starved permanently


def memberships(value: float) -> list[float]:
    """The membership grade, from 0 to 1, of a value in each fuzzy set; the value is clamped to [-1, 1]."""
    value = max(-1.0, min(1.0, value))
    width = SET_CENTRES[1] - SET_CENTRES[0]
    return [max(0.0, 1 - abs(value - centre) / width) for centre in SET_CENTRES]


_OUTPUTS = [
    (step / OUTPUT_STEPS, memberships(step / OUTPUT_STEPS)) for step in range(-OUTPUT_STEPS, OUTPUT_STEPS + 1)
]


class FuzzyShareController:
    """Adjusts one class's share of the concurrency limit to the queueing time of its requests.

    `target_wait_ms`: target of the mean queueing time; `share`: initial share, from 0 to 1."""

    def __init__(self, target_wait_ms: float, share: float) -> None:
        self.target_wait_s = target_wait_ms / 1000
        self.share = share
        self.last_error: float | None = None  # error of the last period in seconds; None before the first one

    def retarget(self, target_wait_ms: float) -> None:
        """Set a new target. If it differs, the last error is dropped, since it refers to the old target."""
        target_wait_s = target_wait_ms / 1000
        if self.target_wait_s != target_wait_s:
            self.target_wait_s = target_wait_s
            self.last_error = None

    def on_period(self, mean_wait_ms: float) -> None:
        """Update the share after one period: a class that waits longer than its target gains share, one that
        waits less keeps its share."""
        error = self.target_wait_s - mean_wait_ms / 1000
        change = 0.0 if self.last_error is None else error - self.last_error
        self.last_error = error
        if error >= 0 and change >= 0:
            return  # output cannot be negative for these inputs, so the share does not change
        output = self.infer(round(ERROR_GAIN_PER_S * error, 2), round(CHANGE_GAIN_PER_S * change, 2))
        move = SHARE_PER_OUTPUT * output
        if move < 0 or error < 0:
            self.share = min(1.0, max(MIN_SHARE, self.share - move))

    @staticmethod
    # Cached: a pure function of few distinct arguments, and the most expensive step under load.
    @functools.cache
    def infer(error: float, change: float) -> float:
        """The controller's output in [-1, 1]: diagonal rule table, max-min inference, centre of gravity."""
        strengths = [0.0] * len(SET_CENTRES)
        for row, error_grade in enumerate(memberships(error)):
            for column, change_grade in enumerate(memberships(change)):
                rule = max(0, min(len(SET_CENTRES) - 1, row + column - len(SET_CENTRES) // 2))
                strengths[rule] = max(strengths[rule], min(error_grade, change_grade))
        weighted = 0.0
        total = 0.0
        for output, grades in _OUTPUTS:
            height = max(map(min, strengths, grades))
            weighted += output * height
            total += height
        return weighted / total
