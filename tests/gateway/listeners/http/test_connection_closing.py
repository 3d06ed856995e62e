"""Closing a client's connection at the moment at which bytes arrive on it."""

import asyncio
import socket

import pytest
from support.delays import advance_time
from support.fakes import (
    HOST,
    ControllerStub,
    FakeWorker,
    RunningGateway,
    SocketClient,
    assert_next_requests,
    entry,
    http_response,
    request,
    run,
    run_with_worker,
    shrink_send_buffer,
)

from plumpick.gateway.listeners.http.connection_admission import UNREAD_RESPONSE_TIMEOUT_MS
from plumpick.gateway.platform import Platform
from plumpick.gateway.shutdown import close_listener


async def exchange(worker, client, extra=""):
    """Have the client send a request and the worker answer it."""
    client.send(request(extra=extra))
    _, writer = await worker.next_request()
    writer.write(http_response())


def test_response_is_delivered_when_connection_closes_over_unread_bytes():
    """Guards against closing a connection at once after a response with `Connection: close`: with unread
    bytes on it the connection is reset, and the response is lost."""

    async def scenario(worker, gate, client):
        client.close()
        plug = SocketClient(gate.port)
        plug.send(request(extra="Connection: close\r\n"))
        _, writer = await worker.next_request()
        connection = busy_connection(gate)
        connection.transport.pause_reading()  # as if the event loop had not polled the connection yet
        plug.send(b"GET /lo")
        writer.write(http_response())
        assert b"200 OK" in await plug.receive() and await plug.receive() == b""
        plug.close()

    run_with_worker(scenario)


@pytest.mark.parametrize(
    "late_bytes", [b"GET /look HT", request("00000000000000ee")], ids=["partial request", "complete request"]
)
def test_request_that_arrives_while_an_idle_connection_closes_is_never_submitted(late_bytes):
    """The client reads a regular close, not a reset, so it can safely retry the request elsewhere."""

    async def scenario(worker, gate, client):
        client.close()
        plug = SocketClient(gate.port)
        plug.send(request())
        _, writer = await worker.next_request()
        writer.write(http_response())
        connection = busy_connection(gate)
        assert b"200 OK" in await plug.receive()
        has_no_unread_input = gate.listener.has_no_unread_input

        def check_then_send(transport):
            result = has_no_unread_input(transport)
            plug.send(late_bytes)
            assert result and not has_no_unread_input(transport)  # received before the loop runs again
            return result

        gate.listener.has_no_unread_input = check_then_send
        connection.close_if_idle()
        gate.listener.has_no_unread_input = has_no_unread_input
        assert connection.is_closing and await plug.receive() == b""
        plug.close()
        await assert_next_requests(worker, gate)
        assert not gate.gateway.requests.open

    run_with_worker(scenario)


def test_idle_connections_closed_together_end_cleanly_while_their_clients_send():
    async def scenario(worker, gate, client):
        clients = [client] + [await gate.client() for _ in range(20)]
        for each_client in clients:
            await exchange(worker, each_client)
            assert (await each_client.read_response())[0] == 200
        gate.listener.close_idle()
        for each_client in clients:
            each_client.send(request())
        for each_client in clients:
            assert await each_client.reader.read() == b""
            each_client.close()
        while gate.listener.admission:
            await asyncio.sleep(0)
        await assert_next_requests(worker, gate)

    run_with_worker(scenario)


def test_slow_reader_gets_the_whole_response_before_its_connection_closes():
    """Guards against dropping response bytes that are still unwritten 1 s after the end of the response."""

    async def scenario(worker, gate, client):
        client.close()
        plug = SocketClient(gate.port, receive_buffer_bytes=4096)
        plug.send(request(extra="Connection: close\r\n"))
        _, writer = await worker.next_request()
        connection = busy_connection(gate)
        shrink_send_buffer(connection)
        body = bytes(range(250)) * 240
        writer.write(http_response(body=body))
        while not connection.is_closing:
            await asyncio.sleep(0)
        for _ in range(3):  # the client does not read for 4.5 s
            assert connection.unwritten_bytes()
            advance_time(gate, 1500)
        parts = [await plug.receive()]
        while parts[-1]:
            parts.append(await plug.receive())
        head, _, received = b"".join(parts).partition(b"\r\n\r\n")
        assert b"200 OK" in head and received == body
        plug.close()

    run_with_worker(scenario)


