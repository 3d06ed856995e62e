"""The connections of clients that are accepted in one iteration of the event loop."""

import asyncio
import errno
import itertools
import socket

import pytest
from support.fakes import HOST, RunningGateway, run

from plumpick.gateway.listeners.client_server import (
    MAX_ACCEPTS_PER_ITERATION,
    MAX_ADOPTIONS_PER_ITERATION,
    ClientServer,
    accept_waiting,
    has_client_left,
)
from plumpick.gateway.listeners.http.listener import LISTEN_BACKLOG
from plumpick.gateway.platform import Platform
from plumpick.gateway.shutdown import close_listener

QUEUED = 50
MAX_ITERATIONS = 12  # of the event loop, however many connections there are
READY = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n"


class FailingListener:
    """A listening socket whose first calls of accept fail."""

    def __init__(self, listening, *failures):
        self.listening = listening
        self.failures = list(failures)

    def accept(self):
        if self.failures:
            raise self.failures.pop(0)
        return self.listening.accept()


@pytest.fixture
def listening():
    listener = Platform().create_listener((HOST, 0), LISTEN_BACKLOG)
    yield listener
    listener.close()


def connect(listener, count):
    return [socket.create_connection(listener.getsockname()) for _ in range(count)]


def close_all(connections):
    for connection in connections:
        connection.close()


async def count_iterations(is_done):
    iterations = 0
    while not is_done() and iterations < 10 * QUEUED:
        await asyncio.sleep(0)
        iterations += 1
    return iterations


def test_connections_that_came_together_are_accepted_together():
    # Report 81cf89, related: one connection was accepted in an iteration, and the backlog overflowed.
    async def scenario():
        async with RunningGateway() as gate:
            clients = [socket.create_connection((HOST, gate.port)) for _ in range(QUEUED)]
            assert await count_iterations(lambda: len(gate.listener.admission) == QUEUED) <= MAX_ITERATIONS
            close_all(clients)

    run(scenario())


def test_one_iteration_accepts_no_more_than_its_share(listening):
    # Connects at full speed must not hold the event loop.
    clients = connect(listening, MAX_ACCEPTS_PER_ITERATION + 5)
    accepted = list(accept_waiting(listening, MAX_ACCEPTS_PER_ITERATION))
    assert len(accepted) == MAX_ACCEPTS_PER_ITERATION
    assert len(list(accept_waiting(listening))) == 5
    close_all([*clients, *accepted])


def test_connections_are_not_taken_in_faster_than_requests_are_served(listening):
    # Clients that each sent one request on a new connection and left filled the table of connections, and
    # those of others were closed.
    async def scenario():
        created = []

        def create_connection():
            created.append(asyncio.get_running_loop().time())
            return asyncio.Protocol()

        server = ClientServer(asyncio.get_running_loop(), listening, create_connection)
        clients = connect(listening, MAX_ACCEPTS_PER_ITERATION)
        await server.start(LISTEN_BACKLOG)
        counts = [0]
        while len(created) < len(clients):
            await asyncio.sleep(0)
            counts.append(len(created))
        assert max(b - a for a, b in itertools.pairwise(counts)) <= MAX_ADOPTIONS_PER_ITERATION + 1
        server.close()
        close_all(clients)

    run(scenario())


def test_clients_that_have_left_take_no_place_and_others_are_answered():
    # Connects at full speed, each closed at once, filled the tables of connections.
    async def scenario():
        async with RunningGateway() as gate:
            close_all(socket.create_connection((HOST, gate.port)) for _ in range(QUEUED))
            clients = [socket.create_connection((HOST, gate.port)) for _ in range(4)]
            await count_iterations(lambda: gate.listener.accepted_connections >= 5)
            assert gate.listener.accepted_connections <= 4 + 1  # the event loop accepts one itself
            client = await gate.client()
            assert (await client.send(READY).read_response())[0] == 200
            close_all(clients)

    run(scenario())


