"""Attempts that this gateway cannot start, by its own limits: they are not the worker's failures."""

import asyncio
import errno
import socket

import pytest
from support.fakes import HOST, FakeWorker, Gate, HeldDials, Script, answer, entry, listing, request, run

from plumpick.gateway.config import parse_worker_list
from plumpick.policy.actions import StartAttempt
from plumpick.policy.events import AttemptCompleted, AttemptResult, RequestReceived

POOL = "plumpick.gateway.upstream.connection_pool"
ANSWER_DELAY_S = 0.05
CLIENTS = 40
ROUNDS = 3


def closed_port():
    """A port where nobody listens."""
    with socket.create_server((HOST, 0)) as probe:
        return probe.getsockname()[1]


async def answer_slowly(worker):
    """Answer each request after a while, so that connections are in use."""
    while True:
        message, writer = await worker.asked()
        if message is not None:
            asyncio.get_running_loop().call_later(ANSWER_DELAY_S, writer.write, answer())


def homed():
    """A request of a customer whose quota owner is this gateway."""
    return request().replace(b"spread=2", b"spread=1")


def test_in_a_crowd_that_uses_up_our_connections_only_the_worker_that_refuses_is_an_outlier():
    """Guards against workers that are ejected, and reported to peers, for connections that we lacked."""

    async def scenario():
        async with FakeWorker() as first, FakeWorker() as second:
            known = [entry("w1", first.port), entry("w2", second.port), entry("w3", closed_port())]
            async with Gate(known=known) as gate:
                gate.keeper.connection_pool.set_max_connections(4)
                serving = [asyncio.create_task(answer_slowly(one)) for one in (first, second)]
                clients = [await gate.client() for _ in range(CLIENTS)]
                answers = []
                for _ in range(ROUNDS):
                    answers += await asyncio.gather(*(client.send(homed()).answer() for client in clients))
                for task in serving:
                    task.cancel()
                assert {status for status, *_ in answers} <= {200, 502, 503}
                tracked = gate.keeper.controller.state.endpoints.tracked
                failed = {name: sum(one.failed.values()) for name, one in tracked.items()}
                assert failed["w1"] == failed["w2"] == 0.0 < failed["w3"]
                candidates = gate.keeper.controller.state.outliers.candidates
                assert [one.endpoint.id for one in candidates] == ["w3"]

    run(scenario())


def with_worker(scenario, script=None):
    async def whole():
        async with FakeWorker() as worker, Gate(script or Script(), known=[entry("w1", worker.port)]) as gate:
            await scenario(worker, gate, await gate.client())

    run(whole())


@pytest.mark.parametrize("limit", ["worker", "all"])
def test_attempt_beyond_our_own_limit_of_connections_is_not_started(monkeypatch, limit):
    async def scenario(worker, gate, client):
        if limit == "worker":
            monkeypatch.setattr(f"{POOL}.MAX_CONNECTIONS_PER_WORKER", 1)
        else:
            gate.keeper.connection_pool.set_max_connections(1)
        client.send(request())
        await worker.asked()
        other = await gate.client()
        other.send(request())
        assert (await gate.script.event(AttemptCompleted)).result is AttemptResult.NOT_STARTED

    with_worker(scenario)


@pytest.mark.parametrize("number", ["EMFILE", "ENFILE", "EADDRNOTAVAIL", "ENOBUFS", "ENOMEM"])
def test_connection_for_which_the_system_has_nothing_left_is_not_the_workers_failure(monkeypatch, number):
    async def refuse(*_):
        raise OSError(getattr(errno, number), "as planted")

    async def scenario(worker, gate, client):
        dials = HeldDials(gate)
        dials.go.set()
        gate.keeper.connection_pool._loop.create_connection = staticmethod(refuse)
        client.send(request())
        assert (await gate.script.event(AttemptCompleted)).result is AttemptResult.NOT_STARTED

    with_worker(scenario)


def test_connection_that_the_worker_refuses_is_its_failure():
    async def scenario():
        async with Gate(Script(), known=[entry("w1", closed_port())]) as gate:
            client = await gate.client()
            client.send(request())
            assert (await gate.script.event(AttemptCompleted)).result is AttemptResult.CONNECT_FAILED

    run(scenario())


@pytest.mark.parametrize("what", ["drained", "unknown"])
def test_attempt_for_a_worker_that_has_left_is_not_its_failure(what):
    async def scenario(worker, gate, client):
        if what == "drained":
            dials = HeldDials(gate)
            client.send(request())
            await dials.opened.wait()
            news = listing(entry("w1", worker.port, "draining"), index=2, snapshot=False)
            gate.keeper.on_worker_list(parse_worker_list(news, "list"))
            dials.go.set()
        else:
            gate.script.worker = None
            client.send(request())
            received = await gate.script.event(RequestReceived)
            gate.script.to_do = [StartAttempt(received.id, "w9", 9000.0)]
            gate.keeper.on_worker_list(gate.keeper.config.known)
        assert (await gate.script.event(AttemptCompleted)).result is AttemptResult.NOT_STARTED

    with_worker(scenario)
