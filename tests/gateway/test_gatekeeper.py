"""The gateway with fake clients and workers: requests, attempts and their outcomes. A stub replaces the
policy controller."""

import asyncio
import gc
import json
import weakref

import pytest
from support.delays import advance_time
from support.fakes import (
    HOST,
    Client,
    ControllerStub,
    FakeWorker,
    RunningGateway,
    config,
    entry,
    http_response,
    listing,
    request,
    run,
)

from plumpick.gateway.clock import Timers
from plumpick.gateway.config import parse_config, parse_worker_list
from plumpick.gateway.listeners.http.connection_admission import SWEEP_INTERVAL_MS
from plumpick.gateway.listeners.http.parsed_request import MAX_PIPELINED_REQUESTS, PARSE_BYTES
from plumpick.gateway.platform import Platform
from plumpick.gateway.upstream.connection_pool import (
    EXCESS_MEMORY_MS,
    EXCESS_REUSE_DELAY_MS,
    MAX_IDLE_PER_WORKER,
    REUSE_DELAY_MS,
)
from plumpick.policy.actions import CancelAttempt, RejectRequest, SetTimer, StartAttempt
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    ClientDisconnected,
    EndpointState,
    EndpointsUpdated,
    RequestReceived,
    TimerFired,
)


def run_with_one_worker(scenario, **controller):
    """Run a scenario with one worker, w1, one gateway with a controller stub, and one client."""

    async def run_scenario():
        async with (
            FakeWorker() as worker,
            RunningGateway(ControllerStub(**controller), known=[entry("w1", worker.port)]) as gate,
        ):
            await scenario(worker, gate, await gate.client())

    run(run_scenario())


def test_request_and_response_are_forwarded_unchanged():
    async def scenario(worker, gate, client):
        now = gate.gateway.clock.now()  # stopped, so that the deadline is forwarded as the client set it
        gate.gateway.clock = gate.gateway.connection_pool._clock = type(
            "StoppedClock", (), {"now": staticmethod(lambda: now)}
        )
        client.send(request("00000000000000ab", "/book/7?x=%20y", key="k1", body=b"\x00\r\nbody"))
        message, writer = await worker.next_request()
        assert (message.parser.get_method(), message.url) == (b"POST", b"/book/7?x=%20y")
        assert message.body == b"\x00\r\nbody" and message.headers["x-request-id"] == "00000000000000ab"
        assert message.headers["idempotency-key"] == "k1" and message.headers["x-deadline-ms"] == "10000"
        writer.write(
            http_response(body=b"\x01\r\n\r\nanswer", extra='X-Load: {"util":0.5,"latency_ms":7}\r\n')
        )
        status, _, body = await client.read_response()
        assert (status, body) == (200, b"\x01\r\n\r\nanswer")
        received = await gate.controller.next_event(RequestReceived)
        assert (received.class_name, received.plan_name, received.gateway_set_size) == ("book", "basic", 2)
        outcome = await gate.controller.next_event(AttemptCompleted)
        assert outcome.result is AttemptResult.OK and outcome.is_final and outcome.load_report == (0.5, 7.0)
        assert not gate.gateway.requests.open and not gate.gateway.requests.attempts

    run_with_one_worker(scenario)


def test_worker_connection_is_reused(monkeypatch):
    """Guards against asking the HTTP parser for keep-alive too late, so that no connection was kept."""
    monkeypatch.setattr("plumpick.gateway.upstream.connection_pool.REUSE_DELAY_MS", 0.0)

    async def scenario(worker, gate, client):
        for number in range(5):
            client.send(request(f"{number:016x}"))
            _, writer = await worker.next_request()
            writer.write(http_response())
            assert (await client.read_response())[0] == 200
        assert worker.connections == 1

    run_with_one_worker(scenario)


def test_connection_close_of_client_is_honoured():
    async def scenario(worker, gate, client):
        client.send(request(extra="Connection: close\r\n"))
        _, writer = await worker.next_request()
        writer.write(http_response())
        assert (await client.read_response())[1]["connection"] == "close" and await client.wait_for_end()

    run_with_one_worker(scenario)


