"""Parser of the operator's TOML file, whose path is in `$PLUMPICK_OPERATOR`. Without the file, the features
that it enables are not imported. deploy/operator.toml documents each key.

An invalid file raises OperatorConfigError, a ConfigError, with a one-line message that names the key: at the
start the process exits, after SIGHUP it keeps the previous settings."""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from plumpick.gateway.config import Address, ConfigError, parse_address
from plumpick.policy.budgets.budget import Budget, BudgetKind
from plumpick.policy.budgets.errors import BudgetError
from plumpick.policy.budgets.matching import BudgetRule
from plumpick.policy.budgets.report_schedule import MAX_REPORTS_PER_S
from plumpick.policy.leases.terms import LeaseTerms, LeaseTermsError
from plumpick.policy.scheduled_tasks import ScheduledTask
from plumpick.policy.settings_parser import SettingsError
from plumpick.policy.usage_report import max_collection_ms

# Maximum numbers of entries in the file, and maximum length of a name in characters.
MAX_SCHEDULED_TASKS = 2000
MAX_BUDGETS = 2000
MAX_CONFIGURATION_SERVICES = 8
MAX_NAME_LENGTH = 64

# Kinds of scheduled tasks.
CALL = "call"  # POST an empty JSON object to the receiver
USE = "use"  # collect the usage of all gateways and POST the result to the receiver

# Bounds of a scheduled task's period and time limit.
MIN_CALL_PERIOD_S = 0.1
MIN_USE_PERIOD_S = 1.0
USE_GATEWAYS_PER_S = 10  # number of gateways that a collection of usage queries per second
MAX_PERIOD_S = 86_400.0 * 31
MAX_TIME_LIMIT_S = 86_400.0
MIN_CALL_TIME_LIMIT_S = 0.05
MAX_CATCH_UP_PERIODS = 7  # maximum number of missed periods that are run later

# Values of a budget's key `counts`: what a request is charged.
REQUESTS = "requests"  # one unit for each request
UNITS = "units"  # the units that the request states
# Bounds of the time for which the allocator grants a part of a budget.
MIN_GRANT_TERM_S = 0.2
MAX_GRANT_TERM_S = 60.0
# Number of reports of each gateway that the allocator must be able to accept within one grant term.
REPORTS_PER_GRANT_TERM = 2

_TYPE_NAMES: dict[type, str] = {
    float: "a number",
    int: "an integer",
    str: "a string",
    bool: "a boolean",
    list: "an array",
}

_Settings = TypeVar("_Settings")


class OperatorConfigError(ConfigError):
    """The operator's file is invalid; the message begins with the path of the file or key."""

    @classmethod
    def at(cls, path: str, problem: object) -> OperatorConfigError:
        """An error for the file or key at `path`, with the description `problem`."""
        return cls(f"{path}: {problem}")


@dataclass(frozen=True, slots=True)
class Receiver:
    """HTTP server and path that receive the POST of a scheduled task."""

    address: Address
    path: str


@dataclass(frozen=True, slots=True)
class ScheduledTaskSettings:
    """A scheduled task and the receiver of its POST."""

    task: ScheduledTask
    receiver: Receiver


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """A budget, and the rule that selects the requests charged to it."""

    budget: Budget
    rule: BudgetRule


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The table `fleet`: leases, scheduled tasks and budgets that the gateways share."""

    terms: LeaseTerms
    scheduled_tasks: tuple[ScheduledTaskSettings, ...]
    budgets: tuple[BudgetSettings, ...] = ()  # budgets of the fleet, sorted by name
    grant_term_ms: float = 2000.0  # time for which the allocator grants a part of a budget


@dataclass(frozen=True, slots=True)
class ConfigurationServiceSettings:
    """The table `configuration`: the services that publish versions of the settings."""

    addresses: tuple[Address, ...]
    silent_ms: float  # time without a response from any service after which a warning is logged


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The tables of the operator's file; None for a table that the file does not contain."""

    fleet: FleetSettings | None = None
    configuration: ConfigurationServiceSettings | None = None


