"""Parses the settings from the platform's JSON.

This is the only place that maps JSON keys to the types of settings.py; the simulator's wire adapter and the
daemon both use it. A missing or invalid value raises SettingsError, whose message names the key."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

from plumpick.policy.settings import (
    MAX_CLASSES,
    MAX_PLANS,
    DeduplicationScope,
    Idempotency,
    Plan,
    RequestClass,
    Settings,
)

_IDEMPOTENCY_BY_KEYWORD = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}


_TYPE_NAMES: dict[tuple[type, ...], str] = {
    (int, float): "a number",
    (str,): "a string",
    (bool, int): "a boolean",
    (dict,): "an object",
    (list,): "a list",
}


class SettingsError(ValueError):
    """A missing or invalid value in the settings; the message names its key."""


class JsonObject:
    """Typed access to a JSON object of the settings.

    `path` is the object's key from the root; it prefixes the key in every error message. The accessors raise
    SettingsError for a value of another type, and for a missing key unless they have a fallback."""

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, dict):
            raise SettingsError(f"{path}: expected an object, got {value!r:.80}")
        self.value, self.path = value, path

    def _get(self, key: str, kinds: tuple[type, ...], fallback: Any) -> Any:
        value = self.value.get(key, fallback)
        if value is None:
            raise SettingsError(f"{self.path}.{key} is missing")
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise SettingsError(f"{self.path}.{key}: expected {_TYPE_NAMES[kinds]}, got {value!r}")
        return value

    def number(self, key: str, fallback: float | None = None) -> float:
        """Return a finite number. Raises SettingsError if it is not finite."""
        try:
            value = float(self._get(key, (int, float), fallback))
        except OverflowError:  # JSON integers may be too large for a float.
            value = math.inf
        if not math.isfinite(value):
            raise SettingsError(f"{self.path}.{key}: expected a finite number, got {value!r}")
        return value

    def positive_number(self, key: str) -> float:
        """Return a number greater than 0; raises SettingsError for any other value."""
        value = self.number(key)
        if value <= 0:
            raise SettingsError(f"{self.path}.{key}: must be greater than 0, got {value!r}")
        return value

    def text(self, key: str, fallback: str | None = None) -> str:
        """Return a string; raises SettingsError."""
        return self._get(key, (str,), fallback)

    def flag(self, key: str, fallback: bool | None = None) -> bool:
        """Return a boolean, which may be given as an integer; raises SettingsError."""
        return bool(self._get(key, (bool, int), fallback))

    def nested_object(self, key: str, fallback: dict[str, Any] | None = None) -> JsonObject:
        """Return a nested object; raises SettingsError."""
        return JsonObject(self._get(key, (dict,), fallback), f"{self.path}.{key}")

    def array(self, key: str) -> list[Any]:
        """Return a list of any values; raises SettingsError."""
        return self._get(key, (list,), None)

    def objects(self, key: str) -> list[JsonObject]:
        """Return a list of objects; raises SettingsError."""
        return [JsonObject(row, f"{self.path}.{key}[{n}]") for n, row in enumerate(self.array(key))]

    def strings(self, key: str) -> tuple[str, ...]:
        """Return a list with its items converted to strings, empty if the key is missing; raises
        SettingsError."""
        return tuple(str(item) for item in self._get(key, (list,), []))


def _request_class(row: JsonObject) -> RequestClass:
    repeat = row.text("repeat")
    if repeat not in _IDEMPOTENCY_BY_KEYWORD:
        raise SettingsError(f"{row.path}.repeat: expected retryable, dedup or fragile, got {repeat!r}")
    scope = row.text("keyScope", "all")
    if scope not in ("all", "zone", "cell"):
        raise SettingsError(f"{row.path}.keyScope: expected all, zone or cell, got {scope!r}")
    window_ms = row.number("dedupWindowMs", 0.0)
    if window_ms < 0:
        raise SettingsError(f"{row.path}.dedupWindowMs: must be at least 0, got {window_ms!r}")
    return RequestClass(
        name=row.text("name"),
        latency_objective_ms=row.number("aimMs"),
        deadline_ms=row.positive_number("deadlineMs"),
        priority_weight=row.number("worth", 1.0),
        idempotency=_IDEMPOTENCY_BY_KEYWORD[repeat],
        late_priority_weight=row.number("lateWorth", 0.0),
        deduplication_scope=DeduplicationScope(scope),
        deduplication_window_ms=window_ms,
        streamed=row.flag("streamed", False),
        latency_objective_stretch=row.number("aimStretch", 0.0),
    )


def _plan(row: JsonObject) -> Plan:
    return Plan(
        name=row.text("name"),
        rate_per_s=row.number("perSecond", 0.0),
        burst=row.number("storeSize", 0.0),
        max_in_flight=int(row.number("concurrency", 0.0)),
        priority_factor=row.number("valueFactor", 1.0),
        over_quota_weight=row.number("overWorth", 0.0),
        over_quota_cost=row.number("overrunCost", 0.0),
        hard_limit_per_s=row.number("hardRate", 0.0),
        hard_limit_burst=row.number("hardBurst", 0.0),
        hard_limit_slack=row.number("capSlack", 0.0),
    )


def _with_unique_names(path: str, objects: Sequence[JsonObject], max_count: int) -> Sequence[JsonObject]:
    """Return `objects` unchanged. Raises SettingsError if there are none or more than `max_count`, or if two
    have the same name."""
    if not objects:
        raise SettingsError(f"{path}: expected at least one entry")
    if len(objects) > max_count:
        raise SettingsError(f"{path}: {len(objects)} entries exceed the maximum of {max_count}")
    first: dict[str, str] = {}
    for row in objects:
        name = row.text("name")
        if first.setdefault(name, row.path) != row.path:
            raise SettingsError(f"{row.path}.name: {name!r} is already the name of {first[name]}")
    return objects


def parse_settings(value: Any, path: str = "info") -> Settings:
    """Parse the settings from a decoded JSON object; unknown keys are ignored.

    Raises SettingsError, or ValueError from the types of settings.py. `path` prefixes the keys in error
    messages."""
    top = JsonObject(value, path)
    rules, limits = top.nested_object("rules"), top.nested_object("limits")
    domain, report = top.nested_object("domain", {}), top.nested_object("report", {})
    prices = top.nested_object("penalties", {})
    classes = _with_unique_names(f"{path}.classes", top.objects("classes"), MAX_CLASSES)
    plans = _with_unique_names(f"{path}.packages", top.objects("packages"), MAX_PLANS)
    return Settings(
        gateway_count=int(top.number("balancers")),
        gateway_number=int(top.number("myNumber")),
        zone=top.text("locality", ""),
        classes=tuple(_request_class(row) for row in classes),
        plans=tuple(_plan(row) for row in plans),
        slow_start_ms=rules.number("warmUpMs"),
        slow_start_initial_ratio=rules.number("coldFrom"),
        overload_multiple=rules.number("fallMultiple"),
        overload_window_ms=rules.number("tipAfterMs"),
        watch_retry_ms=rules.number("askWithinMs", 10_000.0),
        max_attempts=int(limits.number("maxAttempts")),
        tick_ms=top.number("tickMs", 1.0),
        max_units=domain.number("maxUnits", 1.0),
        can_cancel_attempts=limits.flag("cancel", False),
        can_message_peers=limits.flag("mayTell", False),
        can_probe_endpoints=limits.flag("probing", False),
        can_hedge=limits.flag("secondCopies", False),
        must_request_watch=top.text("discovery", "automatic") == "subscribe",
        settles_afterwards=domain.flag("postPaid", False),
        max_retry_after_ms=limits.number("maxRetryAfterMs", 0.0) if limits.flag("retryAfter", False) else 0.0,
        peer_inbox_per_s=domain.number("inboxPerS", 0.0),
        load_report_source=report.text("how", "none"),
        load_report_fields=report.strings("fields"),
        cross_zone_cost=prices.number("crossZone", 0.0),
        peer_message_cost=prices.number("peer", 0.0),
    )
