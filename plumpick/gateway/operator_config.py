"""The operator's own file: TOML, each key checked by its name. `$PLUMPICK_OPERATOR` names it; without one
nothing of what it switches on is there, nor imported. deploy/operator.toml explains each key."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from plumpick.gateway.config import Address, ConfigError, address_from
from plumpick.policy.budgets.budget import Budget, BudgetKind
from plumpick.policy.budgets.errors import BudgetError
from plumpick.policy.budgets.matching import BudgetRule
from plumpick.policy.budgets.report_schedule import MAX_REPORTS_PER_S
from plumpick.policy.leases.terms import Terms, TermsError
from plumpick.policy.scheduled_tasks import Duty
from plumpick.policy.settings_parser import SettingsError
from plumpick.policy.usage_report import longest_ms

MOST_DUTIES, MOST_BUDGETS = 2000, 2000
MOST_SERVICES = 8
SHARE_MOST_S = 60.0
CALL, USE = "call", "use"
REQUESTS, UNITS = "requests", "units"


@dataclass(frozen=True, slots=True)
class Receiver:
    """Where a duty's effect goes: a POST over HTTP."""

    address: Address
    path: str


@dataclass(frozen=True, slots=True)
class DutySettings:
    """A duty and its receiver."""

    duty: Duty
    receiver: Receiver


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """A budget, and the requests that it is for."""

    budget: Budget
    rule: BudgetRule


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """What is done on behalf of the fleet."""

    terms: Terms
    duties: tuple[DutySettings, ...]
    budgets: tuple[BudgetSettings, ...] = ()
    grant_term_ms: float = 2000.0  # so long a share of a budget lasts


@dataclass(frozen=True, slots=True)
class ConfigurationSettings:
    """Where versions of the settings come from."""

    addresses: tuple[Address, ...]
    silent_ms: float


@dataclass(frozen=True, slots=True)
class Operator:
    """All of the file."""

    fleet: FleetSettings | None = None
    configuration: ConfigurationSettings | None = None


class _Keys:
    """One table; what is wrong is told with the key's path."""

    def __init__(self, value: Any, path: str, known: set[str]) -> None:
        if not isinstance(value, Mapping):
            raise ConfigError(f"{path}: is no table")
        for key in value:
            if key not in known:
                raise ConfigError(f"{path}.{key}: no such key; there are {', '.join(sorted(known))}")
        self.value, self.path = value, path

    def get(self, key: str, kind: type, default: Any = None) -> Any:
        value = self.value.get(key, default)
        if value is None:
            raise ConfigError(f"{self.path}.{key}: is missing")
        if kind is float and type(value) is int:
            value = float(value)
        if type(value) is not kind:
            raise ConfigError(f"{self.path}.{key}: {value!r} is no {kind.__name__}")
        return value

    def seconds(self, key: str, least: float, most: float, default: float | None = None) -> float:
        """In milliseconds."""
        value = self.get(key, float, default)
        if not least <= value <= most:
            raise ConfigError(f"{self.path}.{key}: {value:g} is not from {least:g} to {most:g}")
        return float(value) * 1000


def _receiver(text: str, path: str) -> Receiver:
    if not text.startswith("http://"):
        raise ConfigError(f"{path}: {text!r} does not begin with http://")
    place, _, rest = text.removeprefix("http://").partition("/")
    host, _, port = place.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{path}: {text!r} has no host:port")
    if not (text.isascii() and text.isprintable()) or " " in text:
        raise ConfigError(f"{path}: {text!r} is no address")
    return Receiver((host, int(port)), "/" + rest)


def _name(keys: _Keys) -> str:
    name: str = keys.get("name", str)
    if not name or len(name) > 64 or not all(c.isascii() and (c.isalnum() or c in "-_.") for c in name):
        raise ConfigError(f"{keys.path}.name: {name!r} is not 1 to 64 letters, digits, '-', '_' and '.'")
    return name


