"""A part of the comparison with the recorded program, within a minute; oracle.py plays all of it."""

import json

import pytest
from compatibility import edges, fleets, histories, oracle, snapshots

from plumpick.policy import controller
from plumpick.policy.load_balancing import FAILURE_WEIGHT

SOME_HISTORIES, SOME_FLEETS = range(0, 200, 5), range(0, 60, 6)


def test_the_decisions_of_recorded_histories_are_the_same():
    before = oracle.recorded("histories")
    for seed in SOME_HISTORIES:
        digest, checkpoints = before[str(seed)]
        assert histories.digest_of(seed) == (digest, checkpoints), f"seed {seed}"


def test_simulated_fleets_take_the_same_steps_and_send_the_same_bytes():
    before = oracle.recorded("fleets")
    for seed in SOME_FLEETS:
        assert fleets.digest_of(seed) == before[str(seed)], f"seed {seed}"


def test_a_state_that_an_earlier_program_left_is_gone_on_from_as_before():
    saved = oracle.recorded("snapshots")
    assert len(saved["states"]) >= 8
    assert snapshots.digests(saved) == saved["digests"]


@pytest.mark.parametrize("name", ["settings", "lists", "operator", "exits", "replies"])
def test_operators_read_the_same_words(name):
    read = {
        "settings": edges.settings_errors,
        "lists": edges.list_errors,
        "operator": edges.operator_errors,
        "exits": edges.exits,
        "replies": edges.replies,
    }
    now = json.loads(json.dumps(read[name]()))
    assert not list(oracle.differences(oracle.recorded("edges")[name], now))


def test_a_change_of_one_constant_is_found(monkeypatch):
    monkeypatch.setattr(controller, "FAIL_WEIGHT", FAILURE_WEIGHT * 1.01)
    assert any(is_changed(seed) for seed in SOME_HISTORIES)


def test_a_change_of_the_order_of_draws_is_found(monkeypatch):
    def later(self, settings, seed, made=controller.Controller.__init__):
        made(self, settings, seed)
        self.rng.random()

    monkeypatch.setattr(controller.Controller, "__init__", later)
    assert any(is_changed(seed) for seed in SOME_HISTORIES)


def is_changed(seed):
    """Whether a seed's history is another one now."""
    return histories.digest_of(seed)[0] != oracle.recorded("histories")[str(seed)][0]


def test_differences_are_named():
    before, now = {"a": {"b": 1, "c": 2}}, {"a": {"b": 3, "d": 2}}
    assert list(oracle.differences(before, now)) == [
        "/a/b: 1 is now 3",
        "/a/c: only before",
        "/a/d: only now",
    ]
