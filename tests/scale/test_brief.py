"""A run with `--brief` violates no bound, and each bound is violated when its fault is injected."""

import itertools
from dataclasses import replace

import pytest

from benchmarks.scale import brief, load
from benchmarks.scale.commands import main
from plumpick.policy.actions import RejectRequest, SendPeerMessage, StartAttempt
from plumpick.policy.controller import Controller
from plumpick.policy.events import EndpointsUpdated, RequestReceived
from plumpick.rehearsal.scenario import RosterPart


class FaultyController:
    """Base of controllers with an injected fault; whatever is not overridden is left to a Controller."""

    def __init__(self, settings, seed):
        self.settings, self.inner = settings, Controller(settings, seed)

    def __getattr__(self, name):
        return getattr(self.inner, name)

    def handle(self, now, events):
        return self.inner.handle(now, events)


class SendsNoPeerMessages(FaultyController):
    def handle(self, now, events):
        return [
            action for action in self.inner.handle(now, events) if not isinstance(action, SendPeerMessage)
        ]


class SendsPeerMessagesTwice(FaultyController):
    def handle(self, now, events):
        actions = self.inner.handle(now, events)
        return actions + [action for action in actions if isinstance(action, SendPeerMessage)]


class SendsLongPeerMessages(FaultyController):
    def handle(self, now, events):
        return [
            replace(action, data=action.data + bytes(257)) if isinstance(action, SendPeerMessage) else action
            for action in self.inner.handle(now, events)
        ]


class SendsAllToNewestEndpoint(FaultyController):
    """Sends all attempts to the endpoint that started last."""

    def handle(self, now, events):
        actions = self.inner.handle(now, events)
        cold = max(
            (backend.endpoint for backend in self.inner.state.endpoints.tracked.values()),
            key=lambda entry: entry.started_ms,
            default=None,
        )
        return [
            replace(action, endpoint=cold.id)
            if isinstance(action, StartAttempt) and cold.started_ms
            else action
            for action in actions
        ]


class StartsAttemptsTwice(FaultyController):
    def handle(self, now, events):
        return [
            action
            for one in self.inner.handle(now, events)
            for action in ((one, one) if isinstance(one, StartAttempt) else (one,))
        ]


class RejectsEveryThirdRequest(FaultyController):
    def handle(self, now, events):
        rejected = [event for event in events if isinstance(event, RequestReceived) and event.id % 3 == 0]
        return [RejectRequest(event.id) for event in rejected] + self.inner.handle(
            now, [event for event in events if event not in rejected]
        )


class RejectsAllRequests(FaultyController):
    def handle(self, now, events):
        rejected = [event for event in events if isinstance(event, RequestReceived)]
        return [RejectRequest(event.id) for event in rejected] + self.inner.handle(
            now, [event for event in events if event not in rejected]
        )


class HasNoQuota(FaultyController):
    def __init__(self, settings, seed):
        plans = tuple(replace(plan, rate_per_s=0.0, hard_limit_per_s=0.0) for plan in settings.plans)
        super().__init__(replace(settings, plans=plans), seed)


class IgnoresEndpointChanges(FaultyController):
    def handle(self, now, events):
        return self.inner.handle(
            now, [event for event in events if not isinstance(event, EndpointsUpdated) or event.is_snapshot]
        )


CONTROLLERS_CREATED = itertools.count()


class HasDifferentSeedEachTime(FaultyController):
    def __init__(self, settings, seed):
        super().__init__(settings, seed + next(CONTROLLERS_CREATED))


class ReadsEndpointsAndClassesRepeatedly(FaultyController):
    """Reads every endpoint and every request class 20 more times in each call."""

    def handle(self, now, events):
        actions = self.inner.handle(now, events)
        for _ in range(20):
            for backend in self.inner.state.endpoints.tracked.values():
                backend.ring_position + backend.ring_position
            for kind in self.inner.settings.classes:
                kind.latency_objective_ms + kind.latency_objective_ms
        return actions


def violated_bounds(rows):
    return {row.about for row in rows if not row.held}


@pytest.mark.parametrize("seed", [1, 23])
def test_brief_run_violates_no_bound(capsys, seed):
    code = main(["--brief", "--seed", str(seed)])
    out = capsys.readouterr().out
    assert code == 0, out
    assert f"seed {seed}\n" in out and ", 0 broken, " in out


TIER_FAULTS = [
    (SendsNoPeerMessages, "words_per_try"),
    (SendsPeerMessagesTwice, "words_per_try"),
    (SendsNoPeerMessages, "word_bytes"),
    (SendsLongPeerMessages, "word_bytes_most"),
    (SendsLongPeerMessages, "word_bytes"),
    (SendsPeerMessagesTwice, "crowded_part"),
    (SendsAllToNewestEndpoint, "cold_sum"),
    (RejectsAllRequests, "cold_sends"),
    (StartsAttemptsTwice, "attempts_per_served"),
    (RejectsEveryThirdRequest, "served_inside_part"),
    (HasNoQuota, "beyond_part"),
    (IgnoresEndpointChanges, "lacking"),
]


@pytest.mark.parametrize("plant, bound", TIER_FAULTS)
def test_fault_injected_in_the_controller_violates_its_bound(plant, bound):
    rows, _ = brief.of_size(brief.SMALL, 1, plant)
    assert f"3 x 10: {bound}" in violated_bounds(rows), [row for row in rows if bound in row.about]


def test_late_endpoint_lists_violate_the_notification_bounds(monkeypatch):
    monkeypatch.setattr(load, "RosterPart", lambda: RosterPart(add_s=[7.0, 8.0]))
    rows, _ = brief.of_size(brief.SMALL, 1)
    assert {"3 x 10: told_ms", "3 x 10: lacking"} <= violated_bounds(rows)


def test_every_bound_on_a_tier_has_an_injected_fault():
    assert {name for bands in brief.BANDS.values() for name in bands} == {
        "told_ms",
        *(bound for _, bound in TIER_FAULTS),
    }


def test_run_that_does_not_repeat_for_its_seed_is_found():
    assert not violated_bounds(brief.same(1))
    assert violated_bounds(brief.same(1, HasDifferentSeedEachTime))


def test_more_work_or_no_work_violates_every_work_bound():
    rows = brief.of_work(1)
    assert not violated_bounds(rows)
    more, none = (
        violated_bounds(brief.of_work(1, ReadsEndpointsAndClassesRepeatedly)),
        violated_bounds(brief.of_work(1, RejectsAllRequests)),
    )
    assert {row.about for row in rows} == more | none, {row.about for row in rows} - more - none
