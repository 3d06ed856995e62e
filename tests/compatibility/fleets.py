"""Digests of simulated fleets: the time and process of every step, every record and every datagram of a seed.

The name of the function that a step calls is left out, so that a rename does not change the digest.
"""

from contextlib import contextmanager
from dataclasses import replace

from plumpick.simulation import loop
from plumpick.simulation.faults import generate_case
from plumpick.simulation.world import play

SECONDS = 6.0  # Simulated time of one run


@contextmanager
def without_callback_names():
    """Context in which the simulation records steps by time and process only, without the callback's name."""
    before, loop.step_name = loop.step_name, lambda _handle: ""
    try:
        yield
    finally:
        loop.step_name = before


def digest_of(seed):
    """Returns digest and counts of a seed's run; some seeds have scheduled tasks and fleet-wide budgets."""
    case = replace(generate_case(seed, SECONDS), duties=(0, 2, 4)[seed % 3], budgets=(0, 3)[seed % 2])
    with without_callback_names():
        result = play(case)
    return f"{result.digest} {result.steps} {result.requests} {result.owners} {result.spent:.6f}"
