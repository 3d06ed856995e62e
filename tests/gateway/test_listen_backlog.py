"""The number of clients' connections that may wait to be accepted."""

import asyncio
import socket
import struct

from support.fakes import HOST, RunningGateway, run

from plumpick.gateway.hot_restart.sibling import HotRestartContext
from plumpick.gateway.listeners.http.listener import LISTEN_BACKLOG
from plumpick.gateway.management import open_shared_listener
from plumpick.gateway.shutdown import close_listener

QUEUED = 80
MAX_ITERATIONS = 10  # of the event loop, however many connections there are
MAX_BACKLOG_OFFSET = 28  # of tcpi_sacked, which for a listening socket is the maximum of its queue


def maximum_queue(listening):
    info = listening.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, MAX_BACKLOG_OFFSET + 4)
    return struct.unpack_from("I", info, MAX_BACKLOG_OFFSET)[0]


def test_listener_with_an_operators_address_queues_as_many_connections_as_one_without():
    """Guards against clients that had connected and sent a request but were not accepted for seconds: the
    queue was 100 connections long, and the kernel ignored further ones until they tried again."""

    async def scenario():
        loop = asyncio.get_running_loop()
        async with RunningGateway() as gate:
            context = HotRestartContext("n0", 0, gate.gateway, gate.listener)
            context.listen_socket = open_shared_listener((HOST, 0))
            await context.listen(loop)
            assert maximum_queue(context.listen_socket) == LISTEN_BACKLOG
            await close_listener(loop, context.server, context.listen_socket, gate.listener)
            context.listen_socket.close()

    run(scenario())


def test_a_long_queue_does_not_delay_the_close_of_the_listener():
    """Guards against a shutdown that took connections from the queue one by one, each in an iteration of a
    busy event loop, until SIGKILL: it began to close connections seconds too late."""

    async def scenario():
        loop = asyncio.get_running_loop()
        async with RunningGateway(limits={"sockets": 1024}) as gate:
            listening = open_shared_listener((HOST, 0))
            server = await loop.create_server(gate.listener.create_connection, sock=listening.dup())
            clients = []
            for _ in range(QUEUED):
                client = socket.socket()
                client.connect(listening.getsockname())
                clients.append(client)
            closing = asyncio.ensure_future(close_listener(loop, server, listening, gate.listener))
            iterations = 0
            while not closing.done():
                await asyncio.sleep(0)
                iterations += 1
            assert len(gate.listener.admission) == QUEUED and iterations <= MAX_ITERATIONS
            for client in clients:
                client.close()
            listening.close()

    run(scenario())