def load_operator_config(path: str, gateways: int) -> OperatorConfig:
    """Read the operator's file at `path`, for a fleet with the number of `gateways`. Raises
    OperatorConfigError."""
    try:
        return parse_operator_config(tomllib.loads(Path(path).read_text(encoding="utf-8")), gateways)
    except OSError as problem:
        raise OperatorConfigError(f"cannot read {path}: {problem.strerror}") from problem
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise OperatorConfigError.at(path, f"invalid TOML: {problem}") from problem
    except OperatorConfigError as problem:
        raise OperatorConfigError.at(path, problem) from problem


def parse_operator_config(value: Any, gateways: int) -> OperatorConfig:
    """Build the settings from a parsed TOML document, for a fleet with the number of `gateways`. Raises
    OperatorConfigError."""
    table = _Table(value, "operator", {"fleet", "configuration"})
    fleet = table.value.get("fleet")
    configuration = table.value.get("configuration")
    return OperatorConfig(
        None if fleet is None else _fleet(fleet, gateways),
        None if configuration is None else _configuration(configuration),
    )


def budgets_identity(budgets: tuple[BudgetSettings, ...]) -> str:
    """The names and guaranteed ratios of the budgets, which must be the same at all gateways. They are part
    of the digest in lease messages, so that gateways with different ones reject each other's messages. Limits
    and bursts are left out because they may differ during a reload."""
    return repr([(one.budget.name, one.budget.guaranteed_ratio) for one in budgets])


class _Table:
    """One table of the operator's file. Its methods raise OperatorConfigError with the path of the key."""

    def __init__(self, value: Any, path: str, known: set[str]) -> None:
        if not isinstance(value, Mapping):
            raise OperatorConfigError.at(path, f"expected a table, got {value!r:.80}")
        for key in value:
            if key not in known:
                text = f"no such key; the keys are {', '.join(sorted(known))}"
                raise OperatorConfigError.at(f"{path}.{key}", text)
        self.value = value
        self.path = path

    def error(self, key: str, problem: object) -> OperatorConfigError:
        """An error for the key `key` of this table, with the description `problem`."""
        return OperatorConfigError.at(f"{self.path}.{key}", problem)

    def get(self, key: str, kind: type, default: Any = None) -> Any:
        """The value of a key, which must have the type `kind`; an integer is accepted for a float."""
        value = self.value.get(key, default)
        if value is None:
            raise self.error(key, "is missing")
        if kind is float and type(value) is int:
            value = float(value)
        if type(value) is not kind:
            raise self.error(key, f"expected {_TYPE_NAMES[kind]}, got {value!r}")
        return value

    def milliseconds(self, key: str, min_s: float, max_s: float, default_s: float | None = None) -> float:
        """The value of a key in seconds, converted to milliseconds; must lie from `min_s` to `max_s`."""
        value = self.get(key, float, default_s)
        if not min_s <= value <= max_s:
            raise self.error(key, f"expected a number of seconds from {min_s:g} to {max_s:g}, got {value:g}")
        return float(value) * 1000

    def choice(self, key: str, choices: tuple[str, ...], default: str | None = None) -> str:
        """The value of a key, which must be one of `choices`."""
        value: str = self.get(key, str, default)
        if value not in choices:
            raise self.error(key, f"expected one of {', '.join(choices)}, got {value!r}")
        return value

    def name(self) -> str:
        """The value of the key `name`, with its length and characters checked."""
        name: str = self.get("name", str)
        allowed = all(char.isascii() and (char.isalnum() or char in "-_.") for char in name)
        if not name or len(name) > MAX_NAME_LENGTH or not allowed:
            raise self.error("name", f"expected 1 to 64 letters, digits, '-', '_' or '.', got {name!r}")
        return name

    def names(self, key: str) -> frozenset[str]:
        """The value of a key that is a list of names; empty if the key is missing."""
        rows = self.get(key, list, [])
        if not all(isinstance(row, str) and row for row in rows):
            raise self.error(key, f"expected an array of non-empty strings, got {rows}")
        return frozenset(rows)

    def rows(
        self, key: str, max_rows: int, row_from: Callable[[Any, str], _Settings]
    ) -> tuple[_Settings, ...]:
        """The entries of an array of tables, of which there may be `max_rows`, each parsed by
        `row_from(row, path)`."""
        rows = self.get(key, list, [])
        if len(rows) > max_rows:
            raise self.error(key, f"expected at most {max_rows} entries, got {len(rows)}")
        return tuple(row_from(row, f"{self.path}.{key}[{index}]") for index, row in enumerate(rows))


