"""Rollout report over several services: whether the newest version is active at all gateways, and which
gateways lack it.

The input is the status JSON of each service (`VersionStore.status`). Services that do not answer are not in
the input; the caller reports them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from plumpick.policy.dynamic_config.subscriber import ACTIVATION_DEADLINE_MS, WATCH_GRACE_MS, WATCH_TIMEOUT_MS
from plumpick.policy.dynamic_config.version_store import SubscriberStatus

# Time without a call after which a gateway is reported as unreachable; it normally calls every 2.5 s
UNREACHABLE_AFTER_MS = 6000.0
MAX_NUMBERS_SHOWN = 20  # maximum number of gateway numbers listed in one line

ServiceStatus = dict[str, Any]


@dataclass(frozen=True, slots=True)
class RolloutReport:
    """Report lines for operators. `is_complete`: no problem was found, and every expected gateway has the
    newest version or still has time to activate it."""

    lines: list[str]
    is_complete: bool


@dataclass(frozen=True, slots=True)
class _KnownVersion:
    """A version as reported by the services; `published_ms`: the earliest publication at any service."""

    number: int
    digest: str
    activates_at_ms: float
    published_ms: float

    def is_due(self, now_ms: float) -> bool:
        """Whether every gateway should have reported the version as active, which it does with its first call
        after the activation."""
        published_long_ago_ms = self.published_ms + ACTIVATION_DEADLINE_MS
        reported_ms = self.activates_at_ms + WATCH_TIMEOUT_MS + WATCH_GRACE_MS
        return now_ms >= max(published_long_ago_ms, reported_ms)


@dataclass(slots=True)
class _Findings:
    """Report lines in order, and whether one of them is a problem that makes the rollout incomplete."""

    lines: list[str] = field(default_factory=list)
    has_problem: bool = False

    def add_problem(self, line: str) -> None:
        self.lines.append(line)
        self.has_problem = True


def report_rollout(statuses: list[ServiceStatus]) -> RolloutReport:
    """The report on the newest version that any service knows; `statuses` must not be empty."""
    now_ms = max(status["now_ms"] for status in statuses)
    findings = _Findings()
    versions = _known_versions(statuses, findings)
    subscribers = _latest_subscribers(statuses)
    if not versions:
        return RolloutReport([*findings.lines, "no version was published here"], False)
    newest = versions[max(versions)]
    findings.lines.insert(0, _headline(newest, now_ms))
    _check_services(statuses, newest, findings)
    for subscriber in subscribers:
        _check_subscriber(subscriber, newest, now_ms, findings)
    expected_count = max(status["balancers"] for status in statuses)
    if newest.is_due(now_ms):
        _check_missing_numbers(subscribers, expected_count, findings)
    active_count = sum(_has_active(subscriber, newest) for subscriber in subscribers)
    findings.lines.append(f"{active_count} of {max(expected_count, len(subscribers))} have it")
    return RolloutReport(findings.lines, not findings.has_problem)


def _known_versions(statuses: list[ServiceStatus], findings: _Findings) -> dict[int, _KnownVersion]:
    """Versions of all services by number; adds a problem for two contents under one number."""
    versions: dict[int, _KnownVersion] = {}
    for status in statuses:
        for number, digest, activates_at_ms, published_ms in status["versions"]:
            known = versions.get(number)
            if known is not None and known.digest != digest:
                findings.add_problem(
                    f"version {number} has two contents, {known.digest[:12]} and {digest[:12]}: "
                    "publish a newer one"
                )
            first_ms = min(published_ms, known.published_ms) if known is not None else published_ms
            versions[number] = _KnownVersion(number, digest, activates_at_ms, first_ms)
    return versions


def _latest_subscribers(statuses: list[ServiceStatus]) -> list[SubscriberStatus]:
    """The most recent status of each gateway at any service, sorted by name."""
    latest: dict[str, SubscriberStatus] = {}
    for status in statuses:
        for row in status["watchers"]:
            subscriber = _subscriber_from(row)
            known = latest.get(subscriber.name)
            if known is None or subscriber.last_call_ms > known.last_call_ms:
                latest[subscriber.name] = subscriber
    return sorted(latest.values(), key=lambda subscriber: subscriber.name)


def _subscriber_from(row: list[Any]) -> SubscriberStatus:
    name, number, active_version, active_digest, staged, rejected, reason, last_call_ms = row
    return SubscriberStatus(
        name, number, active_version, active_digest, staged, rejected, reason, last_call_ms
    )


def _headline(newest: _KnownVersion, now_ms: float) -> str:
    since_or_in = "since" if newest.activates_at_ms <= now_ms else "in"
    return (
        f"version {newest.number} {newest.digest[:12]}, "
        f"published {(now_ms - newest.published_ms) / 1000:.1f} s ago, "
        f"in force {since_or_in} {abs(now_ms - newest.activates_at_ms) / 1000:.1f} s"
    )


def _check_services(statuses: list[ServiceStatus], newest: _KnownVersion, findings: _Findings) -> None:
    for index, status in enumerate(statuses):
        if newest.number not in {row[0] for row in status["versions"]}:
            findings.add_problem(f"service {index + 1} lacks it: publish the same again")


def _check_subscriber(
    subscriber: SubscriberStatus, newest: _KnownVersion, now_ms: float, findings: _Findings
) -> None:
    """Add findings on one gateway: a version other than the newest, a rejected version, no recent call."""
    name = subscriber.name
    problem = _active_version_problem(subscriber, newest, now_ms)
    if problem:
        findings.add_problem(f"{name} {problem}")
    if subscriber.rejected_version:
        findings.lines.append(
            f"{name} refused version {subscriber.rejected_version}: {subscriber.rejection_reason}"
        )
    silent_ms = now_ms - subscriber.last_call_ms
    if silent_ms > UNREACHABLE_AFTER_MS:
        findings.add_problem(f"{name} has not been heard for {silent_ms / 1000:.1f} s")


def _active_version_problem(subscriber: SubscriberStatus, newest: _KnownVersion, now_ms: float) -> str | None:
    """Problem of a gateway's active version; None if it is the newest version or that one is not due yet."""
    active = subscriber.active_version
    if _has_active(subscriber, newest):
        return None
    if active > newest.number:
        return f"has version {active}, which no service knows"
    if active == newest.number:
        return f"has version {active} with another content, {subscriber.active_digest[:12]}"
    if not newest.is_due(now_ms) and subscriber.rejected_version != newest.number:
        return None
    staged = f", {subscriber.staged_version} staged" if subscriber.staged_version else ""
    return f"lacks it: has version {active}{staged}"


def _has_active(subscriber: SubscriberStatus, version: _KnownVersion) -> bool:
    return (subscriber.active_version, subscriber.active_digest) == (version.number, version.digest)


def _check_missing_numbers(
    subscribers: list[SubscriberStatus], expected_count: int, findings: _Findings
) -> None:
    """Add a problem for the gateway numbers that have never called any service."""
    called = {subscriber.number for subscriber in subscribers}
    missing = [number for number in range(expected_count) if number not in called]
    if not missing:
        return
    shown = ", ".join(map(str, missing[:MAX_NUMBERS_SHOWN]))
    more = " ..." if len(missing) > MAX_NUMBERS_SHOWN else ""
    findings.add_problem(f"{len(missing)} never called a service, gatekeeper numbers: {shown}{more}")
