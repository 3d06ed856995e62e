"""Hostile numbers at each key of the settings: refused in one line, or served with bounded work in a turn."""

import math

import pytest
from support.controllers import FLEET, TurnDidNotEndError, actions_of
from support.fakes import settings

from plumpick.policy.actions import StartAttempt
from plumpick.policy.controller import Controller
from plumpick.policy.events import AttemptCompleted, AttemptResult, RequestReceived, TimerFired
from plumpick.policy.settings_parser import parse_settings

HOSTILE_NUMBERS = (-1, -0.5, -5e-324, 0, 5e-324, 1e-9, 0.5, 1e9, 1e18, 1.7e308, 10**400, math.nan, math.inf)
TURN_MS = 1.0
TURNS = 600
MAX_FIRED_IN_A_TURN = 1000  # far above the number of timers that the load sets
OWN_KEYS = {"balancers", "myNumber"}  # fixed for each process, so that no version changes them


def full_settings():
    """Settings with a number at each key that the parser reads. Its plan makes requests wait for units."""
    value = settings(maxRetryAfterMs=1000.0, retryAfter=True, secondCopies=True)
    value["balancers"] = 1
    value["domain"] = {"maxUnits": 1.0, "inboxPerS": 60.0}
    value["penalties"] = {"crossZone": 0.01, "peer": 0.02}
    value["rules"]["askWithinMs"] = 10_000.0
    value["packages"][0].update(
        perSecond=20.0,
        storeSize=4.0,
        concurrency=8,
        valueFactor=1.0,
        overWorth=0.0,
        overrunCost=0.1,
        hardRate=40.0,
        hardBurst=40.0,
        capSlack=4.0,
    )
    for row in value["classes"]:
        row.update(lateWorth=0.1, aimStretch=0.1, dedupWindowMs=9000.0)
    return value


def number_paths(value, path=()):
    """The path of each number in a JSON value; of a list's items only those of the first."""
    if isinstance(value, dict):
        for key, item in value.items():
            if key not in OWN_KEYS:
                yield from number_paths(item, (*path, key))
    elif isinstance(value, list) and value:
        yield from number_paths(value[0], (*path, 0))
    elif isinstance(value, int | float) and not isinstance(value, bool):
        yield path


def with_number(path, number):
    value = full_settings()
    place = value
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = number
    return value


class CountingController(Controller):
    """A controller that limits the number of timers fired in one turn."""

    fired_in_turn = 0

    def handle(self, now_ms, events):
        self.fired_in_turn = 0
        return super().handle(now_ms, events)

    def on_timer(self, kind, key):
        self.fired_in_turn += 1
        if self.fired_in_turn > MAX_FIRED_IN_A_TURN:
            raise TurnDidNotEndError(kind.name)
        super().on_timer(kind, key)


def serve(config):
    """Serve requests beyond the quota in turns of 1 ms; each attempt succeeds in the next turn."""
    control = CountingController(config, 1)
    now = 1_000_000.0
    events = [FLEET]
    for turn in range(TURNS):
        now += TURN_MS
        if turn % 6 == 0:
            kind, plan = config.classes[0], config.plans[0]
            due = now + min(1e6, kind.deadline_ms)
            events.append(RequestReceived(turn, "c", kind.name, plan.name, due, 1, 0, 1))
        actions = control.handle(now, [*events, TimerFired("agenda")])
        events = [
            AttemptCompleted(one.id, 0, one.endpoint, TURN_MS, AttemptResult.OK, True)
            for one in actions_of(StartAttempt, actions)
        ]


@pytest.mark.parametrize("path", number_paths(full_settings()), ids=lambda path: ".".join(map(str, path)))
def test_hostile_number_is_refused_in_one_line_or_served(path):
    """Guards against settings that passed all checks and kept a turn alive for ever (review/2)."""
    for number in HOSTILE_NUMBERS:
        try:
            config = parse_settings(with_number(path, number), "settings")
        except ValueError as problem:
            assert str(problem) and "\n" not in str(problem)
        else:
            serve(config)


@pytest.mark.parametrize("number", [-1, -0.5, -5e-324])
def test_negative_tick_is_refused_by_its_key(number):
    """Guards against a published `tickMs` below 0 that came into force and hung all gateways (review/2)."""
    with pytest.raises(ValueError, match="tickMs"):
        parse_settings(with_number(("tickMs",), number), "settings")


def test_base_of_the_hostile_settings_is_valid_and_served():
    serve(parse_settings(full_settings(), "settings"))
