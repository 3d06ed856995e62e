"""Which version is active: never back, never half, never another content than was published."""

import contextlib
import random

import pytest
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st
from support.dynamic_config import Subscription, document, published

from plumpick.policy.dynamic_config.delta import changes_between, settings_digest
from plumpick.policy.dynamic_config.errors import EarlyResponseError, VersionNotStagedError
from plumpick.policy.dynamic_config.subscriber import (
    ACTIVATION_DEADLINE_MS,
    IMMEDIATE_WATCH_MS,
    INITIAL_BACKOFF_MS,
    MAX_ACTIVATION_DELAY_MS,
    MAX_BACKOFF_MS,
    MAX_REJECTED_VERSIONS,
    MAX_UNCHANGED_WATCHES,
    MIN_WATCH_INTERVAL_MS,
    RESPONSE_TIMEOUT_MS,
    WATCH_GRACE_MS,
    WATCH_TIMEOUT_MS,
    ConfigSubscriber,
    worst_notification_ms,
)
from plumpick.policy.dynamic_config.updates import SettingsVersion

BAD = 3  # versions that this divides are no settings for a gatekeeper


def history(count, times):
    """Published versions: (document, settings)."""
    return [
        document(
            number, {**published(number), **({"bad": True} if number % BAD == 0 else {})}, times[number - 1]
        )
        for number in range(1, count + 1)
    ]


def delta(base, news):
    return {
        **{key: value for key, value in news.items() if key != "settings"},
        "base": base["version"],
        "base_digest": base["digest"],
        "changes": changes_between(base["settings"], news["settings"]),
    }


def bad_reason(settings):
    return "bad" if settings.get("bad") else ""


MOVES = st.lists(
    st.tuples(
        st.sampled_from(["whole", "delta", "old-base", "torn", "wait", "restart", "liar"]),
        st.integers(0, 7),
        st.integers(0, 7),
        st.integers(0, 4000),
    ),
    max_size=40,
)


@effort(max_examples=400, deadline=None)
@given(MOVES, st.lists(st.integers(0, 12_000), min_size=8, max_size=8))
def test_in_any_order_of_updates_the_active_version_never_goes_back_and_was_published(moves, times):
    """Offers in any order, doubled, late, of other bases, torn, under numbers of others; restarts."""
    known = history(8, times)
    now, lives = 0.0, [Subscription(0.0, reason_against=bad_reason)]
    for kind, place, other, passed in moves:
        now += passed
        side, news = lives[-1], known[place]
        if kind == "whole":
            side.receive(now, news)
        elif kind == "delta":
            side.receive(now, delta(known[other], news))
        elif kind == "old-base":  # its changes are of another base than it says
            side.receive(
                now,
                {
                    **delta(known[other], news),
                    "base": side.subscriber.newest.number or 1,
                    "base_digest": side.subscriber.newest.digest or known[0]["digest"],
                },
            )
        elif kind == "torn":
            side.receive(now, {**news, "settings": published(99)})
        elif kind == "liar":  # the number is in use
            side.receive(now, document(news["version"], published(50), now))
        elif kind == "restart":
            lives.append(Subscription(now, reason_against=side.reason_against))
        lives[-1].activate_due(now)
    right = {row["version"]: row["digest"] for row in known} | {-1: settings_digest(published(50))}
    for side in lives:
        numbers = [version for _, version, _ in side.activated]
        assert numbers == sorted(set(numbers))
        for at, version, its in side.activated:
            assert its in (right[version], right[-1])
            if its == right[version]:
                assert version % BAD and at >= times[version - 1]
        assert len(side.subscriber.rejected) <= MAX_REJECTED_VERSIONS


@effort(max_examples=200, deadline=None)
@given(st.permutations(range(8)), st.randoms(use_true_random=False))
def test_the_newest_version_is_active_once_all_came_in_any_order(order, chance):
    known = history(8, [0.0] * 8)
    side = Subscription(reason_against=bad_reason)
    for place in order:
        for _ in range(chance.randrange(1, 3)):
            side.receive(1.0, known[place])
    assert side.subscriber.active.number == 8
    assert side.subscriber.active.digest == known[7]["digest"]


