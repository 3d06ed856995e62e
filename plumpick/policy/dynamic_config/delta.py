"""The difference between two settings objects, its application, and the digest of one.

Settings here are the object of the platform's JSON without the keys that are each gateway's own
(GATEWAY_OWN_KEYS). Rows of `classes` and `packages` are identified by their names, everything else by its top
key. A delta is only as right as its base: whoever applies one compares the result's digest with the published
one. All functions raise DeltaError for input that they cannot use, and leave their arguments as they were.
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

from plumpick.policy.dynamic_config.errors import DeltaError

GATEWAY_OWN_KEYS = ("myNumber", "locality")  # from the gateway's own file, never published
KEYED_LISTS = ("classes", "packages")  # lists whose rows have names

SettingsJson = dict[str, Any]


def shared_settings(settings: SettingsJson) -> SettingsJson:
    """The settings without what is each gateway's own."""
    return {key: value for key, value in settings.items() if key not in GATEWAY_OWN_KEYS}


def canonical_json(value: Any) -> str:
    """The one text of a value: keys sorted, no spaces; raises DeltaError."""
    try:
        return json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False)
    except (ValueError, TypeError, RecursionError) as problem:
        raise DeltaError(f"no canonical JSON: {problem}") from problem


def settings_digest(settings: SettingsJson) -> str:
    """SHA-256 over the canonical JSON of the shared settings, in hex; raises DeltaError.

    Row by row: one call for 11,000 rows would hold the interpreter, and with it the event loop, until its
    end.
    """
    sha = hashlib.sha256(b"{")
    for index, key in enumerate(sorted(shared_settings(settings))):
        value = settings[key]
        sha.update(f"{',' if index else ''}{canonical_json(key)}:".encode())
        if isinstance(value, list):
            sha.update(b"[")
            for row, item in enumerate(value):
                sha.update((b"," if row else b"") + canonical_json(item).encode())
            sha.update(b"]")
        else:
            sha.update(canonical_json(value).encode())
    sha.update(b"}")
    return sha.hexdigest()


def changes_between(before: SettingsJson, after: SettingsJson) -> dict[str, Any]:
    """The delta that makes `after` of `before`, in the service's JSON; raises DeltaError."""
    before = shared_settings(before)
    after = shared_settings(after)
    changes: dict[str, Any] = {"drop": [key for key in before if key not in after], "set": {}, "rows": {}}
    for key, value in after.items():
        if key in before and _has_same_json(before[key], value):
            continue
        old_rows = _rows_by_name(before.get(key))
        new_rows = _rows_by_name(value)
        if key in KEYED_LISTS and old_rows is not None and new_rows is not None:
            changes["rows"][key] = _row_changes(old_rows, new_rows)
        else:
            changes["set"][key] = value
    return changes


def apply_changes(before: SettingsJson, changes: Any) -> SettingsJson:
    """The settings after the changes; raises DeltaError. `before` stays as it was; unchanged rows are
    shared."""
    try:
        after = shared_settings(before)
        for key in changes["drop"]:
            del after[key]
        after.update(changes["set"])
        for key, row_changes in changes["rows"].items():
            old_rows = _rows_by_name(after[key])
            if key not in KEYED_LISTS or old_rows is None:
                raise DeltaError(f"{key}: its rows have no names")
            after[key] = _apply_row_changes(old_rows, row_changes)
        return after
    except (KeyError, TypeError, ValueError, AttributeError) as problem:
        raise DeltaError(f"changes that cannot be applied: {problem!r}") from problem


def _rows_by_name(rows: Any) -> dict[str, Any] | None:
    """Rows by their names, in their order; None where a row has no name or a name is used twice."""
    if not isinstance(rows, list):
        return None
    by_name = {row["name"]: row for row in rows if isinstance(row, dict) and isinstance(row.get("name"), str)}
    return by_name if len(by_name) == len(rows) else None


def _has_same_json(one: Any, other: Any) -> bool:
    """Whether both have the same canonical text: 1 and 1.0 do not."""
    return one is other or one == other and canonical_json(one) == canonical_json(other)


def _row_changes(before: dict[str, Any], after: dict[str, Any]) -> dict[str, Any]:
    """Rows that are gone, rows changed in their places, new rows with their predecessors, and a new order."""
    changes: dict[str, Any] = {
        "drop": [name for name in before if name not in after],
        "put": [
            row for name, row in after.items() if name in before and not _has_same_json(before[name], row)
        ],
        "new": [],
    }
    predecessor = None
    for name, row in after.items():
        if name not in before:
            changes["new"].append([predecessor, row])
        predecessor = name
    if [name for name in before if name in after] != [name for name in after if name in before]:
        changes["order"] = list(after)
    return changes


def _apply_row_changes(before: dict[str, Any], changes: Any) -> list[Any]:
    """The list of rows after the changes; raises DeltaError, KeyError or TypeError."""
    rows = dict(before)
    for name in changes["drop"]:
        del rows[name]
    for row in changes["put"]:
        if row["name"] not in rows:
            raise DeltaError(f"{row['name']!r} is not there to be changed")
        rows[row["name"]] = row
    merged = _insert_rows(rows, changes["new"])
    order = changes.get("order")
    if order is None:
        return list(merged.values())
    if len(order) != len(merged):
        raise DeltaError("the order does not name each row once")
    return [merged[name] for name in order]


def _insert_rows(rows: dict[str, Any], new_rows: Any) -> dict[str, Any]:
    """All rows by name, each new one behind its predecessor; raises DeltaError."""
    new_by_predecessor = {predecessor: row for predecessor, row in new_rows}
    merged: dict[str, Any] = {}

    def insert_behind(predecessor: str | None) -> None:
        """The chain of new rows behind that one."""
        while predecessor in new_by_predecessor:
            row = new_by_predecessor.pop(predecessor)
            predecessor = row["name"]
            merged[predecessor] = row

    insert_behind(None)
    for name, row in rows.items():
        merged[name] = row
        insert_behind(name)
    if new_by_predecessor or len(merged) != len(rows) + len(new_rows):
        raise DeltaError("a new row has no place")
    return merged
