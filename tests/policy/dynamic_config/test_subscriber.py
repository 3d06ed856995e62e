"""Subscriber of versioned settings: the active version never goes back to an older one, is never active in
part, and never differs from the published content."""

import contextlib
import random

import pytest
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st
from support.dynamic_config import Subscription, document, published_settings

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

INVALID_VERSION_INTERVAL = 3  # versions with multiples of this number have invalid settings


def published_documents(count, activation_times):
    """Documents of versions 1 to `count`, some with invalid settings."""
    return [
        document(
            number,
            {
                **published_settings(number),
                **({"bad": True} if number % INVALID_VERSION_INTERVAL == 0 else {}),
            },
            activation_times[number - 1],
        )
        for number in range(1, count + 1)
    ]


def delta(base, target):
    """Update from one document to another, as a delta."""
    return {
        **{key: value for key, value in target.items() if key != "settings"},
        "base": base["version"],
        "base_digest": base["digest"],
        "changes": changes_between(base["settings"], target["settings"]),
    }


def bad_reason(settings):
    return "bad" if settings.get("bad") else ""


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "snapshot",
                "delta",
                "mislabelled base",
                "wrong digest",
                "wait",
                "restart",
                "conflicting number",
            ]
        ),
        st.integers(0, 7),
        st.integers(0, 7),
        st.integers(0, 4000),
    ),
    max_size=40,
)


@effort(max_examples=400, deadline=None)
@given(STEPS, st.lists(st.integers(0, 12_000), min_size=8, max_size=8))
def test_active_version_only_increases_and_is_a_published_one_for_any_order_of_updates(
    steps, activation_times
):
    """Updates are reordered, repeated, delayed, with a wrong base, with a wrong digest or under the number of
    another version; the subscriber restarts in between."""
    documents = published_documents(8, activation_times)
    now, incarnations = 0.0, [Subscription(0.0, rejection_reason=bad_reason)]
    for kind, place, other, passed in steps:
        now += passed
        side, offered = incarnations[-1], documents[place]
        if kind == "snapshot":
            side.receive(now, offered)
        elif kind == "delta":
            side.receive(now, delta(documents[other], offered))
        elif kind == "mislabelled base":  # the changes are based on another version than stated
            side.receive(
                now,
                {
                    **delta(documents[other], offered),
                    "base": side.subscriber.newest.number or 1,
                    "base_digest": side.subscriber.newest.digest or documents[0]["digest"],
                },
            )
        elif kind == "wrong digest":
            side.receive(now, {**offered, "settings": published_settings(99)})
        elif kind == "conflicting number":  # other content under the number of a published version
            side.receive(now, document(offered["version"], published_settings(50), now))
        elif kind == "restart":
            incarnations.append(Subscription(now, rejection_reason=side.rejection_reason))
        incarnations[-1].activate_due(now)
    published_digests = {row["version"]: row["digest"] for row in documents}
    conflicting_digest = settings_digest(published_settings(50))
    for side in incarnations:
        numbers = [version for _, version, _ in side.activated]
        assert numbers == sorted(set(numbers))
        for at, version, digest in side.activated:
            assert digest in (published_digests[version], conflicting_digest)
            if digest == published_digests[version]:
                assert version % INVALID_VERSION_INTERVAL and at >= activation_times[version - 1]
        assert len(side.subscriber.rejected) <= MAX_REJECTED_VERSIONS


@effort(max_examples=200, deadline=None)
@given(st.permutations(range(8)), st.randoms(use_true_random=False))
def test_newest_version_is_active_after_all_were_received_in_any_order(order, chance):
    documents = published_documents(8, [0.0] * 8)
    side = Subscription(rejection_reason=bad_reason)
    for place in order:
        for _ in range(chance.randrange(1, 3)):
            side.receive(1.0, documents[place])
    assert side.subscriber.active.number == 8
    assert side.subscriber.active.digest == documents[7]["digest"]


def test_staged_version_is_activated_at_its_activation_time_and_not_before():
    side = Subscription()
    side.receive(1000.0, document(1, published_settings(1), 4000.0))
    side.activate_due(3999.0)
    assert side.activated == [] and side.subscriber.staged.number == 1
    line = side.subscriber.status_line(1000.0)
    assert "1 " in line and "staged, in force in 3.0 s" in line
    side.activate_due(4000.0)
    assert [version for _, version, _ in side.activated] == [1] and side.subscriber.staged is None


def test_newer_version_replaces_the_staged_one_regardless_of_activation_times():
    for at_ms in (2000.0, 9000.0):
        side = Subscription()
        side.receive(0.0, document(1, published_settings(1), 5000.0))
        side.receive(0.0, document(2, published_settings(2), at_ms))
        side.receive(0.0, document(1, published_settings(1), 5000.0))
        side.activate_due(20_000.0)
        assert [version for _, version, _ in side.activated] == [2]


def test_rejected_version_is_reported_and_does_not_replace_the_active_or_staged_version():
    side = Subscription(
        rejection_reason=lambda value: "settings.classes[0].name is missing" if value.get("bad") else ""
    )
    side.receive(0.0, document(1, published_settings(1)))
    side.receive(0.0, document(2, published_settings(2), 5000.0))
    side.receive(0.0, document(3, {"bad": True}))
    assert side.subscriber.staged.number == 2 and side.subscriber.active.number == 1
    request = side.subscriber.next_request(0.0)
    assert (request.since_number, request.rejected_number) == (2, 3)
    assert request.rejection_reason == "settings.classes[0].name is missing"
    side.activate_due(5000.0)
    assert side.subscriber.active.number == 2
    side.receive(6000.0, document(4, published_settings(4)))
    assert side.subscriber.active.number == 4


