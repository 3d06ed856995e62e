"""Evaluation of the rows' formulas over the sizes of a form, measured slopes and the program's constants.

A formula is arithmetic on names of sizes and constants. `NAME(x)` is the slope NAME at the size x;
`growth(NAME, x)` is the difference between the slope at x and at 0; `words(rate)` and `word_bytes(rate)` are
the number and the bytes of peer messages that a gateway sends per second at that request rate, with the
form's gateway sets."""

from __future__ import annotations

import ast
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from functools import cache
from typing import Any

from plumpick.capacity.rows import MECHANISMS, NONE, ROWS, Row
from plumpick.capacity.slopes import LINEAR, Slope
from plumpick.cli import parser
from plumpick.gateway.gateway import UPSTREAM_DESCRIPTOR_RATIO
from plumpick.gateway.operator_config import (
    MAX_CONFIGURATION_SERVICES,
    MAX_GRANT_TERM_S,
    parse_operator_config,
)
from plumpick.gateway.shutdown import shutdown_times
from plumpick.policy import endpoint_watch, subsetting, usage_report
from plumpick.policy.budgets.codec import encode_grants
from plumpick.policy.budgets.grant import Grant
from plumpick.policy.budgets.messages import GrantRow
from plumpick.policy.budgets.report_schedule import MAX_REPORTS_PER_S
from plumpick.policy.dynamic_config import subscriber, version_store
from plumpick.policy.errors import ReconfigurationError
from plumpick.policy.quota.liveness import UNREACHABLE_AFTER_HEARTBEATS, heartbeat_ms
from plumpick.policy.reconfiguration import check
from plumpick.policy.settings import MAX_CLASSES, Idempotency, Plan, RequestClass, Settings
from plumpick.tools.configuration_service import MAX_CONNECTIONS

MEASURED, FORMULA = "measured", "formula"
# Sizes of gateway sets for which messages were measured at several request rates.
MEASURED_SET_SIZES = (3, 20)
UNREACHABLE_SERVICES = 2  # number of unreachable version services that the longest notification time assumes


class ModelError(ValueError):
    """A formula cannot be evaluated; the text gives the reason."""


@dataclass(frozen=True, slots=True)
class EvaluatedRow:
    """A row of the capacity table with its value and limit for one form, and the slopes that it uses."""

    row: Row
    value: float
    limit: float | None
    mechanism: str
    slopes: tuple[str, ...]
    outside: tuple[str, ...]  # slopes used outside their measured range, each with size and range
    max_residual: float  # largest residual of the slopes used by the row
    is_combined: bool = False  # whether the row combines slopes of separate measurements

    @property
    def ratio(self) -> float | None:
        """The value divided by the limit; None without a limit."""
        return None if self.limit is None else self.value / self.limit

    @property
    def is_missing(self) -> bool:
        return self.mechanism == NONE

    @property
    def range(self) -> str:
        """How the value is backed by measurements, as printed in the column `range`."""
        if not self.slopes:
            return FORMULA
        if self.outside:
            return f"outside: {', '.join(self.outside)}"
        more = ", put together" if self.is_combined else ""
        return f"{MEASURED}, off {100 * self.max_residual:.0f} % at most{more}"


@cache
def _publish_s() -> float:
    """The default of `publish --in-force-in` in seconds; cached, because building the parser is slow."""
    given = parser().parse_args(["configuration", "publish", "any", "--to", "any"])
    return float(given.in_force_in)


def needs_restart(before: Settings, after: Settings) -> bool:
    """Whether a gateway with the settings `before` must be restarted to apply `after`."""
    try:
        check(before, after)
    except ReconfigurationError:
        return True
    return False


