"""Measures how many seeds the simulation needs to find each planted bug.

    python -m benchmarks.simulation.plants [--most 60] [--jobs 8] [--only NAME]

Each planted bug replaces functions or constants of the gateway or of the policy with faulty ones. Seeds 1, 2,
3, … are played until one breaks a rule that the bug is known to break.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

from plumpick.gateway import request_table, stall_detector
from plumpick.gateway.clock import Timers
from plumpick.gateway.config import WorkerList
from plumpick.gateway.gateway import Gateway
from plumpick.gateway.listeners.http.connection import ClientConnection
from plumpick.gateway.listeners.http.connection_admission import ConnectionAdmission
from plumpick.gateway.upstream.attempt import Attempt
from plumpick.gateway.upstream.connection import WorkerConnection
from plumpick.gateway.upstream.connection_pool import ConnectionPool
from plumpick.policy import endpoint_watch, retry
from plumpick.policy.actions import RejectRequest
from plumpick.policy.events import AttemptResult, EndpointState
from plumpick.policy.load_balancing import LoadBalancer
from plumpick.policy.quota.owner import QuotaOwner
from plumpick.policy.quota.requester import QuotaRequester
from plumpick.policy.request_lifecycle import RequestLifecycle
from plumpick.policy.settings import Idempotency
from plumpick.simulation.faults import generate_case
from plumpick.simulation.world import play

# replacement by a planted bug: module or class, attribute name, new value
Replacements = list[tuple[Any, str, Any]]


def anywhere() -> Replacements:
    """Bug: retries go to any worker, whatever the request class allows."""
    return [(retry, "allowed_endpoints", lambda now_ms, request, settings, table: None)]


def other_hall() -> Replacements:
    """Bug: a keyed request is retried in another zone."""
    original = retry.allowed_endpoints

    def allowed(now_ms: float, request: Any, settings: Any, table: Any) -> Any:
        if request.request_class.idempotency is Idempotency.KEYED:
            return None
        return original(now_ms, request, settings, table)

    return [(retry, "allowed_endpoints", allowed)]


def refuses_all() -> Replacements:
    """Bug: a request that may have run is rejected with a retry time, as if a retry were harmless."""

    def refuse(self: RequestLifecycle, request: Any) -> None:
        self.turn.actions.append(RejectRequest(request.received.id, 250.0))
        self.close(request)

    return [(RequestLifecycle, "reject_or_fail", refuse)]


def reset_never_ran() -> Replacements:
    """Bug: a connection that is reset after the request was sent counts as a failed connect."""
    original = WorkerConnection._fail

    def fault(self: WorkerConnection, result: AttemptResult) -> None:
        original(self, AttemptResult.CONNECT_FAILED if result is AttemptResult.RESET else result)

    return [(WorkerConnection, "_fail", fault)]


def ignores_drains() -> Replacements:
    """Bug: a draining worker is treated as ready."""
    original = Gateway.on_worker_list

    def on_worker_list(self: Gateway, update: WorkerList) -> None:
        entries = tuple(
            replace(one, server=replace(one.server, state=EndpointState.READY))
            if one.server.state is EndpointState.DRAINING
            else one
            for one in update.entries
        )
        original(self, replace(update, entries=entries))

    return [(Gateway, "on_worker_list", on_worker_list)]


def prefers_cold() -> Replacements:
    """Bug: workers that are warming up are always preferred, as if they were idle."""
    original = LoadBalancer.choose

    def choose(self: LoadBalancer, now: float, request: Any, group: Any) -> Any:
        cold = [one for one in self.table.warming if group is None or one in group]
        return cold[0] if cold else original(self, now, request, group)

    return [(LoadBalancer, "choose", choose)]


def no_guard() -> Replacements:
    """Bug: deadlines are applied half a second late, by the gateway and by the policy."""
    return [
        (request_table, "FINAL_RESPONSE_MARGIN_MS", -500.0),
        (request_table, "DEADLINE_MARGIN_MS", -500.0),
        (stall_detector, "MAX_BACKLOG_MS", -500.0),
        (
            stall_detector,
            "BACKLOG_READ_MS",
            -500.0,
        ),  # BACKLOG_READ_MS and MAX_BACKLOG_MS were one constant in earlier versions
    ]


def late_answer_for_next() -> Replacements:
    """Bug: a cancelled attempt's connection is reused, and its late response answers the next request."""
    original = Attempt.end

    def end(self: Attempt, result: AttemptResult, *more: Any, **others: Any) -> None:
        connection: Any = self.connection
        self.connection = None
        if connection is not None and self.on_completed is not None and result is AttemptResult.CANCELLED:
            connection.attempt = None
            connection.pool.release(connection)
            connection = None
        self.connection = connection
        original(self, result, *more, **others)

    return [(Attempt, "end", end)]


