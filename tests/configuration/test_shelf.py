"""The service's decisions: what it stores, what it answers, what is reported of who has what."""

import json

import pytest
from settings_rig import document, published

from plumpick.policy.dynamic_config.delta import settings_digest
from plumpick.policy.dynamic_config.errors import PublishError
from plumpick.policy.dynamic_config.rollout_report import report_rollout
from plumpick.policy.dynamic_config.subscriber import ACTIVATION_DEADLINE_MS
from plumpick.policy.dynamic_config.updates import SettingsVersion, parse_update, resolve_update
from plumpick.policy.dynamic_config.version_store import (
    MAX_SUBSCRIBERS,
    MAX_VERSIONS,
    SubscriberStatus,
    VersionStore,
)


def status_of(name, number, version, digest, last_call_ms=0.0, rejected=0, reason="", staged=0):
    return SubscriberStatus(name, number, version, digest, staged, rejected, reason, last_call_ms)


def publish_problem(store, value):
    """What the store says against a version."""
    with pytest.raises(PublishError) as raised:
        store.publish(0.0, value)
    return str(raised.value)


def test_a_number_has_one_content_and_one_time_and_none_is_older_than_the_newest():
    store = VersionStore()
    assert store.publish(0.0, document(5, published(5))) is None
    assert store.publish(0.0, document(5, published(5))) is None
    assert "another content" in publish_problem(store, document(5, published(6)))
    assert "another content or time" in publish_problem(store, document(5, published(5), 9.0))
    assert "older" in publish_problem(store, document(4, published(4)))
    assert "digest" in publish_problem(store, {**document(6, published(6)), "digest": "0" * 64})
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


def test_a_watcher_with_a_base_that_is_kept_gets_changes_others_the_whole_and_no_news_is_none():
    store = VersionStore()
    assert store.response_for(0, "", 0) is None
    for number in range(1, MAX_VERSIONS + 3):
        store.publish(0.0, document(number, published(number, 50)))
    assert len(store.versions) == MAX_VERSIONS
    newest = MAX_VERSIONS + 2
    base = SettingsVersion(3, settings_digest(published(3, 50)), 0.0, published(3, 50))
    answer = json.loads(store.response_for(3, base.digest, 0))
    assert "changes" in answer and resolve_update(parse_update(answer), base).settings == published(
        newest, 50
    )
    for since, its in ((2, settings_digest(published(2, 50))), (3, "0" * 64), (0, ""), (3, "")):
        assert "settings" in json.loads(store.response_for(since, its, 0))
    assert store.response_for(newest, "", 0) is None and store.response_for(newest + 4, "", 0) is None
    assert store.response_for(3, base.digest, newest) is None  # it was refused: not offered again


def test_where_nearly_all_changed_the_whole_is_sent():
    store = VersionStore()
    store.publish(0.0, document(1, {"limits": {"a": 1}}))
    store.publish(0.0, document(2, {"limits": {"a": 2}}))
    assert "settings" in json.loads(store.response_for(1, settings_digest({"limits": {"a": 1}}), 0))


def test_watchers_are_bounded_and_the_longest_unheard_leaves():
    store = VersionStore()
    for number in range(MAX_SUBSCRIBERS + 1):
        store.record_subscriber(status_of(f"n{number}", number, 0, ""))
        store.record_subscriber(status_of("n0", 0, 0, ""))
    assert (
        len(store.subscribers) == MAX_SUBSCRIBERS
        and "n0" in store.subscribers
        and "n1" not in store.subscribers
    )


def test_status_names_who_lacks_it_who_refused_it_who_is_lost_and_who_was_never_heard():
    first, second = VersionStore(), VersionStore()
    value = {**published(7), "balancers": 7}
    its = settings_digest(value)
    first.publish(1000.0, document(7, value, 4000.0))
    now = 1000.0 + ACTIVATION_DEADLINE_MS + 500
    first.record_subscriber(status_of("n0", 0, 7, its, now))
    first.record_subscriber(status_of("n1", 1, 6, "6" * 64, now, staged=7))
    first.record_subscriber(
        status_of("n2", 2, 6, "6" * 64, now, rejected=7, reason="settings.limits: an object is due")
    )
    second.record_subscriber(status_of("n3", 3, 7, its, now - 7000))
    second.record_subscriber(status_of("n4", 4, 8, "8" * 64, now))
    second.record_subscriber(
        status_of("n1", 1, 5, "5" * 64, now - 3000)
    )  # what was told elsewhere later counts
    second.record_subscriber(status_of("n5", 5, 7, "7" * 64, now))
    report = report_rollout([first.status(now), second.status(now)])
    text = "\n".join(report.lines)
    assert not report.is_complete and "version 7" in report.lines[0]
    for word in (
        "service 2 lacks it",
        "n1 lacks it: has version 6, 7 staged",
        "n2 lacks it",
        "n2 refused version 7: settings.limits",
        "n3 has not been heard for 7.0 s",
        "n4 has version 8, which no service knows",
        "n5 has version 7 with another content",
        "1 never heard, by number: 6",
        "2 of 7 have it",
    ):
        assert word in text, word


def test_status_is_well_where_all_have_it_and_says_nothing_before_the_term():
    store = VersionStore()
    value = {**published(7), "balancers": 2}
    store.publish(1000.0, document(7, value, 4000.0))
    store.record_subscriber(status_of("n0", 0, 6, "6" * 64, 1500.0, staged=7))
    assert report_rollout([store.status(1500.0)]).is_complete
    store.record_subscriber(status_of("n0", 0, 7, settings_digest(value), 9000.0))
    store.record_subscriber(status_of("n1", 1, 7, settings_digest(value), 9000.0))
    report = report_rollout([store.status(9000.0)])
    assert report.is_complete and report.lines[-1] == "2 of 2 have it"
    assert not report_rollout([VersionStore().status(0.0)]).is_complete


def test_two_contents_under_one_number_at_two_services_are_named():
    one, other = VersionStore(), VersionStore()
    one.publish(0.0, document(3, published(1)))
    other.publish(0.0, document(3, published(2)))
    report = report_rollout([one.status(1.0), other.status(1.0)])
    assert not report.is_complete and any("two contents" in line for line in report.lines)
