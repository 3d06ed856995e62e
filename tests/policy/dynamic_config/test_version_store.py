"""Version store of a service: stored versions, responses to subscribers, and subscribers."""

import json

import pytest
from support.dynamic_config import document, published_settings, status_of

from plumpick.policy.dynamic_config.delta import settings_digest
from plumpick.policy.dynamic_config.errors import PublishError
from plumpick.policy.dynamic_config.updates import SettingsVersion, parse_update, resolve_update
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
    assert store.response_for(0, "", 0) is None
    for number in range(1, MAX_VERSIONS + 3):
        store.publish(0.0, document(number, published_settings(number, 50)))
    assert len(store.versions) == MAX_VERSIONS
    newest = MAX_VERSIONS + 2
    base = SettingsVersion(3, settings_digest(published_settings(3, 50)), 0.0, published_settings(3, 50))
    response = json.loads(store.response_for(3, base.digest, 0))
    assert "changes" in response
    assert resolve_update(parse_update(response), base).settings == published_settings(newest, 50)
    for since, digest in ((2, settings_digest(published_settings(2, 50))), (3, "0" * 64), (0, ""), (3, "")):
        assert "settings" in json.loads(store.response_for(since, digest, 0))
    assert store.response_for(newest, "", 0) is None and store.response_for(newest + 4, "", 0) is None
    assert store.response_for(3, base.digest, newest) is None  # a rejected version is not sent again


def test_response_is_a_snapshot_if_the_delta_is_not_shorter():
    store = VersionStore()
    store.publish(0.0, document(1, {"limits": {"a": 1}}))
    store.publish(0.0, document(2, {"limits": {"a": 2}}))
    assert "settings" in json.loads(store.response_for(1, settings_digest({"limits": {"a": 1}}), 0))


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