async def close_and_wait(gate, client):
    client.close()
    while gate.listener.admission.connections:
        await asyncio.sleep(0.01)


PIPELINED = 12


async def pipeline_without_reading(worker, gate, body):
    """Let a client write PIPELINED requests one by one and read nothing, and a worker answer each with
    `body`; returns the client, its connection and the tasks of client and worker."""
    plug = SocketClient(gate.port, receive_buffer_bytes=4096)
    while not gate.listener.admission.connections:
        await asyncio.sleep(0.01)
    (connection,) = gate.listener.admission.connections
    shrink_send_buffer(connection)

    async def write():
        plug.connection.setblocking(False)
        for _ in range(PIPELINED):
            await asyncio.get_running_loop().sock_sendall(plug.connection, request(deadline=20_000))
            await asyncio.sleep(0.02)

    async def answer():
        while True:
            _, writer = await worker.next_request()
            writer.write(http_response(body=body))

    return plug, connection, [asyncio.ensure_future(write()), asyncio.ensure_future(answer())]


def test_client_that_reads_no_response_is_served_no_further_request():
    """Guards against picture (b) of the operators' letter: memory grew without end for a client that sent on
    and on and read nothing, as each response was added to the unwritten ones."""

    async def scenario(worker, gate, client):
        await close_and_wait(gate, client)
        body = bytes(60_000)
        plug, connection, tasks = await pipeline_without_reading(worker, gate, body)
        await asyncio.sleep(1.5)
        assert 0 < connection.unwritten_bytes() <= 3 * len(body)
        received = 0
        while received < PIPELINED * len(body):  # then it reads, and gets every response
            data = await plug.receive(2**20)
            assert data
            received += len(data)
        for task in tasks:
            task.cancel()
        plug.close()

    run_with_worker(scenario)


def test_client_that_reads_no_response_for_long_is_disconnected():
    async def scenario(worker, gate, client):
        await close_and_wait(gate, client)
        plug, connection, tasks = await pipeline_without_reading(worker, gate, bytes(60_000))
        admission = gate.listener.admission
        while not admission._unread:
            await asyncio.sleep(0.01)
        now = gate.gateway.clock.now()
        admission._end_unread(now + 5000.0, False)
        admission._end_unread(now + 5000.0 + UNREAD_RESPONSE_TIMEOUT_MS - 100.0, False)
        assert not connection.is_closing
        admission._end_unread(now + 5000.0 + UNREAD_RESPONSE_TIMEOUT_MS + 100.0, False)
        assert connection.is_closing
        for task in tasks:
            task.cancel()
        plug.close()

    run_with_worker(scenario)


def test_reader_that_empties_only_the_kernels_buffer_is_not_taken_for_a_stopped_one():
    """Guards against a neighbour of review/9: the rest of a response was dropped after 10 s without a write,
    though its client was reading what the kernel held."""

    async def scenario(worker, gate, client):
        client.close()
        plug = SocketClient(gate.port, receive_buffer_bytes=65536)
        plug.send(request(path="/look", extra="Connection: close\r\n"))
        _, writer = await worker.next_request()
        connection = busy_connection(gate)
        size = 12 * 2**20
        connection.pause_writing = lambda: None  # so that the response ends here while most is not delivered
        writer.write(http_response(body=bytes(size)))
        while not connection.is_closing:
            await asyncio.sleep(0.01)
        unwritten, received = connection.unwritten_bytes(), 0
        admission, now = gate.listener.admission, gate.gateway.clock.now()
        for step in range(1, 5):
            received += len(await plug.receive(2**18))
            await asyncio.sleep(0.05)
            admission._end_lingering(now + step * (UNREAD_RESPONSE_TIMEOUT_MS + 100), False)
        assert connection.unwritten_bytes() == unwritten > 0, "the rest was dropped, or the kernel took more"
        while data := await plug.receive(2**20):
            received += len(data)
        assert received > size
        plug.close()

    run_with_worker(scenario)


