"""The exchange between the two processes of a hot restart while both run, and the objects that it needs."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Any

from plumpick.gateway.errors import CommandRejectedError
from plumpick.gateway.hot_restart.channel import Channel
from plumpick.gateway.hot_restart.message import MessageKind
from plumpick.gateway.listeners.client_server import ClientServer
from plumpick.gateway.listeners.http.listener import LISTEN_BACKLOG

log = logging.getLogger(__name__)


class HotRestartContext:
    """The objects of this process that a hot restart uses: gateway, listener, participant, settings,
    sockets."""

    def __init__(self, name: str, number: int, gateway: Any, listener: Any) -> None:
        self.name = name
        self.number = number
        self.gateway = gateway
        self.listener = listener  # HttpListener that owns the clients' connections
        self.participant: Any = None  # the ClusterParticipant of this process, or None
        self.settings_source: Any = None  # client of the configuration service, or None
        # Socket that listens for clients; the server has a duplicate of it.
        self.listen_socket: socket.socket | None = None
        self.server: ClientServer | None = None  # accepts clients

    async def listen(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start accepting clients at the listening socket."""
        assert self.listen_socket is not None
        server = ClientServer(loop, self.listen_socket.dup(), self.listener.create_connection)
        await server.start(LISTEN_BACKLOG)
        self.server = server

    def close(self) -> None:
        """Stop accepting clients; the listening socket stays open."""
        if self.server is not None:
            self.server.close()
            self.server = None


class SiblingChannel:
    """Forwards messages to the other process of a hot restart (implements interface.SiblingProcess)."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel

    def on_peer_message(self, sender: int, data: bytes) -> None:
        """Forward a datagram that this process received from a peer."""
        self._channel.send(MessageKind.PEER_MESSAGE, [sender, data.hex()])

    def on_own_message(self, data: bytes) -> None:
        """Forward a message that the policy sent to this gateway's own number."""
        self._channel.send(MessageKind.OWN_MESSAGE, data.hex())

    def on_request_id_claimed(self, client_id: bytes) -> None:
        """Forward the id of a request that this process has opened since its handover."""
        self._channel.send(MessageKind.REQUEST_ID, client_id.decode("latin-1"))

    def on_operator_command(self, name: str, argument: str) -> None:
        """Forward an operator's command that is in force in this process."""
        self._channel.send(MessageKind.OPERATOR_COMMAND, [name, argument])


def handle_sibling_message(context: HotRestartContext, kind: str, value: Any) -> bool:
    """Handle a message that the other process forwarded; returns False if the kind is not a forwarded one.
    A malformed value is logged and dropped."""
    try:
        if kind == MessageKind.PEER_MESSAGE:
            sender, data = value
            context.gateway.on_relayed_message(int(sender), bytes.fromhex(data))
        elif kind == MessageKind.OWN_MESSAGE:
            context.gateway.on_relayed_message(context.number, bytes.fromhex(value))
        elif kind == MessageKind.REQUEST_ID:
            context.gateway.requests.ids.inherit_one(str(value).encode("latin-1"))
        elif kind == MessageKind.OPERATOR_COMMAND:
            _execute_command(context, value)
        elif kind == MessageKind.USAGE_ROW:
            if context.participant is not None:
                context.participant.usage.count_forwarded(value)
        else:
            return False
    except (ValueError, TypeError) as problem:
        log.warning("handover: malformed message of the kind %s dropped: %s", kind, problem)
    return True


def _execute_command(context: HotRestartContext, value: Any) -> None:
    """Apply an operator's command that is in force in the other process. Raises ValueError or TypeError if
    the message is malformed."""
    name, argument = value
    if name == "UNDRAIN" and context.participant is not None:
        context.participant.request_restart_permit(False)
    try:
        context.gateway.apply_command(str(name), str(argument))
    except CommandRejectedError as problem:
        # The endpoint lists of the two processes may differ; the command stays in force in the other process.
        log.warning("handover: forwarded command %s %s rejected: %s", name, argument, problem)
