"""`plumpick budgets ADDRESS ...`: the part of fleet-wide budgets that each gateway may spend, and the sums.

The management addresses are queried one after another, so the sums mix values of different times. The command
ends with one line on standard error at the first address that does not answer, or not with budgets."""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any

from plumpick.tools.call import address_of, fetch_pages

EXIT_OK = 0
EXIT_REJECTED = 1  # exit code after a gateway answered that it has no budgets
EXIT_UNREACHABLE = 2

HEADER = (
    f"{'budget':<20} {'whole':>9} {'floor':>9} {'lent':>9} {'until':>7} "
    f"{'left':>9} {'demand':>9} {'unmet':>6}  divider"
)


def fetch_budgets(address: tuple[str, int]) -> dict[str, Any]:
    """The combined pages of the BUDGETS reply of the gateway at a management address. Raises OSError, or
    ValueError with the reply if it is an error."""
    return fetch_pages(address, "BUDGETS", "budgets")


def table_lines(answers: list[dict[str, Any]]) -> list[str]:
    """The replies as text: a table for each gateway and, if there are several gateways, the sums by
    budget."""
    lines = []
    for answer in answers:
        lines += [f"{answer['gatekeeper']}:", HEADER, *map(_budget_line, answer["budgets"])]
    if len(answers) > 1:
        lines.append("all of these, in turn and so not at one moment:")
        lines += _sum_lines([row for answer in answers for row in answer["budgets"]])
    return lines


def _budget_line(row: dict[str, Any]) -> str:
    expires = "-" if row["until_ms"] is None else f"{row['until_ms'] / 1000:.1f} s"
    allocator = "not known" if row["divider"] is None else f"n{row['divider']}, token {row['token']}"
    granted_to_all = "" if row["out"] is None else f", here: {row['out']:.6g} lent to all"
    return (
        f"{row['name']:<20} {row['whole']:>9g} {row['floor']:>9.4g} {row['lent']:>9.4g} "
        f"{expires:>7} {row['left']:>9.4g} {row['demand']:>9.4g} {row['unmet']:>6}  {allocator}"
        f"{granted_to_all}"
    )


def _sum_lines(rows: list[dict[str, Any]]) -> list[str]:
    lines = []
    for name in sorted({row["name"] for row in rows}):
        same = [row for row in rows if row["name"] == name]
        lines.append(
            f"{name:<20} whole {max(row['whole'] for row in same):g}, floors and shares "
            f"{sum(row['floor'] + row['lent'] for row in same):.6g}, "
            f"demand {sum(row['demand'] for row in same):.4g}"
        )
    return lines


def budgets(arguments: argparse.Namespace) -> int:
    """Run `plumpick budgets`; returns EXIT_OK, EXIT_REJECTED or EXIT_UNREACHABLE."""
    answers = []
    for address in arguments.address:
        try:
            answers.append(fetch_budgets(address_of(address)))
        except (ValueError, OSError) as problem:
            print(f"plumpick budgets: {address}: {problem}", file=sys.stderr)
            return EXIT_REJECTED if str(problem).startswith("-ERR") else EXIT_UNREACHABLE
    print(json.dumps(answers) if arguments.json else "\n".join(table_lines(answers)))
    return EXIT_OK