def constants(sizes: Mapping[str, float]) -> dict[str, float]:
    """The program's constants and what it computes for a tier of these sizes, by the names used in
    formulas."""
    gatekeepers = int(sizes["gatekeepers"])
    any_class = RequestClass("any", 1.0, 1.0, 1.0, Idempotency.IDEMPOTENT)
    tier = Settings(
        gateway_count=gatekeepers,
        gateway_number=0,
        zone="",
        classes=(any_class,),
        plans=(Plan("any"),),
        slow_start_ms=0.0,
        slow_start_initial_ratio=0.0,
        overload_multiple=0.0,
        overload_window_ms=0.0,
        max_attempts=1,
        peer_inbox_per_s=sizes["words_taken_in_per_s"],
    )
    default = parse_operator_config({"fleet": {"voters": [0]}}, gatekeepers).fleet
    if default is None:
        raise ModelError("the default operator's file has no fleet settings")
    others = (
        replace(tier, classes=(*tier.classes, replace(any_class, name="other"))),
        replace(tier, plans=(*tier.plans, Plan("other"))),
    )
    return {
        "arc_workers": math.ceil(sizes["workers"] * subsetting.subset_ratio(sizes["workers"], gatekeepers)),
        "worker_part": UPSTREAM_DESCRIPTOR_RATIO,
        "classes_most": float(MAX_CLASSES),
        "home_lost_s": UNREACHABLE_AFTER_HEARTBEATS * heartbeat_ms(tier) / 1000,
        "gather_each_ms": usage_report.POLL_INTERVAL_MS,
        "gather_longest_s": usage_report.max_collection_ms(gatekeepers) / 1000,
        "askings_per_s": MAX_REPORTS_PER_S,
        "share_least_s": 2 * gatekeepers / MAX_REPORTS_PER_S,
        "share_most_s": MAX_GRANT_TERM_S,
        "share_bytes": float(len(encode_grants(0, 0, [GrantRow(0, Grant(0, 0, 0, 0, 0), 0)])[0])),
        "slots": float(default.terms.slots),
        "term_s": default.terms.term_ms / 1000,
        "share_default_s": default.grant_term_ms / 1000,
        "agent_watch_ms": endpoint_watch.AGENT_WATCH_TIMEOUT_MS,
        "agent_worst_s": endpoint_watch.worst_notification_ms(False) / 1000,
        "shared_watch_ms": endpoint_watch.SHARED_WATCH_TIMEOUT_MS,
        "shared_round_ms": endpoint_watch.MAX_ROUND_MS,
        "shared_worst_s": endpoint_watch.worst_notification_ms(True) / 1000,
        # seconds from SIGTERM to exit if request deadlines are long
        "ending_s": shutdown_times([math.inf])[2],
        # 1 if a change of request classes or plans, as the form counts them, requires a restart.
        "restarts_a_version": float(any(needs_restart(tier, other) for other in others)),
        "version_in_force_s": max(subscriber.worst_notification_ms(1) / 1000, _publish_s()),
        "version_worst_s": subscriber.worst_notification_ms(UNREACHABLE_SERVICES) / 1000,
        "versions_kept": float(version_store.MAX_VERSIONS),
        "connections_most": float(MAX_CONNECTIONS),
        "services_most": float(MAX_CONFIGURATION_SERVICES),
    }


