"""Slopes of settings by versions from a service: what a change takes at a gatekeeper and at a service.

The plays are those of benchmarks/reconfigure.py and benchmarks/configuration/size.py. One service and its
hollow watchers are processes on loopback; the rest needs none."""

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
WORKERS, ACCOUNTS, STORES = 5900, 218, 73  # a gatekeeper of the operators' target
PLANS, FEW_CLASSES, CROWD_CLASSES = 40, 3, 230


def _taken_over(base: Settings, other: Settings, stores: int = STORES) -> float:
    """ms of a turn in which one of them takes the other's place, to and fro; each read anew."""
    control, now = reconfigure.filled_controller(len(base.classes), max(ACCOUNTS, stores), WORKERS, stores)
    times = []
    for number in range(REPEATS):
        wanted = base if number % 2 else other
        fresh = replace(
            wanted,
            classes=tuple(replace(kind) for kind in wanted.classes),
            plans=tuple(replace(plan) for plan in wanted.plans),
        )
        said: list[Any] = []
        now += 0.001  # no period comes meanwhile

        def turn(now: float = now, fresh: Settings = fresh, said: list[Any] = said) -> None:
            said += control.handle(now, [SettingsChanged(1, fresh)])

        times.append(cpu_ms(turn))
        if control.faults or [one.error for one in said if isinstance(one, CommandCompleted)] != [""]:
            raise RuntimeError("the change was not taken over")
    return median(times)


def taken_over(classes: float, stores: int = STORES) -> float:
    base = reconfigure.settings(int(classes))
    more = RequestClass("fresh", 700.0, 2000.0, 1.0, Idempotency.IDEMPOTENT)
    return _taken_over(base, replace(base, classes=(*base.classes, more)), stores)


def taken_over_by_stores(stores: float) -> float:
    return taken_over(FEW_CLASSES, int(stores))


def plans_taken_over(classes: float) -> float:
    base = reconfigure.settings(int(classes))
    return _taken_over(base, replace(base, plans=tuple(replace(plan, burst=20.0) for plan in base.plans)))


@cache
def _bytes(classes: int) -> dict[str, int]:
    return bytes_of(wide(classes, PLANS, 3))


def change_bytes(classes: float) -> float:
    return _bytes(int(classes))["one class more"]


def whole_bytes(classes: float) -> float:
    return _bytes(int(classes))["whole"]


def change_read(classes: float) -> float:
    """What the daemon does with an answer, in its thread."""
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
    found = asyncio.run(crowd(watchers, wide(CROWD_CLASSES, PLANS, watchers), 0.0))
    if (found["heard"], found["have_it"]) != (watchers, watchers):
        raise RuntimeError(f"of {watchers} watchers {found['heard']} were heard, {found['have_it']} have it")
    return found


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
