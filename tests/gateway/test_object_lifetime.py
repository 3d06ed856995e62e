"""What has ended is freed at once, without the garbage collector, and is no longer counted.

Each way in which a request, an attempt, a stream or a connection ends is one row, played with the collector
switched off."""

import asyncio
import contextlib
import gc
import socket
from collections import Counter

import pytest
from support.crowds import head
from support.fakes import (
    ControllerStub,
    RunningGateway,
    SocketClient,
    config,
    entry,
    request,
    reset,
    run,
)
from support.ports import free_port
from support.raw_client import RawWorker, read_head, read_response

from plumpick.gateway import body_streams
from plumpick.gateway.config import WorkerList, parse_config
from plumpick.gateway.http_client import HttpConnection, HttpResponse
from plumpick.gateway.listeners.admin import AdminConnection, AdminListener
from plumpick.gateway.listeners.admin import start_server as start_admin_server
from plumpick.gateway.listeners.http.connection import ClientConnection
from plumpick.gateway.listeners.http.parsed_request import ParsedRequest
from plumpick.gateway.memory_budget import MemoryHolder
from plumpick.gateway.open_request import OpenRequest
from plumpick.gateway.response_discarder import DiscardedResponse
from plumpick.gateway.upstream.attempt import Attempt
from plumpick.gateway.upstream.connection import WorkerConnection
from plumpick.gateway.upstream.streaming_body import StreamingBody
from plumpick.policy.actions import CancelAttempt, FailRequest, RejectRequest, StartAttempt
from plumpick.policy.events import RequestReceived

KINDS = (
    ClientConnection,
    ParsedRequest,
    OpenRequest,
    StreamingBody,
    Attempt,
    DiscardedResponse,
    WorkerConnection,
    AdminConnection,
    HttpConnection,
    HttpResponse,
)
ALIVE_WITHIN_S = 5.0  # time within which all objects must be gone
CHUNKED = b"Transfer-Encoding: chunked"
LARGE = 4 * 2**20
PART = 300_000

ways_to_end = {}


def ends(way):
    """Register a function of (worker, gate, client) as a way to end. The client is closed afterwards."""
    assert way.__name__ not in ways_to_end
    ways_to_end[way.__name__] = way
    return way


async def accept(worker):
    """Accept the next connection to the worker and read the head of its request."""
    reader, writer = await worker.accepted.get()
    await read_head(reader)
    return reader, writer


def alive():
    """The number of live objects by kind."""
    return Counter(type(each).__name__ for each in gc.get_objects() if isinstance(each, KINDS))


# -- requests and buffered responses


@ends
async def response_delivered(worker, gate, client):
    client.send(request())
    _, writer = await accept(worker)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
    assert (await client.read_response())[0] == 200


@ends
async def pipelined_responses_delivered(worker, gate, client):
    client.send(request() + request())
    for _ in range(2):
        _, writer = await accept(worker)
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone")
        assert (await client.read_response())[0] == 200


@ends
async def response_to_head_delivered(worker, gate, client):
    client.send(request().replace(b"GET", b"HEAD"))
    _, writer = await accept(worker)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
    await client.reader.readuntil(b"\r\n\r\n")


@ends
async def response_of_unknown_length_delivered(worker, gate, client):
    client.send(request())
    _, writer = await accept(worker)
    writer.write(b"HTTP/1.1 200 OK\r\n\r\ndone")
    writer.write_eof()
    assert (await client.read_response())[0] == 200


@ends
async def client_leaves_within_head(worker, gate, client):
    client.send(request()[:-2])
    await asyncio.sleep(0.02)


@ends
async def client_leaves_within_buffered_body(worker, gate, client):
    client.send(head(1000) + bytes(500))
    await asyncio.sleep(0.02)


@ends
async def client_leaves_before_the_response(worker, gate, client):
    client.send(request())
    _, writer = await accept(worker)
    client.close()
    await asyncio.sleep(0.02)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")


@ends
async def client_leaves_while_requests_are_pipelined(worker, gate, client):
    client.send(request() + request() + head(1000) + bytes(500))
    _, writer = await accept(worker)
    client.close()
    await asyncio.sleep(0.02)
    writer.transport.abort()