def _duty(value: Any, path: str, gateways: int) -> DutySettings:
    keys = _Keys(
        value, path, {"name", "kind", "period_s", "limit_s", "catch_up", "receiver", "fenced", "repeatable"}
    )
    name, kind = _name(keys), keys.get("kind", str)
    if kind not in (CALL, USE):
        raise ConfigError(f"{path}.kind: {kind!r} is none of {CALL}, {USE}")
    # To collect from all of a large tier takes its time: so many are asked a second.
    least = max(1.0, gateways / 10) if kind == USE else 0.1
    period = keys.seconds("period_s", least, 86_400 * 31)
    # So long a run may take: to gather from dead ones too, to connect, and to wait for the answer.
    needs = 0.05 if kind == CALL else longest_ms(gateways) / 1000 + 1.0
    limit = keys.seconds("limit_s", needs, 86_400, max(period / 1000, 5.0, needs + 4.0))
    catch_up = keys.get("catch_up", int, 2)
    if not 0 <= catch_up <= 7:
        raise ConfigError(f"{path}.catch_up: {catch_up} is not from 0 to 7")
    if not keys.get("fenced", bool, False) and not keys.get("repeatable", bool, False):
        raise ConfigError(
            f"{path}.fenced: a receiver without a fence takes what a late owner sends; "
            "name the duty repeatable if that does no harm"
        )
    receiver = _receiver(keys.get("receiver", str), f"{path}.receiver")
    return DutySettings(Duty(name, kind, period, limit, catch_up, kind == USE), receiver)


def _names(keys: _Keys, key: str) -> frozenset[str]:
    rows = keys.get(key, list, [])
    if not all(isinstance(row, str) and row for row in rows):
        raise ConfigError(f"{keys.path}.{key}: {rows} are not all names")
    return frozenset(rows)


def _budget(value: Any, path: str) -> BudgetSettings:
    keys = _Keys(value, path, {"name", "whole", "burst", "floor", "counts", "classes", "plans", "firms"})
    name, counts = _name(keys), keys.get("counts", str, REQUESTS)
    if counts not in (REQUESTS, UNITS):
        raise ConfigError(f"{path}.counts: {counts!r} is none of {REQUESTS}, {UNITS}")
    try:
        budget = Budget(
            name,
            BudgetKind.RATE,
            keys.get("whole", float),
            keys.get("burst", float),
            keys.get("floor", float, 0.3),
        )
    except BudgetError as problem:
        raise ConfigError(f"{path}: {problem}") from problem
    if budget.burst < 1:
        raise ConfigError(f"{path}.burst: {budget.burst:g} is under 1: no request would ever go on")
    return BudgetSettings(
        budget,
        BudgetRule(name, counts == UNITS, *(_names(keys, key) for key in ("classes", "plans", "firms"))),
    )


def _once(rows: list[str], path: str) -> None:
    seen: set[str] = set()
    for number, name in enumerate(rows):
        if name in seen:
            raise ConfigError(f"{path}[{number}].name: {name!r} is named twice")
        seen.add(name)


