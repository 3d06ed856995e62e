"""SIGTERM at every stage of the gateway's life, and the time limits of the shutdown."""

import asyncio
import os
import signal

import pytest
from support.fakes import (
    HOST,
    Client,
    ControllerStub,
    FakeWorker,
    RunningGateway,
    SocketClient,
    entry,
    http_response,
    json_response,
    listing,
    request,
    run,
)
from support.ports import free_port
from support.processes import UP_REQUEST, wait_until_ready
from support.shutdown import run_served_gateway

from plumpick.gateway import management, process, shutdown
from plumpick.policy.events import RequestReceived


@pytest.mark.parametrize("deadlines_s", [[0.2], [0.2, 0.5], [0.9], [1.5], [2.0, 7.5], [3.0], [60.0]])
def test_shutdown_answers_all_requests_and_exits_before_sigkill(deadlines_s):
    """SIGKILL follows SIGTERM no earlier than after the longest deadline (at most 3 s) plus 0.7 s. New
    connections arrive for up to 0.4 s. The last request has its whole deadline, but at most 1 s."""
    serving_s, answered_s, exit_s = shutdown.shutdown_times(deadlines_s)
    longest_s, kill_s = max(deadlines_s), min(max(deadlines_s), 3.0) + 0.7
    assert 0.4 < serving_s < answered_s < exit_s < kill_s
    assert answered_s - serving_s >= min(longest_s, 1.0) * 0.99 or serving_s == shutdown.MIN_SERVING_S
    # Time to write the last response, even on a busy event loop.
    assert answered_s - serving_s >= 0.2 and kill_s - answered_s >= 0.2


def test_request_open_at_the_start_of_a_shutdown_is_answered_within_its_time_limit():
    """Otherwise a hanging worker would keep the request open until SIGKILL, long before its deadline."""

    async def scenario():
        async with (
            FakeWorker() as worker,
            RunningGateway(ControllerStub(), known=[entry("w1", worker.port)]) as gate,
        ):
            client = await gate.client()
            client.send(request(deadline=20_000))
            assert (await worker.next_request())[0] is not None
            await gate.controller.next_event(RequestReceived)
            (open_request,) = gate.gateway.requests.open.values()
            gate.gateway.shut_down_within(100.0)
            assert open_request.deadline_ms <= gate.gateway.clock.now() + 100.0
            assert (await client.read_response())[0] == 504 and not gate.gateway.requests.open

    run(scenario())


def test_request_deadline_before_the_shutdown_deadline_is_unchanged():
    async def scenario():
        async with (
            FakeWorker() as worker,
            RunningGateway(ControllerStub(), known=[entry("w1", worker.port)]) as gate,
        ):
            client = await gate.client()
            client.send(request(deadline=60))
            await gate.controller.next_event(RequestReceived)
            (open_request,) = gate.gateway.requests.open.values()
            deadline_ms = open_request.deadline_ms
            gate.gateway.shut_down_within(5000.0)
            assert open_request.deadline_ms == deadline_ms and (await client.read_response())[0] == 504

    run(scenario())


def test_sigterm_before_the_first_endpoint_list_ends_the_gateway_without_it_becoming_ready(
    monkeypatch, caplog
):
    """Guards against a gateway that waits for the list, reports that it is ready, and only then starts to
    count the time of its shutdown."""
    monkeypatch.setattr(process, "FIRST_LIST_TIMEOUT_S", 1000.0)

    async def scenario(_port, fake, _worker, task):
        await fake.next_call()  # discovery never answers
        os.kill(os.getpid(), signal.SIGTERM)
        await task
        assert task.exception() is None

    run_served_gateway(scenario, monkeypatch)


def test_repeated_sigterm_with_a_sighup_in_between_shuts_down_once(monkeypatch):
    async def scenario(port, fake, _worker, task):
        await fake.next_call()
        while True:
            try:
                client = await Client().open(port)
                break
            except OSError:
                await asyncio.sleep(0)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            os.kill(os.getpid(), number)
        await task
        assert await client.wait_for_end()

    run_served_gateway(scenario, monkeypatch)


def test_shutdown_time_counts_from_the_first_sigterm():
    async def scenario():
        stop = shutdown.StopRequest(asyncio.get_running_loop())
        stop.request()
        first_s = stop.requested_s
        await asyncio.sleep(0.01)
        stop.request()
        assert stop.requested_s == first_s and stop.is_requested()
        assert await stop.wait_for(asyncio.Event(), 1000.0)

    run(scenario())


def test_backlog_is_accepted_before_the_listener_closes_also_with_an_operators_listener(monkeypatch):
    """The connection arrives just before the close, when the event loop has not accepted it yet."""
    original, plugs = shutdown.close_listener, []

    async def connect_then_close(loop, server, listening, front):
        plugs.append(SocketClient(listening.getsockname()[1]))
        plugs[0].send(request())
        await original(loop, server, listening, front)

    monkeypatch.setattr(management, "close_listener", connect_then_close)

    async def scenario(port, fake, worker, _task):
        await wait_until_ready(port)
        os.kill(os.getpid(), signal.SIGTERM)
        message, writer = await worker.next_request()
        assert message is not None
        writer.write(http_response())
        assert b"200 OK" in await plugs[0].receive()
        plugs[0].close()

    run_served_gateway(scenario, monkeypatch, (0.05, 20.0, 25.0), management=f"{HOST}:{free_port()}")


def test_gateway_without_a_known_list_is_ready_only_after_the_first_list(monkeypatch):
    """Guards against a gateway that is ready after half a second without workers and rejects every request. A
    gateway with a list in its configuration need not wait that long."""
    assert process.FIRST_LIST_TIMEOUT_S < 1.0 < process.ONLY_LIST_TIMEOUT_S < 10.0
    monkeypatch.setattr(process, "FIRST_LIST_TIMEOUT_S", 0.0)
    monkeypatch.setattr(process, "ONLY_LIST_TIMEOUT_S", 1000.0)

    async def scenario(port, fake, worker, _task):
        _, writer = await fake.next_call()
        client = await Client().open(port)
        for _ in range(3):
            assert (await client.send(UP_REQUEST).read_response())[0] == 503
        writer.write(json_response(listing(entry("w1", worker.port))))
        await wait_until_ready(port)
        assert (await client.send(UP_REQUEST).read_response())[0] == 200

    run_served_gateway(scenario, monkeypatch, known=listing())
