"""Sound clients of a real gateway process beside clients that send at full speed."""

import pytest
from support.floods import Flood

from benchmarks.flood_soak import Plan, play_plan

FLOOD_S = 2.0

FLOODS = {
    "readiness, 6 clients": [Flood("ready", 6, FLOOD_S)],
    "readiness, 100 clients that read nothing": [Flood("ready", 100, FLOOD_S, reads=False)],
    "expired requests, 24 clients": [Flood("expired", 24, FLOOD_S)],
    "invalid requests, 24 clients, and no HTTP": [
        Flood("without_id", 24, FLOOD_S),
        Flood("broken", 12, FLOOD_S),
    ],
    "unknown paths and one id": [Flood("unknown_paths", 12, FLOOD_S), Flood("same_id", 12, FLOOD_S)],
    "readiness on ever new connections": [Flood("connect_and_leave", 24, FLOOD_S)],
    "connections and keyed requests": [Flood("connect", 12, FLOOD_S), Flood("keyed_posts", 12, FLOOD_S)],
}


@pytest.mark.parametrize("floods", FLOODS.values(), ids=FLOODS)
def test_sound_requests_are_answered_in_time_beside_a_flood(floods):
    # Report 81cf89: answers came late or never while a few clients sent at full speed.
    result = play_plan(Plan(floods))
    assert result.is_sound() and result.statuses.keys() == {"200"}, result.line()


def test_process_ends_before_the_earliest_kill_beside_a_flood():
    # Report 81cf89, related: 24 clients at full speed kept a terminating process until it was killed.
    result = play_plan(Plan([Flood("ready", 24, 5.5)], signal="terminate"))
    assert result.is_sound(), result.line()


@pytest.mark.parametrize("memory_mb", [32, 48, 80])
def test_memory_limit_holds_beside_ever_new_customers(memory_mb):
    # Report 81cf89: memory grew without end while clients sent requests of ever new customers.
    plan = Plan([Flood("new_customers", 100, 6.0)], memory_mb, customers=50)
    result = play_plan(plan)
    assert not result.problems and not result.unanswered, result.line()
    assert result.peak_mb <= memory_mb, result.line()


def test_memory_limit_holds_at_a_high_rate_of_one_customer():
    # Issue 78: ids, settled and used grants of some seconds grow with the rate, whatever the limit.
    result = play_plan(Plan([Flood("keyed_posts", 150, 6.0)], 48))
    assert not result.problems and not result.unanswered, result.line()
    assert result.peak_mb <= 48, result.line()


def test_new_connections_are_accepted_in_time_beside_connects_at_full_speed_and_a_flood():
    # Report 81cf89, related: the queue of the listening socket overflowed, and clients asked again after 1 s.
    floods = [Flood("connect", 24, 4.0), Flood("expired", 24, 4.0), Flood("unknown_classes", 6, 4.0)]
    result = play_plan(Plan(floods, 192))
    assert result.is_sound(), result.line()
