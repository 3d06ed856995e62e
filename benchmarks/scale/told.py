"""When a change of the list comes to the last of many gatekeepers: policy/endpoint_watch.py against a
stand-in of discovery, in modelled time, with calls that fail."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any

from plumpick.policy.endpoint_watch import (
    EndpointWatch,
    EndpointWatchError,
    EndpointWatchRequest,
    worst_notification_ms,
)

ANSWER_MS = (1.0, 20.0)
SILENT = 0.05  # of the calls: their answer never comes
CHANGES, EACH_MS, SETTLE_MS = 40, 700.0, 8000.0


def is_accepted(watch: EndpointWatch, index: int, is_snapshot: bool) -> bool:
    """Whether a gatekeeper uses that answer."""
    try:
        watch.on_response(index, is_snapshot)
    except EndpointWatchError:
        return False
    return True


def play(gatekeepers: int, shared: bool, seed: int) -> dict[str, Any]:
    """`shared`: one service for all, each call in its slot; otherwise an agent beside each gatekeeper. How
    late (ms) the last of all took in each change, with one call of 20 silent: the median and the most."""
    rng = random.Random(f"{seed}/told")
    sharers, listed = (gatekeepers, 1) if shared else (0, None)
    watchings = [
        EndpointWatch(sharers, listed, random.Random(f"{seed}/{number}"), number)
        for number in range(gatekeepers)
    ]
    changes = [SETTLE_MS + EACH_MS * place + rng.uniform(0, EACH_MS) for place in range(CHANGES)]
    end = changes[-1] + 3 * worst_notification_ms(shared)
    queue: list[tuple[float, int, int, Any]] = []
    order = itertools.count()
    known = [0] * gatekeepers  # changes that each has taken in
    late = [0.0] * CHANGES
    calls = 0

    def at(ms: float, number: int, what: Any) -> None:
        heapq.heappush(queue, (ms, next(order), number, what))

    def index(ms: float) -> int:
        return 1 + sum(change <= ms for change in changes)

    for number in range(gatekeepers):
        at(0.0, number, None)
    while queue and queue[0][0] <= end:
        now, _, number, what = heapq.heappop(queue)
        watching = watchings[number]
        if what is None:  # the next call is chosen, and goes out by and by
            call = watching.next_request(now)
            at(now + call.delay_ms, number, call)
            continue
        if isinstance(what, EndpointWatchRequest):
            calls += 1
            if rng.random() < SILENT:
                at(now + what.response_timeout_ms, number, 0)
                continue
            ms = now + rng.uniform(*ANSWER_MS)
            if (
                what.since_index is not None and index(ms) <= what.since_index
            ):  # a watch: it waits for a change
                ms = min([now + what.watch_timeout_ms] + [change for change in changes if change > ms])
                ms += rng.uniform(*ANSWER_MS)
            at(ms, number, (index(ms), what.since_index is None))
            continue
        if what == 0:
            watching.on_call_failed(timed_out=True)
        elif is_accepted(watching, *what):
            for place in range(known[number], what[0] - 1):
                late[place] = max(late[place], now - changes[place])
            known[number] = max(known[number], what[0] - 1)
        at(now, number, None)
    missed = sum(count < CHANGES for count in known)
    late.sort()
    return {
        "gatekeepers": gatekeepers,
        "discovery": "shared" if shared else "agents",
        "calls_per_s": round(calls / end * 1000, 1),
        "last_told_p50_ms": round(late[CHANGES // 2], 1),
        "last_told_most_ms": round(late[-1], 1),
        "stated_worst_ms": worst_notification_ms(shared),
        "missed": missed,
    }