def _fleet(value: Any, gateways: int) -> FleetSettings:
    table = _Table(
        value,
        "fleet",
        {"voters", "slots", "turns", "term_s", "drift", "longest_term_s", "duty", "budget", "share_s"},
    )
    tasks = table.rows("duty", MAX_SCHEDULED_TASKS, lambda row, path: _scheduled_task(row, path, gateways))
    _check_unique([one.task.name for one in tasks], "fleet.duty")
    budgets = table.rows("budget", MAX_BUDGETS, _budget)
    _check_unique([one.budget.name for one in budgets], "fleet.budget")
    budgets = tuple(sorted(budgets, key=lambda one: one.budget.name))
    grant_term_ms = _grant_term_ms(table, gateways, bool(budgets))
    voters = table.get("voters", list)
    if not all(type(voter) is int and 0 <= voter < gateways for voter in voters):
        raise table.error("voters", f"expected gatekeeper numbers from 0 to {gateways - 1}, got {voters}")
    try:
        terms = LeaseTerms(
            tuple(voters),
            table.get("slots", int, 12),
            table.get("turns", int, 0),
            table.milliseconds("term_s", 0.5, 600, 6.0),
            table.get("drift", float, 0.01),
            table.milliseconds("longest_term_s", 0.0, 600, 0.0),
            _identity(tasks, budgets, grant_term_ms),
        )
    except LeaseTermsError as problem:  # the text of a LeaseTermsError begins with the key
        raise OperatorConfigError(f"fleet.{problem}") from problem
    return FleetSettings(terms, tasks, budgets, grant_term_ms)


def _identity(
    tasks: tuple[ScheduledTaskSettings, ...], budgets: tuple[BudgetSettings, ...], grant_term_ms: float
) -> str:
    """Text for the digest in lease messages, of the tasks and budgets that must be the same at all
    gateways."""
    periods = sorted((one.task.name, one.task.kind, one.task.period_ms) for one in tasks)
    return repr((periods, *([budgets_identity(budgets), grant_term_ms] if budgets else [])))


def _scheduled_task(value: Any, path: str, gateways: int) -> ScheduledTaskSettings:
    table = _Table(
        value, path, {"name", "kind", "period_s", "limit_s", "catch_up", "receiver", "fenced", "repeatable"}
    )
    name = table.name()
    kind = table.choice("kind", (CALL, USE))
    min_period_s = MIN_CALL_PERIOD_S
    min_limit_s = MIN_CALL_TIME_LIMIT_S
    if kind == USE:
        min_period_s = max(MIN_USE_PERIOD_S, gateways / USE_GATEWAYS_PER_S)
        # Time to collect the usage, including time-outs of gateways that do not answer, and to send the
        # result.
        min_limit_s = max_collection_ms(gateways) / 1000 + 1.0
    period_ms = table.milliseconds("period_s", min_period_s, MAX_PERIOD_S)
    default_limit_s = max(period_ms / 1000, 5.0, min_limit_s + 4.0)
    limit_ms = table.milliseconds("limit_s", min_limit_s, MAX_TIME_LIMIT_S, default_limit_s)
    catch_up = table.get("catch_up", int, 2)
    if not 0 <= catch_up <= MAX_CATCH_UP_PERIODS:
        raise table.error("catch_up", f"expected 0 to {MAX_CATCH_UP_PERIODS} periods, got {catch_up}")
    if not table.get("fenced", bool, False) and not table.get("repeatable", bool, False):
        raise table.error(
            "fenced",
            "a receiver that does not check fencing tokens accepts calls of a former lease holder; "
            "set repeatable = true if repeated calls are harmless",
        )
    receiver = _receiver(table.get("receiver", str), f"{path}.receiver")
    return ScheduledTaskSettings(
        ScheduledTask(name, kind, period_ms, limit_ms, catch_up, kind == USE), receiver
    )


