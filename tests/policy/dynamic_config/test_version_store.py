"""Version store of a service: stored versions, responses to subscribers, and subscribers."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.dynamic_config import Subscription, document, published_settings, status_of

from plumpick.policy.dynamic_config.delta import settings_digest
from plumpick.policy.dynamic_config.errors import PublishError
from plumpick.policy.dynamic_config.updates import OWN_FILE, SettingsVersion, parse_update, resolve_update
from plumpick.policy.dynamic_config.version_store import MAX_SUBSCRIBERS, MAX_VERSIONS, VersionStore


def publish_problem(store, value):
    """Message of the PublishError that the store raises for a version."""
    with pytest.raises(PublishError) as raised:
        store.publish(0.0, value)
    return str(raised.value)


def test_publishing_rejects_changed_content_or_time_of_a_number_and_older_numbers():
    store = VersionStore()
    assert store.publish(0.0, document(5, published_settings(5))) is None
    assert store.publish(0.0, document(5, published_settings(5))) is None
    assert "another content" in publish_problem(store, document(5, published_settings(6)))
    assert "another content or time" in publish_problem(store, document(5, published_settings(5), 9.0))
    assert "older" in publish_problem(store, document(4, published_settings(4)))
    assert "digest" in publish_problem(store, {**document(6, published_settings(6)), "digest": "0" * 64})
    assert "whole" in publish_problem(
        store,
        {
            "version": 6,
            "digest": "0" * 64,
            "in_force_ms": 0,
            "base": 5,
            "base_digest": "0" * 64,
            "changes": {},
        },
    )
    assert list(store.versions) == [5]


def test_response_is_a_delta_for_a_stored_base_a_snapshot_otherwise_and_none_if_up_to_date():
    store = VersionStore()
    assert store.response_for(0.0, 0, "", 0) is None
    for number in range(1, MAX_VERSIONS + 3):
        store.publish(0.0, document(number, published_settings(number, 50)))
    assert len(store.versions) == MAX_VERSIONS
    newest = MAX_VERSIONS + 2
    base = SettingsVersion(3, settings_digest(published_settings(3, 50)), 0.0, published_settings(3, 50))
    response = json.loads(store.response_for(0.0, 3, base.digest, 0))
    assert "changes" in response
    assert resolve_update(parse_update(response), base).settings == published_settings(newest, 50)
    for since, digest in ((2, settings_digest(published_settings(2, 50))), (3, "0" * 64), (0, ""), (3, "")):
        assert "settings" in json.loads(store.response_for(0.0, since, digest, 0))
    assert (
        store.response_for(0.0, newest, "", 0) is None and store.response_for(0.0, newest + 4, "", 0) is None
    )
    assert store.response_for(0.0, 3, base.digest, newest) is None  # a rejected version is not sent again


def test_response_is_a_snapshot_if_the_delta_is_not_shorter():
    store = VersionStore()
    store.publish(0.0, document(1, {"limits": {"a": 1}}))
    store.publish(0.0, document(2, {"limits": {"a": 2}}))
    assert "settings" in json.loads(store.response_for(0.0, 1, settings_digest({"limits": {"a": 1}}), 0))


def store_with(*published):
    """A store with versions 1, 2, ...: each pair has the time of publication and the activation time."""
    store = VersionStore()
    for number, (published_ms, activates_at_ms) in enumerate(published, 1):
        store.publish(published_ms, document(number, published_settings(number, 50), activates_at_ms))
    return store


def numbers_sent(store, now_ms, since=OWN_FILE, rejected_number=0):
    """Numbers of the versions that a subscriber with the version `since` gets one after another."""
    numbers = []
    while (body := store.response_for(now_ms, since.number, since.digest, rejected_number)) is not None:
        since = resolve_update(parse_update(json.loads(body)), since)
        numbers.append(since.number)
    return numbers


HOUR_MS = 3_600_000.0


# Guards against a restarted gateway that served by its own file, as it got the waiting version alone.
@pytest.mark.parametrize(
    ("published", "now_ms", "expected"),
    [
        pytest.param([(0, 1000), (3000, HOUR_MS)], 4000, [1, 2], id="one-waits"),
        pytest.param([(0, 1000), (3000, HOUR_MS)], HOUR_MS, [2], id="its-time-has-come"),
        pytest.param([(0, 1000), (3000, HOUR_MS), (4000, 2 * HOUR_MS)], 5000, [1, 3], id="two-wait"),
        pytest.param([(0, 1000), (3000, HOUR_MS), (4000, HOUR_MS)], 5000, [1, 3], id="equal-times"),
        pytest.param([(0, 1000), (3000, HOUR_MS), (4000, 9000)], 5000, [1, 3], id="withdrawn"),
        pytest.param([(0, 1000), (3000, HOUR_MS), (4000, 9000)], 9000, [3], id="withdrawal-in-force"),
        pytest.param([(0, 1000), (3000, 5000), (4000, HOUR_MS)], 6000, [1, 3], id="replaced-while-staged"),
        pytest.param([(0, 1000), (3000, 5000), (5000, HOUR_MS)], 6000, [2, 3], id="replaced-by-activation"),
        pytest.param([(0, HOUR_MS)], 1000, [1], id="none-in-force"),
        pytest.param([], 1000, [], id="none"),
    ],
)
def test_subscriber_without_a_version_gets_the_one_in_force_before_the_one_that_waits(
    published, now_ms, expected
):
    assert numbers_sent(store_with(*published), now_ms) == expected


def test_subscriber_that_missed_the_version_in_force_gets_it_as_a_delta_before_the_one_that_waits():
    store = store_with((0, 0), (1000, 2000), (3000, HOUR_MS))
    first = store.versions[1].version
    response = json.loads(store.response_for(4000, 1, first.digest, 0))
    assert "changes" in response and response["version"] == 2
    assert numbers_sent(store, 4000, first) == [2, 3]
    assert numbers_sent(store, 4000, first, rejected_number=2) == [3]


@given(
    st.lists(st.tuples(st.integers(0, 5), st.integers(-5, 20)), min_size=1, max_size=8),
    st.integers(0, 20),
)
def test_version_in_force_is_the_active_one_of_a_subscriber_that_received_each_version(steps, rest):
    """`steps`: ms between two publications, and ms from each to its activation time."""
    store, side = VersionStore(), Subscription()
    now_ms = 100
    for number, (pause_ms, delay_ms) in enumerate(steps, 1):
        now_ms += pause_ms
        value = document(number, published_settings(number, 1), now_ms + delay_ms)
        store.publish(now_ms, value)
        side.activate_due(now_ms)
        side.receive(now_ms, value)
    now_ms += rest
    side.activate_due(now_ms)
    assert (store.version_in_force(now_ms) or OWN_FILE).digest == side.subscriber.active.digest
    newest = side.subscriber.newest
    assert numbers_sent(store, now_ms)[-1] == newest.number
    assert numbers_sent(store, now_ms, newest) == []


def test_version_in_force_is_not_dropped_while_many_versions_wait():
    store = store_with((0, 0), *((number, HOUR_MS) for number in range(1, MAX_VERSIONS + 10)))
    newest = MAX_VERSIONS + 10
    assert len(store.versions) == MAX_VERSIONS
    assert numbers_sent(store, 5000) == [1, newest]
    assert numbers_sent(store, HOUR_MS) == [newest]


def test_number_of_subscribers_is_limited_and_the_one_with_the_oldest_call_is_dropped():
    store = VersionStore()
    for number in range(MAX_SUBSCRIBERS + 1):
        store.record_subscriber(status_of(f"n{number}", number, 0, ""))
        store.record_subscriber(status_of("n0", 0, 0, ""))
    assert (
        len(store.subscribers) == MAX_SUBSCRIBERS
        and "n0" in store.subscribers
        and "n1" not in store.subscribers
    )
