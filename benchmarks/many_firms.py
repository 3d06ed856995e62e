"""Measures the cost of many customers that send one request each: memory, messages and time of one gateway.

    python -m benchmarks.many_firms [--firms 10000] [--gateways 4] [--seconds 5]

Within `--seconds` of simulated time, `--firms` customers each send one request to the same gateway, which is
the quota owner of some of them; the other gateways send no messages. Prints the number of quota accounts and
ledgers, their size in bytes according to tracemalloc, the median and longest duration of a call of the policy
controller, the messages per second to the busiest peer, and the number of accounts and ledgers after a long
time without requests.
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
    """Play one run; return the figures by name.

    Bytes are counted only if `traced` is set, because tracing slows the run down several times.
    """
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
    scheduled: list[tuple[float, object]] = []
    handle_times_s, messages_sent = [], Counter[int]()
    entries = traced_bytes = 0.0
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
            scheduled.append((now + kind.deadline_ms, ClientDisconnected(serial)))
            serial += 1
        events += [event for at, event in scheduled if at <= now]
        scheduled = [(at, event) for at, event in scheduled if at > now]
        begin = time.perf_counter()
        actions = control.handle(now, events)  # type: ignore[arg-type]
        handle_times_s.append(time.perf_counter() - begin)
        events = []
        for action in actions:
            if isinstance(action, StartAttempt):
                done = AttemptCompleted(action.id, 0, action.endpoint, ANSWER_MS, AttemptResult.OK, True)
                scheduled.append((now + ANSWER_MS, done))
            elif isinstance(action, SetTimer):
                scheduled.append((now + action.delay_ms, TimerFired(action.name)))
            elif isinstance(action, SendPeerMessage):
                messages_sent[action.receiver] += 1
            elif isinstance(action, CancelAttempt):
                scheduled.append(
                    (now, AttemptCompleted(action.id, action.attempt, "", 0.0, AttemptResult.CANCELLED, True))
                )
        if now >= end > now - TICK_MS:
            entries = float(
                len(control.state.quota.requester.accounts) + len(control.state.quota.owner.ledgers)
            )
            traced_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        "entries": entries,
        "bytes": traced_bytes,
        "median turn, ms": 1000 * median(handle_times_s),
        "longest turn, ms": 1000 * max(handle_times_s),
        "messages a second to one peer": max(messages_sent.values()) / seconds,
        "entries after a long quiet": float(
            len(control.state.quota.requester.accounts) + len(control.state.quota.owner.ledgers)
        ),
    }


def main() -> None:
    """Print the cost of the customers; bytes come from a second run, traced by tracemalloc."""
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
