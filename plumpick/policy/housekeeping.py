"""Incremental search of tables for expired entries, so that a long table does not delay a turn."""

from __future__ import annotations

from typing import Any, TypeVar

T = TypeVar("T")

STEPS_PER_ROUND = 20  # number of steps in which a long table is searched once
MIN_KEYS_PER_STEP = 64  # minimum number of entries searched in one step
MAX_KEYS_PER_STEP = 2000  # maximum number, so that a step over a very long table is short, too


def next_keys(table: dict[T, Any], unvisited: list[T]) -> list[T]:
    """The keys of `table` to check in this step; successive calls cover all keys. `unvisited` holds the keys
    not yet checked in this round; it is updated, and refilled when empty."""
    if not unvisited:
        unvisited += table
    count = min(MAX_KEYS_PER_STEP, max(MIN_KEYS_PER_STEP, len(table) // STEPS_PER_ROUND))
    keys = [key for key in unvisited[-count:] if key in table]
    del unvisited[-count:]
    return keys
