"""No attempt begins for a client that has closed its connection, even if the close was not read yet."""

import asyncio

import pytest
from support.fakes import ControllerStub, assert_next_requests, http_response, request, run_with_worker

from plumpick.gateway.platform import Platform
from plumpick.gateway.upstream.connection import WorkerConnection
from plumpick.policy.actions import StartAttempt
from plumpick.policy.events import ClientDisconnected, RequestReceived, TimerFired


@pytest.mark.parametrize("number", [0, 1], ids=["first attempt", "further attempt"])
def test_no_attempt_begins_for_a_client_whose_close_was_not_read_yet(number):
    """Guards against report 103a87: after a stop of 0.15 s, too short to be noticed as a stall, requests were
    sent on whose clients had left meanwhile."""
    controller = ControllerStub(worker="w1" if number else "")

    async def scenario(worker, gate, client):
        client.send(request())
        event = await controller.next_event(RequestReceived)
        if number:
            await worker.next_request()
        (connection,) = gate.listener.admission.connections
        connection.transport.pause_reading()  # as if the process had been stopped before the close was read
        client.close()
        while not Platform().has_peer_closed(connection.transport):
            await asyncio.sleep(0)
        controller.next_actions.append(StartAttempt(event.id, "w1", 1000.0))
        gate.gateway.post_event(TimerFired("x"))
        await controller.next_event(ClientDisconnected)
        controller.worker = "w1"
        await assert_next_requests(worker, gate)

    run_with_worker(scenario, controller)


@pytest.mark.parametrize("size", [0, 100, 60_000], ids=["no body", "small body", "large body"])
def test_request_is_with_the_kernel_when_its_attempt_has_been_started(size, monkeypatch):
    """Guards against a stop of the process between the look at the client and the write: a request stayed in
    the event loop's buffer until the end of its iteration."""
    unsent, original = [], WorkerConnection.send

    def send(connection, attempt):
        original(connection, attempt)
        unsent.append(connection.transport.get_write_buffer_size())

    monkeypatch.setattr(WorkerConnection, "send", send)

    async def scenario(worker, gate, client):
        for _ in range(2):  # on a new connection, then on one that is used again
            client.send(request(path="/debit" if size else "/look", body=bytes(size)))
            _, writer = await worker.next_request()
            writer.write(http_response())
            assert (await client.read_response())[0] == 200
            await asyncio.sleep(0.03)
        assert unsent == [0, 0] and worker.connections == 1

    run_with_worker(scenario)