def test_a_version_is_activated_at_its_time_and_not_before():
    side = Subscription()
    side.receive(1000.0, document(1, published(1), 4000.0))
    side.activate_due(3999.0)
    assert side.activated == [] and side.subscriber.staged.number == 1
    line = side.subscriber.status_line(1000.0)
    assert "1 " in line and "staged, in force in 3.0 s" in line
    side.activate_due(4000.0)
    assert [version for _, version, _ in side.activated] == [1] and side.subscriber.staged is None


def test_a_newer_version_replaces_the_staged_one_whatever_their_times():
    for at_ms in (2000.0, 9000.0):
        side = Subscription()
        side.receive(0.0, document(1, published(1), 5000.0))
        side.receive(0.0, document(2, published(2), at_ms))
        side.receive(0.0, document(1, published(1), 5000.0))
        side.activate_due(20_000.0)
        assert [version for _, version, _ in side.activated] == [2]


def test_a_rejected_version_is_reported_and_leaves_the_active_and_the_staged_one():
    side = Subscription(
        reason_against=lambda value: "settings.classes[0].name is missing" if value.get("bad") else ""
    )
    side.receive(0.0, document(1, published(1)))
    side.receive(0.0, document(2, published(2), 5000.0))
    side.receive(0.0, document(3, {"bad": True}))
    assert side.subscriber.staged.number == 2 and side.subscriber.active.number == 1
    request = side.subscriber.next_request(0.0)
    assert (request.since_number, request.rejected_number) == (2, 3)
    assert request.rejection_reason == "settings.classes[0].name is missing"
    side.activate_due(5000.0)
    assert side.subscriber.active.number == 2
    side.receive(6000.0, document(4, published(4)))
    assert side.subscriber.active.number == 4


def test_a_version_that_fails_to_activate_is_rejected_and_the_active_one_stays():
    subscriber = Subscription().subscriber
    first, second = SettingsVersion(1, "a" * 64, 0.0, {}), SettingsVersion(2, "b" * 64, 5.0, {})
    subscriber.stage(0.0, first)
    assert subscriber.due_version(0.0) is first
    subscriber.on_activated(first)
    subscriber.stage(0.0, second)
    subscriber.on_activation_failed(subscriber.due_version(5.0), "the window is full")
    assert (subscriber.active, subscriber.staged) == (first, None)
    assert subscriber.rejected[2].reason == "the window is full"
    with pytest.raises(VersionNotStagedError):
        subscriber.stage(9.0, second)
    assert subscriber.staged is None


def test_the_same_number_with_another_digest_is_rejected_and_reported():
    side = Subscription()
    side.receive(0.0, document(1, published(1)))
    side.receive(0.0, document(1, published(2)))
    assert side.subscriber.active.digest == settings_digest(published(1))
    assert side.subscriber.next_request(0.0).rejection_reason and "another digest" in side.problems[-1]


def test_a_version_that_activates_too_far_ahead_is_rejected():
    side = Subscription()
    side.receive(0.0, document(1, published(1), MAX_ACTIVATION_DELAY_MS + 1))
    assert 1 in side.subscriber.rejected and side.subscriber.staged is None


def test_after_a_wrong_base_or_digest_a_snapshot_is_requested():
    for wrong in (
        delta(document(5, published(5)), document(6, published(6))),
        {**document(6, published(6)), "digest": "0" * 64},
    ):
        side = Subscription()
        side.receive(0.0, document(1, published(1)))
        assert side.subscriber.next_request(0.0).since_digest
        side.receive(0.0, wrong)
        request = side.subscriber.next_request(0.0)
        assert (request.since_digest, request.since_number) == ("", 1)
        assert request.delay_ms <= 2 * INITIAL_BACKOFF_MS
        side.receive(0.0, document(6, published(6)))
        assert side.subscriber.next_request(0.0).since_digest == settings_digest(published(6))


