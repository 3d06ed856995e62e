"""A part of the comparison with the recorded program, within a minute; oracle.py plays all of it."""

import json

import pytest
from compatibility import (
    config_histories,
    config_wire,
    dynamic_config,
    edges,
    fleets,
    histories,
    oracle,
    snapshots,
)

from plumpick.policy import controller, load_balancing

SOME_HISTORIES, SOME_FLEETS = range(0, 200, 5), range(0, 60, 6)
SOME_CONFIG = range(0, 60, 6)


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


def test_decisions_on_versions_of_the_settings_and_on_watches_of_discovery_are_the_same():
    before = oracle.recorded("config_decisions")
    for seed in SOME_CONFIG:
        assert not list(oracle.differences(before[str(seed)], config_histories.digests_of(seed))), seed


def test_versions_of_the_settings_and_discovery_have_the_same_bytes_lines_and_exit_codes():
    now = json.loads(json.dumps(config_wire.replies()))
    assert not list(oracle.differences(oracle.recorded("config_replies"), now))


def test_a_version_that_an_earlier_program_left_is_taken_up_as_before():
    left = oracle.recorded("config_state")
    now = json.loads(json.dumps(config_wire.inherited(left["state"])))
    assert left["taken_up"]["versions"].count(left["state"]["version"]) >= 1
    assert not list(oracle.differences(left["taken_up"], now))


@pytest.mark.parametrize("part", ["SUBSCRIBER_CONSTANT", "STORE_CONSTANT", "WATCH_CONSTANT"])
def test_a_change_of_one_constant_of_settings_or_discovery_is_found(monkeypatch, part):
    module, name = getattr(dynamic_config, part)
    value = getattr(module, name)
    monkeypatch.setattr(module, name, value + 1 if isinstance(value, int) else value * 1.2)
    before = oracle.recorded("config_decisions")
    assert any(
        list(oracle.differences(before[str(seed)], config_histories.digests_of(seed))) for seed in SOME_CONFIG
    )


def test_a_change_of_one_constant_is_found(monkeypatch):
    monkeypatch.setattr(load_balancing, "FAILURE_WEIGHT", load_balancing.FAILURE_WEIGHT * 1.01)
    assert any(is_changed(seed) for seed in SOME_HISTORIES)


def test_a_change_of_the_order_of_draws_is_found(monkeypatch):
    def later(self, settings, seed, made=controller.Controller.__init__):
        made(self, settings, seed)
        self.state.rng.random()

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