@pytest.mark.parametrize(
    "reply, result",
    [
        (http_response(500), AttemptResult.ERROR),
        (http_response(503), AttemptResult.ERROR),
        (http_response(504), AttemptResult.ERROR),
        (http_response(429), AttemptResult.ERROR),
        (http_response(503, extra="X-Not-Run: 1\r\n"), AttemptResult.REJECTED_BY_WORKER),
        (http_response(504, extra="X-Not-Run: 1\r\n"), AttemptResult.REJECTED_BY_WORKER),
        (http_response(500, extra="X-Not-Run: 1\r\n"), AttemptResult.ERROR),
        (b"what is this\r\n\r\n", AttemptResult.ERROR),
        (None, AttemptResult.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", AttemptResult.RESET),
    ],
)
def test_failed_attempt_has_documented_result_and_its_response_is_not_forwarded(reply, result):
    async def scenario(worker, gate, client):
        client.send(request())
        _, writer = await worker.next_request()
        if reply is not None:
            writer.write(reply)
        if result is AttemptResult.RESET:
            writer.close()
        status, _, body = await client.read_response()
        assert (status, body) == (502, b"")  # the response of the controller stub to a failed attempt
        assert (await gate.controller.next_event(AttemptCompleted)).result is result

    run_with_one_worker(scenario)


def test_refused_connection_is_reported_as_connect_failed():
    async def scenario():
        async with FakeWorker() as worker:
            port = worker.port
        async with RunningGateway(ControllerStub(), known=[entry("w1", port)]) as gate:
            client = await gate.client()
            assert (await client.send(request()).read_response())[0] == 502
            assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.CONNECT_FAILED

    run(scenario())


def test_close_before_request_was_fully_sent_is_reported_as_connect_failed():
    """A worker that closes the connection while the gateway still holds a part of the request cannot have
    run it."""

    async def scenario():
        started = asyncio.Event()

        async def accept_without_reading(reader, writer):
            writer.transport.pause_reading()
            started.writer = writer
            started.set()

        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(accept_without_reading, HOST, 0, limit=1)
        async with RunningGateway(
            ControllerStub(), known=[entry("w1", server.sockets[0].getsockname()[1])]
        ) as gate:
            client = await gate.client()
            client.send(request(path="/debit", body=bytes(60_000)))
            await started.wait()
            while not gate.gateway.requests.attempts:
                await gate.controller.received_events.wait()
            (attempt,) = gate.gateway.requests.attempts.values()
            while attempt.connection is None:
                await asyncio.sleep(0)
            attempt.connection.pause_writing()  # the transport calls this while it holds unsent bytes
            loop.call_soon(started.writer.transport.abort)
            assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.CONNECT_FAILED
        server.close()

    run(scenario())


def test_attempt_at_unknown_worker_is_not_started():
    async def scenario(worker, gate, client):
        assert (await client.send(request()).read_response())[0] == 502
        assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.NOT_STARTED

    run_with_one_worker(scenario, worker="w9")


def test_unresponsive_worker_times_out_and_its_connection_is_closed():
    async def scenario(worker, gate, client):
        client.send(request())
        assert (await worker.next_request())[0] is not None
        assert (await client.read_response())[0] == 502
        assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.TIMEOUT
        assert (await worker.next_request())[0] is None  # the end of the connection

    run_with_one_worker(scenario, timeout_ms=30.0)


def test_connect_attempt_times_out(monkeypatch):
    async def scenario():
        loop = asyncio.get_running_loop()
        async with RunningGateway(ControllerStub(), known=[entry("w1", 9)]) as gate:

            async def connect_forever(*_):
                await loop.create_future()

            gate.gateway.connection_pool._loop = type(
                "Loop",
                (),
                {
                    "create_task": staticmethod(loop.create_task),
                    "create_connection": staticmethod(connect_forever),
                },
            )
            client = await gate.client()
            assert (await client.send(request()).read_response())[0] == 502
            assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.CONNECT_FAILED
            assert gate.gateway.connection_pool._connection_count == 0

    run(scenario())


def test_cancelled_attempt_closes_its_connection_and_late_response_is_dropped():
    async def scenario(worker, gate, client):
        client.send(request("0000000000000001"))
        _, writer = await worker.next_request()
        received = await gate.controller.next_event(RequestReceived)
        gate.controller.next_actions = [RejectRequest(received.id, 250.0), CancelAttempt(received.id, 0)]
        gate.gateway.post_event(TimerFired("now"))
        status, headers, _ = await client.read_response()
        assert status == 503 and headers["retry-after"] == "0.250"
        assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.CANCELLED
        writer.write(http_response(body=b"late"))
        assert (await worker.next_request())[0] is None
        client.send(request("0000000000000002"))
        _, writer = await worker.next_request()
        writer.write(http_response(body=b"second"))
        assert (await client.read_response())[2] == b"second"

    run_with_one_worker(scenario)


def test_first_response_of_two_attempts_is_forwarded():
    async def scenario(worker, gate, client):
        client.send(request())
        _, first = await worker.next_request()
        received = await gate.controller.next_event(RequestReceived)
        gate.controller.next_actions = [StartAttempt(received.id, "w1", 9000.0)]
        gate.gateway.post_event(TimerFired("hedge"))
        _, second = await worker.next_request()
        second.write(http_response(body=b"second"))
        assert (await client.read_response())[2] == b"second"
        first.write(http_response(body=b"first"))
        outcomes = [await gate.controller.next_event(AttemptCompleted) for _ in range(2)]
        assert [(done.attempt, done.is_final) for done in outcomes] == [(1, True), (0, True)]
        client.send(request())
        _, writer = await worker.next_request()
        writer.write(http_response(body=b"third"))
        assert (await client.read_response())[2] == b"third"

    run_with_one_worker(scenario)


def test_attempt_for_finished_request_is_not_started():
    async def scenario(worker, gate, client):
        gate.controller.next_actions = [StartAttempt(77, "w1", 100.0)]
        gate.gateway.post_event(TimerFired("late"))
        assert (
            await gate.controller.next_event(AttemptCompleted)
        ).result is AttemptResult.NOT_STARTED and worker.connections == 0

    run_with_one_worker(scenario)


def test_client_disconnect_is_reported_to_policy():
    async def scenario(worker, gate, client):
        client.send(request())
        await worker.next_request()
        received = await gate.controller.next_event(RequestReceived)
        client.close()
        assert (
            await gate.controller.next_event(ClientDisconnected)
        ).id == received.id and not gate.gateway.requests.open

    run_with_one_worker(scenario)


def test_request_without_decision_gets_504_before_its_deadline():
    async def scenario(worker, gate, client):
        status, _, _ = await client.send(request(deadline=60)).read_response()
        assert status == 504
        received = await gate.controller.next_event(RequestReceived)
        assert (await gate.controller.next_event(ClientDisconnected)).id == received.id

    run_with_one_worker(scenario, worker=None)


def test_timers_within_one_tick_share_a_wake_up_and_never_fire_early():
    """Guards against a separate policy turn for each timer: a profile under normal load showed 1723 timers
    firing in 3686 turns."""

    async def scenario(worker, gate, client):
        gateway, times = gate.gateway, []
        gateway.clock = type("StoppedClock", (), {"now": staticmethod(lambda: 4_000_000.0)})
        gateway.timers = type(
            "RecordedTimers", (), {"call_at": staticmethod(lambda at_ms, call: times.append(at_ms))}
        )
        for after_ms in (0.0, 0.5, 4.0, 4.5):
            gateway._set_timer(SetTimer(after_ms, "agenda"))
        assert times == [4_000_000.0, 4_000_004.0, 4_000_004.0, 4_000_008.0]

    run_with_one_worker(scenario)


def test_request_gets_504_when_policy_raises():
    async def scenario(worker, gate, client):
        gate.controller.handle = lambda now, events: 1 / 0
        assert (await client.send(request(deadline=60)).read_response())[0] == 504

    run_with_one_worker(scenario)


# ---- connections to workers ---------------------------------------------------------------------


@pytest.mark.parametrize(
    "malformed",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 1000,
        b"HTTP/1.1 103 Early Hints\r\nLink: " + b"x" * 2000 + b"\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    ],
    ids=[
        "two lengths",
        "length and chunks",
        "negative length",
        "3 GB",
        "malformed chunk",
        "endless 1xx",
        "large 1xx",
        "upgrade",
    ],
)
def test_malformed_response_fails_attempt_and_closes_connection(malformed):
    async def scenario(worker, gate, client):
        client.send(request())
        _, writer = await worker.next_request()
        writer.write(malformed)
        outcome = asyncio.ensure_future(gate.controller.next_event(AttemptCompleted))
        while not outcome.done():  # interim responses (1xx) are sent without end
            if malformed.startswith(b"HTTP/1.1 10") and not writer.is_closing():
                writer.write(malformed)
            await asyncio.sleep(0)
        assert outcome.result().result is AttemptResult.ERROR
        assert (await client.read_response())[0] == 502
        assert (await worker.next_request())[0] is None

    run_with_one_worker(scenario)


def test_unread_data_on_idle_connection_is_not_taken_for_next_response():
    """A duplicate response has arrived but is still unread when the next request is sent."""

    async def scenario(worker, gate, client):
        writer = await exchange_one_request(worker, client)
        pool = gate.gateway.connection_pool
        (connection,) = pool._workers["w1"].idle
        connection.idle_since_ms -= REUSE_DELAY_MS
        connection.transport.pause_reading()  # simulates an event loop that has not read it yet
        writer.write(http_response(body=b"twice"))
        while connection.has_no_unread_input():
            await asyncio.sleep(0)
        client.send(request())
        ended, again = await worker.next_request(), await worker.next_request()
        _, other = ended if ended[0] is not None else again
        other.write(http_response(body=b"own"))
        assert (await client.read_response())[2] == b"own" and worker.connections == 2

    run_with_one_worker(scenario)


def test_connection_is_not_reused_before_reuse_delay():
    """A worker's unsolicited data behind a response may arrive some milliseconds later, so that a connection
    is reused only after a delay."""

    async def scenario(worker, gate, client):
        await exchange_one_request(worker, client)
        pool = gate.gateway.connection_pool
        (connection,) = pool._workers["w1"].idle
        since = connection.idle_since_ms
        assert pool._reusable_connection(connection.worker, since + REUSE_DELAY_MS - 0.1) is None
        assert pool._reusable_connection(connection.worker, since + REUSE_DELAY_MS + 0.1) is connection

    run_with_one_worker(scenario)


def test_delayed_duplicate_response_is_not_taken_for_next_response():
    """HTTP/1.1 does not tie a response to its request: with a reuse delay of 2 ms, a worker's duplicate
    response was taken for the response to the next request on the connection."""

    async def scenario(worker, gate, client):
        client.send(request())
        _, writer = await worker.next_request()
        writer.write(http_response(body=b"first"))
        assert (await client.read_response())[2] == b"first"
        (connection,) = gate.gateway.connection_pool._workers["w1"].idle
        connection.idle_since_ms = gate.gateway.clock.now() - 10.0
        client.send(request())
        message, other = await worker.next_request()
        assert other is not writer  # on another connection
        writer.write(http_response(body=b"twice"))
        while not connection.is_closed:
            await asyncio.sleep(0)
        other.write(http_response(body=b"own"))
        assert (await client.read_response())[2] == b"own"

    run_with_one_worker(scenario)


async def leave_connections_idle(worker, gate, client, count):
    """Have `count` requests answered at one time; returns the worker's connections, which are idle then, and
    its writers by these connections."""
    clients = [client] + [await gate.client() for _ in range(count - 1)]
    for one in clients:
        one.send(request())
    writers = [(await worker.next_request())[1] for _ in clients]
    for writer in writers:
        writer.write(http_response())
    for one in clients:
        assert (await one.read_response())[0] == 200
    idle = gate.gateway.connection_pool._workers["w1"].idle
    ports = {writer.get_extra_info("peername")[1]: writer for writer in writers}
    return list(idle), {one: ports[one.transport.get_extra_info("sockname")[1]] for one in idle}


@pytest.mark.parametrize("count", [1, 7, 8, 9, MAX_IDLE_PER_WORKER])
def test_connections_rest_for_the_whole_reuse_delay_however_many_are_idle(count):
    """Guards against review/10: with eight idle connections to a worker, one of them was used again after
    2 ms."""

    async def scenario(worker, gate, client):
        idle, _ = await leave_connections_idle(worker, gate, client, count)
        pool = gate.gateway.connection_pool
        pooled_worker, now = pool._workers["w1"], gate.gateway.clock.now()
        assert len(idle) == count
        for connection in idle:
            connection.idle_since_ms = now - REUSE_DELAY_MS + 0.1
        assert pool._reusable_connection(pooled_worker, now) is None
        assert pool._reusable_connection(pooled_worker, now + 0.2) is idle[-1]  # the most recently used

    run_with_one_worker(scenario)


@pytest.mark.parametrize("is_in_one_read", [True, False])
def test_connections_of_a_worker_that_has_sent_excess_bytes_rest_longer(is_in_one_read):
    """Guards against review/10: the duplicates of a busy worker came 20 to 40 ms late, and each response on
    the connection from then on was taken for that to the next request."""

    async def scenario(worker, gate, client):
        idle, writers = await leave_connections_idle(worker, gate, client, 2)
        pool = gate.gateway.connection_pool
        pooled_worker = pool._workers["w1"]
        if is_in_one_read:
            idle[0].idle_since_ms -= REUSE_DELAY_MS
            client.send(request())
            _, writer = await worker.next_request()
            assert writer is writers[idle[0]]
            writer.write(http_response() * 2)
            assert (await client.read_response())[0] == 200
        else:
            writers[idle[0]].write(http_response())
        while len(pooled_worker.idle) != 1:
            await asyncio.sleep(0)
        now = gate.gateway.clock.now()
        idle[1].idle_since_ms = now
        assert pool._reusable_connection(pooled_worker, now + REUSE_DELAY_MS + 1.0) is None
        assert pool._reusable_connection(pooled_worker, now + EXCESS_REUSE_DELAY_MS - 1.0) is None
        assert pool._reusable_connection(pooled_worker, now + EXCESS_REUSE_DELAY_MS) is idle[1]
        now += EXCESS_MEMORY_MS + 1.0
        idle[1].idle_since_ms = now
        pooled_worker.idle.append(idle[1])
        assert pool._reusable_connection(pooled_worker, now + REUSE_DELAY_MS) is idle[1]

    run_with_one_worker(scenario)


def test_late_duplicate_among_many_idle_connections_is_not_taken_for_next_response():
    """Guards against review/10: a client got the response to another request, whose duplicate came 3 to 10 ms
    behind it on a connection that was in use again."""

    async def scenario(worker, gate, client):
        idle, writers = await leave_connections_idle(worker, gate, client, 9)
        now = gate.gateway.clock.now()
        for connection in idle:
            connection.idle_since_ms = now - 10.0
        client.send(request())
        message, own = await worker.next_request()
        assert message is not None
        for connection in idle:
            writers[connection].write(http_response(body=b"twice"))
        while not all(connection.is_closed for connection in idle):
            await asyncio.sleep(0)
        own.write(http_response(body=b"own"))
        assert (await client.read_response())[2] == b"own"

    run_with_one_worker(scenario)


def test_data_after_response_does_not_change_its_outcome():
    async def scenario(worker, gate, client):
        client.send(request())
        _, writer = await worker.next_request()
        load = 'X-Load: {"util":0.5,"latency_ms":7}\r\n'
        writer.write(
            http_response(extra=load) + http_response(500, b"", 'X-Load: {"util":9,"latency_ms":9}\r\n')
        )
        assert (await client.read_response())[::2] == (200, b"done")
        outcome = await gate.controller.next_event(AttemptCompleted)
        assert outcome.result is AttemptResult.OK and outcome.load_report == (0.5, 7.0)
        assert (await worker.next_request())[0] is None

    run_with_one_worker(scenario)


def test_new_worker_at_known_address_replaces_old_worker():
    """Otherwise a request for the old worker would reach the new process at the same address."""

    async def scenario(worker, gate, client):
        await exchange_one_request(worker, client)
        await gate.controller.next_event(EndpointsUpdated)
        delta = listing(entry("w2", worker.port, since_ms=5000), index=2, snapshot=False)
        gate.gateway.on_worker_list(parse_worker_list(delta, "list"))
        update = await gate.controller.next_event(EndpointsUpdated)
        assert [(one.id, one.state) for one in update.endpoints] == [
            ("w2", EndpointState.READY),
            ("w1", EndpointState.GONE),
        ]
        assert (await worker.next_request())[0] is None and list(gate.gateway.connection_pool._workers) == [
            "w2"
        ]
        assert (await client.send(request()).read_response())[
            0
        ] == 502  # the controller stub still chooses w1

    run_with_one_worker(scenario)


@pytest.mark.parametrize("is_snapshot", [True, False], ids=["snapshot", "delta"])
def test_old_worker_listed_after_its_successor_at_the_same_address_gets_no_request(is_snapshot):
    """Guards against picture (e) of the operators' letter: a new process at the address of one that had gone
    was taken for the old one, if the old one was listed after it."""

    async def scenario(worker, gate, client):
        new, old = entry("w2", worker.port, since_ms=5000), entry("w1", worker.port, since_ms=1000)
        if is_snapshot:
            lists = [listing(new, old, index=2)]
        else:
            lists = [listing(new, index=2, snapshot=False), listing(old, index=3, snapshot=False)]
        for value in lists:
            gate.gateway.on_worker_list(parse_worker_list(value, "list"))
            assert list(gate.gateway.connection_pool._workers) == ["w2"]
        await asyncio.sleep(0.01)
        states = [
            (one.id, one.state)
            for event in gate.controller.events
            if isinstance(event, EndpointsUpdated)
            for one in event.endpoints
        ]
        assert states[-1] == ("w1", EndpointState.GONE)
        assert (await client.send(request()).read_response())[0] == 502  # the stub still chooses w1

    run_with_one_worker(scenario)


async def exchange_one_request(worker, client):
    """Send a request of the client and the worker's response to it; return the writer of the worker's
    connection."""
    client.send(request())
    _, writer = await worker.next_request()
    writer.write(http_response())
    assert (await client.read_response())[0] == 200
    return writer


def test_idle_connection_closed_by_worker_is_dropped():
    async def scenario(worker, gate, client):
        writer = await exchange_one_request(worker, client)
        writer.close()
        assert (await worker.next_request())[0] is None
        while gate.gateway.connection_pool._connection_count:
            await asyncio.sleep(0)
        await exchange_one_request(worker, client)
        assert worker.connections == 2

    run_with_one_worker(scenario)


def test_unsolicited_response_closes_connection():
    async def scenario(worker, gate, client):
        client.send(request())
        _, writer = await worker.next_request()
        writer.write(http_response() + http_response(body=b"twice"))
        assert (await client.read_response())[2] == b"done"
        assert (await worker.next_request())[0] is None
        await exchange_one_request(worker, client)
        assert worker.connections == 2

    run_with_one_worker(scenario)


def test_interim_response_is_skipped():
    async def scenario(worker, gate, client):
        client.send(request())
        _, writer = await worker.next_request()
        writer.write(b"HTTP/1.1 103 Early Hints\r\nX-Not-Run: 1\r\n\r\n" + http_response(body=b"real"))
        assert (await client.read_response())[::2] == (200, b"real")

    run_with_one_worker(scenario)


@pytest.mark.parametrize("change", [{"status": "draining"}, {"status": "gone"}, {"since_ms": 1000}])
def test_listed_drain_or_restart_closes_idle_connections(change):
    async def scenario(worker, gate, client):
        await exchange_one_request(worker, client)
        delta = listing(entry("w1", worker.port, **change), index=2, snapshot=False)
        gate.gateway.on_worker_list(parse_worker_list(delta, "list"))
        assert (await worker.next_request())[0] is None

    run_with_one_worker(scenario)


def test_worker_absent_from_snapshot_receives_no_more_requests():
    async def scenario(worker, gate, client):
        await exchange_one_request(worker, client)
        gate.gateway.on_worker_list(parse_worker_list(listing(index=2), "list"))
        assert (await worker.next_request())[0] is None
        assert (await client.send(request()).read_response())[0] == 502
        updates = [await gate.controller.next_event(EndpointsUpdated) for _ in range(2)]
        assert updates[1] == EndpointsUpdated((), is_snapshot=True)

    run_with_one_worker(scenario)


def test_attempt_waiting_for_connection_is_not_started_once_worker_drains():
    async def scenario(worker, gate, client):
        loop, started, allowed = asyncio.get_running_loop(), asyncio.Event(), asyncio.Event()

        async def delayed_connect(factory, host, port):
            started.set()
            await allowed.wait()
            return await loop.create_connection(factory, host, port)

        gate.gateway.connection_pool._loop = type(
            "Loop",
            (),
            {
                "create_task": staticmethod(loop.create_task),
                "create_connection": staticmethod(delayed_connect),
                "call_soon": staticmethod(loop.call_soon),
            },
        )
        client.send(request())
        await started.wait()
        delta = listing(entry("w1", worker.port, "draining"), index=2, snapshot=False)
        gate.gateway.on_worker_list(parse_worker_list(delta, "list"))
        allowed.set()
        assert (await client.read_response())[0] == 502
        assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.NOT_STARTED
        assert worker.requests.empty() and gate.gateway.connection_pool._connection_count == 0

    run_with_one_worker(scenario)


def test_connections_per_worker_are_limited(monkeypatch):
    monkeypatch.setattr("plumpick.gateway.upstream.connection_pool.MAX_CONNECTIONS_PER_WORKER", 1)

    async def scenario(worker, gate, client):
        client.send(request())
        await worker.next_request()
        other = await gate.client()
        assert (await other.send(request()).read_response())[0] == 502
        assert (await gate.controller.next_event(AttemptCompleted)).result is AttemptResult.NOT_STARTED
        assert worker.connections == 1

    run_with_one_worker(scenario)


def test_idle_connection_is_closed_before_idle_timeout_of_worker():
    async def scenario(worker, gate, client):
        await exchange_one_request(worker, client)
        pool = gate.gateway.connection_pool
        now = pool._clock.now()
        pool._clock = type("AdvancedClock", (), {"now": staticmethod(lambda: now + 17_500)})
        pool._sweep()  # the gateway uses 18 s of the worker's 30 s, less one sweep interval
        assert (await worker.next_request())[0] is None

    run_with_one_worker(scenario)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "no json",
        '{"util":-1,"latency_ms":1}',
        '{"util":0.5,"latency_ms":1e308}',
        "[1,2]",
        '{"util":0.5}',
        '{"util":"x","latency_ms":1}',
        '{"util":NaN,"latency_ms":1}',
        '{"util":1e999,"latency_ms":1}',
    ],
)
def test_malformed_load_report_is_ignored(text):
    async def scenario(worker, gate, client):
        client.send(request())
        _, writer = await worker.next_request()
        writer.write(http_response(extra=f"X-Load: {text}\r\n"))
        assert (await client.read_response())[0] == 200
        assert (await gate.controller.next_event(AttemptCompleted)).load_report == ()

    run_with_one_worker(scenario)


