"""Each request that was read is answered before its connection closes, whatever closes it.

A table: the reason for closing, and what stands on the connection behind the request that is open. The last
response that is due, and no other, has the header `Connection: close`."""

import asyncio
import contextlib
from types import SimpleNamespace

import pytest
from support.delays import advance_time
from support.fakes import (
    SocketClient,
    http_response,
    request,
    run_with_worker,
)

from plumpick.gateway.memory_budget import MemoryHolder
from plumpick.policy.actions import SetAdmissionState
from plumpick.policy.draining import AdmissionState

LARGE = 300_000


def sibling():
    """The next process of a hot restart, which ignores what it is told."""
    return SimpleNamespace(on_request_id_claimed=lambda _id: None, on_operator_command=lambda *_: None)


CLOSING = {
    "shutdown": lambda gate: gate.gateway.start_closing_connections(),
    "drain": lambda gate: gate.gateway._set_admission_state(SetAdmissionState(AdmissionState.REDIRECTING)),
    "late drain": lambda gate: gate.gateway._set_admission_state(
        SetAdmissionState(AdmissionState.CLOSING_UNREAD)
    ),
    "hand-over": lambda gate: gate.gateway.start_handover(sibling()),
}


def requests(count):
    return b"".join(request() for _ in range(count))


BODY = b"x" * 1000
# What stands behind the open request: bytes sent with it, bytes sent after its response, and the statuses.
BEHIND = {
    "nothing": (b"", b"", []),
    "seven requests": (requests(7), b"", [200] * 7),
    "a head in part": (request()[:40], request()[40:], [200]),
    "a body in part": (request(path="/debit", body=BODY)[:-500], BODY[:500], [200]),
    "a request and a head in part": (requests(1) + request()[:40], request()[40:], [200, 200]),
    "an invalid request and a valid one": (request(path="/none") + request(), b"", [404, 200]),
    "bytes that are no request": (requests(2) + b"no request\r\n\r\n", b"", [200, 200, 400]),
    "a request and a head that never ends": (requests(1) + request()[:40], b"", [200, 408]),
    "a readiness check and a request": (b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n" + request(), b"", [None, 200]),
}


async def serve(worker, size=4):
    """Answer each request at the worker with `size` bytes."""
    while True:
        message, writer = await worker.next_request()
        if message is not None:
            writer.write(http_response(body=bytes(size)))


async def read_statuses(client, count):
    """The statuses of the next `count` whole responses, and which of them close the connection."""
    statuses, closing = [], []
    for _ in range(count):
        try:
            head = await client.reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            break
        await client.reader.readexactly(int(head.partition(b"Content-Length: ")[2].partition(b"\r")[0]))
        statuses.append(int(head.split()[1]))
        closing.append(b"Connection: close" in head)
    return statuses, closing


@pytest.mark.parametrize("size", [4, LARGE], ids=["buffered response", "streamed response"])
@pytest.mark.parametrize("behind", BEHIND)
@pytest.mark.parametrize("reason", CLOSING)
def test_requests_behind_an_open_one_are_answered_before_the_connection_closes(reason, behind, size):
    """Guards against report 103a87: a response in a shutdown, drain or hand-over closed its connection, and
    the requests that were read behind it got nothing."""
    sent_with, sent_after, expected = BEHIND[behind]

    async def scenario(worker, gate, client):
        client.send(request() + sent_with)
        message, writer = await worker.next_request()
        CLOSING[reason](gate)
        writer.write(http_response(body=bytes(size)))
        server = asyncio.ensure_future(serve(worker, size))
        statuses, closing = await read_statuses(client, 1)
        client.send(sent_after)
        if 408 in expected:
            more = await read_statuses(client, len(expected) - 1)
            advance_time(gate, 2600.0)
            statuses, closing = statuses + more[0], closing + more[1]
        more = await read_statuses(client, 1 + len(expected) - len(statuses))
        statuses, closing = statuses + more[0], closing + more[1]
        wanted = [200, *expected]
        assert len(statuses) == len(wanted)
        statuses = [want and status for status, want in zip(statuses, wanted, strict=True)]
        assert statuses == wanted
        assert closing == [False] * (len(wanted) - 1) + [True]
        assert await client.wait_for_end()
        server.cancel()

    run_with_worker(scenario)


@pytest.mark.parametrize("reason", CLOSING)
def test_a_request_that_waits_unread_when_its_connection_is_to_close_is_answered(reason):
    """Guards against a close that crosses a request which had arrived before it."""

    async def scenario(worker, gate, client):
        client.send(request())
        _, writer = await worker.next_request()
        (connection,) = gate.listener.admission.connections
        connection.transport.pause_reading()  # as if the event loop had not polled the connection yet
        client.send(request())
        while gate.listener.has_no_unread_input(connection.transport):
            await asyncio.sleep(0.001)
        CLOSING[reason](gate)
        writer.write(http_response())
        assert (await read_statuses(client, 1)) == ([200], [False])
        connection.transport.resume_reading()
        (await worker.next_request())[1].write(http_response())
        assert (await read_statuses(client, 1)) == ([200], [True])
        assert await client.wait_for_end()

    run_with_worker(scenario)


def test_a_client_that_never_stops_sending_does_not_keep_its_connection_after_the_last_answers_are_due():
    """Guards against a shutdown that reads on until SIGKILL, which then finds requests unanswered."""

    async def scenario(worker, gate, client):
        server = asyncio.ensure_future(serve(worker))

        async def send():
            while True:
                client.send(requests(3))
                await asyncio.sleep(0.005)

        sender = asyncio.ensure_future(send())
        assert (await read_statuses(client, 5))[0] == [200] * 5
        gate.gateway.shut_down_within(200.0)
        gate.gateway.start_closing_connections()
        closing = [False]
        async with asyncio.timeout(1.0):
            while not closing[0]:
                statuses, closing = await read_statuses(client, 1)
                assert statuses and statuses[0] in (200, 503, 504)
        sender.cancel()
        server.cancel()

    run_with_worker(scenario)


@pytest.mark.parametrize("size", [1, 60_000], ids=["small body", "large body"])
def test_a_request_refused_for_memory_keeps_its_connection_and_what_is_behind_it(size):
    """Guards against report 103a87: a request that was refused for memory closed its connection, and the
    pipelined requests behind it, read already, got nothing."""

    async def scenario(worker, gate, client):
        memory = gate.gateway.memory
        memory.add(MemoryHolder.STREAMS, memory.small_request_ceiling - memory.used_bytes)
        client.send(requests(2) + request(path="/debit", body=bytes(size)) + requests(3))
        assert (await read_statuses(client, 6)) == ([503] * 6, [False] * 6)
        memory.release(MemoryHolder.STREAMS, memory.held_bytes[MemoryHolder.STREAMS])
        client.send(request())
        (await worker.next_request())[1].write(http_response())
        assert (await read_statuses(client, 1)) == ([200], [False])
        assert memory.used_bytes < 4096

    run_with_worker(scenario)


@pytest.mark.parametrize("piece", [1, 7, 100, 4096])
def test_a_request_refused_within_its_head_keeps_its_connection_whatever_the_pieces(piece):
    """Guards against a refused request of which the rest is taken for the next request."""

    async def scenario(worker, gate, client):
        client.close()
        memory = gate.gateway.memory
        memory.add(MemoryHolder.STREAMS, memory.small_request_ceiling - memory.used_bytes)
        chunked = request(path="/debit", body=b"x", extra="Transfer-Encoding: chunked\r\n")
        chunked = chunked.replace(b"Content-Length: 1\r\n", b"")[:-1] + b"5\r\nhello\r\n0\r\n\r\n"
        data = request(path="/debit", body=bytes(3000)) + chunked + request()
        plug = await gate.client()
        for start in range(0, len(data), piece):
            plug.send(data[start : start + piece])
            await asyncio.sleep(0)
        assert (await read_statuses(plug, 3)) == ([503] * 3, [False] * 3)

    run_with_worker(scenario)


@contextlib.contextmanager
def hold_turns(fair_queue):
    """Give no connection its turn until the end of the block."""
    original = fair_queue._schedule
    fair_queue._schedule = lambda: None
    yield
    fair_queue._schedule = original
    fair_queue._schedule()


@pytest.mark.parametrize("count", [17, 18, 60, 300])
def test_every_request_of_a_long_pipeline_is_answered(count):
    """Guards against a pipeline of more than 17 requests, the rest of which was answered 400 once and then
    dropped. Few of them are parsed ahead, so that they hold little memory."""

    async def scenario(worker, gate, client):
        client.close()
        plug = await gate.client()
        server = asyncio.ensure_future(serve(worker))
        plug.send(requests(count))
        while not any(connection.open_request for connection in gate.listener.admission.connections):
            await asyncio.sleep(0)
        most = max(len(connection.pipelined) for connection in gate.listener.admission.connections)
        assert most <= 40
        assert (await read_statuses(plug, count)) == ([200] * count, [False] * count)
        assert gate.gateway.memory.used_bytes == 0
        server.cancel()

    run_with_worker(scenario)


def test_pipelined_requests_whose_time_is_over_are_refused_at_once():
    """Guards against responses later than half a second after their time: each request behind a slow one
    waited 40 ms for an attempt although its own time was over."""

    async def scenario(worker, gate, client):
        client.send(b"".join(request(deadline=200) for _ in range(17)))
        started_s = asyncio.get_running_loop().time()
        statuses, closing = await read_statuses(client, 17)
        assert asyncio.get_running_loop().time() - started_s < 0.2 + 0.25
        assert statuses == [504] + [503] * 16 and closing == [False] * 17

    run_with_worker(scenario)


def test_a_head_in_part_behind_many_invalid_requests_gets_its_error_in_time():
    """A request whose parsing begins in the pause after an invalid one has a time limit as any other."""

    async def scenario(worker, gate, client):
        long_head = request(extra=f"X-Filler: {'y' * 2000}\r\n")[:-2]  # more than what is parsed at a time
        client.send(request(path="/none") * 12 + long_head)
        assert (await read_statuses(client, 12)) == ([404] * 12, [False] * 12)
        (connection,) = gate.listener.admission.connections
        while connection.is_paused:
            await asyncio.sleep(0.01)
        advance_time(gate, 2600.0)
        assert (await read_statuses(client, 1)) == ([408], [True])

    run_with_worker(scenario)


def test_a_lingering_connection_is_not_closed_over_bytes_that_its_client_has_not_received():
    """Guards against the reset of a connection by what its client sends, 0.2 s after the last response in a
    shutdown: it destroyed the response bytes that were still in the kernel."""

    async def scenario(worker, gate, client):
        client.close()
        plug = SocketClient(gate.port, receive_buffer_bytes=4096)
        plug.send(request(extra="Connection: close\r\n"))
        _, writer = await worker.next_request()
        body = bytes(60_000)
        writer.write(http_response(body=body))
        connections = gate.listener.admission.connections
        while not any(connection.is_closing for connection in connections):
            await asyncio.sleep(0.001)
        (connection,) = [one for one in connections if one.is_closing]
        while connection.unwritten_bytes():
            await asyncio.sleep(0.001)
        assert connection.undelivered_bytes()
        now = gate.gateway.clock.now()
        gate.listener.admission._end_lingering(now + 500.0, True)
        plug.send(request())  # on a connection that was closed it would cause a reset
        received = b""
        while data := await plug.receive():
            received += data
            await asyncio.sleep(0.001)
        assert received.endswith(body) and b"200 OK" in received
        plug.close()

    run_with_worker(scenario)


@pytest.mark.parametrize("count", [2, 12], ids=["parsed", "unparsed"])
def test_eviction_spares_connections_with_requests_that_were_read(count):
    """Guards against evictions that closed a connection between the response to one pipelined request and
    the start of the next, whether that has been parsed or not."""

    async def scenario(worker, gate, client):
        admission = gate.listener.admission
        client.send(requests(count))
        (_, writer), (connection,) = await worker.next_request(), admission.connections
        while connection.unparsed and connection.pipelined:
            writer.write(http_response())
            assert (await read_statuses(client, 1))[0] == [200]
            _, writer = await worker.next_request()
        with hold_turns(gate.listener.fair_queue):  # the next request is not served yet
            writer.write(http_response())
            assert (await read_statuses(client, 1))[0] == [200]
            assert connection.has_queued_requests() and connection.open_request is None
            assert bool(connection.unparsed) is (count > 2)
            admission.max_connections = admission.hard_max_connections = 0
            admission.evict_excess(gate.gateway.clock.now() + 5000.0)
            admission.reject_stopped(gate.gateway.clock.now() + 5000.0, None)
            assert not connection.is_closing and connection.has_queued_requests()
        (await worker.next_request())[1].write(http_response())
        assert (await read_statuses(client, 1))[0] == [200]

    run_with_worker(scenario)


def test_a_shutdown_does_not_end_between_two_requests_of_one_connection(caplog):
    """Guards against an exit in the moment in which the first request of a pipeline has its response and the
    next one is not served yet."""

    async def scenario(worker, gate, client):
        client.send(requests(3))
        _, writer = await worker.next_request()
        (connection,) = gate.listener.admission.connections
        gate.gateway.start_closing_connections()
        with hold_turns(gate.listener.fair_queue):  # the next request is not served yet
            writer.write(http_response())
            assert await read_statuses(client, 1) == ([200], [False])
            assert not gate.gateway.requests.open and not gate.gateway.has_answered_all()
            assert gate.gateway.has_unfinished_work() and not connection.is_closing
            gate.gateway.record_unanswered_at_exit()
        server = asyncio.ensure_future(serve(worker))
        assert await read_statuses(client, 2) == ([200, 200], [False, True])
        assert await client.wait_for_end()
        server.cancel()

    run_with_worker(scenario)
    assert sum("reason=process-exit" in message for message in caplog.messages) == 2


def test_a_connection_with_queued_requests_is_not_idle_while_its_client_takes_no_response():
    """Guards against the close of connections that wait for their client: they have no open request."""

    async def scenario(worker, gate, client):
        client.send(requests(3))
        _, writer = await worker.next_request()
        (connection,) = gate.listener.admission.connections
        connection.is_write_buffer_full = True  # as if the client did not take what is written
        writer.write(http_response())
        assert await read_statuses(client, 1) == ([200], [False])
        assert connection.is_response_unread and not connection.request_started
        connection.close_if_idle()
        gate.gateway.close_idle()
        assert not connection.is_closing
        connection.resume_writing()
        server = asyncio.ensure_future(serve(worker))
        assert await read_statuses(client, 2) == ([200, 200], [False, False])
        server.cancel()

    run_with_worker(scenario)
