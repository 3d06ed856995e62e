"""Compares a sample of the recorded results with this program, in under a minute; oracle.py compares all."""

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

HISTORY_SEEDS_OF_TEST, FLEET_SEEDS_OF_TEST = range(0, 200, 5), range(0, 60, 6)
CONFIG_SEEDS_OF_TEST = range(0, 60, 6)


def test_controller_decisions_equal_the_recorded_histories():
    before = oracle.recorded("histories")
    for seed in HISTORY_SEEDS_OF_TEST:
        digest, checkpoints = before[str(seed)]
        assert histories.digest_of(seed) == (digest, checkpoints), f"seed {seed}"


def test_simulated_fleets_take_the_recorded_steps_and_send_the_recorded_bytes():
    before = oracle.recorded("fleets")
    for seed in FLEET_SEEDS_OF_TEST:
        assert fleets.digest_of(seed) == before[str(seed)], f"seed {seed}"


def test_import_of_recorded_snapshots_gives_the_recorded_histories():
    saved = oracle.recorded("snapshots")
    assert len(saved["states"]) >= 8
    assert snapshots.digests(saved) == saved["digests"]


@pytest.mark.parametrize("name", ["settings", "lists", "operator", "exits", "replies"])
def test_messages_to_operators_equal_the_recorded_texts(name):
    read = {
        "settings": edges.settings_errors,
        "lists": edges.list_errors,
        "operator": edges.operator_errors,
        "exits": edges.exits,
        "replies": edges.replies,
    }
    now = json.loads(json.dumps(read[name]()))
    assert not list(oracle.differences(oracle.recorded("edges")[name], now))


def test_settings_version_and_discovery_decisions_equal_the_recorded_ones():
    before = oracle.recorded("config_decisions")
    for seed in CONFIG_SEEDS_OF_TEST:
        assert not list(oracle.differences(before[str(seed)], config_histories.digests_of(seed))), seed


def test_settings_version_and_discovery_bytes_logs_and_exit_codes_equal_the_recorded_ones():
    now = json.loads(json.dumps(config_wire.replies()))
    assert not list(oracle.differences(oracle.recorded("config_replies"), now))


def test_import_of_a_recorded_settings_version_has_the_recorded_result():
    left = oracle.recorded("config_state")
    now = json.loads(json.dumps(config_wire.imported_versions(left["state"])))
    assert left["taken_up"]["versions"].count(left["state"]["version"]) >= 1
    assert not list(oracle.differences(left["taken_up"], now))


@pytest.mark.parametrize("part", ["SUBSCRIBER_CONSTANT", "STORE_CONSTANT", "WATCH_CONSTANT"])
def test_changed_constant_of_settings_versions_or_discovery_changes_the_digests(monkeypatch, part):
    module, name = getattr(dynamic_config, part)
    value = getattr(module, name)
    monkeypatch.setattr(module, name, value + 1 if isinstance(value, int) else value * 1.2)
    before = oracle.recorded("config_decisions")
    assert any(
        list(oracle.differences(before[str(seed)], config_histories.digests_of(seed)))
        for seed in CONFIG_SEEDS_OF_TEST
    )


def test_changed_constant_of_load_balancing_changes_the_digests(monkeypatch):
    monkeypatch.setattr(load_balancing, "FAILURE_WEIGHT", load_balancing.FAILURE_WEIGHT * 1.01)
    assert any(history_differs(seed) for seed in HISTORY_SEEDS_OF_TEST)


def test_additional_random_draw_changes_the_digests(monkeypatch):
    def init_with_extra_draw(self, settings, seed, made=controller.Controller.__init__):
        made(self, settings, seed)
        self.state.rng.random()

    monkeypatch.setattr(controller.Controller, "__init__", init_with_extra_draw)
    assert any(history_differs(seed) for seed in HISTORY_SEEDS_OF_TEST)


def history_differs(seed):
    """Whether the digest of a seed's history differs from the recorded one."""
    return histories.digest_of(seed)[0] != oracle.recorded("histories")[str(seed)][0]


def test_differences_gives_the_path_of_each_changed_value():
    before, now = {"a": {"b": 1, "c": 2}}, {"a": {"b": 3, "d": 2}}
    assert list(oracle.differences(before, now)) == [
        "/a/b: 1 is now 3",
        "/a/c: only before",
        "/a/d: only now",
    ]