# ---- requests of clients ------------------------------------------------------------------------


MALFORMED_REQUESTS = {
    "binary data": (b"\x00\x01\x02 what\r\n\r\n", 400),
    "no id": (request().replace(b"X-Request-Id", b"X-Other"), 400),
    "two ids": (request(extra="X-Request-Id: 00000000000000ff\r\n"), 400),
    "deadline not a number": (request(deadline="soon"), 400),
    "negative deadline": (request(deadline=-5), 400),
    "units not numeric": (request().replace(b"units=1", b"units=x"), 400),
    "units NaN": (request().replace(b"units=1", b"units=nan"), 400),
    "spread above limit": (request().replace(b"spread=2", b"spread=9"), 400),
    "negative first": (request().replace(b"first=0", b"first=-1"), 400),
    "missing idempotency key": (request(path="/book", body=b"x"), 400),
    "negative length": (request(body=b"x").replace(b"Length: 1", b"Length: -1"), 400),
    "length and chunks": (request(body=b"x", extra="Transfer-Encoding: chunked\r\n"), 400),
    "length above limit": (request(body=b"x").replace(b"Length: 1", b"Length: 9999999999999999"), 413),
    "large body of unknown class": (
        request(path="/none", body=b"x").replace(b"Length: 1", b"Length: 65537"),
        404,
    ),
    "large head": (request(extra="X-Filler: " + "x" * 40_000 + "\r\n"), 431),
    "head without end": (b"GET /look HTTP/1.1\r\nX-Filler: " + b"x" * 40_000, 431),
}


