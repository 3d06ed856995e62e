"""How many seeds it takes to find each of the planted bugs.

    python -m benchmarks.simulation.plants [--most 60] [--jobs 8] [--only NAME]

Each plant swaps one function of the daemon or of the module for a wrong one; seeds 1, 2, 3, … are played
until the rule breaks that it breaks.
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
from plumpick.simulation.faults import case_of
from plumpick.simulation.world import play

Swap = list[tuple[Any, str, Any]]  # owner, name, what stands there instead


def anywhere() -> Swap:
    """Further attempts go to any server, whatever the class."""
    return [(retry, "allowed_endpoints", lambda now_ms, request, settings, table: None)]


def other_hall() -> Swap:
    """A keyed request is sent again to another hall."""
    right = retry.allowed_endpoints

    def allowed(now_ms: float, request: Any, settings: Any, table: Any) -> Any:
        if request.request_class.idempotency is Idempotency.KEYED:
            return None
        return right(now_ms, request, settings, table)

    return [(retry, "allowed_endpoints", allowed)]


def refuses_all() -> Swap:
    """What may have run is refused, as if a retry were harmless."""

    def refuse(self: RequestLifecycle, request: Any) -> None:
        self.turn.actions.append(RejectRequest(request.received.id, 250.0))
        self.close(request)

    return [(RequestLifecycle, "reject_or_fail", refuse)]


def reset_never_ran() -> Swap:
    """A connection that breaks after the last byte counts as one that never came up."""
    right = WorkerConnection._fail

    def fault(self: WorkerConnection, result: AttemptResult) -> None:
        right(self, AttemptResult.CONNECT_FAILED if result is AttemptResult.RESET else result)

    return [(WorkerConnection, "_fail", fault)]


def ignores_drains() -> Swap:
    """A server that drains is taken for one that is ready."""
    right = Gateway.on_worker_list

    def on_worker_list(self: Gateway, news: WorkerList) -> None:
        entries = tuple(
            replace(one, server=replace(one.server, state=EndpointState.READY))
            if one.server.state is EndpointState.DRAINING
            else one
            for one in news.entries
        )
        right(self, replace(news, entries=entries))

    return [(Gateway, "on_worker_list", on_worker_list)]


def prefers_cold() -> Swap:
    """What is new is thought idle, and gets all there is."""
    right = LoadBalancer.choose

    def choose(self: LoadBalancer, now: float, request: Any, group: Any) -> Any:
        cold = [one for one in self.table.warming if group is None or one in group]
        return cold[0] if cold else right(self, now, request, group)

    return [(LoadBalancer, "choose", choose)]


def no_guard() -> Swap:
    """Deadlines are read half a second too late, by the guard and by the module."""
    return [
        (request_table, "FINAL_RESPONSE_MARGIN_MS", -500.0),
        (request_table, "DEADLINE_MARGIN_MS", -500.0),
        (stall_detector, "MAX_BACKLOG_MS", -500.0),
        (stall_detector, "BACKLOG_READ_MS", -500.0),  # one constant with the margin in earlier programs
    ]


def late_answer_for_next() -> Swap:
    """The connection of an attempt that was given up is used again."""
    right = Attempt.end

    def end(self: Attempt, result: AttemptResult, *more: Any, **others: Any) -> None:
        connection: Any = self.connection
        self.connection = None
        if connection is not None and self.on_completed is not None and result is AttemptResult.CANCELLED:
            connection.attempt = None
            connection.pool.release(connection)
            connection = None
        self.connection = connection
        right(self, result, *more, **others)

    return [(Attempt, "end", end)]


def forgets_bookings() -> Swap:
    """A home forgets the units that it granted."""
    return [(QuotaOwner, "_settle", lambda self, now_ms, ledger, key, message, limit_units: None)]


def ignores_slices() -> Swap:
    """A gatekeeper on credit does not look at its slice of the ceiling."""

    def on_grant_timeout(self: QuotaRequester, now_ms: float, request: Any) -> bool:
        request.units_charged = request.received.units
        return True

    return [(QuotaRequester, "on_grant_timeout", on_grant_timeout)]


def answers_twice() -> Swap:
    """Every hundredth answer goes out twice."""
    right, count = ClientConnection.respond, [0]

    def respond(self: ClientConnection, *more: Any, **others: Any) -> None:
        right(self, *more, **others)
        count[0] += 1
        if count[0] % 100 == 0 and self.transport is not None:
            self.transport.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")

    return [(ClientConnection, "respond", respond)]


def ends_at_once() -> Swap:
    """After SIGTERM nothing is waited for."""
    return [
        (Gateway, "has_unfinished_work", lambda self: False),
        (Gateway, "start_closing_connections", lambda self: None),
    ]


def stands_still_and_closes() -> Swap:
    """The sweep of connections goes by the clock alone, also after a stall: as it was."""
    right = ConnectionAdmission.sweep

    def sweep(self: ConnectionAdmission, now: float, is_shutting_down: bool) -> None:
        self._last_sweep_ms = -1.0
        right(self, now, is_shutting_down)

    def close_if_idle(self: ClientConnection) -> None:
        if self.is_idle():  # and never looks whether something is unread
            self.close_gracefully()

    return [(ConnectionAdmission, "sweep", sweep), (ClientConnection, "close_if_idle", close_if_idle)]


def writes_after_the_end() -> Swap:
    """A connection that comes up late carries its attempt, though it has ended."""

    def dialled(
        self: ConnectionPool, worker: Any, attempt: Attempt, connection: WorkerConnection, dial: Any
    ) -> None:
        worker.connecting.remove(attempt)
        attempt.connect_task = None
        if dial.cancelled() or dial.exception() is not None:
            connection.abort()
            attempt.end(AttemptResult.CONNECT_FAILED)
        else:
            if attempt.connect_timer is not None:
                attempt.connect_timer.cancel()
            connection.send(attempt)

    def start(self: ConnectionPool, attempt: Attempt) -> None:
        right(self, attempt)
        if attempt.connect_task is not None:  # a dial is never called off
            dial, attempt.connect_task = attempt.connect_task, None
            self.__dict__.setdefault("kept", []).append(dial)

    right = ConnectionPool.start
    return [(ConnectionPool, "_on_connected", dialled), (ConnectionPool, "start", start)]


def rearms_at_once() -> Swap:
    """A timer that is due arms itself again for the same instant."""
    right = Timers.call_at

    def call_at(self: Timers, when_ms: float, call: Callable[[], None]) -> Any:
        def again() -> None:
            call()
            self._loop.call_soon(again)

        return right(self, when_ms, again)

    return [(Timers, "call_at", call_at)]


def looks_no_more() -> Swap:
    """Between the choice and the first byte nobody looks whether the group still remembers the first."""

    def may_leave(self: ConnectionPool, worker: Any, attempt: Attempt) -> bool:
        return attempt.on_completed is not None and self.is_in_service(worker)

    return [(ConnectionPool, "_may_send", may_leave)]


def reset_is_an_end() -> Swap:
    """An answer with no length ends with its connection, however that ends."""
    right = WorkerConnection.connection_lost

    def connection_lost(self: WorkerConnection, problem: Exception | None) -> None:
        self.eof_received()
        right(self, problem)

    return [(WorkerConnection, "connection_lost", connection_lost)]


def trusts_its_watch() -> Swap:
    """A watch that has fallen silent is waited for as long as the protocol allows."""
    return [(endpoint_watch, "AGENT_WATCH_TIMEOUT_MS", 60_000.0)]


def sends_for_nobody() -> Swap:
    """A request whose client has gone goes on as if it were there."""
    return [
        (request_table.RequestTable, "on_disconnect", lambda self, request: None),
        (ClientConnection, "has_disconnected", lambda self: False),
    ]


# Each with the rules that it may break first.
PLANTS: dict[str, tuple[Callable[[], Swap], tuple[str, ...]]] = {
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
    """The daemon with that bug, until the end of the block."""
    swaps = PLANTS[name][0]()
    before = [(owner, key, getattr(owner, key)) for owner, key, _ in swaps]
    for owner, key, value in swaps:
        setattr(owner, key, value)
    try:
        yield
    finally:
        for owner, key, value in before:
            setattr(owner, key, value)


def seeds_to_find(name: str, most: int) -> tuple[str, int, str]:
    """The first seed of 1, 2, … that breaks its rule; 0 where none of so many does."""
    with planted(name):
        for seed in range(1, most + 1):
            result = play(case_of(seed))
            if result.rule in PLANTS[name][1]:
                return name, seed, f"{result.rule}: {result.text}"
    return name, 0, ""


def main() -> None:
    """Print the table."""
    flags = argparse.ArgumentParser(description=__doc__)
    flags.add_argument("--most", type=int, default=60)
    flags.add_argument("--jobs", type=int, default=8)
    flags.add_argument("--only", default="")
    given = flags.parse_args()
    names = [name for name in PLANTS if given.only in name]
    print("| planted bug | found by seed | what was seen |\n| --- | --- | --- |")
    with ProcessPoolExecutor(given.jobs) as pool:
        for name, seed, text in pool.map(seeds_to_find, names, [given.most] * len(names)):
            print(f"| {name} | {seed or 'none'} | {text} |", flush=True)


if __name__ == "__main__":
    main()
