"""The number of clients' connections that may wait to be accepted."""

import asyncio
import socket
import struct

from support.fakes import HOST, RunningGateway, run

from plumpick.gateway.hot_restart.sibling import HotRestartContext
from plumpick.gateway.listeners.http.listener import LISTEN_BACKLOG
from plumpick.gateway.management import open_shared_listener
from plumpick.gateway.shutdown import close_listener

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
