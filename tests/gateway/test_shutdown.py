"""SIGTERM at every stage, and what it leaves time for."""

import asyncio
import os
import signal

import pytest
from support.fakes import (
    HOST,
    Client,
    FakeWorker,
    Gate,
    Plug,
    Script,
    answer,
    entry,
    listing,
    request,
    run,
    told,
)
from support.processes import UP, free_port, until_up
from support.shutdown import run_served_gateway

from plumpick.gateway import management, process, shutdown
from plumpick.policy.events import RequestReceived


@pytest.mark.parametrize("deadlines_s", [[0.2], [0.2, 0.5], [0.9], [1.5], [2.0, 7.5], [3.0], [60.0]])
def test_all_is_answered_and_we_have_gone_before_sigkill_may_come(deadlines_s):
    """SIGKILL comes no sooner than the longest deadline, of 3 s at most, and 0.7 s more. Connections come for
    up to 0.4 s, and whoever is served last has its whole time, or a second."""
    serve, end, gone = shutdown.shutdown_times(deadlines_s)
    longest, kill = max(deadlines_s), min(max(deadlines_s), 3.0) + 0.7
    assert 0.4 < serve < end < gone < kill
    assert end - serve >= min(longest, 1.0) * 0.99 or serve == shutdown.MIN_SERVING_S
    assert end - serve >= 0.2 and kill - end >= 0.2  # room for a last answer to be written, and a busy loop


def test_what_is_open_when_we_are_told_to_end_is_answered_by_then():
    """A worker that hangs would keep it until SIGKILL: its client's time ends long after."""

    async def scenario():
        async with FakeWorker() as worker, Gate(Script(), known=[entry("w1", worker.port)]) as gate:
            client = await gate.client()
            client.send(request(deadline=20_000))
            assert (await worker.asked())[0] is not None
            await gate.script.event(RequestReceived)
            (open_request,) = gate.keeper.requests.open.values()
            gate.keeper.shut_down_within(100.0)
            assert open_request.deadline_ms <= gate.keeper.clock.now() + 100.0
            assert (await client.answer())[0] == 504 and not gate.keeper.requests.open

    run(scenario())


def test_a_deadline_before_the_end_stays_as_it_is():
    async def scenario():
        async with FakeWorker() as worker, Gate(Script(), known=[entry("w1", worker.port)]) as gate:
            client = await gate.client()
            client.send(request(deadline=60))
            await gate.script.event(RequestReceived)
            (open_request,) = gate.keeper.requests.open.values()
            due_ms = open_request.deadline_ms
            gate.keeper.shut_down_within(5000.0)
            assert open_request.deadline_ms == due_ms and (await client.answer())[0] == 504

    run(scenario())


def test_sigterm_before_the_first_list_ends_it_and_it_is_never_ready(monkeypatch, caplog):
    """It waited for the list, said that it was ready, and counted the time to its end from then."""
    monkeypatch.setattr(process, "FIRST_LIST_TIMEOUT_S", 1000.0)

    async def scenario(_port, fake, _worker, task):
        await fake.called()  # and no answer
        os.kill(os.getpid(), signal.SIGTERM)
        await task
        assert task.exception() is None

    run_served_gateway(scenario, monkeypatch)


def test_sigterm_twice_and_a_sighup_between_end_it_once(monkeypatch):
    async def scenario(port, fake, _worker, task):
        await fake.called()
        while True:
            try:
                client = await Client().open(port)
                break
            except OSError:
                await asyncio.sleep(0)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            os.kill(os.getpid(), number)
        await task
        assert await client.ends()

    run_served_gateway(scenario, monkeypatch)


def test_the_time_to_the_end_counts_from_the_first_sigterm():
    async def scenario():
        stop = shutdown.StopRequest(asyncio.get_running_loop())
        stop.request()
        first = stop.requested_s
        await asyncio.sleep(0.01)
        stop.request()
        assert stop.requested_s == first and stop.is_requested()
        assert await stop.wait_for(asyncio.Event(), 1000.0)

    run(scenario())


def test_with_operators_too_the_listener_is_emptied_before_it_closes(monkeypatch):
    """A connection that comes in the moment before the close, and of which the loop has not heard."""
    right, plugs = shutdown.close_listener, []

    async def comes_just_before(loop, server, plug, front):
        plugs.append(Plug(plug.getsockname()[1]))
        plugs[0].send(request())
        await right(loop, server, plug, front)

    monkeypatch.setattr(management, "close_listener", comes_just_before)

    async def scenario(port, fake, worker, _task):
        await until_up(port)
        os.kill(os.getpid(), signal.SIGTERM)
        message, writer = await worker.asked()
        assert message is not None
        writer.write(answer())
        assert b"200 OK" in await plugs[0].receive()
        plugs[0].close()

    run_served_gateway(scenario, monkeypatch, (0.05, 20.0, 25.0), management=f"{HOST}:{free_port()}")


def test_with_no_list_at_all_it_is_ready_once_the_first_has_come(monkeypatch):
    """It was ready after half a second, and refused every request; a known list serves as before."""
    assert process.FIRST_LIST_TIMEOUT_S < 1.0 < process.ONLY_LIST_TIMEOUT_S < 10.0
    monkeypatch.setattr(process, "FIRST_LIST_TIMEOUT_S", 0.0)
    monkeypatch.setattr(process, "ONLY_LIST_TIMEOUT_S", 1000.0)

    async def scenario(port, fake, worker, _task):
        _, writer = await fake.called()
        client = await Client().open(port)
        for _ in range(3):
            assert (await client.send(UP).answer())[0] == 503
        writer.write(told(listing(entry("w1", worker.port))))
        await until_up(port)
        assert (await client.send(UP).answer())[0] == 200

    run_served_gateway(scenario, monkeypatch, known=listing())