def _receiver(text: str, path: str) -> Receiver:
    if not text.startswith("http://"):
        raise OperatorConfigError.at(path, f"expected a URL that begins with http://, got {text!r}")
    authority, _, rest = text.removeprefix("http://").partition("/")
    host, _, port = authority.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise OperatorConfigError.at(path, f"expected a URL with host:port, got {text!r}")
    if not (text.isascii() and text.isprintable()) or " " in text:
        raise OperatorConfigError.at(path, f"expected a URL of printable ASCII without spaces, got {text!r}")
    return Receiver((host, int(port)), "/" + rest)


def _budget(value: Any, path: str) -> BudgetSettings:
    table = _Table(value, path, {"name", "whole", "burst", "floor", "counts", "classes", "plans", "firms"})
    name = table.name()
    counts = table.choice("counts", (REQUESTS, UNITS), REQUESTS)
    try:
        budget = Budget(
            name,
            BudgetKind.RATE,
            limit=table.get("whole", float),
            burst=table.get("burst", float),
            guaranteed_ratio=table.get("floor", float, 0.3),
        )
    except BudgetError as problem:
        raise OperatorConfigError.at(path, problem) from problem
    if budget.burst < 1:
        raise table.error(
            "burst", f"expected at least 1, got {budget.burst:g}: no request would ever be admitted"
        )
    rule = BudgetRule(
        name,
        charges_units=counts == UNITS,
        classes=table.names("classes"),
        plans=table.names("plans"),
        customers=table.names("firms"),
    )
    return BudgetSettings(budget, rule)


def _grant_term_ms(table: _Table, gateways: int, has_budgets: bool) -> float:
    """Time for which grants are valid, in ms. With budgets it must be long enough for one allocator to accept
    the reports of all gateways."""
    default_s = min(MAX_GRANT_TERM_S, max(2.0, gateways / 8))
    grant_term_ms = table.milliseconds("share_s", MIN_GRANT_TERM_S, MAX_GRANT_TERM_S, default_s)
    if has_budgets and grant_term_ms < REPORTS_PER_GRANT_TERM * 1000 * gateways / MAX_REPORTS_PER_S:
        raise table.error(
            "share_s",
            f"{grant_term_ms / 1000:g} s is too short for {gateways} gatekeepers: all report to one of "
            f"them, which accepts {MAX_REPORTS_PER_S:g} reports per second; expected at least "
            f"{REPORTS_PER_GRANT_TERM * gateways / MAX_REPORTS_PER_S:g} s",
        )
    return grant_term_ms


def _check_unique(names: list[str], path: str) -> None:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            raise OperatorConfigError.at(f"{path}[{index}].name", f"{name!r} occurs more than once")
        seen.add(name)


def _configuration(value: Any) -> ConfigurationServiceSettings:
    table = _Table(value, "configuration", {"addresses", "silent_s"})
    rows = table.get("addresses", list)
    if not 1 <= len(rows) <= MAX_CONFIGURATION_SERVICES:
        text = f"expected 1 to {MAX_CONFIGURATION_SERVICES} addresses, got {len(rows)}"
        raise table.error("addresses", text)
    try:
        addresses = tuple(
            parse_address(row, f"configuration.addresses[{index}]") for index, row in enumerate(rows)
        )
    except SettingsError as problem:  # the text of a SettingsError begins with the path
        raise OperatorConfigError(str(problem)) from problem
    for index, address in enumerate(addresses):
        if address in addresses[:index]:
            raise OperatorConfigError.at(
                f"configuration.addresses[{index}]", f"{rows[index]!r} occurs more than once"
            )
    return ConfigurationServiceSettings(addresses, table.milliseconds("silent_s", 5.0, 86_400.0, 30.0))
