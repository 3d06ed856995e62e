"""What either process of a hot restart knows of its own process, and tells the other while both live."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Any

from plumpick.gateway.errors import CommandRejectedError
from plumpick.gateway.hot_restart.channel import Channel
from plumpick.gateway.hot_restart.message import MessageKind

log = logging.getLogger(__name__)


class HotRestartContext:
    """What a hot restart needs of the process around it."""

    def __init__(self, name: str, number: int, gateway: Any, listener: Any) -> None:
        self.name = name
        self.number = number
        self.gateway = gateway
        self.listener = listener  # an HttpListener
        self.participant: Any = None  # a ClusterParticipant, where there is one
        self.settings_source: Any = None  # where there is one
        self.listen_socket: socket.socket | None = None  # this process's own; the server has a duplicate
        self.server: Any = None

    async def listen(self, loop: asyncio.AbstractEventLoop) -> None:
        """Accept clients at the listening socket."""
        assert self.listen_socket is not None
        self.server = await loop.create_server(self.listener.create_connection, sock=self.listen_socket.dup())

    def close(self) -> None:
        """Accept no more clients; the listening socket stays open."""
        if self.server is not None:
            self.server.close()
            self.server = None


class SiblingChannel:
    """The other process as the gateway knows it (interface.SiblingProcess)."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel

    def on_peer_message(self, sender: int, data: bytes) -> None:
        """A message of a peer has come here."""
        self._channel.send(MessageKind.PEER_MESSAGE, [sender, data.hex()])

    def on_own_message(self, data: bytes) -> None:
        """The policy sends a message to this gateway's own number."""
        self._channel.send(MessageKind.OWN_MESSAGE, data.hex())

    def on_operator_command(self, name: str, argument: str) -> None:
        """An operator's command is in force here."""
        self._channel.send(MessageKind.OPERATOR_COMMAND, [name, argument])


def handle_sibling_message(context: HotRestartContext, kind: str, value: Any) -> bool:
    """Act on what either process tells the other while both live; False where the kind is none of these. A
    malformed value is logged and dropped."""
    try:
        if kind == MessageKind.PEER_MESSAGE:
            sender, data = value
            context.gateway.on_relayed_message(int(sender), bytes.fromhex(data))
        elif kind == MessageKind.OWN_MESSAGE:
            context.gateway.on_relayed_message(context.number, bytes.fromhex(value))
        elif kind == MessageKind.OPERATOR_COMMAND:
            _execute_command(context, value)
        elif kind == MessageKind.USAGE_ROW:
            if context.participant is not None:
                context.participant.usage.count_forwarded(value)
        else:
            return False
    except (ValueError, TypeError) as problem:
        log.warning("handover: %s cannot be read: %s", kind, problem)
    return True


def _execute_command(context: HotRestartContext, value: Any) -> None:
    """An operator's command, already in force in the other process; raises ValueError and TypeError."""
    name, argument = value
    try:
        context.gateway.apply_command(str(name), str(argument))
    except CommandRejectedError as problem:
        # This process may have another endpoint list; the command stands in the other one.
        log.warning("handover: %s %s: %s", name, argument, problem)