def test_version_that_fails_to_activate_is_rejected_and_the_active_version_stays():
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


def test_active_number_with_another_digest_is_rejected_and_reported():
    side = Subscription()
    side.receive(0.0, document(1, published_settings(1)))
    side.receive(0.0, document(1, published_settings(2)))
    assert side.subscriber.active.digest == settings_digest(published_settings(1))
    assert side.subscriber.next_request(0.0).rejection_reason and "another digest" in side.problems[-1]


def test_version_with_an_activation_time_too_far_ahead_is_rejected():
    side = Subscription()
    side.receive(0.0, document(1, published_settings(1), MAX_ACTIVATION_DELAY_MS + 1))
    assert 1 in side.subscriber.rejected and side.subscriber.staged is None


def test_snapshot_is_requested_after_an_update_with_a_wrong_base_or_digest():
    for invalid in (
        delta(document(5, published_settings(5)), document(6, published_settings(6))),
        {**document(6, published_settings(6)), "digest": "0" * 64},
    ):
        side = Subscription()
        side.receive(0.0, document(1, published_settings(1)))
        assert side.subscriber.next_request(0.0).since_digest
        side.receive(0.0, invalid)
        request = side.subscriber.next_request(0.0)
        assert (request.since_digest, request.since_number) == ("", 1)
        assert request.delay_ms <= 2 * INITIAL_BACKOFF_MS
        side.receive(0.0, document(6, published_settings(6)))
        assert side.subscriber.next_request(0.0).since_digest == settings_digest(published_settings(6))


def test_notification_with_two_addresses_that_do_not_answer_takes_at_most_the_stated_time():
    """The worst case of `worst_notification_ms`, step by step: a version is published just after a watch has
    started that gets no response; the next address accepts connections and does not answer; the third one
    answers."""
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
    assert worst_notification_ms(1) <= 3000.0  # before a version's activation, 3 s after publishing
    assert worst_notification_ms(0) == 0.0


def test_gateways_spread_their_calls_over_an_exponential_backoff_after_failures():
    subscribers = [ConfigSubscriber(number, 550, 1, random.Random(number), 0.0) for number in range(550)]
    for failures in range(1, 8):
        for subscriber in subscribers:
            subscriber.on_call_failed()
        backoff_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (failures - 1))
        delays_ms = sorted(subscriber.next_request(12_345.6).delay_ms for subscriber in subscribers)
        calls_per_tenth = [
            sum(start_ms <= delay_ms < start_ms + backoff_ms / 10 for delay_ms in delays_ms)
            for start_ms in (backoff_ms * tenth / 10 for tenth in range(10))
        ]
        assert max(delays_ms) <= backoff_ms * (1 + 2 / 550) and max(calls_per_tenth) <= 60


def test_next_address_is_used_after_a_failure_and_after_many_unchanged_watches():
    subscriber = ConfigSubscriber(1, 3, 3, random.Random(1), 0.0)
    called = []
    for _ in range(6):
        called.append(subscriber.next_request(0.0).address_index)
        subscriber.on_call_failed()
    assert called == [1, 2, 0, 1, 2, 0]
    for _ in range(MAX_UNCHANGED_WATCHES):
        called.append(subscriber.next_request(0.0).address_index)
        request = subscriber.next_request(0.0)
        subscriber.on_unchanged(0.0, request, request.watch_timeout_ms)
    assert subscriber.next_request(0.0).address_index != called[-1]


def test_service_that_answers_every_call_at_once_is_not_called_in_a_tight_loop():
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
    while now < 2000.0:  # a service with a new version for every call
        now += side.subscriber.next_request(now).delay_ms + 0.1
        calls += 1
        side.receive(now, document(calls, published_settings(calls)))
    assert calls <= 2000 / MIN_WATCH_INTERVAL_MS + 2


def test_status_line_states_the_time_since_the_last_response():
    subscriber = ConfigSubscriber(0, 3, 1, random.Random(1), 1000.0)
    assert "version 0 (own file) in force" in subscriber.status_line(1000.0)
    subscriber.on_call_failed()
    assert "heard 59.0 s ago" in subscriber.status_line(60_000.0)
    assert WATCH_GRACE_MS < WATCH_TIMEOUT_MS


def test_version_of_the_hot_restart_predecessor_is_activated_only_if_newer_than_the_active_one():
    subscriber = Subscription().subscriber
    staged = SettingsVersion(9, "9" * 64, 5000.0, {})
    subscriber.stage(0.0, staged)
    predecessors = SettingsVersion(8, "8" * 64, 0.0, {})
    assert subscriber.is_newer_than_active(predecessors)
    subscriber.on_activated(predecessors)
    assert (subscriber.active, subscriber.staged) == (predecessors, staged)
    assert not subscriber.is_newer_than_active(SettingsVersion(7, "7" * 64, 0.0, {}))
    newer = SettingsVersion(10, "a" * 64, 0.0, {})
    subscriber.on_activated(newer)
    assert subscriber.staged is None
