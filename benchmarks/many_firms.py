"""What many firms that each come once cost one gatekeeper's module: memory, messages, time.

    python -m benchmarks.many_firms [--firms 10000] [--gateways 4] [--seconds 5]

Every firm asks once within so many seconds of modelled time, at one gatekeeper, which is the home of its part
of them; the others tell nothing. Prints the entries kept, their bytes as the allocator counts them, the
median and the longest turn of the module, messages a second to the busiest peer, and what is kept once all
have been quiet for long.
"""

from __future__ import annotations

import argparse
import time
import tracemalloc
from collections import Counter
from statistics import median

from benchmarks.gray.world import CLASSES, COLD_FROM, TICK_MS, WARM_UP_MS
from plumpick.policy.actions import CancelAttempt, SendPeerMessage, SetTimer, StartAttempt
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    RequestReceived,
    TimerFired,
)
from plumpick.policy.quota.owner import IDLE_MS
from plumpick.policy.settings import Plan, Settings

PLANS = (Plan("basico", 0.8, 3.5), Plan("amplio", 8.0, 16.0, hard_limit_per_s=16.0, hard_limit_burst=32.0))
ANSWER_MS = 60.0


def play(firms: int, gateways: int, seconds: float, traced: bool) -> dict[str, float]:
    """One run; the figures by name. `traced`: bytes are counted, which takes several times as long."""
    settings = Settings(
        gateway_count=gateways,
        gateway_number=0,
        zone="a",
        classes=CLASSES,
        plans=PLANS,
        slow_start_ms=WARM_UP_MS,
        slow_start_initial_ratio=COLD_FROM,
        overload_multiple=2.5,
        overload_window_ms=1000,
        max_attempts=5,
        tick_ms=TICK_MS,
        can_message_peers=True,
        peer_inbox_per_s=60,
    )
    control, now, serial = Controller(settings, 1), 1000.0, 0
    if traced:
        tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    events: list[object] = [
        EndpointsUpdated(tuple(Endpoint(f"s{n}", "a", 0, EndpointState.READY) for n in range(200)))
    ]
    later: list[tuple[float, object]] = []
    turns, told = [], Counter[int]()
    kept = most = 0.0
    end = now + seconds * 1000
    while now < end + 2.5 * IDLE_MS:
        now += TICK_MS
        while serial < firms and now < end and serial < firms * (1 - (end - now) / (seconds * 1000)):
            kind, plan = CLASSES[serial % 3], PLANS[serial % 10 == 0]
            events.append(
                RequestReceived(
                    serial, f"firm-{serial}", kind.name, plan.name, now + kind.deadline_ms, 1.0, 0, gateways
                )
            )
            later.append((now + kind.deadline_ms, ClientDisconnected(serial)))
            serial += 1
        events += [event for at, event in later if at <= now]
        later = [(at, event) for at, event in later if at > now]
        begin = time.perf_counter()
        actions = control.handle(now, events)  # type: ignore[arg-type]
        turns.append(time.perf_counter() - begin)
        events = []
        for action in actions:
            if isinstance(action, StartAttempt):
                done = AttemptCompleted(action.id, 0, action.endpoint, ANSWER_MS, AttemptResult.OK, True)
                later.append((now + ANSWER_MS, done))
            elif isinstance(action, SetTimer):
                later.append((now + action.delay_ms, TimerFired(action.name)))
            elif isinstance(action, SendPeerMessage):
                told[action.receiver] += 1
            elif isinstance(action, CancelAttempt):
                later.append(
                    (now, AttemptCompleted(action.id, action.attempt, "", 0.0, AttemptResult.CANCELLED, True))
                )
        if now >= end > now - TICK_MS:
            kept = float(len(control.state.quota.requester.accounts) + len(control.state.quota.owner.ledgers))
            most = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        "entries": kept,
        "bytes": most,
        "median turn, ms": 1000 * median(turns),
        "longest turn, ms": 1000 * max(turns),
        "messages a second to one peer": max(told.values()) / seconds,
        "entries after a long quiet": float(
            len(control.state.quota.requester.accounts) + len(control.state.quota.owner.ledgers)
        ),
    }


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--firms", type=int, default=10_000)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=5.0)
    arguments = parser.parse_args()
    figures = play(arguments.firms, arguments.gateways, arguments.seconds, False)
    figures["bytes"] = play(arguments.firms, arguments.gateways, arguments.seconds, True)["bytes"]
    for name, value in figures.items():
        print(f"{name:32} {value:,.2f}")


if __name__ == "__main__":
    main()
