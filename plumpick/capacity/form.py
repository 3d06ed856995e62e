"""Parsing of the operator's form (TOML) with the sizes of a tier; deploy/target.toml explains each key.

All keys are required. An invalid form is rejected with one line that names the key."""

from __future__ import annotations

import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from plumpick.policy.settings import MAX_CLASSES, MAX_PLANS


class FormError(ValueError):
    """The form is invalid; the text is one line that names the key."""


@dataclass(frozen=True, slots=True)
class KeyRange:
    """The range of a key's values, and whether they must be integers."""

    minimum: float
    maximum: float
    is_integer: bool = True


# Sizes outside these ranges are considered typing errors.
KEYS: dict[str, dict[str, KeyRange]] = {
    "tier": {
        "gatekeepers": KeyRange(1, 10_000),
        "workers": KeyRange(1, 100_000),
        "services": KeyRange(1, 10_000),
        "regions": KeyRange(1, 100),
        "zones": KeyRange(1, 1000),
        "rack_workers": KeyRange(0, 10_000),
    },
    "load": {
        "requests_per_s": KeyRange(1, 1e8, False),
        "busiest_per_s": KeyRange(1, 1e6, False),
        "tenants": KeyRange(1, 1e8),
        "set": KeyRange(1, 10_000),
        "classes": KeyRange(1, MAX_CLASSES),
        "routes": KeyRange(1, MAX_CLASSES),
        "plans": KeyRange(1, MAX_PLANS),
        "answer_ms": KeyRange(0, 60_000, False),
    },
    "changes": {
        "configuration_per_day": KeyRange(0, 1e6, False),
        "replaced_per_day": KeyRange(0, 1e6, False),
        "entries_a_replacement": KeyRange(1, 10),
        "cut_off_s": KeyRange(0, 86_400, False),
        "restart_parts": KeyRange(1, 1000),
    },
    "limits": {
        "cpu_part": KeyRange(1e-6, 1, False),
        "memory_mb": KeyRange(1, 1e6, False),
        "bytes_per_s": KeyRange(1, 1e10, False),
        "words_taken_in_per_s": KeyRange(1, 1e6, False),
        "told_s": KeyRange(0.001, 86_400, False),
        "added_ms": KeyRange(0.001, 60_000, False),
        "added_part": KeyRange(1e-6, 1, False),
        "machines": KeyRange(1, 1000),
        "restarts_per_day": KeyRange(1, 1e8, False),
        "descriptors": KeyRange(16, 1e7),
    },
}


def parse_form(value: Mapping[str, Any]) -> dict[str, float]:  # noqa: C901  (to be split by concern)
    """Check a decoded form; returns its sizes by key, without the names of tables. Raises FormError."""
    for part in value:
        if part not in KEYS:
            raise FormError(f"{part}: unknown table; expected {', '.join(KEYS)}")
    sizes: dict[str, float] = {}
    for part, keys in KEYS.items():
        table = value.get(part)
        if not isinstance(table, Mapping):
            raise FormError(f"{part}: is missing" if table is None else f"{part}: expected a table")
        for key in table:
            if key not in keys:
                raise FormError(f"{part}.{key}: unknown key; expected {', '.join(keys)}")
        for key, key_range in keys.items():
            sizes[key] = _number(table.get(key), f"{part}.{key}", key_range)
    if sizes["set"] > sizes["gatekeepers"]:
        raise FormError(f"load.set: {sizes['set']:g} is more than tier.gatekeepers, {sizes['gatekeepers']:g}")
    if sizes["zones"] > sizes["workers"]:
        raise FormError(f"tier.zones: {sizes['zones']:g} is more than tier.workers, {sizes['workers']:g}")
    if sizes["rack_workers"] > sizes["workers"]:
        raise FormError(f"tier.rack_workers: {sizes['rack_workers']:g} is more than tier.workers")
    if sizes["busiest_per_s"] * sizes["gatekeepers"] < sizes["requests_per_s"]:
        raise FormError(
            f"load.busiest_per_s: {sizes['busiest_per_s']:g} is less than the mean of all gatekeepers"
        )
    if sizes["restart_parts"] > sizes["gatekeepers"]:
        raise FormError(f"changes.restart_parts: {sizes['restart_parts']:g} is more than tier.gatekeepers")
    return sizes


def _number(value: Any, path: str, key_range: KeyRange) -> float:
    if value is None:
        raise FormError(f"{path}: is missing")
    if type(value) not in (int, float) or type(value) is float and not math.isfinite(value):
        raise FormError(f"{path}: expected a finite number, got {value!r}")
    if (
        not key_range.minimum <= value <= key_range.maximum
    ):  # checked before any conversion: TOML integers have any length
        shown = f"{value!r}" if abs(value) < 1e18 else "a number of more than 18 digits"
        raise FormError(f"{path}: expected {key_range.minimum:g} to {key_range.maximum:g}, got {shown}")
    if key_range.is_integer and value != int(value):
        raise FormError(f"{path}: expected an integer, got {value!r}")
    return float(value)


def load(path: str) -> dict[str, float]:
    """Read the form in a file; returns its sizes by key. Raises FormError with one line that names the
    file."""
    try:
        return parse_form(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except OSError as problem:
        raise FormError(f"cannot read {path}: {problem.strerror}") from problem
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise FormError(f"{path}: not valid TOML: {problem}") from problem
    except FormError as problem:
        raise FormError(f"{path}: {problem}") from problem
