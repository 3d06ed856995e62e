"""The successor's side of a hot restart: a new process takes over from the running one (see predecessor.py).

If no process runs, or none that speaks this protocol, `Successor.connect` returns None, and the start is an
ordinary one. The reason is logged, unless there is no socket file."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from plumpick.gateway.hot_restart.channel import Channel
from plumpick.gateway.hot_restart.message import MessageKind
from plumpick.gateway.hot_restart.sibling import HotRestartContext, SiblingChannel, handle_sibling_message
from plumpick.gateway.hot_restart.socket_path import is_same_user, short_address
from plumpick.gateway.listeners.client_server import adopt

OFFER_TIMEOUT_S = 1.0
STATE_TIMEOUT_S = 2.0

log = logging.getLogger(__name__)


class Successor:
    """The connection to the predecessor, and the sockets received from it.

    `on_predecessor_exit()` is called when the predecessor has ended, `on_descriptor_count(count)` when it
    reports the number of descriptors that it still holds."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.listen_socket: socket.socket | None = None
        self.datagram_socket: socket.socket | None = None
        self.on_predecessor_exit: Callable[[], None] = lambda: None
        self.on_descriptor_count: Callable[[int], None] = lambda _count: None
        self._offer: asyncio.Future[bool] = loop.create_future()
        self._state: asyncio.Future[Mapping[str, Any] | None] = loop.create_future()
        self._early_messages: list[tuple[str, Any, list[int]]] = []  # messages received before `complete`
        self._tasks: set[asyncio.Task[Any]] = set()
        self._channel: Channel | None = None
        self._context: HotRestartContext | None = None
        self._predecessor_exited = False

    @classmethod
    async def connect(cls, loop: asyncio.AbstractEventLoop, path: Path, name: str) -> Successor | None:
        """Connect to the predecessor and receive its sockets; None if there is no usable predecessor."""
        connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            connection.settimeout(OFFER_TIMEOUT_S)
            with short_address(path) as address:
                connection.connect(address)
            if not is_same_user(connection):
                raise PermissionError(1, "the socket belongs to another user")
        except FileNotFoundError:
            connection.close()
            return None
        except OSError as problem:
            log.warning(
                "handover: no process to take over from at %s (%s): ordinary start",
                path,
                problem.strerror or problem,
            )
            connection.close()
            return None
        successor = cls(loop)
        channel = Channel(loop, connection, successor._on_message, successor._on_closed)
        successor._channel = channel
        channel.send(MessageKind.HELLO, name)
        done, _ = await asyncio.wait([successor._offer], timeout=OFFER_TIMEOUT_S)
        if not done or not successor._offer.result() or successor.listen_socket is None:
            log.warning("handover: no offer from the process at %s: ordinary start", path)
            channel.close()
            return None
        return successor

    async def take_over(self) -> Mapping[str, Any] | None:
        """Request the predecessor's state, upon which it stops accepting clients. Returns the state, or None
        if the predecessor sends none or does not answer within STATE_TIMEOUT_S."""
        assert self._channel is not None
        self._channel.send(MessageKind.TAKE_OVER)
        done, _ = await asyncio.wait([self._state], timeout=STATE_TIMEOUT_S)
        return self._state.result() if done else None

    def complete(self, context: HotRestartContext) -> None:
        """Announce that this process serves, and start the exchange with the predecessor; messages received
        earlier are handled now."""
        self._context = context
        if not self._predecessor_exited and self._channel is not None:
            context.gateway.sibling = SiblingChannel(self._channel)
            self._channel.send(MessageKind.SERVING)
        early = self._early_messages
        self._early_messages = []
        for kind, value, descriptors in early:
            self._handle(context, kind, value, descriptors)
        if self._predecessor_exited:
            self._loop.call_soon(self.on_predecessor_exit)

    def close(self) -> None:
        """Close the connection to the predecessor."""
        if self._channel is not None:
            self._channel.close()

    # -- messages of the predecessor

    def _on_message(self, kind: str, value: Any, descriptors: list[int]) -> None:
        if kind == MessageKind.OFFER and not self._offer.done():
            self._accept_offer(descriptors)
        elif kind == MessageKind.STATE and not self._state.done():
            self._state.set_result(value if isinstance(value, dict) else None)
        elif self._context is None:
            self._early_messages.append((kind, value, descriptors))
        else:
            self._handle(self._context, kind, value, descriptors)

    def _accept_offer(self, descriptors: list[int]) -> None:
        sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        for one in sockets:
            if one.type == socket.SOCK_STREAM and self.listen_socket is None:
                self.listen_socket = one
            elif one.type == socket.SOCK_DGRAM and self.datagram_socket is None:
                self.datagram_socket = one
            else:
                one.close()
        self._offer.set_result(True)

    def _handle(self, context: HotRestartContext, kind: str, value: Any, descriptors: list[int]) -> None:
        if kind == MessageKind.DESCRIPTOR_COUNT:
            self.on_descriptor_count(int(value) if isinstance(value, int) else 0)
            return
        if kind == MessageKind.CLIENT_CONNECTION:
            if not descriptors:
                log.warning(
                    "handover: a client's connection was closed: no descriptor was left to receive it"
                )
            for descriptor in descriptors:
                client = socket.socket(fileno=descriptor)
                task = self._loop.create_task(
                    adopt(self._loop, client, context.listener.create_inherited_connection)
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            return
        for descriptor in descriptors:
            os.close(descriptor)
        handle_sibling_message(context, kind, value)

    def _on_closed(self) -> None:
        """Resolve pending waits, and notify the owner: the predecessor has ended or sent a malformed
        message."""
        self._predecessor_exited = True
        if not self._offer.done():
            self._offer.set_result(False)
        if not self._state.done():
            self._state.set_result(None)
        if self._context is not None:
            self._context.gateway.sibling = None
            self.on_predecessor_exit()