@pytest.mark.parametrize("name", MALFORMED_REQUESTS)
def test_malformed_request_gets_error_without_affecting_other_connections(name):
    data, status = MALFORMED_REQUESTS[name]

    async def scenario(worker, gate, client):
        other = await gate.client()
        other.send(request())
        _, writer = await worker.next_request()
        assert (await client.send(data).read_response())[0] == status and await client.wait_for_end()
        writer.write(http_response())
        assert (await other.read_response())[0] == 200
        assert len(gate.gateway.requests.open) == 0 and worker.requests.empty()

    run_with_one_worker(scenario)


def test_pipelined_requests_are_answered_in_order():
    """Guards against a 400 for pipelined requests: requests received in one piece were rejected behind the
    first response."""

    async def scenario(worker, gate, client):
        client.send(request(path="/look/1") + request(path="/look/2"))
        client.send(request(path="/look/3"))
        for number in (b"1", b"2", b"3"):
            message, writer = await worker.next_request()
            assert message.url == b"/look/" + number and worker.requests.empty()
            writer.write(http_response(body=number))
            assert (await client.read_response())[::2] == (200, number)

    run_with_one_worker(scenario)


def test_error_for_pipelined_malformed_request_follows_response_of_open_request():
    async def scenario(worker, gate, client):
        client.send(request() + b"noise\r\n\r\n" + request())
        _, writer = await worker.next_request()
        writer.write(http_response(body=b"first"))
        assert (await client.read_response())[::2] == (200, b"first")
        assert (await client.read_response())[0] == 400 and await client.wait_for_end()
        assert worker.requests.empty()

    run_with_one_worker(scenario)


