"""Events between the choice of a worker and the write of the request: slow connection setup, a client
disconnect, the end of a deduplication window, a drain. The tests force each order of events by delaying the
connection to the worker."""

import asyncio

import pytest
from support.fakes import (
    ControllerStub,
    DelayedConnects,
    FakeWorker,
    RunningGateway,
    SocketClient,
    assert_next_requests,
    entry,
    http_response,
    request,
    run,
    settings,
)

from plumpick.gateway.platform import Platform
from plumpick.policy.actions import RejectRequest, StartAttempt
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    ClientDisconnected,
    RequestReceived,
    TimerFired,
)

NO_CANCELLATION = settings(cancel=False)  # settings under which attempts may not be cancelled


def run_with_held_connections(scenario, controller=None, **more):
    """Run a scenario with one worker, w1, one gateway and one client. Connections to the worker are
    established only once the scenario sets `dials.allowed`."""

    async def run_scenario():
        async with (
            FakeWorker() as worker,
            RunningGateway(controller or ControllerStub(), known=[entry("w1", worker.port)], **more) as gate,
        ):
            await scenario(worker, gate, await gate.client(), DelayedConnects(gate))

    run(run_scenario())


def test_retry_is_not_sent_if_its_connection_is_established_after_the_deduplication_window():
    """Guards against a double execution seen in a rehearsal (zone+brink, seed 4): a retry was chosen within
    its deduplication window of 1 s, but establishing its connection took up to 0.25 s, and it was sent after
    the window."""

    async def scenario(worker, gate, client, dials):
        client.send(request(path="/book", key="k1", body=b"x"))
        received = await gate.controller.next_event(RequestReceived)
        gate.controller.next_actions = [StartAttempt(received.id, "w1", 9000.0, start_within_ms=400.0)]
        gate.gateway.post_event(TimerFired("retry"))
        await dials.started.wait()
        clock = gate.gateway.clock
        gate.gateway.connection_pool._clock = type(
            "Later", (), {"now": staticmethod(lambda: clock.now() + 401.0)}
        )
        dials.allowed.set()
        assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.NOT_STARTED
        gate.gateway.connection_pool._clock, gate.controller.worker = clock, "w1"
        await assert_next_requests(worker, gate)

    run_with_held_connections(scenario, ControllerStub(worker=None))


def test_retry_is_not_sent_on_an_idle_connection_if_its_window_ended_during_a_stall():
    async def scenario():
        async with (
            FakeWorker() as worker,
            RunningGateway(ControllerStub(), known=[entry("w1", worker.port)]) as gate,
        ):
            client = await gate.client()
            client.send(request())
            _, writer = await worker.next_request()
            writer.write(http_response())
            assert (await client.read_response())[0] == 200  # the connection to the worker is idle now
            gate.controller.worker = None
            client.send(request(path="/book", key="k1", body=b"x"))
            await gate.controller.next_event(RequestReceived)
            received = await gate.controller.next_event(RequestReceived)
            # The window has already ended when the attempt is started.
            gate.controller.next_actions = [StartAttempt(received.id, "w1", 9000.0, start_within_ms=-1.0)]
            gate.gateway.post_event(TimerFired("retry"))
            await gate.controller.next_event(AttemptCompleted)
            assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.NOT_STARTED
            gate.controller.worker = "w1"
            await assert_next_requests(worker, gate)

    run(scenario())


def test_uncancellable_attempt_is_not_sent_after_the_final_response():
    """Guards against a fault seen in a rehearsal (zone+brink): two requests were sent to a worker after their
    final response."""

    async def scenario(worker, gate, client, dials):
        client.send(request())
        await dials.started.wait()
        received = await gate.controller.next_event(RequestReceived)
        gate.controller.next_actions = [RejectRequest(received.id, 250.0)]
        gate.gateway.post_event(TimerFired("reject"))
        assert (await client.read_response())[0] == 503
        dials.allowed.set()
        await assert_next_requests(worker, gate)
        assert not gate.gateway.requests.attempts

    run_with_held_connections(scenario, settings=NO_CANCELLATION)