@ends
async def invalid_request(worker, gate, client):
    client.send(request(path="/none"))
    assert (await client.read_response())[0] == 404


@ends
async def client_leaves_during_the_pause_after_an_invalid_request(worker, gate, client):
    client.send(request(path="/none") + request())
    assert (await client.read_response())[0] == 404
    reset(client.writer)


@ends
async def unparsable_request(worker, gate, client):
    client.send(b"no request at all\r\n\r\n")
    assert (await client.read_response())[0] == 400


@ends
async def too_large_head(worker, gate, client):
    client.send(request()[:-2] + b"a:b\r\n" * 8000)
    assert (await client.read_response())[0] == 431


@ends
async def too_many_pipelined_requests(worker, gate, client):
    client.send(request() * 30)
    _, writer = await accept(worker)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
    assert (await client.read_response())[0] == 200


@ends
async def offer_to_upgrade(worker, gate, client):
    client.send(request(extra="Connection: upgrade\r\nUpgrade: h2c\r\n"))
    _, writer = await accept(worker)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
    assert (await client.read_response())[0] == 200


@ends
async def request_timed_out(worker, gate, client):
    client.send(request()[:-2])
    assert (await client.read_response())[0] == 408


@ends
async def deadline_reached(worker, gate, client):
    client.send(request(deadline=60))
    await accept(worker)
    assert (await client.read_response())[0] in (502, 504)


@ends
async def rejected_by_the_policy(worker, gate, client):
    gate.controller.worker = ""
    client.send(request())
    received = await gate.controller.next_event(RequestReceived)
    gate.controller.next_actions = [RejectRequest(received.id, 0.0)]
    gate.gateway.post_event(received)
    assert (await client.read_response())[0] == 503


@ends
async def attempt_cancelled_by_the_policy(worker, gate, client):
    client.send(request())
    received = await gate.controller.next_event(RequestReceived)
    await accept(worker)
    gate.controller.worker = ""
    gate.controller.next_actions = [CancelAttempt(received.id, 0), FailRequest(received.id)]
    gate.gateway.post_event(received)
    assert (await client.read_response())[0] == 502


@ends
async def hedged_attempt_loses(worker, gate, client):
    client.send(request())
    received = await gate.controller.next_event(RequestReceived)
    _, first = await accept(worker)
    gate.controller.worker = ""
    gate.controller.next_actions = [StartAttempt(received.id, "w1", 20_000.0)]
    gate.gateway.post_event(received)
    _, second = await accept(worker)
    for writer in (second, first):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
    assert (await client.read_response())[0] == 200


# -- failures of workers


@ends
async def worker_resets(worker, gate, client):
    client.send(request())
    _, writer = await accept(worker)
    reset(writer)
    assert (await client.read_response())[0] == 502


@ends
async def worker_answers_without_http(worker, gate, client):
    client.send(request())
    _, writer = await accept(worker)
    writer.write(b"none\r\n\r\n")
    assert (await client.read_response())[0] == 502


@ends
async def worker_accepts_no_connection(worker, gate, client):
    gate.gateway.on_worker_list(WorkerList(2, True, ()))
    gate.gateway.connection_pool.update(workers_at(free_port()))
    client.send(request())
    assert (await client.read_response())[0] == 502


@ends
async def connecting_takes_too_long(worker, gate, client):
    with socket.socket() as deaf, contextlib.ExitStack() as fillers:
        deaf.bind(("127.0.0.1", 0))
        deaf.listen(0)
        for _ in range(4):  # fill the backlog, so that the next connection is not accepted
            filler = fillers.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(deaf.getsockname())
        await asyncio.sleep(0.02)
        gate.gateway.connection_pool.update(workers_at(deaf.getsockname()[1]))
        client.send(request())
        assert (await client.read_response())[0] == 502


@ends
async def worker_leaves_service(worker, gate, client):
    client.send(request())
    _, writer = await accept(worker)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
    assert (await client.read_response())[0] == 200
    gate.gateway.on_worker_list(WorkerList(2, True, ()))


