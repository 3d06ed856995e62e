"""Conversion between records and the rows of numbers in a snapshot.

JSON has no infinity, so a row holds None in place of a value that is not finite."""

from __future__ import annotations

import math
from typing import Any


def number_or_none(value: float) -> float | None:
    """Return `value`, or None if it is not finite."""
    return value if math.isfinite(value) else None


def row_of(record: Any, fields: tuple[str, ...]) -> list[Any]:
    """Return the values of a record's fields in the order of `fields`, with None for any that is not
    finite."""
    return [number_or_none(getattr(record, name)) for name in fields]


def set_fields(record: Any, fields: tuple[str, ...], row: list[Any]) -> None:
    """Set the fields of a record from a row; None sets minus infinity. Raises ValueError if a value is not a
    finite number, or if the row is not as long as `fields`."""
    for name, value in zip(fields, row, strict=True):
        before = getattr(record, name)
        if value is None:
            value = -math.inf
        elif isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
            raise ValueError(f"{name}: expected a finite number or null, got {value!r}")
        setattr(record, name, int(value) if isinstance(before, int) else float(value))
