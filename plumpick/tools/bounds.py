"""`plumpick bounds CONFIG [--operator FILE]`: how far quotas and hard limits can be exceeded, and the bounds
of fleet-wide budgets, computed from the settings alone."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

from plumpick.cli import EXIT_HELD, EXIT_USAGE
from plumpick.gateway.config import ConfigError
from plumpick.gateway.operator_config import FleetSettings, load_operator_config
from plumpick.policy.budgets.bounds import BudgetBound, max_vacancy_s
from plumpick.policy.budgets.bounds import bounds_of as compute_budget_bounds
from plumpick.policy.quota.bounds import Bound, BoundsError, Situation, compute_bounds, max_forwarding_delay_s
from plumpick.policy.settings import Settings
from plumpick.policy.settings_parser import JsonObject, SettingsError, parse_settings


def load_settings(path: str) -> Settings:
    """The settings in a gateway's configuration file. Raises OSError, ValueError or SettingsError."""
    value = json.loads(Path(path).read_text(encoding="utf-8"))
    return parse_settings(JsonObject(value, "config").nested_object("settings").value, "config.settings")


def bound_as_json(bound: Bound) -> dict[str, Any]:
    """A bound as printed by --json; values in units, seconds, and ratios (1 is the whole)."""
    return {
        "plan": bound.plan,
        "situation": bound.situation.value,
        "window_s": bound.window_s,
        "quota": round(bound.quota_units, 3),
        "beyond_quota": round(bound.max_excess_over_quota, 3),
        "ceiling": round(bound.hard_limit_units, 3),
        "beyond_ceiling": round(bound.max_excess_over_hard_limit, 3),
        "ceiling_share": round(bound.hard_limit_excess_ratio, 5),
    }


def format_bounds(rows: list[Bound], settings: Settings) -> str:
    """The bounds of quotas and hard limits as a text table, with a row for each plan and situation."""
    lines = [
        f"{settings.gateway_count} gatekeepers; "
        f"a try is held for {max_forwarding_delay_s(settings):.2f} s at most",
        f"{'plan':<12}{'situation':<24}{'window':>8}{'quota':>10}{'beyond':>9}{'ceiling':>10}{'beyond':>16}",
    ]
    for row in rows:
        ceiling = (
            f"{row.hard_limit_units:>10.1f}{row.max_excess_over_hard_limit:>8.1f}"
            f"{100 * row.hard_limit_excess_ratio:>6.1f} %"
            if row.hard_limit_units
            else f"{'-':>10}{'-':>8}"
        )
        lines.append(
            f"{row.plan:<12}{row.situation.value:<24}{row.window_s:>6g} s{row.quota_units:>10.1f}"
            f"{row.max_excess_over_quota:>9.1f}{ceiling}"
        )
    return "\n".join(lines)


def load_budget_bounds(path: str, gateways: int) -> tuple[FleetSettings | None, list[BudgetBound]]:
    """The fleet's settings in the operator's file, and the bounds of its budgets. Raises ConfigError."""
    fleet = load_operator_config(path, gateways).fleet
    if fleet is None:
        return None, []
    return fleet, [
        row
        for one in fleet.budgets
        for row in compute_budget_bounds(one.budget, gateways, fleet.terms, fleet.grant_term_ms)
    ]


def format_budget_bounds(fleet: FleetSettings | None, rows: list[BudgetBound]) -> list[str]:
    """The bounds of budgets as the lines of a text table, with a row for each budget, state and window."""
    if fleet is None or not rows:
        return ["no budgets are configured"]
    vacancy_s = max_vacancy_s(fleet.terms, fleet.grant_term_ms)
    lines = [
        "budgets: `most` is never passed; `sure` can be spent where so much is wanted",
        f"after a divider's death floors alone for {vacancy_s:g} s at most",
        f"{'budget':<20}{'state':<28}{'window':>8}{'most':>12}{'sure':>12}",
    ]
    return lines + [
        f"{row.budget:<20}{row.state:<28}{row.window_s:>6g} s{row.most:>12.1f}{row.sure:>12.1f}"
        for row in rows
    ]


def bounds(arguments: argparse.Namespace) -> int:
    """Run `plumpick bounds`; returns its exit code."""
    try:
        settings = load_settings(arguments.config)
        rows = compute_bounds(
            settings, set_size=arguments.spread, loss=arguments.loss, restarts=arguments.restarts
        )
        fleet, budgets = (
            load_budget_bounds(arguments.operator, settings.gateway_count)
            if arguments.operator
            else (None, [])
        )
    except OSError as problem:
        print(f"plumpick: {arguments.config}: {problem.strerror}", file=sys.stderr)
        return EXIT_USAGE
    except ConfigError as problem:
        print(f"plumpick: {problem}", file=sys.stderr)
        return EXIT_USAGE
    except (SettingsError, BoundsError, ValueError) as problem:
        print(f"plumpick: {arguments.config}: {problem}", file=sys.stderr)
        return EXIT_USAGE
    if arguments.json:
        print(
            json.dumps(
                {
                    "situations": [one.value for one in Situation],
                    "held_s": max_forwarding_delay_s(settings),
                    "bounds": [bound_as_json(row) for row in rows],
                    **({"budgets": [asdict(row) for row in budgets]} if arguments.operator else {}),
                },
                indent=1,
            )
        )
    else:
        print(
            "\n".join(
                [
                    format_bounds(rows, settings),
                    *(format_budget_bounds(fleet, budgets) if arguments.operator else []),
                ]
            )
        )
    return EXIT_HELD