def test_requests_split_at_various_positions_are_parsed():
    async def scenario(worker, gate, _client):
        for cut in range(0, len(request(path="/debit/1", body=b"one") + request(path="/look/2")), 3):
            data = request(path="/debit/1", body=b"one") + request(path="/look/2")
            client = await gate.client()
            client.send(data[:cut])
            await client.writer.drain()
            await asyncio.sleep(0)
            client.send(data[cut:])
            for _ in range(2):
                message, writer = await worker.next_request()
                while message is None:
                    message, writer = await worker.next_request()
                writer.write(http_response(body=message.url))
                assert (await client.read_response())[0] == 200
            client.close()

    run_with_one_worker(scenario)


def test_request_received_byte_by_byte_is_parsed():
    async def scenario(worker, gate, client):
        for byte in request(path="/debit", body=b"piece"):
            client.send(bytes([byte]))
            await client.writer.drain()
            await asyncio.sleep(0)
        message, writer = await worker.next_request()
        assert message.body == b"piece"
        writer.write(http_response())
        assert (await client.read_response())[0] == 200

    run_with_one_worker(scenario)


def test_id_of_open_or_recent_request_is_rejected():
    """Guards against a request that reuses another request's id and is sent to a worker as an attempt of the
    other."""

    async def scenario(worker, gate, client):
        other = await gate.client()
        client.send(request("00000000000000aa"))
        _, writer = await worker.next_request()
        assert (await other.send(request("00000000000000aa", "/debit", body=b"x")).read_response())[0] == 409
        writer.write(http_response(body=b"first"))
        assert (await client.read_response())[2] == b"first"
        assert (await other.send(request("00000000000000aa")).read_response())[0] == 409
        assert worker.requests.empty()
        gate.gateway.requests.ids.expire(gate.gateway.clock.now())
        gate.gateway.requests.ids.expire(gate.gateway.clock.now())
        assert gate.gateway.requests.ids.is_empty()

    run_with_one_worker(scenario)


