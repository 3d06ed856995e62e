"""`plumpick bounds CONFIG`: how far quotas and ceilings can be passed, from a configuration alone."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import Any

from anisefront.bounds import Bound, BoundsError, Situation, held_s, table
from anisefront.interface import Settings
from anisefront.settings import SettingsError, Table, settings_from
from plumpick.cli import EXIT_HELD, EXIT_USAGE


def settings_in(path: str) -> Settings:
    """The settings in a gatekeeper's configuration. Raises OSError, ValueError or SettingsError."""
    value = json.loads(Path(path).read_text(encoding="utf-8"))
    return settings_from(Table(value, "config").table("settings").value, "config.settings")


def as_dict(bound: Bound) -> dict[str, Any]:
    """A bound for --json: units, seconds, shares of 1."""
    return {"plan": bound.plan, "situation": bound.situation.value, "window_s": bound.window_s,
            "quota": round(bound.quota, 3), "beyond_quota": round(bound.beyond_quota, 3),
            "ceiling": round(bound.ceiling, 3), "beyond_ceiling": round(bound.beyond_ceiling, 3),
            "ceiling_share": round(bound.ceiling_share, 5)}


def text_of(rows: list[Bound], settings: Settings) -> str:
    """The table for a person."""
    lines = [f"{settings.gateways} gatekeepers; a try is held for {held_s(settings):.2f} s at most",
             f"{'plan':<12}{'situation':<24}{'window':>8}{'quota':>10}{'beyond':>9}{'ceiling':>10}"
             f"{'beyond':>16}"]
    for row in rows:
        ceiling = f"{row.ceiling:>10.1f}{row.beyond_ceiling:>8.1f}{100 * row.ceiling_share:>6.1f} %" if (
            row.ceiling) else f"{'-':>10}{'-':>8}"
        lines.append(f"{row.plan:<12}{row.situation.value:<24}{row.window_s:>6g} s{row.quota:>10.1f}"
                     f"{row.beyond_quota:>9.1f}{ceiling}")
    return "\n".join(lines)


def bounds(given: argparse.Namespace) -> int:
    """The tool."""
    try:
        settings = settings_in(given.config)
        rows = table(settings, spread=given.spread, loss=given.loss, restarts=given.restarts)
    except OSError as problem:
        print(f"plumpick: {given.config}: {problem.strerror}", file=sys.stderr)
        return EXIT_USAGE
    except (SettingsError, BoundsError, ValueError) as problem:
        print(f"plumpick: {given.config}: {problem}", file=sys.stderr)
        return EXIT_USAGE
    if given.json:
        print(json.dumps({"situations": [one.value for one in Situation],
                          "held_s": held_s(settings), "bounds": [as_dict(row) for row in rows]}, indent=1))
    else:
        print(text_of(rows, settings))
    return EXIT_HELD
