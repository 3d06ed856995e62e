"""Records as rows of plain numbers, as a snapshot holds them: JSON has no infinity."""

from __future__ import annotations

import math
from typing import Any


def number_or_none(value: float) -> float | None:
    """A number, or None where it is not finite."""
    return value if math.isfinite(value) else None


def row_of(record: Any, fields: tuple[str, ...]) -> list[Any]:
    """The fields of a record, in their order."""
    return [number_or_none(getattr(record, name)) for name in fields]


def fill(record: Any, fields: tuple[str, ...], row: list[Any]) -> None:
    """Set the fields of a record from a row; None is minus infinity. Raises ValueError where a value is no
    number, or the row has another length."""
    for name, value in zip(fields, row, strict=True):
        before = getattr(record, name)
        if value is None:
            value = -math.inf
        elif isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
            raise ValueError(f"{name}: {value!r} is no number")
        setattr(record, name, int(value) if isinstance(before, int) else float(value))
