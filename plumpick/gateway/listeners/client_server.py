"""Accepts clients at a listening socket, many of them in one iteration of the event loop.

The event loop accepts one connection in an iteration. While its iterations are long, connections would arrive
faster than that, the backlog would overflow, and the kernel would ignore connects until they are tried again
after a second. So whenever the loop has accepted a connection, more of the backlog is accepted with it."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Iterator
from typing import Any

# Maximum number of connections that are accepted in one iteration beside the event loop's own one, and of
# those among them that are served. What comes faster than requests are served waits in the backlog.
MAX_ACCEPTS_PER_ITERATION = 64
MAX_ADOPTIONS_PER_ITERATION = 16
MAX_BACKLOG_CONNECTIONS = 65_535  # more than the backlog of any listening socket

log = logging.getLogger(__name__)


class ClientServer:
    """Serves the clients that connect to a listening socket. `create_connection` creates the protocol object
    of a connection. The server closes the listening socket."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listening: socket.socket,
        create_connection: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        self._loop = loop
        self._listening = listening
        self._create_connection = create_connection
        self._server: Any = None
        self._is_accept_scheduled = False
        self._adoptions: set[asyncio.Task[None]] = set()

    async def start(self, backlog: int) -> None:
        """Start to accept. `backlog`: maximum number of connections that wait to be accepted. Raises
        OSError."""
        self._server = await self._loop.create_server(
            self._on_accepted_by_loop, sock=self._listening, backlog=backlog
        )

    def close(self) -> None:
        """Stop accepting. The connections stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def adoptions(self) -> list[asyncio.Task[None]]:
        """Return the tasks of connections that were accepted and that no protocol object knows yet."""
        return list(self._adoptions)

    def _on_accepted_by_loop(self) -> asyncio.BaseProtocol:
        """Create the protocol object of a connection that the event loop has accepted."""
        if not self._is_accept_scheduled:
            self._is_accept_scheduled = True
            self._loop.call_soon(self._accept_more)
        return self._create_connection()

    def _accept_more(self) -> None:
        self._is_accept_scheduled = False
        if self._server is None:
            return  # the backlog belongs to another process now, or was accepted by the shutdown
        adoptions_left = MAX_ADOPTIONS_PER_ITERATION
        for connection in accept_waiting(self._listening, MAX_ACCEPTS_PER_ITERATION):
            if has_client_left(connection):
                connection.close()
                continue
            self._adopt(connection)
            adoptions_left -= 1
            if not adoptions_left:
                break

    def _adopt(self, connection: socket.socket) -> None:
        task = self._loop.create_task(adopt(self._loop, connection, self._create_connection))
        self._adoptions.add(task)
        task.add_done_callback(self._adoptions.discard)


def accept_waiting(
    listening: socket.socket, max_connections: int = MAX_BACKLOG_CONNECTIONS
) -> Iterator[socket.socket]:
    """Accept connections that wait in the backlog of a listening socket, at most `max_connections`, each when
    it is asked for. Never raises OSError: a failure is logged, and the rest waits."""
    accepted = 0
    while accepted < max_connections:
        try:
            connection = listening.accept()[0]
        except ConnectionAbortedError:
            continue  # this client has left; others wait behind it
        except BlockingIOError:
            return
        except OSError as problem:  # for example, no descriptor is free
            log.warning("cannot accept the rest of the listener's backlog: %s", problem)
            return
        accepted += 1
        yield connection


async def adopt(
    loop: asyncio.AbstractEventLoop,
    connection: socket.socket,
    create_connection: Callable[[], asyncio.BaseProtocol],
) -> None:
    """Serve a client's connection that was not accepted by the event loop of this process. Never raises
    OSError: a failure is logged, and the connection closed."""
    try:
        connection.setblocking(False)
        await loop.connect_accepted_socket(create_connection, connection)
    except OSError as problem:
        log.warning("a client's connection could not be taken over and was closed: %s", problem)
        connection.close()


def has_client_left(connection: socket.socket) -> bool:
    """Whether the client of a connection from which nothing was read has closed it and sent nothing: no
    request can come."""
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
