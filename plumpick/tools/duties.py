"""`plumpick duties ADDRESS`: leases and scheduled tasks of the fleet, as known to one gateway."""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any

from plumpick.tools.call import address_of, fetch_pages


def fetch_duties(address: tuple[str, int]) -> dict[str, Any]:
    """The combined pages of the DUTIES reply of the gateway at a management address. Raises OSError, or
    ValueError with the reply if it is an error."""
    return fetch_pages(address, "DUTIES", "duties")


def _seconds(ms: float | None) -> str:
    return "" if ms is None else f"{ms / 1000:.1f} s"


def format_duties(reply: dict[str, Any]) -> list[str]:
    """The reply as text: the leases with their holders, then the scheduled tasks with their last runs."""
    names_by_slot: dict[int, list[str]] = {}
    for name, slot, _, _ in reply["duties"]:
        names_by_slot.setdefault(slot, []).append(name)
    rows = [
        f"{reply['gatekeeper']}: voters {', '.join(map(str, reply['voters']))}"
        f"{'' if reply['votes'] else '; this one has no vote'}",
        f"{'lease':>5}  {'owner':<6} {'since':>9} {'until':>9}  token, duties",
    ]
    for lease, owner, token, held_ms, remaining_ms, reason in reply["leases"]:
        what = "turn" if lease >= reply["slots"] else ", ".join(names_by_slot.get(lease, ())) or "no duty"
        rows.append(
            f"{lease:>5}  {'-' if owner is None else f'n{owner}':<6} {_seconds(held_ms):>9} "
            f"{_seconds(remaining_ms):>9}  {token or reason or 'not known here'}  {what}"
        )
    for name, slot, running, last in reply["duties"]:
        state = f"period {running} runs" if running is not None else "idle"
        rows.append(
            f"{name} (slot {slot}): {state}"
            + ("" if last is None else f"; last here period {last[0]}, {last[1]:.0f} ms, {last[2]}")
        )
    return rows


def duties(arguments: argparse.Namespace) -> int:
    """Run `plumpick duties`. Returns exit code 0, 1 if the gateway answers with an error, 2 if it does not
    answer."""
    try:
        reply = fetch_duties(address_of(arguments.address))
    except (ValueError, OSError) as problem:
        print(f"plumpick duties: {arguments.address}: {problem}", file=sys.stderr)
        return 1 if str(problem).startswith("-ERR") else 2
    print(json.dumps(reply) if arguments.json else "\n".join(format_duties(reply)))
    return 0