@dataclass(slots=True)
class _Evaluation:
    """The evaluation of one formula, which records the slopes that were used."""

    sizes: Mapping[str, float]
    names: Mapping[str, float]
    slopes: Mapping[str, Slope]
    used: dict[str, Slope] = field(default_factory=dict)
    outside: dict[str, None] = field(default_factory=dict)
    is_combined: bool = False

    def slope_value(self, name: str, x: float) -> float:
        slope = self.slopes.get(name)
        if slope is None:
            raise ModelError(f"{name}: unknown slope")
        self.used[name] = slope
        if not slope.covers(x):
            self.outside[f"{name} at {x:,.4g}, measured {slope.min_x:,.4g} to {slope.max_x:,.4g}"] = None
        return slope.value_at(x)

    def growth(self, name: str, x: float) -> float:
        """The difference of a linear slope between x and 0. Raises ModelError for any other form."""
        value, slope = self.slope_value(name, x), self.slopes[name]
        if slope.form != LINEAR:
            raise ModelError(f"{name}: growth() requires a slope of the form {LINEAR}, got {slope.form}")
        return value - slope.value_at(0.0)

    def sent_per_s(self, what: str, rate: float) -> float:
        """Messages or bytes sent per second at a request rate.

        If the form's set size was not measured by rate, the value of the nearest measured set size is scaled
        by the ratio of both set sizes in the slope by set size."""
        set_size = self.sizes["set"]
        nearest_size = (
            MEASURED_SET_SIZES[0]
            if set_size < math.sqrt(MEASURED_SET_SIZES[0] * MEASURED_SET_SIZES[1])
            else MEASURED_SET_SIZES[1]
        )
        by_rate = self.slope_value(f"{what}_by_rate_{nearest_size}", rate)
        if set_size == nearest_size:
            return by_rate
        self.is_combined = True
        return (
            by_rate
            * self.slope_value(f"{what}_by_set", set_size)
            / self.slope_value(f"{what}_by_set", nearest_size)
        )

    def evaluate(self, formula: str) -> float:
        try:
            tree = ast.parse(formula, mode="eval")
        except SyntaxError as problem:
            raise ModelError(f"{formula}: {problem}") from problem
        return self._evaluate_node(tree.body)

    def _evaluate_node(self, node: ast.expr) -> float:
        match node:
            case ast.Constant(value=int() | float() as number):
                return float(number)
            case ast.Name(id=name) if name in self.names:
                return self.names[name]
            case ast.BinOp(left=left, op=op, right=right) if type(op) in _OPERATORS:
                try:
                    return _OPERATORS[type(op)](self._evaluate_node(left), self._evaluate_node(right))
                except ZeroDivisionError as problem:
                    raise ModelError(f"{ast.unparse(node)}: division by zero") from problem
            case ast.Call(func=ast.Name(id="growth"), args=[ast.Name(id=name), size], keywords=[]):
                return self.growth(name, self._evaluate_node(size))
            case ast.Call(func=ast.Name(id="words"), args=[rate], keywords=[]):
                return self.sent_per_s("words", self._evaluate_node(rate))
            case ast.Call(func=ast.Name(id="word_bytes"), args=[rate], keywords=[]):
                return self.sent_per_s("bytes", self._evaluate_node(rate))
            case ast.Call(func=ast.Name(id=name), args=[size], keywords=[]):
                return self.slope_value(name, self._evaluate_node(size))
        raise ModelError(f"{ast.unparse(node)}: expression not allowed in a formula")


_OPERATORS: dict[Any, Callable[[float, float], float]] = {
    ast.Add: lambda a, b: a + b,
    ast.Sub: lambda a, b: a - b,
    ast.Mult: lambda a, b: a * b,
    ast.Div: lambda a, b: a / b,
}


def evaluate_row(
    row: Row,
    sizes: Mapping[str, float],
    slopes: Mapping[str, Slope],
    mechanisms: Mapping[str, str] = MECHANISMS,
) -> EvaluatedRow:
    """Evaluate one row at these sizes. Raises ModelError."""
    evaluation = _Evaluation(sizes, {**constants(sizes), **sizes}, slopes)
    value = evaluation.evaluate(row.formula)
    limit = evaluation.evaluate(row.limit) if row.limit else None
    if limit is not None and limit <= 0:
        raise ModelError(f"{row.who}, {row.what}: expected a limit above 0, got {limit:g}")
    if row.mechanism not in mechanisms:
        raise ModelError(f"{row.mechanism}: unknown mechanism")
    return EvaluatedRow(
        row,
        value,
        limit,
        mechanisms[row.mechanism],
        tuple(sorted(evaluation.used)),
        tuple(evaluation.outside),
        max((one.residual for one in evaluation.used.values()), default=0.0),
        evaluation.is_combined,
    )


def evaluate_rows(
    sizes: Mapping[str, float], slopes: Mapping[str, Slope], rows: tuple[Row, ...] = ROWS
) -> list[EvaluatedRow]:
    """Evaluate all rows; sorted by the ratio to their limits, largest first, rows without a limit last."""
    lines = [evaluate_row(row, sizes, slopes) for row in rows]
    return sorted(lines, key=lambda line: -1.0 if line.ratio is None else line.ratio, reverse=True)


def rows_without_mechanism(lines: list[EvaluatedRow]) -> list[EvaluatedRow]:
    """The lines beyond their limits for which the program has no mechanism, in the given order."""
    return [line for line in lines if line.is_missing and line.ratio is not None and line.ratio > 1]