def test_uncancellable_attempt_is_not_sent_after_its_client_has_disconnected():
    async def scenario(worker, gate, client, dials):
        client.send(request())
        await dials.started.wait()
        client.close()
        await gate.controller.next_event(ClientDisconnected)
        dials.allowed.set()
        await assert_next_requests(worker, gate)

    run_with_held_connections(scenario, settings=NO_CANCELLATION)


def test_hedged_request_that_waits_for_its_connection_is_not_sent_after_the_first_response():
    async def scenario():
        async with FakeWorker() as worker, FakeWorker() as other:
            known = [entry("w1", worker.port), entry("w2", other.port)]
            async with RunningGateway(ControllerStub(), known=known, settings=NO_CANCELLATION) as gate:
                client = await gate.client()
                client.send(request())
                _, writer = await worker.next_request()
                dials = DelayedConnects(gate)
                received = await gate.controller.next_event(RequestReceived)
                gate.controller.next_actions = [StartAttempt(received.id, "w2", 9000.0)]
                gate.gateway.post_event(TimerFired("hedge"))
                await dials.started.wait()
                writer.write(http_response(body=b"first"))
                assert (await client.read_response())[2] == b"first"
                dials.allowed.set()
                gate.controller.worker = "w2"
                await assert_next_requests(other, gate)

    run(scenario())


async def disconnect_unread(gate, client):
    """Have the client end its sending, and wait until the kernel has received that, still unread by the
    gateway. (After a full close, a response written to the client would later cause a reset.)"""
    (connection,) = gate.listener.admission.connections
    client.writer.write_eof()
    while not Platform().has_peer_closed(connection.transport):
        await asyncio.sleep(0)
    return connection


def test_pipelined_request_is_not_sent_after_its_client_has_disconnected(monkeypatch):
    """While a pipelined request waits, reading is suspended and the client's disconnect is not read."""
    monkeypatch.setattr(
        "plumpick.gateway.upstream.connection_pool.REUSE_DELAY_MS", 0.0
    )  # the connection to the worker is reused without delay

    async def scenario():
        async with (
            FakeWorker() as worker,
            RunningGateway(ControllerStub(), known=[entry("w1", worker.port)]) as gate,
        ):
            client = await gate.client()
            client.send(request("0000000000000001") + request("0000000000000002"))
            _, writer = await worker.next_request()
            connection = await disconnect_unread(gate, client)
            assert connection.is_reading_suspended and connection.open_request is not None
            writer.write(http_response())
            await assert_next_requests(worker, gate)
            assert not gate.gateway.requests.open

    run(scenario())


class RetryingScript(ControllerStub):
    """A policy that starts another attempt on w1 after a failed one."""

    def handle(self, now, events):
        actions = super().handle(now, events)
        return [
            StartAttempt(action.id, "w1", 9000.0) if type(action).__name__ == "FailRequest" else action
            for action in actions
        ]


@pytest.mark.parametrize(
    "pipelined", [b"", request("0000000000000002")], ids=["no pipelined request", "one pipelined request"]
)
def test_retry_is_not_sent_after_the_client_has_disconnected(pipelined):
    async def scenario():
        async with (
            FakeWorker() as worker,
            RunningGateway(RetryingScript(), known=[entry("w1", worker.port)]) as gate,
        ):
            client = await gate.client()
            client.send(request("0000000000000001") + pipelined)
            _, writer = await worker.next_request()
            await disconnect_unread(gate, client)
            writer.transport.abort()  # resets the attempt, after which the policy retries
            await assert_next_requests(worker, gate)

    run(scenario())


def test_attempt_started_by_a_timer_after_a_stall_is_not_sent_if_the_client_has_disconnected():
    """After a stall, timers fire before waiting bytes are read: the client's disconnect is still unread."""

    async def scenario():
        async with (
            FakeWorker() as worker,
            RunningGateway(ControllerStub(worker=None), known=[entry("w1", worker.port)]) as gate,
        ):
            plug = SocketClient(gate.port)
            plug.send(request())
            received = await gate.controller.next_event(RequestReceived)
            (connection,) = gate.listener.admission.connections
            plug.close()  # from here on the event loop does not run
            assert Platform().has_peer_closed(connection.transport)
            assert received.id in gate.gateway.requests.open
            gate.listener.admission._last_sweep_ms = gate.gateway.clock.now() - 1000.0
            gate.controller.next_actions = [StartAttempt(received.id, "w1", 9000.0)]
            gate.gateway.post_event(TimerFired("timer"))
            gate.gateway._turn.run()
            assert not gate.gateway.requests.attempts and not gate.gateway.requests.open
            gate.controller.worker = "w1"
            await assert_next_requests(worker, gate)

    run(scenario())


