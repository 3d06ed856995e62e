"""Rollout report: which gateways have which version, from the status of several services."""

from support.dynamic_config import document, published_settings, status_of

from plumpick.policy.dynamic_config.delta import settings_digest
from plumpick.policy.dynamic_config.rollout_report import report_rollout
from plumpick.policy.dynamic_config.subscriber import ACTIVATION_DEADLINE_MS
from plumpick.policy.dynamic_config.version_store import VersionStore


def test_report_names_gateways_that_lack_or_reject_the_version_or_do_not_call():
    first, second = VersionStore(), VersionStore()
    value = {**published_settings(7), "balancers": 7}
    digest = settings_digest(value)
    first.publish(1000.0, document(7, value, 4000.0))
    now = 1000.0 + ACTIVATION_DEADLINE_MS + 500
    first.record_subscriber(status_of("n0", 0, 7, digest, now))
    first.record_subscriber(status_of("n1", 1, 6, "6" * 64, now, staged=7))
    first.record_subscriber(
        status_of("n2", 2, 6, "6" * 64, now, rejected=7, reason="settings.limits: an object is due")
    )
    second.record_subscriber(status_of("n3", 3, 7, digest, now - 7000))
    second.record_subscriber(status_of("n4", 4, 8, "8" * 64, now))
    # Older than the status of n1 at the first service, which counts
    second.record_subscriber(status_of("n1", 1, 5, "5" * 64, now - 3000))
    second.record_subscriber(status_of("n5", 5, 7, "7" * 64, now))
    report = report_rollout([first.status(now), second.status(now)])
    text = "\n".join(report.lines)
    assert not report.is_complete and "version 7" in report.lines[0]
    for line in (
        "service 2 lacks it",
        "n1 lacks it: has version 6, 7 staged",
        "n2 lacks it",
        "n2 refused version 7: settings.limits",
        "n3 has not been heard for 7.0 s",
        "n4 has version 8, which no service knows",
        "n5 has version 7 with another content",
        "1 never called a service, gatekeeper numbers: 6",
        "2 of 7 have it",
    ):
        assert line in text, line


def test_rollout_is_complete_if_all_gateways_have_the_version_or_it_is_not_due():
    store = VersionStore()
    value = {**published_settings(7), "balancers": 2}
    store.publish(1000.0, document(7, value, 4000.0))
    store.record_subscriber(status_of("n0", 0, 6, "6" * 64, 1500.0, staged=7))
    assert report_rollout([store.status(1500.0)]).is_complete
    store.record_subscriber(status_of("n0", 0, 7, settings_digest(value), 9000.0))
    store.record_subscriber(status_of("n1", 1, 7, settings_digest(value), 9000.0))
    report = report_rollout([store.status(9000.0)])
    assert report.is_complete and report.lines[-1] == "2 of 2 have it"
    assert not report_rollout([VersionStore().status(0.0)]).is_complete


def test_different_contents_of_a_version_at_two_services_are_reported():
    one, other = VersionStore(), VersionStore()
    one.publish(0.0, document(3, published_settings(1)))
    other.publish(0.0, document(3, published_settings(2)))
    report = report_rollout([one.status(1.0), other.status(1.0)])
    assert not report.is_complete and any("two contents" in line for line in report.lines)
