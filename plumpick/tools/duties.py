"""`plumpick duties ADDRESS`: leases and scheduled tasks of the fleet, as known to one gateway."""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any

from plumpick.tools.call import address_of, pages


def fetch(address: tuple[str, int]) -> dict[str, Any]:
    """The combined pages of the DUTIES reply of the gateway at a management address. Raises OSError, or
    ValueError with the reply if it is an error."""
    return pages(address, "DUTIES", "duties")


def _seconds(ms: float | None) -> str:
    return "" if ms is None else f"{ms / 1000:.1f} s"


def lines(whole: dict[str, Any]) -> list[str]:
    """The reply as text: the leases with their holders, then the scheduled tasks with their last runs."""
    named: dict[int, list[str]] = {}
    for name, slot, _, _ in whole["duties"]:
        named.setdefault(slot, []).append(name)
    rows = [
        f"{whole['gatekeeper']}: voters {', '.join(map(str, whole['voters']))}"
        f"{'' if whole['votes'] else '; this one has no vote'}",
        f"{'lease':>5}  {'owner':<6} {'since':>9} {'until':>9}  token, duties",
    ]
    for lease, owner, token, since, until, why in whole["leases"]:
        what = "turn" if lease >= whole["slots"] else ", ".join(named.get(lease, ())) or "no duty"
        rows.append(
            f"{lease:>5}  {'-' if owner is None else f'n{owner}':<6} {_seconds(since):>9} "
            f"{_seconds(until):>9}  {token or why or 'not known here'}  {what}"
        )
    for name, slot, running, last in whole["duties"]:
        state = f"period {running} runs" if running is not None else "idle"
        rows.append(
            f"{name} (slot {slot}): {state}"
            + ("" if last is None else f"; last here period {last[0]}, {last[1]:.0f} ms, {last[2]}")
        )
    return rows


def duties(given: argparse.Namespace) -> int:
    """Run the command. Returns exit code 0, 1 if the gateway answers with an error, 2 if it does not
    answer."""
    try:
        whole = fetch(address_of(given.address))
    except (ValueError, OSError) as problem:
        print(f"plumpick duties: {given.address}: {problem}", file=sys.stderr)
        return 1 if str(problem).startswith("-ERR") else 2
    print(json.dumps(whole) if given.json else "\n".join(lines(whole)))
    return 0
