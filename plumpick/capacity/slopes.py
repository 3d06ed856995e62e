"""Measured slopes: a curve fitted to points, with its largest deviation, stored in slopes.json.

Only `python -m benchmarks.slopes` measures and writes them."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

FILE = Path(__file__).with_name("slopes.json")
LINEAR, SORTED, POWER, SATURATING = "a + b x", "a + b x ln x", "a x^b", "a x / (b + x)"
FORMS = (LINEAR, SORTED, POWER, SATURATING)
LEAST_POINTS = 4
COMPILED, PLAIN, EITHER = "compiled", "plain", "either"  # kinds of the policy with which a slope was measured
KEYS = {
    "name",
    "what",
    "x",
    "unit",
    "decisions",
    "form",
    "a",
    "b",
    "points",
    "residual",
    "scatter",
    "command",
    "date",
    "machine",
}

Point = tuple[float, float]


class SlopesError(ValueError):
    """A slope or a file of slopes is invalid; the text gives the reason."""


def curve_value(form: str, a: float, b: float, x: float) -> float:
    """The value of the curve of this form, with the parameters a and b, at x."""
    if form == LINEAR:
        return a + b * x
    if form == SORTED:
        return a + (b * x * math.log(x) if x > 0 else 0.0)
    if form == POWER:
        return a * x**b if x > 0 else 0.0
    return a * x / (b + x) if b + x else 0.0


def _fit_line(rows: Sequence[tuple[float, float, float]]) -> tuple[float, float]:
    """Fit v = a + b u by weighted least squares to rows of (u, v, weight); returns a and b."""
    total_weight = sum(weight for _, _, weight in rows)
    mean_u = sum(u * weight for u, _, weight in rows) / total_weight
    mean_v = sum(v * weight for _, v, weight in rows) / total_weight
    spread = sum(weight * (u - mean_u) ** 2 for u, _, weight in rows)
    b = sum(weight * (u - mean_u) * (v - mean_v) for u, v, weight in rows) / spread if spread else 0.0
    return mean_v - b * mean_u, b


def fit(form: str, points: Sequence[Point]) -> tuple[float, float]:
    """Fit a curve of this form by least squares of the relative deviation; returns a and b. Raises
    SlopesError if the form cannot represent the points."""
    if any(y <= 0 for _, y in points):
        if form != LINEAR:
            raise SlopesError(f"{form}: requires values above 0")
        return _fit_line([(x, y, 1.0) for x, y in points])
    if form == LINEAR:
        return _fit_line([(x, y, 1 / y**2) for x, y in points])
    if any(x <= 0 for x, _ in points):
        raise SlopesError(f"{form}: requires sizes above 0")
    if form == SORTED:
        return _fit_line([(x * math.log(x), y, 1 / y**2) for x, y in points])
    if form == POWER:
        log_a, b = _fit_line([(math.log(x), math.log(y), 1.0) for x, y in points])
        return math.exp(log_a), b
    if form == SATURATING:  # x / y = b / a + x / a
        c, d = _fit_line([(x, x / y, (y / x) ** 2) for x, y in points])
        if d <= 0 or c < 0:
            raise SlopesError(f"{form}: cannot represent the points, which do not saturate")
        return 1 / d, c / d
    raise SlopesError(f"unknown form {form!r}, expected one of {', '.join(FORMS)}")


def residual(form: str, a: float, b: float, points: Sequence[Point]) -> float:
    """The largest deviation of the curve from a point, relative to the point's value."""
    return max(
        abs(curve_value(form, a, b, x) - y) / abs(y) if y else abs(curve_value(form, a, b, x))
        for x, y in points
    )


def best_fit(points: Sequence[Point], forms: Sequence[str] = FORMS) -> tuple[str, float, float, float]:
    """Form, a, b and residual of the form with the smallest residual."""
    found = []
    for form in forms:
        try:
            a, b = fit(form, points)
        except SlopesError:
            continue
        found.append((residual(form, a, b, points), FORMS.index(form), a, b))
    smallest_residual, place, a, b = min(found)
    return FORMS[place], a, b, smallest_residual


@dataclass(frozen=True, slots=True)
class Slope:
    """One measured slope. The fields are the keys of slopes.json."""

    name: str
    what: str
    x: str
    unit: str
    decisions: str
    form: str
    a: float
    b: float
    points: tuple[Point, ...]
    residual: float
    scatter: (
        float  # ratio of the largest to the smallest round at the size with the worst ratio; 1 for one round
    )
    command: str
    date: str
    machine: str

    def value_at(self, x: float) -> float:
        return curve_value(self.form, self.a, self.b, x)

    @property
    def min_x(self) -> float:
        return min(x for x, _ in self.points)

    @property
    def max_x(self) -> float:
        return max(x for x, _ in self.points)

    def covers(self, x: float) -> bool:
        """Whether x is within the range of sizes at which the slope was measured."""
        return self.min_x <= x <= self.max_x

    def check(self) -> None:
        """Check that a, b and the residual are those of the points. Raises SlopesError if not."""
        if len(self.points) < LEAST_POINTS or len({x for x, _ in self.points}) != len(self.points):
            raise SlopesError(f"{self.name}: expected at least {LEAST_POINTS} points, all at different sizes")
        a, b = fit(self.form, self.points)
        if not all(
            math.isclose(fitted, stored, rel_tol=1e-6, abs_tol=1e-12)
            for fitted, stored in ((a, self.a), (b, self.b))
        ):
            raise SlopesError(f"{self.name}: a and b do not match the points")
        expected_residual = residual(self.form, a, b, self.points)
        if not math.isclose(expected_residual, self.residual, rel_tol=1e-6, abs_tol=1e-9):
            raise SlopesError(f"{self.name}: the residual does not match the points")


def slope_from(row: Any) -> Slope:
    """Parse and check one slope of the file. Raises SlopesError."""
    if not isinstance(row, dict) or set(row) != KEYS:
        raise SlopesError(f"expected a slope with the keys {', '.join(sorted(KEYS))}")
    try:
        slope = Slope(**{**row, "points": tuple((float(x), float(y)) for x, y in row["points"])})
        slope.check()
    except (TypeError, OverflowError, ZeroDivisionError) as problem:
        raise SlopesError(f"{row['name']}: {problem}") from problem
    return slope


def load_slopes(path: Path = FILE) -> tuple[Slope, ...]:
    """Read and check all slopes of the file. Raises OSError or SlopesError."""
    try:
        rows = list(json.loads(path.read_text(encoding="utf-8"))["slopes"])
    except (ValueError, KeyError, TypeError) as problem:
        raise SlopesError(f"{path.name}: malformed: {problem}") from problem
    return tuple(slope_from(row) for row in rows)


def select_slopes(slopes: Sequence[Slope]) -> dict[str, Slope]:
    """The slopes by name. Slopes measured with the compiled policy, as the deploy file builds it, are
    preferred."""
    found: dict[str, Slope] = {}
    for slope in sorted(slopes, key=lambda one: one.decisions == COMPILED):
        found[slope.name] = slope
    return found
