"""Simulated fleets: every step's time and process, every record and every datagram of a seed, without names.

What a step calls is left out, since that is the name of a function.
"""

from contextlib import contextmanager
from dataclasses import replace

from plumpick.simulation import loop
from plumpick.simulation.faults import generate_case
from plumpick.simulation.world import play

SECONDS = 6.0


@contextmanager
def without_names():
    """Steps are told by their time and process alone."""
    before, loop.step_name = loop.step_name, lambda _handle: ""
    try:
        yield
    finally:
        loop.step_name = before


def digest_of(seed):
    """The identity of one seed's run; some seeds have scheduled tasks and fleet-wide budgets."""
    case = replace(generate_case(seed, SECONDS), duties=(0, 2, 4)[seed % 3], budgets=(0, 3)[seed % 2])
    with without_names():
        result = play(case)
    return f"{result.digest} {result.steps} {result.requests} {result.owners} {result.spent:.6f}"