def workers_at(port):
    """A list of the worker w1 alone, at another port."""
    return parse_config(config(known=[entry("w1", port, since_ms=1)]), {}).known


# -- streamed requests


async def begin_upload(worker, client, length=LARGE, sent=PART, fields=b""):
    client.send(head(length) if not fields else head(1).replace(b"Content-Length: 1", fields))
    client.send(bytes(sent) if not fields else b"%x\r\n%s\r\n" % (sent, bytes(sent)))
    return await accept(worker)


@ends
async def upload_answered(worker, gate, client):
    reader, writer = await begin_upload(worker, client, PART)
    await reader.readexactly(PART)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
    assert (await client.read_response())[0] == 200


@ends
async def chunked_upload_answered(worker, gate, client):
    reader, writer = await begin_upload(worker, client, sent=70_000, fields=CHUNKED)
    client.send(b"0\r\n\r\n")
    received = b""
    while not received.endswith(b"\r\n0\r\n\r\n"):
        received += await reader.read(PART)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
    assert (await client.read_response())[0] == 200


@ends
async def upload_answered_before_its_end(worker, gate, client):
    _, writer = await begin_upload(worker, client)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
    assert (await client.read_response())[0] == 200


@ends
async def upload_without_an_attempt_left(worker, gate, client):
    gate.controller.worker = ""
    client.send(head(LARGE) + bytes(PART))
    await gate.controller.next_event(RequestReceived)


@ends
async def upload_with_a_pause_left(worker, gate, client):
    await begin_upload(worker, client, sent=LARGE - 1)
    await asyncio.sleep(0.1)


@ends
async def upload_rejected_by_the_policy(worker, gate, client):
    gate.controller.worker = ""
    client.send(head(LARGE) + bytes(PART))
    received = await gate.controller.next_event(RequestReceived)
    gate.controller.next_actions = [RejectRequest(received.id, 0.0)]
    gate.gateway.post_event(received)
    assert (await client.read_response())[0] == 503


@ends
async def upload_broken_off_by_the_client(worker, gate, client):
    await begin_upload(worker, client)
    client.close()


@ends
async def upload_reset_by_the_client(worker, gate, client):
    await begin_upload(worker, client)
    reset(client.writer)


@ends
async def upload_broken_off_by_the_worker(worker, gate, client):
    _, writer = await begin_upload(worker, client)
    reset(writer)
    assert (await client.read_response())[0] == 502


@ends
async def upload_stopped_by_the_client(worker, gate, client):
    await begin_upload(worker, client)
    assert (await client.read_response())[0] == 408


@ends
async def upload_not_parsable_to_its_end(worker, gate, client):
    await begin_upload(worker, client, fields=CHUNKED)
    client.send(b"no chunk\r\n")
    assert (await client.read_response())[0] == 400


@ends
async def upload_with_a_used_id(worker, gate, client):
    upload = head(LARGE) + bytes(PART)
    first = SocketClient(gate.port)
    first.send(upload)
    await accept(worker)
    client.send(upload)
    assert (await client.read_response())[0] == 409
    first.close()


# -- streamed responses


async def begin_response(worker, client, form=b"Content-Length: %d" % LARGE, sent=PART):
    client.send(request())
    _, writer = await accept(worker)
    body = bytes(sent) if form != CHUNKED else b"%x\r\n%s\r\n" % (sent, bytes(sent))
    writer.write(b"HTTP/1.1 200 OK\r\n" + form + b"\r\n\r\n" + body)
    await client.reader.readuntil(b"\r\n\r\n")
    return writer


@ends
async def large_response_delivered(worker, gate, client):
    client.send(request())
    _, writer = await accept(worker)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE + bytes(LARGE))
    assert (await read_response(client.reader))[3]


@ends
async def chunked_response_delivered(worker, gate, client):
    client.send(request())
    _, writer = await accept(worker)
    writer.write(b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n\r\n")
    writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (PART, bytes(PART)))
    assert (await read_response(client.reader))[3]


