"""`plumpick budgets ADDRESS ...`: what each gatekeeper may spend of the fleet's budgets; over several, the
sum."""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any

from plumpick.tools.call import address_of, pages


def fetch(address: tuple[str, int]) -> dict[str, Any]:
    """All of its answer; raises OSError or ValueError (the text says what it answered)."""
    return pages(address, "BUDGETS", "budgets")


def lines(rows: list[dict[str, Any]]) -> list[str]:
    """For a person: a table of each gatekeeper, and of the tier where there are several."""
    out = []
    for one in rows:
        out += [
            f"{one['gatekeeper']}:",
            f"{'budget':<20} {'whole':>9} {'floor':>9} {'lent':>9} {'until':>7} "
            f"{'left':>9} {'demand':>9} {'unmet':>6}  divider",
        ]
        for row in one["budgets"]:
            until = "-" if row["until_ms"] is None else f"{row['until_ms'] / 1000:.1f} s"
            divider = "not known" if row["divider"] is None else f"n{row['divider']}, token {row['token']}"
            out.append(
                f"{row['name']:<20} {row['whole']:>9g} {row['floor']:>9.4g} {row['lent']:>9.4g} "
                f"{until:>7} {row['left']:>9.4g} {row['demand']:>9.4g} {row['unmet']:>6}  {divider}"
                + ("" if row["out"] is None else f", here: {row['out']:.6g} lent to all")
            )
    if len(rows) > 1:
        out.append("all of these, in turn and so not at one moment:")
        names = sorted({row["name"] for one in rows for row in one["budgets"]})
        for name in names:
            mine = [row for one in rows for row in one["budgets"] if row["name"] == name]
            out.append(
                f"{name:<20} whole {max(row['whole'] for row in mine):g}, floors and shares "
                f"{sum(row['floor'] + row['lent'] for row in mine):.6g}, "
                f"demand {sum(row['demand'] for row in mine):.4g}"
            )
    return out


def budgets(given: argparse.Namespace) -> int:
    """0; 1 where one answers that it has no budgets; 2 where there is no answer."""
    rows = []
    for address in given.address:
        try:
            rows.append(fetch(address_of(address)))
        except (ValueError, OSError) as problem:
            print(f"plumpick budgets: {address}: {problem}", file=sys.stderr)
            return 1 if str(problem).startswith("-ERR") else 2
    print(json.dumps(rows) if given.json else "\n".join(lines(rows)))
    return 0