def test_id_of_a_request_whose_client_has_left_stays_reserved_until_its_deadline():
    """Guards against picture (c) of the operators' letter: an id ran twice when it came again some seconds
    after its client had left, while its worker was still busy with it."""

    async def scenario(worker, gate, client):
        debit = request("00000000000000aa", "/debit", body=b"x", deadline=1000)
        client.send(debit)
        await worker.next_request()
        client.close()
        await gate.controller.next_event(ClientDisconnected)
        ids, now = gate.gateway.requests.ids, gate.gateway.clock.now()
        other = await gate.client()
        for _ in range(2):  # the time for which ended ids are reserved
            ids.expire(now)
            assert (await other.send(debit).read_response())[0] == 409
        for _ in range(3):
            ids.expire(now + 1000.0)
        assert ids.is_empty()
        other = await gate.client()
        other.send(debit)
        message, writer = await worker.next_request()
        while message is None:  # the connection of the cancelled attempt has ended
            message, writer = await worker.next_request()
        writer.write(http_response())
        assert (await other.read_response())[0] == 200

    run_with_one_worker(scenario)


INVALID_REQUESTS = {
    "unknown class": (request(path="/looks"), 404),
    "unknown plan": (request().replace(b"basic", b"golden"), 400),
    "customer beyond 2^33": (request().replace(b"00000000b4d65521", b"10990c1ab00459d1"), 400),
    "customer not hexadecimal": (request().replace(b"00000000b4d65521", b"00000000b4d6552g"), 400),
    "non-ASCII id": (request().replace(b"X-Request-Id: ", b"X-Request-Id: \x80"), 400),
    "GET for fragile class": (request(path="/debit"), 405),
    "POST for retryable class": (request(body=b"x"), 405),
    "GET with a body": (request(extra="Content-Length: 1\r\n") + b"x", 400),
    "key for class without keys": (request(path="/debit", key="k", body=b"x"), 400),
    "malformed key": (request(path="/book", key="a b", body=b"x"), 400),
    "units with underscore": (request().replace(b"units=1", b"units=1_0"), 400),
    "units above limit": (request().replace(b"units=1", b"units=1e12"), 400),
    "units twice": (request().replace(b"units=1", b"units=1,units=1"), 400),
    "fractional spread": (request().replace(b"spread=2", b"spread=2.5"), 400),
    "no spread": (request().replace(b"spread=2,", b""), 400),
}


@pytest.mark.parametrize("name", INVALID_REQUESTS)
def test_invalid_request_is_rejected_before_policy_and_connection_stays_open(name):
    data, status = INVALID_REQUESTS[name]

    async def scenario(worker, gate, client):
        assert (await client.send(data).read_response())[0] == status
        client.send(request())
        _, writer = await worker.next_request()
        writer.write(http_response())
        assert (await client.read_response())[0] == 200
        assert len([event for event in gate.controller.events if isinstance(event, RequestReceived)]) == 1

    run_with_one_worker(scenario)


def test_each_rejected_request_doubles_the_delay_before_the_next_read():
    """The error response itself is sent without delay. The delay before the next read is at most 1000 ms."""

    async def scenario(worker, gate, client):
        gate.gateway.timers = timers = Timers(asyncio.get_running_loop(), gate.gateway.clock)
        delays_ms, call_at = [], timers.call_at
        timers.call_at = lambda at_ms, call: (
            delays_ms.append(round(at_ms - gate.gateway.clock.now())),
            call_at(0.0, call),
        )
        for _ in range(7):
            assert (await client.send(request(path="/none")).read_response())[0] == 404
        assert delays_ms == [50, 100, 200, 400, 800, 1000, 1000]

    run_with_one_worker(scenario)


