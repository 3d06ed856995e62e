"""The `plumpick explore` command: checks lease ownership in every order of events up to a given depth."""

from __future__ import annotations

import argparse
import json
import sys

from plumpick.simulation.exploration.leases import INITIAL_HISTORIES, PLANTS, begin
from plumpick.simulation.exploration.search import explore as search


def explore(given: argparse.Namespace) -> int:
    """Runs `plumpick explore` and returns its exit code.

    0 means that no invariant was violated up to the depth, 1 that one was, 2 that the arguments are invalid.
    """
    if given.plants:
        print("\n".join(PLANTS))
        return 0
    if given.plant and given.plant not in PLANTS or given.begin not in INITIAL_HISTORIES:
        print(
            f"plumpick explore: unknown --plant {given.plant!r} or --begin {given.begin!r}; expected for "
            f"--plant: {', '.join(PLANTS)}; for --begin: {', '.join(INITIAL_HISTORIES)}",
            file=sys.stderr,
        )
        return 2
    start = begin(
        given.begin,
        given.voters,
        restarts=given.restarts,
        doubles=given.doubles,
        effects=given.effects,
        gives=given.gives,
        **PLANTS.get(given.plant, {}),
    )
    found = search(
        start,
        given.depth,
        given.states,
        lambda depth, states: print(f"depth {depth}: {states} states", file=sys.stderr),
    )
    row = {
        "begin": given.begin,
        "voters": given.voters,
        "plant": given.plant or "",
        "states": found.states,
        "depth": found.depth,
        "seconds": round(found.seconds, 1),
        "broken": found.violation,
        "history": [*INITIAL_HISTORIES[given.begin], *found.history] if found.violation else [],
    }
    if given.json:
        print(json.dumps(row))
    else:
        print(
            f"{row['states']} states, all histories of {row['depth']} moves from {row['begin']!r}, "
            f"{row['seconds']} s: {row['broken'] or 'no invariant violated'}"
        )
        for move in row["history"]:
            print(f"    {move}")
    return 1 if found.violation else 0
