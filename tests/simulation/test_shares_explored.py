"""Exploration of budget grants: no order of events exceeds the limit, and each planted bug is found."""

import pytest

from plumpick.simulation.exploration.search import explore, replay
from plumpick.simulation.exploration.shares import PLANTS, Shares

OVER_LIMIT = "more units are in use than the limit allows"
# The first history was found by the search (all histories of nine moves, 361,480 states); the others were
# written by hand.
HISTORIES = {
    "gives-before-the-end": [
        "ask 0",
        "ask 1",
        "deliver ask 0 1 1 0 0",
        "divider",
        "deliver ask 1 2 1 0 0",
        "deliver share 0 1 1 1 2",
        "take 0",
        "take 0",
        "deliver share 1 2 1 2 2",
        "take 1",
    ],
    "believes-a-late-share": [
        "ask 0",
        "deliver ask 0 1 1 0 0",
        "wait",
        "wait",
        "ask 1",
        "deliver ask 1 2 1 0 0",
        "deliver share 1 2 1 1 2",
        "take 1",
        "take 1",
        "deliver share 0 1 1 1 2",
        "take 0",
    ],
    "forgets-what-is-out": [
        "ask 0",
        "deliver ask 0 1 1 0 0",
        "deliver share 0 1 1 1 2",
        "ask 1",
        "deliver ask 1 2 1 0 0",
        "ask 0",
        "deliver ask 0 1 2 2 1",
        "ask 1",
        "deliver ask 1 2 2 0 0",
        "deliver share 1 2 2 1 1",
        "take 0",
        "take 0",
        "take 1",
    ],
    "takes-an-old-share": [
        "ask 0",
        "deliver ask 0 1 1 0 0",
        "ask 1",
        "deliver ask 1 2 1 0 0",
        "ask 0",
        "deliver ask 0 1 2 0 0",
        "deliver share 0 1 2 1 1",
        "ask 0",
        "deliver ask 0 1 3 1 2",
        "ask 1",
        "deliver ask 1 2 2 0 0",
        "deliver share 1 2 2 1 1",
        "take 1",
        "deliver share 0 1 1 1 2",
        "take 0",
        "take 0",
    ],
}


@pytest.mark.parametrize("name", sorted(PLANTS))
def test_history_exceeds_the_limit_only_with_its_planted_bug(name):
    limits = {"dividers": 1, "restarts": 0, "doubles": 0}
    assert replay(Shares(**limits, **PLANTS[name]), HISTORIES[name]) == OVER_LIMIT
    state = Shares(**limits)
    for move in HISTORIES[name]:
        if move in set(state.moves()):
            state.apply(move)
        assert not state.violation()


@pytest.mark.parametrize("name", sorted(PLANTS))
def test_fork_has_the_same_key_as_its_state(name):
    state = Shares(dividers=1, restarts=0, doubles=0)
    for move in HISTORIES[name]:
        if move in set(state.moves()):
            state.apply(move)
        assert state.fork().key() == state.key()


def test_no_order_of_events_grants_more_than_the_limit():
    found = explore(Shares(), 6)
    assert not found.violation and found.depth == 6 and found.states > 10_000