def forgets_bookings() -> Replacements:
    """Bug: a quota owner does not book the units that it granted."""
    return [(QuotaOwner, "_settle", lambda self, now_ms, ledger, key, message, limit_units: None)]


def ignores_slices() -> Replacements:
    """Bug: a gateway without an answer from the quota owner ignores its slice of the hard limit."""

    def on_grant_timeout(self: QuotaRequester, now_ms: float, request: Any) -> bool:
        request.units_charged = request.received.units
        return True

    return [(QuotaRequester, "on_grant_timeout", on_grant_timeout)]


def answers_twice() -> Replacements:
    """Bug: a second response is written after every hundredth response."""
    original, count = ClientConnection.respond, [0]

    def respond(self: ClientConnection, *more: Any, **others: Any) -> None:
        original(self, *more, **others)
        count[0] += 1
        if count[0] % 100 == 0 and self.transport is not None:
            self.transport.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")

    return [(ClientConnection, "respond", respond)]


def ends_at_once() -> Replacements:
    """Bug: the gateway exits on SIGTERM without waiting for unfinished requests."""
    return [
        (Gateway, "has_unfinished_work", lambda self: False),
        (Gateway, "start_closing_connections", lambda self: None),
    ]


def stands_still_and_closes() -> Replacements:
    """Bug: after a stall, the sweep closes connections as idle although they have unread requests.

    Earlier versions had this bug.
    """
    original = ConnectionAdmission.sweep

    def sweep(self: ConnectionAdmission, now: float, is_shutting_down: bool) -> None:
        self._last_sweep_ms = -1.0
        original(self, now, is_shutting_down)

    def close_if_idle(self: ClientConnection) -> None:
        if self.is_idle():  # the correct function also checks for unread input
            self.close_gracefully()

    return [(ConnectionAdmission, "sweep", sweep), (ClientConnection, "close_if_idle", close_if_idle)]


def writes_after_the_end() -> Replacements:
    """Bug: a connection that is established late still sends its attempt, although the attempt has ended."""

    def on_connected(
        self: ConnectionPool, worker: Any, attempt: Attempt, connection: WorkerConnection, connect_task: Any
    ) -> None:
        worker.connecting.remove(attempt)
        attempt.connect_task = None
        if connect_task.cancelled() or connect_task.exception() is not None:
            connection.abort()
            attempt.end(AttemptResult.CONNECT_FAILED)
        else:
            if attempt.connect_timer is not None:
                attempt.connect_timer.cancel()
            connection.send(attempt)

    def start(self: ConnectionPool, attempt: Attempt) -> None:
        original(self, attempt)
        if attempt.connect_task is not None:  # the connect task is kept so that it is never cancelled
            connect_task, attempt.connect_task = attempt.connect_task, None
            self.__dict__.setdefault("kept", []).append(connect_task)

    original = ConnectionPool.start
    return [(ConnectionPool, "_on_connected", on_connected), (ConnectionPool, "start", start)]


def rearms_at_once() -> Replacements:
    """Bug: a due timer schedules itself again for the same instant."""
    original = Timers.call_at

    def call_at(self: Timers, when_ms: float, call: Callable[[], None]) -> Any:
        def rearm() -> None:
            call()
            self._loop.call_soon(rearm)

        return original(self, when_ms, rearm)

    return [(Timers, "call_at", call_at)]