def test_pipelined_invalid_requests_get_errors_in_order_and_their_number_is_limited():
    async def scenario(worker, gate, client):
        client.send(request(path="/none") * 2 + request())
        assert [(await client.read_response())[0] for _ in range(2)] == [404, 404]
        _, writer = await worker.next_request()
        writer.write(http_response())
        assert (await client.read_response())[0] == 200
        invalid = request(path="/none")
        client.send(invalid * 300)
        (one,) = gate.listener.admission.connections
        most = 0
        for _ in range(300):
            assert (await client.read_response())[0] == 404
            most = max(most, len(one.pipelined))
        assert most <= MAX_PIPELINED_REQUESTS + PARSE_BYTES // len(invalid) + 1
        assert not one.pipelined and not one.unparsed and not gate.gateway.memory.used_bytes

    run_with_one_worker(scenario)


async def wait_for_connections(gate, count):
    """Wait until the gateway has accepted at least `count` connections of clients."""
    while len(gate.listener.admission) < count:
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    "sent, status",
    [
        (b"", None),
        (b"\r\n\r\n\r\n", None),
        (b"GET /look HTTP/1.1\r\n", 408),
        (request(body=b"half")[:-2], 408),
    ],
)
def test_client_without_complete_request_is_answered_or_closed_in_time(sent, status):
    """The limit is 3 s including the sweep interval. Guards against connections held for 11 s by half a
    request, or without limit by a client that sends nothing."""

    async def scenario(worker, gate, client):
        client.send(sent)
        while sent.strip() and not any(one.incoming for one in gate.listener.admission.connections):
            await asyncio.sleep(0)
        await wait_for_connections(gate, 1)
        advance_time(gate, 2000)
        (one,) = gate.listener.admission.connections
        assert not one.is_closing
        advance_time(gate, 3000 - SWEEP_INTERVAL_MS)
        try:
            response = await client.read_response()
        except ConnectionResetError:  # the gateway closed before it read the blank lines
            response = None
        assert (response and response[0]) == status and await client.wait_for_end()

    run_with_one_worker(scenario)


def test_trailers_and_chunk_extensions_are_limited_and_ignored():
    async def scenario(worker, gate, client):
        head = request(path="/debit", extra="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST")
        client.send(head + b"1\r\nx\r\n0\r\nX-Tier: other\r\nIdempotency-Key: k\r\n\r\n")
        message, writer = await worker.next_request()
        assert message.body == b"x" and "idempotency-key" not in message.headers
        writer.write(http_response())
        assert (await client.read_response())[0] == 200
        client.send(head + b"0\r\n" + b"X-Tier: other\r\n" * 2000)
        assert (await client.read_response())[0] == 431
        client = await gate.client()
        client.send(head + (b"1;" + b"x" * 9000 + b"\r\nx\r\n") * 70)
        assert (await client.read_response())[0] == 413

    run_with_one_worker(scenario)


def test_error_reaches_client_that_goes_on_sending_large_body():
    async def scenario(worker, gate, client):
        client.send(request(path="/none", body=b"x").replace(b"Length: 1", b"Length: 60000000"))
        for _ in range(64):
            client.send(bytes(256 * 1024))
            await client.writer.drain()
        assert (await client.read_response())[0] == 404 and await client.wait_for_end()

    run_with_one_worker(scenario)


def test_eviction_order_is_rejected_then_unused_then_idle_and_never_open_requests():
    async def scenario(worker, gate, client):
        admission = gate.listener.admission
        client.send(request())
        await worker.next_request()
        idle = await gate.client()
        other = idle.send(request())
        _, writer = await worker.next_request()
        writer.write(http_response())
        await other.read_response()
        unused = [await gate.client() for _ in range(2)]
        rejected = (await gate.client()).send(b"noise\r\n\r\n")
        assert (await rejected.read_response())[0] == 400
        for limit, evicted in ((4, rejected), (3, unused[0]), (2, unused[1]), (1, idle), (0, None)):
            admission.max_connections = limit
            admission.evict_excess(gate.gateway.clock.now() + 1000.0)
            if evicted is not None:
                assert await evicted.wait_for_end() and len(admission) == limit
        assert len(admission) == 1 and len(gate.gateway.requests.open) == 1

    run_with_one_worker(scenario)


def test_idle_connection_with_unread_request_is_not_closed():
    """Guards against closing a connection as idle while a request waits unread on it: under CPU load, four
    requests were lost in this way."""

    async def scenario(worker, gate, client):
        client.send(request())
        _, writer = await worker.next_request()
        writer.write(http_response())
        assert (await client.read_response())[0] == 200
        (one,) = gate.listener.admission.connections
        one.transport.pause_reading()  # simulates an event loop that has not read the request yet
        client.send(request())
        while Platform().has_no_unread_input(one.transport):
            await asyncio.sleep(0)
        one.close_if_idle()
        one.transport.resume_reading()
        _, writer = await worker.next_request()
        writer.write(http_response())
        assert (await client.read_response())[0] == 200

    run_with_one_worker(scenario)


def test_simultaneous_connections_do_not_keep_new_client_out():
    async def scenario(worker, gate, client):
        admission = gate.listener.admission
        await wait_for_connections(gate, 1)
        simultaneous_clients = [await gate.client() for _ in range(admission.hard_max_connections + 20)]
        late = (await gate.client()).send(request())
        while True:  # at the hard limit a new connection is closed, and the client connects again
            received = asyncio.ensure_future(worker.next_request())
            closed = asyncio.ensure_future(late.wait_for_end())
            await asyncio.wait((received, closed), return_when=asyncio.FIRST_COMPLETED)
            if received.done():
                break
            received.cancel()
            late = (await gate.client()).send(request())
        closed.cancel()
        # Simultaneous connections may exceed the hard limit by the descriptors that worker connections do not
        # need, until the gateway has read from all of them.
        assert len(admission) <= admission.hard_max_connections + gate.gateway.spare_descriptors()
        while len(admission) > admission.hard_max_connections:
            await asyncio.sleep(0)
        assert len(gate.gateway.requests.open) == 1
        for one in simultaneous_clients:
            one.close()

    run_with_one_worker(scenario)