def test_a_version_is_notified_in_time_with_two_silent_addresses_in_turn():
    """Played, against the sum that the module states: the watch falls silent as it begins, a change right
    behind; the next address takes connections and says nothing; the third answers."""
    for number in range(0, 550, 7):
        subscriber = ConfigSubscriber(number, 550, 3, random.Random(number), 0.0)
        now = 500.0 + number
        request = subscriber.next_request(now)
        subscriber.on_unchanged(now, request, IMMEDIATE_WATCH_MS)
        request = subscriber.next_request(now)
        assert request.watch_timeout_ms == WATCH_TIMEOUT_MS and request.delay_ms == 0
        spent = request.response_timeout_ms
        subscriber.on_call_failed()
        request = subscriber.next_request(now + spent)
        spent += request.delay_ms + request.response_timeout_ms
        subscriber.on_call_failed()
        request = subscriber.next_request(now + spent)
        spent += request.delay_ms
        assert request.watch_timeout_ms == IMMEDIATE_WATCH_MS
        assert spent <= worst_notification_ms(2) + 1e-6
        assert worst_notification_ms(2) + RESPONSE_TIMEOUT_MS <= ACTIVATION_DEADLINE_MS
    assert worst_notification_ms(1) <= 3000.0  # before the 3 s after which a version is due
    assert worst_notification_ms(0) == 0.0


def test_gateways_whose_service_died_call_in_slots_of_a_growing_backoff():
    subscribers = [ConfigSubscriber(number, 550, 1, random.Random(number), 0.0) for number in range(550)]
    for fails in range(1, 8):
        for subscriber in subscribers:
            subscriber.on_call_failed()
        round_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (fails - 1))
        at = sorted(subscriber.next_request(12_345.6).delay_ms for subscriber in subscribers)
        tenths = [
            sum(place <= value < place + round_ms / 10 for value in at)
            for place in (round_ms * tenth / 10 for tenth in range(10))
        ]
        assert max(at) <= round_ms * (1 + 2 / 550) and max(tenths) <= 60


def test_addresses_are_used_in_turn_after_failures_and_after_many_unchanged_watches():
    subscriber = ConfigSubscriber(1, 3, 3, random.Random(1), 0.0)
    asked = []
    for _ in range(6):
        asked.append(subscriber.next_request(0.0).address_index)
        subscriber.on_call_failed()
    assert asked == [1, 2, 0, 1, 2, 0]
    for _ in range(MAX_UNCHANGED_WATCHES):
        asked.append(subscriber.next_request(0.0).address_index)
        request = subscriber.next_request(0.0)
        subscriber.on_unchanged(0.0, request, request.watch_timeout_ms)
    assert subscriber.next_request(0.0).address_index != asked[-1]


def test_a_service_that_always_answers_at_once_is_not_called_in_a_tight_loop():
    subscriber = ConfigSubscriber(0, 3, 2, random.Random(1), 0.0)
    now, calls = 0.0, 0
    while now < 20_000.0:
        request = subscriber.next_request(now)
        now += request.delay_ms + 0.1
        calls += 1
        with contextlib.suppress(EarlyResponseError):
            subscriber.on_unchanged(now, request, 0.1)
    assert calls < 20_000 / INITIAL_BACKOFF_MS * 4
    side, now, calls = Subscription(), 0.0, 0
    while now < 2000.0:  # and one that has a new version each time
        now += side.subscriber.next_request(now).delay_ms + 0.1
        calls += 1
        side.receive(now, document(calls, published(calls)))
    assert calls <= 2000 / MIN_WATCH_INTERVAL_MS + 2


def test_the_status_line_says_for_how_long_services_are_silent():
    subscriber = ConfigSubscriber(0, 3, 1, random.Random(1), 1000.0)
    assert "version 0 (own file) in force" in subscriber.status_line(1000.0)
    subscriber.on_call_failed()
    assert "heard 59.0 s ago" in subscriber.status_line(60_000.0)
    assert WATCH_GRACE_MS < WATCH_TIMEOUT_MS


def test_the_previous_processs_version_is_activated_unless_one_as_new_is_active():
    subscriber = Subscription().subscriber
    staged = SettingsVersion(9, "9" * 64, 5000.0, {})
    subscriber.stage(0.0, staged)
    before = SettingsVersion(8, "8" * 64, 0.0, {})
    assert subscriber.is_newer_than_active(before)
    subscriber.on_activated(before)
    assert (subscriber.active, subscriber.staged) == (before, staged)
    assert not subscriber.is_newer_than_active(SettingsVersion(7, "7" * 64, 0.0, {}))
    newer = SettingsVersion(10, "a" * 64, 0.0, {})
    subscriber.on_activated(newer)
    assert subscriber.staged is None
