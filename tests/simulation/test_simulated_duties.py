"""Duties of the fleet in the simulation: promises judged after each step, and a planted bug found."""

from dataclasses import replace

import pytest

from benchmarks.budgets.plants import FloorTwice
from plumpick.policy.budgets import ledger
from plumpick.policy.leases import participant
from plumpick.simulation.exploration.leases import ForgetsSilence
from plumpick.simulation.faults import Case, Fault, case_of
from plumpick.simulation.world import World, play


def cut_off_and_forgotten(gate):
    """The gatekeeper is cut off; both others are killed, and back at once."""
    others = [number for number in range(3) if number != gate]
    kills = (Fault("kill", 4.55, 0.0, {"gate": number, "back_s": 0.05}) for number in others)
    split = Fault("split", 4.5, 4.0, {"gate": gate})
    return Case(5, seconds=9.0, load=0.06, duties=2, faults=(split, *kills))


@pytest.mark.parametrize("gate", range(3))
def test_promises_hold_where_all_but_one_are_restarted_and_have_forgotten(gate):
    result = play(cut_off_and_forgotten(gate))
    assert not result.failed and result.owners >= 4 and result.effects > 10


def test_a_voter_that_forgets_its_silence_is_found(monkeypatch):
    monkeypatch.setattr(participant, "Acceptor", ForgetsSilence)
    assert any(play(cut_off_and_forgotten(gate)).rule == "one-owner" for gate in range(3))


def test_a_seed_with_duties_plays_alike_twice():
    case = replace(case_of(3, 8.0), duties=3)
    first, second = World(case).play(), World(case).play()
    assert not first.failed and first.digest == second.digest and first.effects == second.effects > 0


def test_a_request_that_waited_at_a_listener_without_descriptors_is_not_held_against_the_program():
    assert not play(replace(case_of(93, 10.0), duties=3)).failed


def test_a_seed_with_budgets_plays_alike_twice_and_spends():
    case = replace(case_of(4, 10.0), duties=1, budgets=3)
    first, second = World(case).play(), World(case).play()
    assert not first.failed and first.digest == second.digest and first.spent == second.spent > 30
    assert first.turned_back == second.turned_back > 0


def test_a_floor_that_is_counted_twice_is_found(monkeypatch):
    monkeypatch.setattr(ledger, "LocalRateLimiter", FloorTwice)
    result = play(replace(case_of(4, 10.0), budgets=3))
    assert result.rule == "whole" and "over burst + rate x W" in result.text


def test_clients_that_come_before_the_books_are_open_take_nothing():
    assert not play(replace(case_of(7, 10.0), duties=1, budgets=3)).failed