@ends
async def large_response_broken_off_by_the_worker(worker, gate, client):
    reset(await begin_response(worker, client))
    with contextlib.suppress(ConnectionError):
        await client.reader.read()


@ends
async def client_leaves_within_a_large_response(worker, gate, client):
    writer = await begin_response(worker, client)
    client.close()
    await asyncio.sleep(0.02)
    writer.write(bytes(LARGE - PART))


@ends
async def client_leaves_and_worker_breaks_off(worker, gate, client):
    writer = await begin_response(worker, client)
    client.close()
    await asyncio.sleep(0.02)
    reset(writer)


@ends
async def client_stops_reading_a_large_response(worker, gate, client):
    slow = SocketClient(gate.port, receive_buffer_bytes=4096)
    slow.send(request())
    _, writer = await accept(worker)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (8 * LARGE) + bytes(8 * LARGE))
    with contextlib.suppress(ConnectionError):
        await asyncio.sleep(1.0)
    slow.close()


@ends
async def client_stops_reading_pipelined_responses(worker, gate, client):
    slow = SocketClient(gate.port, receive_buffer_bytes=4096)
    slow.send(request() + request())
    _, writer = await accept(worker)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + bytes(60_000))
    await asyncio.sleep(0.1)
    slow.close()


@ends
async def upload_answered_by_a_large_response(worker, gate, client):
    reader, writer = await begin_upload(worker, client, PART)
    await reader.readexactly(PART)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE + bytes(LARGE))
    assert (await read_response(client.reader))[3]


# -- connections without a request


@ends
async def idle_connection_closed(worker, gate, client):
    await asyncio.sleep(0.15)
    gate.listener.close_idle()
    assert await client.wait_for_end()


@ends
async def idle_connection_transferred(worker, gate, client):
    await asyncio.sleep(0.02)
    gate.listener.transfer_idle_connections(lambda descriptor: True)


@ends
async def connection_beyond_the_limit(worker, gate, client):
    gate.listener.set_descriptor_limit(2)
    others = [SocketClient(gate.port) for _ in range(4)]
    await asyncio.sleep(0.1)
    for other in others:
        other.close()


@ends
async def operator_call_answered(worker, gate, client):
    listener = AdminListener(gate.gateway)
    server = await start_admin_server(listener, ("127.0.0.1", 0), asyncio.get_running_loop())
    for line in (b"READY\n", b"NONE\n", b"REA"):
        caller = SocketClient(server.sockets[0].getsockname()[1])
        caller.send(line)
        await asyncio.sleep(0.02)
        caller.close()
    server.close()


@ends
async def call_of_discovery_broken_off(worker, gate, client):
    connection, response = HttpConnection(), HttpResponse(1000)
    await connection.open(("127.0.0.1", worker.port))
    connection.send_get("/")
    _, writer = await accept(worker)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo")
    response.feed(await connection.read(100))
    connection.abort()


@pytest.mark.parametrize("way", ways_to_end)
def test_what_has_ended_is_freed_without_the_garbage_collector(way, monkeypatch):
    """Guards against processes over their memory limit: ended uploads lived on with their bytes in a cycle of
    connection, request and body, until a full collection of the garbage collector."""
    monkeypatch.setattr(body_streams, "UPLOAD_STALL_MS", 200.0)

    async def scenario():
        async with (
            RawWorker() as worker,
            RunningGateway(ControllerStub(), known=[entry("w1", worker.port)]) as gate,
        ):
            client = await gate.client()
            await ways_to_end[way](worker, gate, client)
            client.close()
            await asyncio.sleep(0)
            for writer in worker.writers:
                writer.transport.abort()
            gate.gateway.connection_pool.close_idle()
            deadline_s = asyncio.get_running_loop().time() + ALIVE_WITHIN_S
            while alive() and asyncio.get_running_loop().time() < deadline_s:
                await asyncio.sleep(0.02)
            assert not alive()
            assert gate.gateway.memory.held_bytes == [0] * len(MemoryHolder)

    gc.collect()
    gc.disable()
    try:
        run(scenario())
    finally:
        gc.enable()
        gc.collect()
