"""Slopes of versioned settings: cost of a change at a gateway and at the configuration service.

Uses the simulations of benchmarks/reconfigure.py and benchmarks/configuration/size.py. The service and its
simulated watchers are processes on loopback; the other slopes need no further process."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from functools import cache
from pathlib import Path
from statistics import median
from typing import Any

from benchmarks import reconfigure
from benchmarks.configuration.size import bytes_of, changed, crowd, document, wide
from benchmarks.configuration.trial import Trial
from benchmarks.slopes.decisions import cpu_ms
from plumpick.gateway.config import parse_config
from plumpick.gateway.dynamic_config.client import UnusableSettingsError, prepare_version
from plumpick.policy.actions import CommandCompleted
from plumpick.policy.dynamic_config.delta import canonical_json, changes_between, settings_digest
from plumpick.policy.dynamic_config.updates import SettingsVersion, parse_update
from plumpick.policy.events import SettingsChanged
from plumpick.policy.settings import Idempotency, RequestClass, Settings

REPEATS = 6
WORKERS, ACCOUNTS, STORES = 5900, 218, 73  # Sizes of a gateway in the operators' target
PLANS, FEW_CLASSES, CROWD_CLASSES = 40, 3, 230


def _apply_ms(base: Settings, other: Settings, stores: int = STORES) -> float:
    """Return the median CPU ms of applying a change between the two settings, in both directions.

    Each change uses new copies of the classes and plans, as after parsing. Raises RuntimeError if the
    controller does not accept a change.
    """
    control, now = reconfigure.filled_controller(len(base.classes), max(ACCOUNTS, stores), WORKERS, stores)
    times = []
    for number in range(REPEATS):
        target = base if number % 2 else other
        new_settings = replace(
            target,
            classes=tuple(replace(kind) for kind in target.classes),
            plans=tuple(replace(plan) for plan in target.plans),
        )
        results: list[Any] = []
        now += 0.001  # A step of 0.001 ms, so that no periodic work becomes due

        def apply_change(
            now: float = now, new_settings: Settings = new_settings, results: list[Any] = results
        ) -> None:
            results += control.handle(now, [SettingsChanged(1, new_settings)])

        times.append(cpu_ms(apply_change))
        if control.faults or [one.error for one in results if isinstance(one, CommandCompleted)] != [""]:
            raise RuntimeError(f"settings change was not applied: faults {control.faults}, results {results}")
    return median(times)


def taken_over(classes: float, stores: int = STORES) -> float:
    base = reconfigure.settings(int(classes))
    more = RequestClass("fresh", 700.0, 2000.0, 1.0, Idempotency.IDEMPOTENT)
    return _apply_ms(base, replace(base, classes=(*base.classes, more)), stores)


def taken_over_by_stores(stores: float) -> float:
    return taken_over(FEW_CLASSES, int(stores))


def plans_taken_over(classes: float) -> float:
    base = reconfigure.settings(int(classes))
    return _apply_ms(base, replace(base, plans=tuple(replace(plan, burst=20.0) for plan in base.plans)))


@cache
def _bytes(classes: int) -> dict[str, int]:
    return bytes_of(wide(classes, PLANS, 3))


def change_bytes(classes: float) -> float:
    return _bytes(int(classes))["one class more"]


def whole_bytes(classes: float) -> float:
    return _bytes(int(classes))["whole"]


def change_read(classes: float) -> float:
    """Return the median CPU ms that the daemon needs to parse and check a response with one class added."""
    value = wide(int(classes), PLANS, 3)
    after, config = changed(value, "one class more"), parse_config(Trial(1, 3, "", Path("."))._config(0), {})
    held = SettingsVersion(1, settings_digest(value), 0.0, value)
    data = canonical_json(
        {
            **document(2, after),
            "settings": None,
            "base": 1,
            "base_digest": held.digest,
            "changes": changes_between(value, after),
        }
    )

    def read() -> None:
        prepared = prepare_version(parse_update(json.loads(data)), held, config)
        if isinstance(prepared.config, UnusableSettingsError):
            raise prepared.config

    return median(cpu_ms(read) for _ in range(REPEATS))


@cache
def _crowd(watchers: int) -> dict[str, Any]:
    result = asyncio.run(crowd(watchers, wide(CROWD_CLASSES, PLANS, watchers), 0.0))
    if (result["heard"], result["have_it"]) != (watchers, watchers):
        raise RuntimeError(
            f"expected {watchers} watchers, got {result['heard']} that reported "
            f"and {result['have_it']} that have the version"
        )
    return result


def rest_calls(watchers: float) -> float:
    return float(_crowd(int(watchers))["rest"]["calls_a_second"])


def rest_bytes(watchers: float) -> float:
    rest = _crowd(int(watchers))["rest"]
    return float(rest["bytes_out_a_second"] + rest["bytes_in_a_second"])


def rest_core(watchers: float) -> float:
    return float(_crowd(int(watchers))["rest"]["cpu_share"]) * 100


def change_core(watchers: float) -> float:
    return float(_crowd(int(watchers))["service_cpu_s"]) * 1000


def change_told(watchers: float) -> float:
    return float(_crowd(int(watchers))["told_and_in_force_ms"]["max"]) / 1000