def looks_no_more() -> Replacements:
    """Bug: a retry is sent without checking that the group of workers still remembers the first attempt."""

    def may_send(self: ConnectionPool, worker: Any, attempt: Attempt) -> bool:
        return attempt.on_completed is not None and self.is_in_service(worker)

    return [(ConnectionPool, "_may_send", may_send)]


def reset_is_an_end() -> Replacements:
    """Bug: a response without a length counts as complete even if its connection is reset."""
    original = WorkerConnection.connection_lost

    def connection_lost(self: WorkerConnection, problem: Exception | None) -> None:
        self.eof_received()
        original(self, problem)

    return [(WorkerConnection, "connection_lost", connection_lost)]


def trusts_its_watch() -> Replacements:
    """Bug: a discovery watch that sends no events any more is trusted for 60 s."""
    return [(endpoint_watch, "AGENT_WATCH_TIMEOUT_MS", 60_000.0)]


def sends_for_nobody() -> Replacements:
    """Bug: a request continues after its client has disconnected."""
    return [
        (request_table.RequestTable, "on_disconnect", lambda self, request: None),
        (ClientConnection, "has_disconnected", lambda self: False),
    ]


# Planted bugs by name: the function that returns the replacements, and the rules that may break first.
PLANTS: dict[str, tuple[Callable[[], Replacements], tuple[str, ...]]] = {
    "anywhere": (anywhere, ("effects-once",)),
    "other-hall": (other_hall, ("effects-once",)),
    "refuses-all": (refuses_all, ("effects-once",)),
    "reset-never-ran": (reset_never_ran, ("effects-once",)),
    "ignores-drains": (ignores_drains, ("drains-kept",)),
    "prefers-cold": (prefers_cold, ("cold-servers",)),
    "no-guard": (no_guard, ("no-request-lost",)),
    "late-answer-for-next": (late_answer_for_next, ("no-request-lost",)),
    "forgets-bookings": (forgets_bookings, ("ceilings",)),
    "ignores-slices": (ignores_slices, ("ceilings",)),
    "answers-twice": (answers_twice, ("no-request-lost",)),
    "ends-at-once": (ends_at_once, ("no-request-lost",)),
    "stands-still-and-closes": (stands_still_and_closes, ("no-request-lost",)),
    "writes-after-the-end": (writes_after_the_end, ("no-request-lost", "drains-kept", "effects-once")),
    "rearms-at-once": (rearms_at_once, ("did-not-end",)),
    "looks-no-more": (looks_no_more, ("effects-once",)),
    "reset-is-an-end": (reset_is_an_end, ("no-request-lost",)),
    "trusts-its-watch": (trusts_its_watch, ("drains-kept",)),
    "sends-for-nobody": (sends_for_nobody, ("no-request-lost",)),
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """Activates a planted bug until the end of the `with` block."""
    replacements = PLANTS[name][0]()
    before = [(owner, key, getattr(owner, key)) for owner, key, _ in replacements]
    for owner, key, value in replacements:
        setattr(owner, key, value)
    try:
        yield
    finally:
        for owner, key, value in before:
            setattr(owner, key, value)


def seeds_to_find(name: str, most: int) -> tuple[str, int, str]:
    """Returns the bug's name, the first seed of 1 to `most` that finds it (0 if none) and the broken rule."""
    with planted(name):
        for seed in range(1, most + 1):
            result = play(generate_case(seed))
            if result.rule in PLANTS[name][1]:
                return name, seed, f"{result.rule}: {result.text}"
    return name, 0, ""


def main() -> None:
    """Prints a table with the seed that found each planted bug."""
    flags = argparse.ArgumentParser(description=__doc__)
    flags.add_argument("--most", type=int, default=60)
    flags.add_argument("--jobs", type=int, default=8)
    flags.add_argument("--only", default="")
    given = flags.parse_args()
    names = [name for name in PLANTS if given.only in name]
    print("| planted bug | found by seed | broken rule |\n| --- | --- | --- |")
    with ProcessPoolExecutor(given.jobs) as pool:
        for name, seed, text in pool.map(seeds_to_find, names, [given.most] * len(names)):
            print(f"| {name} | {seed or 'none'} | {text} |", flush=True)


if __name__ == "__main__":
    main()
