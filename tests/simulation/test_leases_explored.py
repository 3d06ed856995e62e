"""Exploration of lease ownership: no order of events violates an invariant, and each planted bug is found."""

import pytest

from plumpick.simulation.exploration.leases import (
    HELD,
    INITIAL_HISTORIES,
    PLANTS,
    RENEWED_LATE,
    TAKEN_AGAIN,
    Leases,
    begin,
)
from plumpick.simulation.exploration.search import explore, replay

TWO_HOLDERS = "two contenders hold the lease"
# For each planted bug: acceptors, limits of moves, violated invariant, history. The histories were found by
# `plumpick explore --plant NAME` and are the shortest from their initial history. The one marked "by hand" is
# longer than the depth that a search reaches; it follows from observations in the test rig and the trials.
HISTORIES = {
    "forgets-silence": (
        3,
        {"restarts": 1},
        TWO_HOLDERS,
        [
            *HELD,
            "take 1",
            "restart voter 0",
            "deliver ask 1 0 1 2 1",
            "deliver answer 1 0 1 2 0 1",
            "deliver ask 1 2 1 2 1",
            "deliver answer 1 2 1 2 0 1",
        ],
    ),
    "counts-from-answer": (
        2,
        {},
        TWO_HOLDERS,
        [
            "take 0",
            "take 1",
            "deliver ask 0 0 1 1 1",
            "deliver answer 0 0 1 1 0 1",
            "deliver ask 0 1 1 1 1",
            "wait",
            "deliver answer 0 1 1 1 0 1",
            "wait",
            "deliver ask 1 0 1 2 1",
            "deliver answer 1 0 1 2 0 1",
            "deliver ask 1 1 1 2 1",
            "deliver answer 1 1 1 2 0 1",
        ],
    ),
    "token-twice": (
        2,
        {"gives": 1},
        "a fencing token was issued twice",
        [
            "take 0",
            "deliver ask 0 0 1 1 1",
            "deliver answer 0 0 1 1 0 1",
            "deliver ask 0 1 1 1 1",
            "deliver answer 0 1 1 1 0 1",
            "give 0",
            "take 0",
            "deliver ask 0 0 3 1 1",
            "deliver answer 0 0 3 1 0 1",
            "deliver ask 0 1 3 1 1",
            "deliver answer 0 1 3 1 0 1",
        ],
    ),
    "renews-after-the-end": (
        2,
        {},
        "an expired lease was renewed under its token",
        [
            "take 0",
            "deliver ask 0 0 1 1 1",
            "deliver answer 0 0 1 1 0 1",
            "deliver ask 0 1 1 1 1",
            "deliver answer 0 1 1 1 0 1",
            "wait",
            "tick 0",
            "deliver ask 0 0 2 1 1",
            "deliver answer 0 0 2 1 0 1",
            "deliver ask 0 1 2 1 1",
            "wait",
            "deliver answer 0 1 2 1 0 1",
        ],
    ),
    "fence-takes-equal": (
        2,
        {"effects": 2},
        "an effect was admitted after one with a higher token",
        [
            *HELD,
            "effect 0",
            "wait",
            "take 1",
            "wait",
            "deliver ask 1 0 1 2 1",
            "deliver answer 1 0 1 2 0 1",
            "deliver ask 1 1 1 2 1",
            "deliver answer 1 1 1 2 0 1",
            "effect 1",
            "deliver effect 1 281479271677954",
            "deliver effect 0 281474976710657",
        ],
    ),
    "believes-late-answers": (
        2,
        {},
        TWO_HOLDERS,
        [
            *RENEWED_LATE,
            "tick 0",
            "take 0",
            "take 1",
            "deliver answer 0 0 2 1 0 1",
            "deliver answer 0 1 2 1 0 1",
            "wait",
            "deliver ask 1 0 1 2 1",
            "deliver answer 1 0 1 2 0 1",
            "deliver ask 1 1 1 2 1",
            "deliver answer 1 1 1 2 0 1",
        ],
    ),
    "believes-late-gives": (
        2,
        {"gives": 1},
        TWO_HOLDERS,
        [
            *TAKEN_AGAIN,
            "take 1",
            "deliver give 0 0 2 1",
            "deliver ask 1 0 1 2 1",
            "deliver answer 1 0 1 2 2 2",
            "deliver ask 1 0 2 2 3",
            "deliver answer 1 0 2 2 0 3",
            "deliver give 0 1 2 1",
            "deliver ask 1 1 2 2 3",
            "deliver answer 1 1 2 2 0 3",
        ],
    ),
    "gives-what-is-asked": (
        3,
        {"gives": 1},
        TWO_HOLDERS,
        [  # by hand
            "take 1",
            "deliver ask 1 0 1 2 1",
            "deliver ask 1 1 1 2 1",
            "deliver answer 1 0 1 2 0 1",
            "deliver answer 1 1 1 2 0 1",
            "give 1",
            "deliver give 1 0 2 2",
            "deliver give 1 1 2 2",
            "take 0",
            "deliver ask 0 0 1 1 1",
            "deliver ask 0 1 1 1 1",
            "deliver ask 0 2 1 1 1",
            "deliver answer 0 2 1 1 0 1",
            "deliver answer 0 0 1 1 2 1",
            "deliver answer 0 1 1 1 2 1",
            "deliver ask 0 0 2 1 2",
            "deliver ask 0 1 2 1 2",
            "deliver answer 0 0 2 1 0 2",
            "deliver answer 0 1 2 1 0 2",
            "deliver give 0 0 3 1",
            "deliver give 0 1 3 1",
            "take 1",
            "deliver ask 1 0 3 2 2",
            "deliver ask 1 1 3 2 2",
            "deliver answer 1 0 3 2 0 2",
            "deliver answer 1 1 3 2 0 2",
        ],
    ),
}


def test_each_planted_bug_has_a_history():
    assert set(HISTORIES) == set(PLANTS)


@pytest.mark.parametrize("name", sorted(HISTORIES))
def test_history_violates_its_invariant_only_with_the_planted_bug(name):
    acceptors, allowed, invariant, history = HISTORIES[name]
    limits = {"restarts": 0, "doubles": 0, "effects": 0, "gives": 0, **allowed}
    assert replay(Leases(acceptors, **limits, **PLANTS[name]), history) == invariant
    state = Leases(acceptors, **limits)
    for move in history:  # moves that only the planted bug makes possible are skipped
        if move in set(state.moves()):
            state.apply(move)
        assert not state.violation(), (move, state.violation())


@pytest.mark.parametrize("name", sorted(INITIAL_HISTORIES))
def test_no_order_of_events_violates_an_invariant(name):
    found = explore(begin(name, 3), 5)
    assert not found.violation and found.depth == 5 and found.states > 2000


def test_search_finds_a_shortest_history():
    found = explore(
        begin("held", 3, restarts=1, doubles=0, effects=0, gives=0, **PLANTS["forgets-silence"]), 9
    )
    assert found.violation == TWO_HOLDERS and len(found.history) == 6


def test_search_finds_the_acceptance_of_a_late_release():
    found = explore(
        begin("taken-again", 2, restarts=0, doubles=0, effects=0, gives=1, **PLANTS["believes-late-gives"]), 9
    )
    assert found.violation == TWO_HOLDERS
    assert [*TAKEN_AGAIN, *found.history] == HISTORIES["believes-late-gives"][3]


def test_replay_rejects_an_impossible_move():
    with pytest.raises(ValueError, match="is not possible in this state"):
        replay(Leases(2), ["deliver answer 0 0 1 1 0 1"])
