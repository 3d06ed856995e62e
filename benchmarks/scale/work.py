"""What one call of the module costs, counted in bytecodes of Python: the same on every machine."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from types import FrameType
from typing import Any

from benchmarks.scale.load import of_point
from benchmarks.scale.points import Point
from benchmarks.scale.tier import BEGIN_MS, Make
from plumpick.policy.actions import Action, SendPeerMessage, StartAttempt
from plumpick.policy.concurrency_limit import PERIOD_MS
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    EndpointsUpdated,
    Event,
    PeerMessageReceived,
    RequestReceived,
)

AT_ONCE = 20  # requests and words, of which the mean is taken


class WorkError(Exception):
    """Nothing could be counted: the module is compiled."""


def steps(call: Callable[[], Any]) -> tuple[int, Any]:
    """Bytecodes that the call executes, and what it returns. Raises WorkError."""
    count = 0

    def trace(frame: FrameType, event: str, _argument: Any) -> Any:
        nonlocal count
        if event == "call":
            frame.f_trace_opcodes, frame.f_trace_lines = True, False
        elif event == "opcode":
            count += 1
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        result = call()
    finally:
        sys.settrace(before)
    if not count:
        raise WorkError("no bytecodes were seen: the decisions are compiled")
    return count, result


def measure(point: Point, seed: int, make: Make = Controller) -> dict[str, float]:
    """Bytecodes of one gatekeeper of that size: a period in which nothing happens, one in which a worker
    warms up, one changed entry of the list, the whole list, a request and a word that is taken in."""
    load = of_point(point, seed)
    control, peer = make(load.settings_of(0), seed), make(load.settings_of(1), seed + 1)
    now, servers = BEGIN_MS, tuple(load.servers)

    def handle(events: list[Event], which: Any = None) -> tuple[int, list[Action]]:
        return steps(lambda: (which or control).handle(now, events))

    found: dict[str, float] = {}
    found["whole list"], _ = handle([EndpointsUpdated(servers)])
    peer.handle(now, [EndpointsUpdated(servers)])
    now += PERIOD_MS
    control.handle(now, [])
    now += 3 * PERIOD_MS  # what is looked at every few periods has been looked at
    control.handle(now, [])
    now += PERIOD_MS
    found["period"], _ = handle([])
    one = next(firm for firm in load.firms if firm.first == 0)
    kind = load.kinds[0][0]
    words: list[bytes] = []
    total = sent = 0
    for number in range(AT_ONCE):  # from here no period comes
        now += 1.0
        arrival = RequestReceived(
            number, one.name, kind.name, one.plan, now + kind.deadline_ms, 1.0, one.first, one.spread
        )
        work, actions = handle([arrival])
        total += work
        for send in [action for action in actions if isinstance(action, StartAttempt)]:
            done = AttemptCompleted(
                send.id, 0, send.endpoint, 40.0, AttemptResult.OK, True, load_report=(0.5, 40.0)
            )
            total, sent = total + handle([done])[0], sent + 1
        told = peer.handle(now, [replace(arrival, id=number + AT_ONCE)])
        words += [action.data for action in told if isinstance(action, SendPeerMessage)]
    found["request"], found["sent"] = total / AT_ONCE, sent
    heard = [handle([PeerMessageReceived(1, data)])[0] for data in words]
    found["word"], found["words"] = sum(heard) / max(1, len(heard)), len(heard)
    found["change"], _ = handle(
        [EndpointsUpdated((replace(servers[-1], started_ms=now),), is_snapshot=False)]
    )
    now += PERIOD_MS
    control.handle(now, [])
    now += PERIOD_MS
    found["period while one warms up"], _ = handle([])
    return found
