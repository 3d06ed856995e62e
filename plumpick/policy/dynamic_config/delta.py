"""The difference between two settings objects, its application, and the digest of one.

Settings here are the object of the platform's JSON less the keys that are each gatekeeper's own (OWN). Rows
of `classes` and `packages` are told by their names, whatever else by its top key. A delta is only ever as
right as its base: who applies one compares the result's digest with the published one."""

from __future__ import annotations

import hashlib
import json
from typing import Any

OWN = ("myNumber", "locality")  # a gatekeeper's number and its zone: from its own file, never published
NAMED = ("classes", "packages")  # lists whose rows have names

Settings = dict[str, Any]


class DeltaError(ValueError):
    """Changes that cannot be applied, or settings that have no digest."""


def shared(settings: Settings) -> Settings:
    """The settings less what is each gatekeeper's own."""
    return {key: value for key, value in settings.items() if key not in OWN}


def canonical(value: Any) -> str:
    """The one text of a value: keys sorted, no spaces; raises DeltaError."""
    try:
        return json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False)
    except (ValueError, TypeError, RecursionError) as problem:
        raise DeltaError(f"no canonical JSON: {problem}") from problem


def digest(settings: Settings) -> str:
    """SHA-256 over the canonical JSON of the settings less OWN, in hex; raises DeltaError.

    By rows: one call for 11,000 of them would hold the interpreter, and with it the loop, until its end."""
    whole = hashlib.sha256(b"{")
    for place, key in enumerate(sorted(shared(settings))):
        value = settings[key]
        whole.update(f"{',' if place else ''}{canonical(key)}:".encode())
        if isinstance(value, list):
            whole.update(b"[")
            for row, item in enumerate(value):
                whole.update((b"," if row else b"") + canonical(item).encode())
            whole.update(b"]")
        else:
            whole.update(canonical(value).encode())
    whole.update(b"}")
    return whole.hexdigest()


def _by_name(rows: Any) -> dict[str, Any] | None:
    """Rows by their names, in their order; None where they have none, or one twice."""
    if not isinstance(rows, list):
        return None
    named = {row["name"]: row for row in rows if isinstance(row, dict) and isinstance(row.get("name"), str)}
    return named if len(named) == len(rows) else None


def _same(one: Any, other: Any) -> bool:
    """As their texts have it: 1 and 1.0 are two."""
    return one is other or one == other and canonical(one) == canonical(other)


def _rows(before: dict[str, Any], after: dict[str, Any]) -> dict[str, Any]:
    """What makes one list of the other: rows gone, rows changed in their places, new ones behind which."""
    changes: dict[str, Any] = {
        "drop": [name for name in before if name not in after],
        "put": [row for name, row in after.items() if name in before and not _same(before[name], row)],
        "new": [],
    }
    last = None
    for name, row in after.items():
        if name not in before:
            changes["new"].append([last, row])
        last = name
    if [name for name in before if name in after] != [name for name in after if name in before]:
        changes["order"] = list(after)
    return changes


def changes_between(before: Settings, after: Settings) -> dict[str, Any]:
    """The delta; raises DeltaError."""
    before, after = shared(before), shared(after)
    changes: dict[str, Any] = {"drop": [key for key in before if key not in after], "set": {}, "rows": {}}
    for key, value in after.items():
        if key in before and _same(before[key], value):
            continue
        old, new = _by_name(before.get(key)), _by_name(value)
        if key in NAMED and old is not None and new is not None:
            changes["rows"][key] = _rows(old, new)
        else:
            changes["set"][key] = value
    return changes


def _apply_rows(before: dict[str, Any], changes: Any) -> list[Any]:
    rows = dict(before)
    for name in changes["drop"]:
        del rows[name]
    for row in changes["put"]:
        if row["name"] not in rows:
            raise DeltaError(f"{row['name']!r} is not there to be changed")
        rows[row["name"]] = row
    behind = {last: row for last, row in changes["new"]}
    made: dict[str, Any] = {}

    def put(last: str | None) -> None:
        """All that is new behind that row."""
        while last in behind:
            row = behind.pop(last)
            last = row["name"]
            made[last] = row

    put(None)
    for name, row in rows.items():
        made[name] = row
        put(name)
    if behind or len(made) != len(rows) + len(changes["new"]):
        raise DeltaError("a new row has no place")
    order = changes.get("order")
    if order is None:
        return list(made.values())
    if len(order) != len(made):
        raise DeltaError("the order does not name each row once")
    return [made[name] for name in order]


def applied(before: Settings, changes: Any) -> Settings:
    """The settings with the changes; raises DeltaError. `before` stays as it was, its rows are shared."""
    try:
        after = shared(before)
        for key in changes["drop"]:
            del after[key]
        after.update(changes["set"])
        for key, rows in changes["rows"].items():
            old = _by_name(after[key])
            if key not in NAMED or old is None:
                raise DeltaError(f"{key}: its rows have no names")
            after[key] = _apply_rows(old, rows)
        return after
    except (KeyError, TypeError, ValueError, AttributeError) as problem:
        raise DeltaError(f"changes that cannot be applied: {problem!r}") from problem
