"""How tables are searched for what is over: a part of them at a time, so that no turn is held up by a long
one."""

from __future__ import annotations

from typing import Any, TypeVar

T = TypeVar("T")

PARTS = 20  # a long table is gone through in so many steps
MIN_ENTRIES = 64  # that are looked at in one step


def next_part(table: dict[T, Any], unvisited: list[T]) -> list[T]:
    """The keys to look at now; over several calls all of them in turn. `unvisited` holds the keys not looked
    at in this round, and is refilled when it is empty."""
    if not unvisited:
        unvisited += table
    count = max(MIN_ENTRIES, len(table) // PARTS)
    part = [key for key in unvisited[-count:] if key in table]
    del unvisited[-count:]
    return part
