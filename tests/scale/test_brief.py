"""The bounds of `--brief` hold, and each of them breaks where what it guards against is planted."""

import itertools
from dataclasses import replace

import pytest

from benchmarks.scale import brief, load
from benchmarks.scale.commands import main
from plumpick.policy.actions import RejectRequest, SendPeerMessage, StartAttempt
from plumpick.policy.controller import Controller
from plumpick.policy.events import EndpointsUpdated, RequestReceived
from plumpick.rehearsal.scenario import RosterPart


class Planted:
    """A module with something wrong; what it does not change it does as the module."""

    def __init__(self, settings, seed):
        self.settings, self.inner = settings, Controller(settings, seed)

    def __getattr__(self, name):
        return getattr(self.inner, name)

    def handle(self, now, events):
        return self.inner.handle(now, events)


class TellsNothing(Planted):
    def handle(self, now, events):
        return [
            action for action in self.inner.handle(now, events) if not isinstance(action, SendPeerMessage)
        ]


class TellsTwice(Planted):
    def handle(self, now, events):
        actions = self.inner.handle(now, events)
        return actions + [action for action in actions if isinstance(action, SendPeerMessage)]


class TellsLong(Planted):
    def handle(self, now, events):
        return [
            replace(action, data=action.data + bytes(257)) if isinstance(action, SendPeerMessage) else action
            for action in self.inner.handle(now, events)
        ]


class CrowdsTheCold(Planted):
    """All goes to the worker that began last."""

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


class SendsTwice(Planted):
    def handle(self, now, events):
        return [
            action
            for one in self.inner.handle(now, events)
            for action in ((one, one) if isinstance(one, StartAttempt) else (one,))
        ]


class RefusesSome(Planted):
    def handle(self, now, events):
        refused = [event for event in events if isinstance(event, RequestReceived) and event.id % 3 == 0]
        return [RejectRequest(event.id) for event in refused] + self.inner.handle(
            now, [event for event in events if event not in refused]
        )


class RefusesAll(Planted):
    def handle(self, now, events):
        refused = [event for event in events if isinstance(event, RequestReceived)]
        return [RejectRequest(event.id) for event in refused] + self.inner.handle(
            now, [event for event in events if event not in refused]
        )


class KnowsNoQuota(Planted):
    def __init__(self, settings, seed):
        plans = tuple(replace(plan, rate_per_s=0.0, hard_limit_per_s=0.0) for plan in settings.plans)
        super().__init__(replace(settings, plans=plans), seed)


class HearsNoChange(Planted):
    def handle(self, now, events):
        return self.inner.handle(
            now, [event for event in events if not isinstance(event, EndpointsUpdated) or event.is_snapshot]
        )


LIVES = itertools.count()


class PlaysDice(Planted):
    def __init__(self, settings, seed):
        super().__init__(settings, seed + next(LIVES))


class LooksAround(Planted):
    """Each call looks at every worker, and at every class, several times more."""

    def handle(self, now, events):
        actions = self.inner.handle(now, events)
        for _ in range(20):
            for backend in self.inner.state.endpoints.tracked.values():
                backend.ring_position + backend.ring_position
            for kind in self.inner.settings.classes:
                kind.latency_objective_ms + kind.latency_objective_ms
        return actions


def broken(rows):
    return {row.about for row in rows if not row.held}


@pytest.mark.parametrize("seed", [1, 23])
def test_brief_holds(capsys, seed):
    code = main(["--brief", "--seed", str(seed)])
    out = capsys.readouterr().out
    assert code == 0, out
    assert f"seed {seed}\n" in out and ", 0 broken, " in out


TIER_PLANTS = [
    (TellsNothing, "words_per_try"),
    (TellsTwice, "words_per_try"),
    (TellsNothing, "word_bytes"),
    (TellsLong, "word_bytes_most"),
    (TellsLong, "word_bytes"),
    (TellsTwice, "crowded_part"),
    (CrowdsTheCold, "cold_sum"),
    (RefusesAll, "cold_sends"),
    (SendsTwice, "attempts_per_served"),
    (RefusesSome, "served_inside_part"),
    (KnowsNoQuota, "beyond_part"),
    (HearsNoChange, "lacking"),
]


@pytest.mark.parametrize("plant, bound", TIER_PLANTS)
def test_a_bound_on_a_tier_breaks_where_its_fault_is_planted(plant, bound):
    rows, _ = brief.of_size(brief.SMALL, 1, plant)
    assert f"3 x 10: {bound}" in broken(rows), [row for row in rows if bound in row.about]


def test_the_bound_on_who_is_told_breaks_where_lists_come_late(monkeypatch):
    monkeypatch.setattr(load, "RosterPart", lambda: RosterPart(add_s=[7.0, 8.0]))
    rows, _ = brief.of_size(brief.SMALL, 1)
    assert {"3 x 10: told_ms", "3 x 10: lacking"} <= broken(rows)


def test_every_bound_on_a_tier_has_a_plant():
    assert {name for bands in brief.BANDS.values() for name in bands} == {
        "told_ms",
        *(bound for _, bound in TIER_PLANTS),
    }


def test_a_run_that_is_not_of_its_seed_alone_is_found():
    assert not broken(brief.same(1))
    assert broken(brief.same(1, PlaysDice))


def test_bounds_on_work_break_where_it_grows_or_is_not_there():
    rows = brief.of_work(1)
    assert not broken(rows)
    more, none = broken(brief.of_work(1, LooksAround)), broken(brief.of_work(1, RefusesAll))
    assert {row.about for row in rows} == more | none, {row.about for row in rows} - more - none
