"""Closing a client's connection, in the very moment in which something comes on it."""

import asyncio
import os
import socket

import pytest
from support.delays import advance_time
from support.fakes import HOST, FakeWorker, Gate, Plug, Script, answer, entry, next_is, request, run

from plumpick.gateway.platform import Platform
from plumpick.gateway.shutdown import close_listener


def one_worker(scenario):
    async def whole():
        async with FakeWorker() as worker, Gate(Script(), known=[entry("w1", worker.port)]) as gate:
            await scenario(worker, gate, await gate.client())

    run(whole())


async def exchanged(worker, client, extra=""):
    client.send(request(extra=extra))
    _, writer = await worker.asked()
    writer.write(answer())


def test_response_is_delivered_when_connection_closes_over_unread_bytes():
    """Closed over unread bytes a connection is reset; `Connection: close` closed so, at once."""

    async def scenario(worker, gate, client):
        client.close()
        plug = Plug(gate.port)
        plug.send(request(extra="Connection: close\r\n"))
        _, writer = await worker.asked()
        (one,) = [one for one in gate.front.admission.connections if one.open_request is not None]
        one.transport.pause_reading()  # as if the loop had not come to it
        plug.send(b"GET /lo")
        writer.write(answer())
        assert b"200 OK" in await plug.receive() and await plug.receive() == b""
        plug.close()

    one_worker(scenario)


@pytest.mark.parametrize("late", [b"GET /look HT", request("00000000000000ee")], ids=["half a line", "whole"])
def test_request_that_arrives_while_an_idle_connection_closes_is_never_submitted(late):
    """Its client reads a clean end and asks anew; it is neither reset nor sent on."""

    async def scenario(worker, gate, client):
        client.close()
        plug = Plug(gate.port)
        plug.send(request())
        _, writer = await worker.asked()
        writer.write(answer())
        (one,) = [one for one in gate.front.admission.connections if one.open_request is not None]
        assert b"200 OK" in await plug.receive()
        look = gate.front.has_no_unread_input

        def look_and_then(transport):
            quiet = look(transport)
            plug.send(late)
            assert quiet and not look(transport)  # it is there before the loop turns
            return quiet

        gate.front.has_no_unread_input = look_and_then
        one.close_if_idle()
        gate.front.has_no_unread_input = look
        assert one.is_closing and await plug.receive() == b""
        plug.close()
        await next_is(worker, gate)
        assert not gate.keeper.requests.open

    one_worker(scenario)


def test_idle_connections_closed_together_end_cleanly_while_their_clients_send():
    async def scenario(worker, gate, client):
        clients = [client] + [await gate.client() for _ in range(20)]
        for one in clients:
            await exchanged(worker, one)
            assert (await one.answer())[0] == 200
        gate.front.close_idle()
        for one in clients:
            one.send(request())
        for one in clients:
            assert await one.reader.read() == b""
            one.close()
        while gate.front.admission:
            await asyncio.sleep(0)
        await next_is(worker, gate)

    one_worker(scenario)


def test_slow_reader_gets_the_whole_response_before_its_connection_closes():
    """Seen by reading: whatever was not written 1 s after the answer's end was cut off."""

    async def scenario(worker, gate, client):
        client.close()
        plug = Plug(gate.port, room=4096)
        plug.send(request(extra="Connection: close\r\n"))
        _, writer = await worker.asked()
        (one,) = [one for one in gate.front.admission.connections if one.open_request is not None]
        small(one)
        body = bytes(range(250)) * 240
        writer.write(answer(body=body))
        while not one.is_closing:
            await asyncio.sleep(0)
        for _ in range(3):  # it is busy for a while
            assert one.unwritten_bytes()
            advance_time(gate, 1500)
        parts = [await plug.receive()]
        while parts[-1]:
            parts.append(await plug.receive())
        head, _, got = b"".join(parts).partition(b"\r\n\r\n")
        assert b"200 OK" in head and got == body
        plug.close()

    one_worker(scenario)


def test_connection_whose_client_reads_nothing_is_aborted_after_the_unread_timeout():
    class Stuck:
        closing_since_ms, unwritten_at_last_sweep, received_while_closing = 0.0, 0, False

        def __init__(self):
            self.dropped = False

        def unwritten_bytes(self):
            return 1000

        def abort(self):
            self.dropped = True

    from plumpick.gateway.listeners.http.connection_admission import (
        SHUTDOWN_UNREAD_RESPONSE_TIMEOUT_MS,
        SWEEP_INTERVAL_MS,
        UNREAD_RESPONSE_TIMEOUT_MS,
        ConnectionAdmission,
    )

    for ending, bound in ((False, UNREAD_RESPONSE_TIMEOUT_MS), (True, SHUTDOWN_UNREAD_RESPONSE_TIMEOUT_MS)):
        stuck, admission = Stuck(), ConnectionAdmission(256, 0.0)
        admission.connections[stuck] = None
        admission.on_closing(stuck, 0.0)
        now, dropped = 0.0, None
        while now < 2 * UNREAD_RESPONSE_TIMEOUT_MS and dropped is None:
            now += SWEEP_INTERVAL_MS
            admission.sweep(now, ending)
            dropped = now if stuck.dropped else None
        assert dropped is not None and bound <= dropped <= bound + 2000.0


def test_connections_in_the_backlog_are_served_when_the_listener_closes():
    """They wait in the listener's backlog, unseen by us; closed with it they are reset."""

    async def scenario():
        loop = asyncio.get_running_loop()
        async with FakeWorker() as worker, Gate(Script(), known=[entry("w1", worker.port)]) as gate:
            plug = Platform().create_listener((HOST, 0), 16)
            server = await loop.create_server(gate.front.create_connection, sock=plug)
            plugs, address = [], plug.getsockname()
            for number in range(8):  # without a turn of the loop
                one = Plug(address[1])
                one.send(request(f"{number:016x}"))
                plugs.append(one)
            await close_listener(loop, server, plug, gate.front)
            for _ in plugs:
                _, writer = await worker.asked()
                writer.write(answer())
            for one in plugs:
                assert b"200 OK" in await one.receive()
                one.close()
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(address)

    run(scenario())


def test_connection_with_unwritten_response_is_not_transferred_to_the_next_process():
    """What is not with the system yet does not pass over with the descriptor."""

    async def scenario(worker, gate, client):
        client.close()
        plug, given = Plug(gate.port, room=4096), []

        def pass_on(descriptor):
            given.append(descriptor)
            return True

        plug.send(request())
        _, writer = await worker.asked()
        (one,) = [one for one in gate.front.admission.connections if one.open_request is not None]
        small(one)
        body = bytes(range(250)) * 240
        writer.write(answer(body=body))
        while one.open_request is not None:
            await asyncio.sleep(0)
        assert one.unwritten_bytes()
        assert gate.front.transfer_idle_connections(pass_on)
        assert not given
        got = b""
        while not got.endswith(body):
            got += await plug.receive()
        descriptor = one.transport.get_extra_info("socket").fileno()
        assert gate.front.transfer_idle_connections(pass_on)
        assert given == [descriptor]
        plug.close()

    one_worker(scenario)


def small(one):
    """The system keeps little of what is written there."""
    with socket.socket(fileno=os.dup(one.transport.get_extra_info("socket").fileno())) as own:
        own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