def test_longest_idle_connection_above_limit_is_closed_first():
    """Guards against clients that send one request and stay connected: they used up the connection limit of
    clients."""

    async def scenario(worker, gate, client):
        gate.listener.admission.max_long_idle = 1
        first, second = client, await gate.client()
        for one in (first, second):
            one.send(request())
            _, writer = await worker.next_request()
            writer.write(http_response())
            await one.read_response()
        advance_time(gate, 1900)
        assert len(gate.listener.admission) == 2
        advance_time(gate, 2100)
        assert await first.wait_for_end()
        assert len(gate.listener.admission) == 1
        advance_time(gate, 61_000)
        assert await second.wait_for_end()

    run_with_one_worker(scenario)


def test_idle_connections_are_closed_sooner_when_crowded():
    """Guards against many clients that send one request and stay connected: 128 of them within 2 s used up
    the connection limit of clients."""

    async def scenario(worker, gate, client):
        gate.listener.admission.crowded_connections = 1
        other = await gate.client()
        for one in (client, other):
            one.send(request())
            _, writer = await worker.next_request()
            writer.write(http_response())
            await one.read_response()
        advance_time(gate, 300)
        assert await client.wait_for_end()
        client.close()  # until the client closes too, the gateway reads and drops its data
        while len(gate.listener.admission) > 1:
            await asyncio.sleep(0)
        advance_time(gate, 300)
        other.send(request())
        assert (await worker.next_request())[0] is not None

    run_with_one_worker(scenario)


def test_closed_connection_leaves_no_cycle():
    async def scenario(worker, gate, client):
        client.send(request())
        _, writer = await worker.next_request()
        writer.write(http_response())
        await client.read_response()
        gc.collect()
        gc.disable()
        try:
            one = weakref.ref(*gate.listener.admission.connections)
            client.close()
            while one() is not None:
                await asyncio.sleep(0)
        finally:
            gc.enable()

    run_with_one_worker(scenario)


def test_request_during_shutdown_is_answered_before_planned_end():
    async def scenario(worker, gate, client):
        gate.gateway.shut_down_within(150.0)
        started_ms = gate.gateway.clock.now()
        client.send(request(deadline=10_000))
        received = await gate.controller.next_event(RequestReceived)
        assert received.deadline_ms < started_ms + 150.0
        assert (await client.read_response())[0] == 504 and not gate.gateway.requests.open

    run_with_one_worker(scenario, worker=None)


def test_readiness_check_succeeds_only_when_ready():
    async def scenario(worker, gate, client):
        readiness_check = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n"
        gate.gateway.is_ready = False
        assert (await client.send(readiness_check).read_response())[0] == 503
        gate.gateway.is_ready = True
        assert (await client.send(readiness_check).read_response())[0] == 200

    run_with_one_worker(scenario)


# ---- configuration ------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "change, name",
    [
        ({"listen": "here"}, "config.listen"),
        ({"seed": "xyz"}, "config.seed"),
        ({"settings": 3}, "settings"),
        ({"peers": ["127.0.0.1:1"]}, "config.peers"),
        ({"known": {"index": 1, "endpoints": [{}]}}, "endpoints[0]"),
        ({"known": {"index": 10**400, "endpoints": []}}, "index"),
        ({"discovery": "h:70000"}, "discovery"),
    ],
)
def test_malformed_configuration_error_names_key(change, name):
    value = config()
    value.update(change)
    with pytest.raises(ValueError, match="config") as error:
        parse_config(json.loads(json.dumps(value)), {})
    assert name in str(error.value)


@pytest.mark.parametrize(
    "change, key",
    [
        (lambda value: value["classes"].clear(), "settings.classes"),
        (lambda value: value["classes"][1].update(deadlineMs=0), "classes[1].deadlineMs"),
        (lambda value: value["classes"][1].update(deadlineMs=-5), "classes[1].deadlineMs"),
        (lambda value: value["classes"][1].update(dedupWindowMs=-1), "classes[1].dedupWindowMs"),
        (lambda value: value["classes"][0].update(repeat="sometimes"), "classes[0].repeat"),
        (lambda value: value["classes"][1].update(keyScope="planet"), "classes[1].keyScope"),
        (lambda value: value["classes"][2].pop("name"), "classes[2].name"),
    ],
)
def test_invalid_settings_error_names_key(change, key):
    value = config()
    change(value["settings"])
    with pytest.raises(ValueError) as error:
        parse_config(json.loads(json.dumps(value)), {})
    assert key in str(error.value) and "\n" not in str(error.value)


def test_environment_replaces_keys_missing_from_configuration():
    value = config()
    del value["name"], value["listen"], value["discovery"]
    parsed = parse_config(
        value, {"BALANCER_NAME": "n7", "BALANCER_LISTEN": f"{HOST}:5", "BALANCER_DISCOVERY": f"{HOST}:6"}
    )
    assert (parsed.name, parsed.listen, parsed.discovery) == ("n7", (HOST, 5), (HOST, 6))


def test_endpoint_list_is_parsed():
    update = parse_worker_list(listing(entry("w1", 5000, "draining", 77), index=41, snapshot=False), "list")
    server = update.entries[0].server
    assert (update.index, update.complete, update.entries[0].address) == (41, False, (HOST, 5000))
    assert (server.id, server.zone, server.state, server.started_ms) == (
        "w1",
        "a",
        EndpointState.DRAINING,
        77.0,
    )


def test_policy_serves_request_end_to_end():
    """The one scenario of this file with the real policy controller: request, quota, choice of worker and
    response."""

    async def scenario():
        async with FakeWorker() as worker, RunningGateway(known=[entry("w1", worker.port)]) as gate:
            client = await Client().open(gate.port)
            client.send(request())
            _, writer = await worker.next_request()
            writer.write(http_response())
            assert (await client.read_response())[::2] == (200, b"done")

    run(scenario())