def advance_pool_clock(gate, by_ms):
    """Advance the clock of the gateway's connection pool by `by_ms`."""
    clock = gate.gateway.clock
    gate.gateway.connection_pool._clock = type(
        "Later", (), {"now": staticmethod(lambda: clock.now() + by_ms)}
    )


@pytest.mark.parametrize(
    "controller", [ControllerStub(), RetryingScript("nowhere")], ids=["first attempt", "retry"]
)
def test_attempt_states_the_time_left_when_its_request_is_written(controller):
    """Guards against a fault seen in a rehearsal (zone+brink, brink seed 61): 5 of 21 retries stated more
    time than was left."""

    async def scenario(worker, gate, client, dials):
        client.send(request(path="/book", key="k1", body=b"x", deadline=5000))
        await dials.started.wait()
        advance_pool_clock(gate, 1900.0)
        dials.allowed.set()
        message, _ = await worker.next_request()
        assert 0 < int(message.headers["x-deadline-ms"]) <= 3100

    run_with_held_connections(scenario, controller)


def test_attempt_on_an_idle_connection_states_the_time_left_when_its_request_is_written():
    """The process may stall between the policy's decision and the write."""

    async def scenario():
        async with (
            FakeWorker() as worker,
            RunningGateway(ControllerStub(timeout_ms=4900.0), known=[entry("w1", worker.port)]) as gate,
        ):
            client = await gate.client()
            client.send(request(deadline=5000))
            _, writer = await worker.next_request()
            writer.write(http_response())
            assert (await client.read_response())[0] == 200
            advance_pool_clock(gate, 1900.0)
            client.send(request(deadline=5000))
            message, _ = await worker.next_request()
            assert worker.connections == 1 and 0 < int(message.headers["x-deadline-ms"]) <= 3000

    run(scenario())


def test_attempt_during_a_shutdown_states_the_time_left_until_the_shutdown_deadline():
    async def scenario(worker, gate, client, dials):
        client.send(request(deadline=9000))
        await dials.started.wait()
        gate.gateway.shut_down_within(2000.0)
        dials.allowed.set()
        message, _ = await worker.next_request()
        assert 0 < int(message.headers["x-deadline-ms"]) <= 2000

    run_with_held_connections(scenario)


def test_attempt_is_not_sent_if_its_connection_is_established_after_the_deadline():
    async def scenario(worker, gate, client, dials):
        client.send(request(deadline=5000))
        received = await gate.controller.next_event(RequestReceived)
        gate.controller.next_actions = [StartAttempt(received.id, "w1", 4900.0)]
        gate.gateway.post_event(TimerFired("send"))
        await dials.started.wait()
        clock = gate.gateway.connection_pool._clock
        advance_pool_clock(gate, 4901.0)
        dials.allowed.set()
        assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.NOT_STARTED
        gate.gateway.connection_pool._clock, gate.controller.worker = clock, "w1"
        await assert_next_requests(worker, gate)

    run_with_held_connections(scenario, ControllerStub(worker=None))


def test_streamed_request_states_the_time_left_since_its_last_byte():
    async def scenario(worker, gate, client, dials):
        body = b"x" * 70_000
        data = request(path="/debit", body=body, deadline=5000)
        client.send(data[:-1])
        await dials.started.wait()
        client.send(data[-1:])  # the body is complete before the connection is established
        while next(iter(gate.gateway.requests.open.values())).deadline_timer is None:
            await asyncio.sleep(0)
        advance_pool_clock(gate, 1900.0)
        dials.allowed.set()
        message, _ = await worker.next_request()
        assert message.body == body and 0 < int(message.headers["x-deadline-ms"]) <= 3100

    run_with_held_connections(scenario)