def test_client_that_sent_a_request_and_closed_its_side_is_answered():
    # Its request must be read although the end of its stream has come too.
    async def scenario():
        async with RunningGateway() as gate:
            first = socket.create_connection((HOST, gate.port))
            half_closed = socket.create_connection((HOST, gate.port))
            half_closed.sendall(READY)
            half_closed.shutdown(socket.SHUT_WR)
            half_closed.setblocking(False)
            response = await asyncio.get_running_loop().sock_recv(half_closed, 4096)
            assert response.startswith(b"HTTP/1.1 200")
            close_all([first, half_closed])

    run(scenario())


def test_closed_server_leaves_the_backlog_to_the_other_process_of_a_hot_restart(listening):
    # A connection accepted after the hand-over would be taken from the successor.
    async def scenario():
        loop = asyncio.get_running_loop()
        server = ClientServer(loop, listening.dup(), asyncio.Protocol)
        await server.start(LISTEN_BACKLOG)
        server._on_accepted_by_loop()
        clients = connect(listening, 3)
        server.close()
        await asyncio.sleep(0.05)
        accepted = list(accept_waiting(listening))
        assert len(accepted) == 3
        close_all([*clients, *accepted])

    run(scenario())


def test_client_that_aborted_does_not_hide_those_behind_it(listening):
    # The shutdown stopped at the first one, and the others were reset.
    clients = connect(listening, 2)
    failing = FailingListener(listening, ConnectionAbortedError(errno.ECONNABORTED, "aborted"))
    accepted = list(accept_waiting(failing))
    assert len(accepted) == 2
    close_all([*clients, *accepted])


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_failing_accept_leaves_the_rest_waiting(listening, code, caplog):
    # The operators' stricter terms: accept may fail for a moment.
    clients = connect(listening, 2)
    failing = FailingListener(listening, OSError(code, "no room"))
    assert list(accept_waiting(failing)) == [] and "no room" in caplog.text
    accepted = list(accept_waiting(failing))
    assert len(accepted) == 2
    close_all([*clients, *accepted])


def test_client_has_left_only_if_nothing_can_come(listening):
    silent, sending, left = connect(listening, 3)
    accepted = list(accept_waiting(listening))
    sending.sendall(b"G")
    sending.close()
    left.close()
    assert [has_client_left(one) for one in accepted] == [False, False, True]
    close_all([silent, *accepted])


def test_connections_that_came_together_are_read_before_any_is_closed_as_one_too_many():
    # What a client sent with its connect must be answered, also if its connection is above the soft limit.
    async def scenario():
        async with RunningGateway(limits={"sockets": 256}) as gate:
            admission = gate.listener.admission
            count = admission.hard_max_connections
            assert count > admission.max_connections + 10
            clients = [socket.create_connection((HOST, gate.port)) for _ in range(count)]
            for client in clients:
                client.sendall(READY)
                client.setblocking(False)
            loop = asyncio.get_running_loop()
            responses = await asyncio.gather(*(loop.sock_recv(client, 4096) for client in clients))
            assert all(response.startswith(b"HTTP/1.1 200") for response in responses)
            close_all(clients)

    run(scenario())


def test_close_of_the_listener_waits_for_connections_that_are_being_taken_in():
    # Found in reading: a process that ends with its last request would not know of them, and reset them.
    async def scenario():
        async with RunningGateway() as gate:
            loop = asyncio.get_running_loop()
            listening = Platform().create_listener((HOST, 0), LISTEN_BACKLOG)
            server = ClientServer(loop, listening, gate.listener.create_connection)
            await server.start(LISTEN_BACKLOG)
            clients = connect(listening, 3)
            server._accept_more()
            assert len(gate.listener.admission) < len(clients)
            await close_listener(loop, server, listening, gate.listener)
            assert len(gate.listener.admission) == len(clients)
            close_all(clients)

    run(scenario())
