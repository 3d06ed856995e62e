"""A fleet of 40 gateways and 60 workers with injected faults on the virtual machine, all rules checked."""

import pytest

from plumpick.rehearsal.records import type_name
from plumpick.simulation.faults import Case, Fault
from plumpick.simulation.world import World

SECONDS, LOAD = 12.0, 0.1

HERD = tuple(
    Fault("kill", round(4.0 + number * 0.01, 3), 0.0, {"gate": number, "back_s": 1.5}) for number in range(30)
)
JOIN = (Fault("release", 3.0, 7.0, {"share": 0.6}),)
ZONE = (Fault("silent-server", 3.0, 4.0, {"count": 20}),)


def run_fleet(faults):
    """Run the fleet; return the result and the pairs of gateway and worker that exchanged a request."""
    pairs, gates = set(), {}

    def note(record):
        if type_name(record) == "Asked":
            gates[record.id] = record.gate
        if type_name(record) == "Took":
            pairs.add((gates[record.id], record.server))

    case = Case(11, seconds=SECONDS, gatekeepers=40, servers=60, load=LOAD, faults=faults)
    return World(case, record=note).play(), pairs


@pytest.mark.parametrize(
    "faults, least",
    [((), 0.9), (HERD, 0.75), (JOIN, 0.85), (ZONE, 0.85)],
    ids=["calm", "herd", "join", "zone"],
)
def test_rules_hold_and_most_requests_are_served_in_a_wide_fleet(faults, least):
    result, pairs = run_fleet(faults)
    assert not result.failed and not result.problems, (result.rule, result.text, result.problems)
    assert result.requests > 300 and result.service >= least
    if not faults:  # only a few gateways send requests to each worker
        assert 60 <= len(pairs) <= 9 * 60