def _fleet(value: Any, gateways: int) -> FleetSettings:
    path = "fleet"
    keys = _Keys(
        value,
        path,
        {"voters", "slots", "turns", "term_s", "drift", "longest_term_s", "duty", "budget", "share_s"},
    )
    rows = keys.get("duty", list, [])
    if len(rows) > MOST_DUTIES:
        raise ConfigError(f"{path}.duty: {len(rows)} of them; {MOST_DUTIES} is the most")
    duties = tuple(_duty(row, f"{path}.duty[{number}]", gateways) for number, row in enumerate(rows))
    _once([one.duty.name for one in duties], f"{path}.duty")
    rows = keys.get("budget", list, [])
    if len(rows) > MOST_BUDGETS:
        raise ConfigError(f"{path}.budget: {len(rows)} of them; {MOST_BUDGETS} is the most")
    budgets = tuple(_budget(row, f"{path}.budget[{number}]") for number, row in enumerate(rows))
    _once([one.budget.name for one in budgets], f"{path}.budget")
    budgets = tuple(sorted(budgets, key=lambda one: one.budget.name))
    share_ms = keys.seconds("share_s", 0.2, SHARE_MOST_S, min(SHARE_MOST_S, max(2.0, gateways / 8)))
    if budgets and share_ms < 2 * 1000 * gateways / MAX_REPORTS_PER_S:
        raise ConfigError(
            f"{path}.share_s: {share_ms / 1000:g} is too short for {gateways} gatekeepers: all "
            f"ask one of them, which takes in {MAX_REPORTS_PER_S:g} askings a second; at least "
            f"{2 * gateways / MAX_REPORTS_PER_S:g}"
        )
    voters = keys.get("voters", list)
    if not all(type(voter) is int and 0 <= voter < gateways for voter in voters):
        raise ConfigError(f"{path}.voters: {voters} are not all numbers from 0 to {gateways - 1}")
    try:
        terms = Terms(
            tuple(voters),
            keys.get("slots", int, 12),
            keys.get("turns", int, 0),
            keys.seconds("term_s", 0.5, 600, 6.0),
            keys.get("drift", float, 0.01),
            keys.seconds("longest_term_s", 0.0, 600, 0.0),
            repr(
                (
                    sorted((one.duty.name, one.duty.kind, one.duty.period_ms) for one in duties),
                    *([budgets_text(budgets), share_ms] if budgets else []),
                )
            ),
        )
    except TermsError as problem:
        raise ConfigError(f"{path}.{problem}") from problem
    return FleetSettings(terms, duties, budgets, share_ms)


def budgets_text(budgets: tuple[BudgetSettings, ...]) -> str:
    """What all gatekeepers must have alike of them: two with other names or floors do not hear one another.
    Wholes and bursts may differ for a while; the lower hold."""
    return repr([(one.budget.name, one.budget.guaranteed_ratio) for one in budgets])


def _configuration(value: Any) -> ConfigurationSettings:
    path = "configuration"
    keys = _Keys(value, path, {"addresses", "silent_s"})
    rows = keys.get("addresses", list)
    if not 1 <= len(rows) <= MOST_SERVICES:
        raise ConfigError(f"{path}.addresses: {len(rows)} of them; 1 to {MOST_SERVICES} can be named")
    try:
        addresses = tuple(address_from(row, f"{path}.addresses[{place}]") for place, row in enumerate(rows))
    except SettingsError as problem:
        raise ConfigError(str(problem)) from problem
    for place, address in enumerate(addresses):
        if address in addresses[:place]:
            raise ConfigError(f"{path}.addresses[{place}]: {rows[place]!r} is named twice")
    return ConfigurationSettings(addresses, keys.seconds("silent_s", 5.0, 86_400.0, 30.0))


def operator_from(value: Any, gateways: int) -> Operator:
    """The settings in a table of TOML, for a tier of so many gatekeepers; raises ConfigError."""
    keys = _Keys(value, "operator", {"fleet", "configuration"})
    fleet, configuration = keys.value.get("fleet"), keys.value.get("configuration")
    return Operator(
        None if fleet is None else _fleet(fleet, gateways),
        None if configuration is None else _configuration(configuration),
    )


def load(path: str, gateways: int) -> Operator:
    """Read the file; raises ConfigError with one line."""
    try:
        return operator_from(tomllib.loads(Path(path).read_text(encoding="utf-8")), gateways)
    except OSError as problem:
        raise ConfigError(f"cannot read {path}: {problem.strerror}") from problem
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise ConfigError(f"{path}: no TOML: {problem}") from problem
    except ConfigError as problem:
        raise ConfigError(f"{path}: {problem}") from problem