def test_connection_whose_client_reads_nothing_is_aborted_after_the_unread_timeout():
    class StuckConnection:
        closing_since_ms, undelivered_at_last_sweep, received_while_closing = 0.0, 0, False

        def __init__(self):
            self.is_aborted = False

        def unwritten_bytes(self):
            return 1000

        def undelivered_bytes(self):
            return 3000

        def abort(self):
            self.is_aborted = True

    from plumpick.gateway.listeners.http.connection_admission import (
        SHUTDOWN_UNREAD_RESPONSE_TIMEOUT_MS,
        SWEEP_INTERVAL_MS,
        UNREAD_RESPONSE_TIMEOUT_MS,
        ConnectionAdmission,
    )

    cases = ((False, UNREAD_RESPONSE_TIMEOUT_MS), (True, SHUTDOWN_UNREAD_RESPONSE_TIMEOUT_MS))
    for is_shutting_down, timeout_ms in cases:
        stuck, admission = StuckConnection(), ConnectionAdmission(256, 0.0)
        admission.connections[stuck] = None
        admission.on_closing(stuck, 0.0)
        now, aborted_ms = 0.0, None
        while now < 2 * UNREAD_RESPONSE_TIMEOUT_MS and aborted_ms is None:
            now += SWEEP_INTERVAL_MS
            admission.sweep(now, is_shutting_down)
            aborted_ms = now if stuck.is_aborted else None
        assert aborted_ms is not None and timeout_ms <= aborted_ms <= timeout_ms + 2000.0


def test_connections_in_the_backlog_are_served_when_the_listener_closes():
    """Closing a listener resets the connections in its backlog, which the process has not accepted yet."""

    async def scenario():
        loop = asyncio.get_running_loop()
        async with (
            FakeWorker() as worker,
            RunningGateway(ControllerStub(), known=[entry("w1", worker.port)]) as gate,
        ):
            listening = Platform().create_listener((HOST, 0), 16)
            server = await loop.create_server(gate.listener.create_connection, sock=listening)
            plugs, address = [], listening.getsockname()
            for number in range(8):  # the event loop does not run meanwhile
                plug = SocketClient(address[1])
                plug.send(request(f"{number:016x}"))
                plugs.append(plug)
            await close_listener(loop, server, listening, gate.listener)
            for _ in plugs:
                _, writer = await worker.next_request()
                writer.write(http_response())
            for plug in plugs:
                assert b"200 OK" in await plug.receive()
                plug.close()
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(address)

    run(scenario())


def test_connection_with_unwritten_response_is_not_transferred_to_the_next_process():
    """Bytes that are not handed to the kernel yet are not transferred with the descriptor."""

    async def scenario(worker, gate, client):
        client.close()
        plug, transferred = SocketClient(gate.port, receive_buffer_bytes=4096), []

        def send_descriptor(descriptor):
            transferred.append(descriptor)
            return True

        plug.send(request())
        _, writer = await worker.next_request()
        connection = busy_connection(gate)
        shrink_send_buffer(connection)
        body = bytes(range(250)) * 240
        writer.write(http_response(body=body))
        while connection.open_request is not None:
            await asyncio.sleep(0)
        assert connection.unwritten_bytes()
        assert gate.listener.transfer_idle_connections(send_descriptor)
        assert not transferred
        received = b""
        while not received.endswith(body):
            received += await plug.receive()
        descriptor = connection.transport.get_extra_info("socket").fileno()
        assert gate.listener.transfer_idle_connections(send_descriptor)
        assert transferred == [descriptor]
        plug.close()

    run_with_worker(scenario)


def busy_connection(gate):
    """Return the only client connection with an open request."""
    (connection,) = [conn for conn in gate.listener.admission.connections if conn.open_request is not None]
    return connection
