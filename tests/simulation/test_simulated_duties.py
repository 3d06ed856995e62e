"""Scheduled tasks and fleet budgets in the simulation: rules are checked, and planted bugs are found."""

from dataclasses import replace

import pytest

from benchmarks.budgets.plants import FloorTwice
from plumpick.policy.budgets import ledger
from plumpick.policy.leases import participant
from plumpick.simulation.exploration.leases import ForgetsSilence
from plumpick.simulation.faults import Case, Fault, generate_case
from plumpick.simulation.world import World, play


def partition_with_restarts(gate):
    """A case in which one gateway is partitioned off, and both others are killed and restarted at once."""
    others = [number for number in range(3) if number != gate]
    kills = (Fault("kill", 4.55, 0.0, {"gate": number, "back_s": 0.05}) for number in others)
    split = Fault("split", 4.5, 4.0, {"gate": gate})
    return Case(5, seconds=9.0, load=0.06, duties=2, faults=(split, *kills))


@pytest.mark.parametrize("gate", range(3))
def test_rules_hold_when_all_gateways_but_one_restart_without_state(gate):
    result = play(partition_with_restarts(gate))
    assert not result.failed and result.owners >= 4 and result.effects > 10


def test_acceptor_that_votes_right_after_its_start_is_found(monkeypatch):
    monkeypatch.setattr(participant, "Acceptor", ForgetsSilence)
    assert any(play(partition_with_restarts(gate)).rule == "one-owner" for gate in range(3))


def test_seed_with_scheduled_tasks_is_deterministic():
    case = replace(generate_case(3, 8.0), duties=3)
    first, second = World(case).play(), World(case).play()
    assert not first.failed and first.digest == second.digest and first.effects == second.effects > 0


def test_request_waiting_at_a_listener_without_descriptors_is_excused():
    assert not play(replace(generate_case(93, 10.0), duties=3)).failed


def test_seed_with_budgets_is_deterministic_and_spends():
    case = replace(generate_case(4, 10.0), duties=1, budgets=3)
    first, second = World(case).play(), World(case).play()
    assert not first.failed and first.digest == second.digest and first.spent == second.spent > 30
    assert first.turned_back == second.turned_back > 0


def test_guaranteed_share_that_is_counted_twice_is_found(monkeypatch):
    monkeypatch.setattr(ledger, "LocalRateLimiter", FloorTwice)
    result = play(replace(generate_case(4, 10.0), budgets=3))
    assert result.rule == "whole" and "over burst + rate x W" in result.text


def test_requests_before_the_ledger_is_ready_break_no_rule():
    assert not play(replace(generate_case(7, 10.0), duties=1, budgets=3)).failed
