"""Attempts that this gateway cannot start because of its own limits must not count as worker failures."""

import asyncio
import errno
import socket
import time

import pytest
from support.fakes import (
    HOST,
    ControllerStub,
    DelayedConnects,
    FakeWorker,
    RunningGateway,
    entry,
    http_response,
    listing,
    request,
    run,
    run_with_worker,
)

from plumpick.gateway.config import parse_worker_list
from plumpick.policy.actions import StartAttempt
from plumpick.policy.events import AttemptCompleted, AttemptResult, RequestReceived

POOL = "plumpick.gateway.upstream.connection_pool"
ANSWER_DELAY_S = 0.05
CLIENTS = 40
ROUNDS = 3


def closed_port():
    """Return a port on which no process listens."""
    with socket.create_server((HOST, 0)) as probe:
        return probe.getsockname()[1]


async def answer_slowly(worker):
    """Answer each request after ANSWER_DELAY_S, so that connections stay in use."""
    while True:
        message, writer = await worker.next_request()
        if message is not None:
            asyncio.get_running_loop().call_later(ANSWER_DELAY_S, writer.write, http_response())


def locally_owned_request():
    """A request of a customer whose quota owner is this gateway, so that no peer is involved."""
    return request().replace(b"spread=2", b"spread=1")


def test_only_the_worker_that_refuses_connections_is_an_outlier_when_the_pool_is_exhausted():
    """Guards against ejecting workers, and reporting them to peers, when this gateway lacked connections."""

    async def scenario():
        async with FakeWorker() as first, FakeWorker() as second:
            known = [entry("w1", first.port), entry("w2", second.port), entry("w3", closed_port())]
            async with RunningGateway(known=known) as gate:
                gate.gateway.connection_pool.set_max_connections(4)
                serving = [asyncio.create_task(answer_slowly(one)) for one in (first, second)]
                clients = [await gate.client() for _ in range(CLIENTS)]
                answers = []
                for _ in range(ROUNDS):
                    answers += await asyncio.gather(
                        *(client.send(locally_owned_request()).read_response() for client in clients)
                    )
                for task in serving:
                    task.cancel()
                assert {status for status, *_ in answers} <= {200, 502, 503}
                tracked = gate.gateway.controller.state.endpoints.tracked
                failed = {name: sum(endpoint.failed.values()) for name, endpoint in tracked.items()}
                assert failed["w1"] == failed["w2"] == 0.0 < failed["w3"]
                candidates = gate.gateway.controller.state.outliers.candidates
                assert [candidate.endpoint.id for candidate in candidates] == ["w3"]

    run(scenario())


@pytest.mark.parametrize("limit", ["worker", "all"])
def test_attempt_above_the_limit_on_connections_is_not_started(monkeypatch, limit):
    async def scenario(worker, gate, client):
        if limit == "worker":
            monkeypatch.setattr(f"{POOL}.MAX_CONNECTIONS_PER_WORKER", 1)
        else:
            gate.gateway.connection_pool.set_max_connections(1)
        client.send(request())
        await worker.next_request()
        other = await gate.client()
        other.send(request())
        assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.NOT_STARTED

    run_with_worker(scenario)


@pytest.mark.parametrize("error_name", ["EMFILE", "ENFILE", "EADDRNOTAVAIL", "ENOBUFS", "ENOMEM"])
def test_connection_error_from_a_local_resource_shortage_does_not_count_as_worker_failure(
    monkeypatch, error_name
):
    async def refuse(*_):
        raise OSError(getattr(errno, error_name), "injected by the test")

    async def scenario(worker, gate, client):
        dials = DelayedConnects(gate)
        dials.allowed.set()
        gate.gateway.connection_pool._loop.create_connection = staticmethod(refuse)
        client.send(request())
        assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.NOT_STARTED

    run_with_worker(scenario)


def test_connection_refused_by_the_worker_counts_as_its_failure():
    async def scenario():
        async with RunningGateway(ControllerStub(), known=[entry("w1", closed_port())]) as gate:
            client = await gate.client()
            client.send(request())
            assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.CONNECT_FAILED

    run(scenario())


@pytest.mark.parametrize("worker_state", ["drained", "unknown"])
def test_attempt_for_a_worker_that_has_left_service_does_not_count_as_its_failure(worker_state):
    async def scenario(worker, gate, client):
        if worker_state == "drained":
            dials = DelayedConnects(gate)
            client.send(request())
            await dials.started.wait()
            update = listing(entry("w1", worker.port, "draining"), index=2, snapshot=False)
            gate.gateway.on_worker_list(parse_worker_list(update, "list"))
            dials.allowed.set()
        else:
            gate.controller.worker = None
            client.send(request())
            received = await gate.controller.next_event(RequestReceived)
            gate.controller.next_actions = [StartAttempt(received.id, "w9", 9000.0)]
            gate.gateway.on_worker_list(gate.gateway.config.known)
        assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.NOT_STARTED

    run_with_worker(scenario)


def test_worker_is_not_blamed_for_a_connection_that_was_ready_while_the_loop_was_held_up():
    # Report 81cf89: 502 and ejected workers although each worker was idle and quick.
    async def scenario(worker, gate, client):
        serving = asyncio.create_task(answer_slowly(worker))
        client.send(request())
        pool = gate.gateway.connection_pool
        while not pool.connection_count():
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        time.sleep(0.3)  # longer than the timeout of connecting
        assert (await client.read_response())[0] == 200
        (completed,) = [one for one in gate.controller.events if isinstance(one, AttemptCompleted)]
        assert completed.result is AttemptResult.OK
        serving.cancel()

    run_with_worker(scenario)
