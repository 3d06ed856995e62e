"""Deltas between two settings objects: computation, application, and the digest of a settings object.

A settings object is the platform's JSON object without the keys specific to each gateway (GATEWAY_OWN_KEYS).
Rows of `classes` and `packages` are identified by their names, all other values by their top-level key. A
delta applied to a wrong base gives wrong settings, so the caller must compare the digest of the result with
the published digest. All functions raise DeltaError for unusable input, and do not modify their arguments.
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

from plumpick.policy.dynamic_config.errors import DeltaError

GATEWAY_OWN_KEYS = ("myNumber", "locality")  # keys set in each gateway's own file and never published
KEYED_LISTS = ("classes", "packages")  # keys of lists with rows identified by name

SettingsJson = dict[str, Any]


def shared_settings(settings: SettingsJson) -> SettingsJson:
    """Copy of the settings without the keys specific to each gateway."""
    return {key: value for key, value in settings.items() if key not in GATEWAY_OWN_KEYS}


def canonical_json(value: Any) -> str:
    """Canonical JSON text of a value: keys sorted, no spaces. Raises DeltaError if it has none."""
    try:
        return json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False)
    except (ValueError, TypeError, RecursionError) as problem:
        raise DeltaError(f"value has no canonical JSON: {problem}") from problem


def settings_digest(settings: SettingsJson) -> str:
    """SHA-256 of the canonical JSON of the shared settings, in hex; raises DeltaError.

    Rows are encoded one by one, since a single call for 11,000 rows would hold the interpreter lock, and so
    block the event loop, until it returns.
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
    """The delta from `before` to `after`, as in the service's JSON; raises DeltaError."""
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
    """The settings that result from applying a delta to `before`; raises DeltaError. `before` is not
    modified, but the result shares its unchanged rows."""
    try:
        after = shared_settings(before)
        for key in changes["drop"]:
            del after[key]
        after.update(changes["set"])
        for key, row_changes in changes["rows"].items():
            old_rows = _rows_by_name(after[key])
            if key not in KEYED_LISTS or old_rows is None:
                raise DeltaError(f"{key}: row changes need a list of rows with unique names")
            after[key] = _apply_row_changes(old_rows, row_changes)
        return after
    except (KeyError, TypeError, ValueError, AttributeError) as problem:
        raise DeltaError(f"changes cannot be applied to the base settings: {problem!r}") from problem


def _rows_by_name(rows: Any) -> dict[str, Any] | None:
    """Rows by name, in the same order; None if `rows` is not a list of objects with unique names."""
    if not isinstance(rows, list):
        return None
    by_name = {row["name"]: row for row in rows if isinstance(row, dict) and isinstance(row.get("name"), str)}
    return by_name if len(by_name) == len(rows) else None


def _has_same_json(one: Any, other: Any) -> bool:
    """Whether two values have the same canonical JSON; 1 and 1.0 differ."""
    return one is other or one == other and canonical_json(one) == canonical_json(other)


def _row_changes(before: dict[str, Any], after: dict[str, Any]) -> dict[str, Any]:
    """Delta of a keyed list: names of removed rows (`drop`), changed rows (`put`), new rows with the name of
    the row before (`new`) and, if the order of the common rows has changed, all names in order (`order`)."""
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
    """The list of rows that results from applying the delta of a keyed list; raises DeltaError, KeyError or
    TypeError."""
    rows = dict(before)
    for name in changes["drop"]:
        del rows[name]
    for row in changes["put"]:
        if row["name"] not in rows:
            raise DeltaError(f"changed row {row['name']!r} is not in the base settings")
        rows[row["name"]] = row
    merged = _insert_rows(rows, changes["new"])
    order = changes.get("order")
    if order is None:
        return list(merged.values())
    if len(order) != len(merged):
        raise DeltaError(f"order lists {len(order)} rows, expected {len(merged)}")
    return [merged[name] for name in order]


def _insert_rows(rows: dict[str, Any], new_rows: Any) -> dict[str, Any]:
    """All rows by name, with each new row after its predecessor; raises DeltaError."""
    new_by_predecessor = {predecessor: row for predecessor, row in new_rows}
    merged: dict[str, Any] = {}

    def insert_behind(predecessor: str | None) -> None:
        """Insert the new row with this predecessor, then the new row after that one, and so on."""
        while predecessor in new_by_predecessor:
            row = new_by_predecessor.pop(predecessor)
            predecessor = row["name"]
            merged[predecessor] = row

    insert_behind(None)
    for name, row in rows.items():
        merged[name] = row
        insert_behind(name)
    if new_by_predecessor or len(merged) != len(rows) + len(new_rows):
        raise DeltaError("a new row names an unknown predecessor or repeats a name")
    return merged
