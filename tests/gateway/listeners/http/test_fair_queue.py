"""How much the event loop does for one connection, and for all, in one iteration."""

import asyncio
import collections
import math
import socket

import pytest
from support.crowds import head
from support.fakes import (
    HOST,
    Client,
    ControllerStub,
    FakeWorker,
    RunningGateway,
    entry,
    http_response,
    request,
    run,
)
from support.floods import sound_request

from plumpick.gateway.listeners.http.connection import ClientConnection
from plumpick.gateway.memory_budget import MemoryHolder
from plumpick.policy.actions import RejectRequest
from plumpick.policy.events import RequestReceived

READY = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n"
WITHOUT_ID = b"GET /look HTTP/1.1\r\nHost: h\r\nX-Tier: basic\r\n\r\n"
STATUS_LINE = b"HTTP/1.1 "
PIPELINED = 600
# The stated shares: requests of one connection, and of all that were read before, in one iteration of the
# event loop, and requests that may be served as they are read.
CONNECTION_SHARE = 4
ITERATION_SHARE = 32 + 16
READ_AHEAD_BYTES = 256 * 1024  # what is read of all connections that wait for their turn
SENT_BYTES = 64 * 1024  # what a client sends in one write
MIN_READ_AHEAD_BYTES = 4 * 1024  # and of each at least
# Memory counted for the requests that are parsed at a time, 1 KiB of them.
PARSED_BYTES = (1024 // len(READY) + 1) * (1024 + 2 * len(READY))


class RejectingController(ControllerStub):
    """A policy that rejects each request at once."""

    def handle(self, now, events):
        actions = super().handle(now, [event for event in events if not isinstance(event, RequestReceived)])
        return actions + [RejectRequest(event.id) for event in events if isinstance(event, RequestReceived)]


class ServedCounts:
    """Counts the requests that are served in each iteration of the event loop, by connection: answered, or
    passed to the policy, whose turn may answer those of two iterations."""

    def __init__(self, monkeypatch):
        self.iterations = [collections.Counter()]
        self.order = []
        serve_one = ClientConnection._serve_one

        def counted(connection, parsed):
            self.iterations[-1][connection] += 1
            self.order.append(connection)
            serve_one(connection, parsed)

        monkeypatch.setattr(ClientConnection, "_serve_one", counted)

    def start(self):
        """Begin a new count in each iteration."""
        if self.iterations[-1]:
            self.iterations.append(collections.Counter())
        asyncio.get_running_loop().call_soon(self.start)

    def largest_share(self):
        """The most requests of one connection in one iteration."""
        return max(max(counts.values(), default=0) for counts in self.iterations)

    def largest_sum(self):
        """The most requests in one iteration."""
        return max(sum(counts.values()) for counts in self.iterations)


async def count_responses(client, expected):
    """Read until so many status lines have come."""
    found, tail = 0, b""
    while found < expected:
        part = await client.reader.read(65536)
        assert part, f"the connection ended after {found} of {expected} responses"
        found += (tail + part).count(STATUS_LINE)
        tail = (tail + part)[1 - len(STATUS_LINE) :]
    return found


def expired_requests():
    return b"".join(sound_request(number, deadline=1) for number in range(1, PIPELINED + 1))


def rejected_requests():
    return b"".join(sound_request(number + 1_000_000) for number in range(1, PIPELINED + 1))


FLOODS = {
    "readiness": lambda: READY * PIPELINED,
    "invalid": lambda: WITHOUT_ID * PIPELINED,
    "rejected": rejected_requests,
}


@pytest.mark.parametrize("clients", [1, 6, 24, 60])
@pytest.mark.parametrize("kind", FLOODS)
def test_pipelined_requests_of_one_read_do_not_hold_the_event_loop(kind, clients, monkeypatch):
    # Report 81cf89: one read of a few clients was served whole, and others waited for a round over all.
    counts = ServedCounts(monkeypatch)

    async def scenario():
        async with RunningGateway(RejectingController()) as gate:
            flooders = [await gate.client() for _ in range(clients)]
            counts.start()
            data = FLOODS[kind]()
            # Each gets ids of its own, by which they would be rejected as duplicates otherwise.
            for number, flooder in enumerate(flooders):
                flooder.send(data.replace(b"X-Request-Id: f0", b"X-Request-Id: %02x" % number))
            found = await asyncio.gather(*(count_responses(flooder, PIPELINED) for flooder in flooders))
            assert found == [PIPELINED] * clients

    run(scenario())
    assert counts.largest_share() <= 2 * CONNECTION_SHARE  # as it was read, and in its turn
    assert counts.largest_sum() <= ITERATION_SHARE


def test_request_on_a_new_connection_is_served_before_what_others_have_read(monkeypatch):
    # Report 81cf89: a request that came during a flood was answered after all that the flooders had sent.
    counts = ServedCounts(monkeypatch)

    async def scenario():
        async with RunningGateway(RejectingController()) as gate:
            flooders = [await gate.client() for _ in range(24)]
            counts.start()
            for flooder in flooders:
                flooder.send(READY * PIPELINED)
            reading = [asyncio.ensure_future(count_responses(flooder, PIPELINED)) for flooder in flooders]
            while len(counts.order) < 100:
                await asyncio.sleep(0)
            before = len(counts.order)
            client = await gate.client()
            response = await client.send(request()).read_response()
            assert response[0] == 503
            # Accepted, read, decided: a few iterations, whatever the flooders have sent.
            assert len(counts.order) - before <= 20 * ITERATION_SHARE
            await asyncio.gather(*reading)

    run(scenario())


def test_expired_requests_of_one_read_do_not_hold_the_event_loop(monkeypatch):
    # Report 81cf89: requests whose time was over on arrival were refused in a loop within one read.
    counts = ServedCounts(monkeypatch)

    async def scenario():
        async with FakeWorker() as worker:
            gate = RunningGateway(ControllerStub(), known=[entry("w1", worker.port)])
            async with gate:
                client = await gate.client()
                counts.start()
                client.send(request(path="/look") + expired_requests())
                _, writer = await worker.next_request()
                await asyncio.sleep(0.1)
                writer.write(http_response())
                assert await count_responses(client, PIPELINED + 1) == PIPELINED + 1

    run(scenario())
    assert counts.largest_share() <= 2 * CONNECTION_SHARE


def test_what_a_refused_client_goes_on_sending_is_read_in_its_turn(monkeypatch):
    # Report 81cf89, related: a client whose request closed its connection was read at full speed for 5 s.
    reads = collections.Counter()

    async def scenario():
        async with RunningGateway(RejectingController()) as gate:
            clients = [await gate.client() for _ in range(12)]
            for client in clients:
                client.send(b"\x00 no HTTP\r\n\r\n")
                assert (await client.read_response())[0] == 400
            connections = list(gate.listener.admission.connections)
            iteration = [0]

            def next_iteration():
                iteration[0] += 1
                asyncio.get_running_loop().call_soon(next_iteration)

            next_iteration()
            for connection in connections:
                monkeypatch.setattr(connection, "data_received", counted(connection.data_received, iteration))
            for client in clients:
                client.send(bytes(4 * 2**20))
            await asyncio.sleep(0.2)
            for client in clients:
                client.writer.transport.abort()

    def counted(data_received, iteration):
        def count(data):
            reads[iteration[0]] += 1
            data_received(data)

        return count

    run(scenario())
    assert sum(reads.values()) > 20
    # Each is read once as bytes arrive, then in its turn, four at a time.
    later = [count for _, count in sorted(reads.items())[3:]]
    assert max(later) <= 2 * CONNECTION_SHARE


def test_what_is_read_ahead_of_service_does_not_grow_with_the_clients():
    # Report 81cf89, related: what was read of 24 clients took until the earliest SIGKILL to be answered, and
    # what was read of 400 all of the memory for requests.
    clients = 80

    async def scenario():
        async with RunningGateway(RejectingController()) as gate:
            gate.gateway.memory_limits.set_descriptors(1024)
            gate.listener.set_descriptor_limit(1024)
            flooders = [await gate.client() for _ in range(clients)]
            for flooder in flooders:
                flooder.send(READY * (SENT_BYTES // len(READY)))
            expected = SENT_BYTES // len(READY)
            reading = [asyncio.ensure_future(count_responses(flooder, expected)) for flooder in flooders]
            await asyncio.gather(*reading)
            held_bytes = gate.gateway.memory.peak_held_bytes[MemoryHolder.REQUESTS]
            # The number k to be read while the others wait gets the k-th part, or the least that is read.
            allowed = READ_AHEAD_BYTES * (1 + math.log(clients)) + clients * MIN_READ_AHEAD_BYTES
            assert held_bytes <= allowed + clients * PARSED_BYTES

    run(scenario())


def test_readiness_of_another_client_is_answered_beside_a_flood_of_it():
    # Report 81cf89: a load balancer would take the gateway out although it serves.
    async def scenario():
        async with RunningGateway(RejectingController()) as gate:
            flooders = [await gate.client() for _ in range(24)]
            for flooder in flooders:
                flooder.send(READY * PIPELINED)
            reading = [asyncio.ensure_future(count_responses(one, PIPELINED)) for one in flooders]
            client = await Client().open(gate.port)
            assert (await client.send(READY).read_response())[0] == 200
            assert not all(task.done() for task in reading)
            await asyncio.gather(*reading)

    run(scenario())


def test_time_limit_of_a_head_begins_anew_behind_an_invalid_request():
    # Report 81cf89, related: a client of invalid requests was cut off 2.5 s after its first one, with another
    # behind that was partly read.
    async def scenario():
        async with RunningGateway(RejectingController()) as gate:
            client = await gate.client()
            start, rest = WITHOUT_ID[:10], WITHOUT_ID[10:]
            client.send(WITHOUT_ID + start)
            assert (await client.read_response())[0] == 400
            for _ in range(2):
                await asyncio.sleep(1.5)
                client.send(rest + start)
                assert (await client.read_response())[0] == 400
            client.send(rest)
            assert (await client.read_response())[0] == 400

    run(scenario())


def test_bodies_in_chunks_of_one_byte_do_not_hold_the_event_loop(monkeypatch):
    # Report 81cf89, related: each client with a body in short chunks had 64 KiB of it parsed in an iteration.
    clients = 24
    chunks = collections.Counter()
    iteration = [0]
    on_body = ClientConnection.on_body

    def counted(connection, part):
        chunks[iteration[0]] += 1
        on_body(connection, part)

    monkeypatch.setattr(ClientConnection, "on_body", counted)

    def next_iteration():
        iteration[0] += 1
        asyncio.get_running_loop().call_soon(next_iteration)

    async def scenario():
        async with RunningGateway(RejectingController()) as gate:
            flooders = [await gate.client() for _ in range(clients)]
            next_iteration()
            for number, flooder in enumerate(flooders):
                start = sound_request(number, "/debit", method="POST", extra="Transfer-Encoding: chunked\r\n")
                flooder.send(start + b"1\r\nx\r\n" * 30_000 + b"0\r\n\r\n")
            found = await asyncio.gather(*(count_responses(flooder, 1) for flooder in flooders))
            assert found == [1] * clients

    run(scenario())
    # One read as it arrives, and four of 16 KiB in turn; some more arrive in short reads.
    assert max(chunks.values()) <= (64 * 1024 + 8 * 16 * 1024) / len(b"1\r\nx\r\n")


def test_connections_are_accepted_before_what_others_have_read_is_served(monkeypatch):
    # Report 81cf89, related: the queue of the listening socket overflowed beside a flood, and clients asked
    # again after a second.
    new_clients = 60
    counts = ServedCounts(monkeypatch)

    async def scenario():
        async with RunningGateway(RejectingController()) as gate:
            flooders = [await gate.client() for _ in range(24)]
            for flooder in flooders:
                flooder.send(READY * PIPELINED)
            reading = [asyncio.ensure_future(count_responses(flooder, PIPELINED)) for flooder in flooders]
            while len(counts.order) < 300:
                await asyncio.sleep(0)
            before, accepted = len(counts.order), gate.listener.accepted_connections
            waiting = [socket.create_connection((HOST, gate.port)) for _ in range(new_clients)]
            while gate.listener.accepted_connections < accepted + new_clients:
                await asyncio.sleep(0)
            # One for each that is accepted, and the shares of some iterations before the first one.
            assert len(counts.order) - before <= 2 * new_clients + 4 * ITERATION_SHARE
            for connection in waiting:
                connection.close()
            await asyncio.gather(*reading)

    run(scenario())


def test_requests_before_a_body_that_waits_for_memory_are_served_meanwhile():
    # Found in reading: those beyond a turn's share waited until the body's wait for memory had ended.
    async def scenario():
        async with RunningGateway(RejectingController()) as gate:
            memory = gate.gateway.memory
            memory.add(MemoryHolder.STREAMS, int(0.8 * memory.total_bytes))
            client = await gate.client()
            client.send(READY * (CONNECTION_SHARE + 2) + head(60_000))
            async with asyncio.timeout(0.4):  # the body waits for 0.5 s
                assert await count_responses(client, CONNECTION_SHARE + 2) == CONNECTION_SHARE + 2
            (connection,) = gate.listener.admission.connections
            assert connection.is_waiting_for_memory

    run(scenario())
