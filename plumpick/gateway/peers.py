"""Datagrams between gateways: unreliable, at most MAX_MESSAGE_BYTES each. What cannot be sent is lost."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Any

from plumpick.gateway.config import Address, Config

MAX_MESSAGE_BYTES = 256

log = logging.getLogger(__name__)


class Peers:
    """Sends to and receives from other gateways; the sender of a datagram is known by its address alone.
    `on_message(sender, data)` gets each; `create_socket` makes an unbound datagram socket.

    It uses a plain socket: the loop's datagram transport takes several times as long for each message."""

    def __init__(
        self, config: Config, on_message: Callable[[int, bytes], None], create_socket: Callable[[], Any]
    ) -> None:
        self._config = config
        self._on_message = on_message
        self._create_socket = create_socket
        self._numbers = {
            address: number
            for number, address in enumerate(config.peers)
            if number != config.settings.gateway_number
        }
        self._loop: asyncio.AbstractEventLoop | None = None
        self._socket: Any = None

    def open(self, loop: asyncio.AbstractEventLoop, inherited: Any = None, shared: bool = False) -> None:
        """Open the socket, where the configuration has peers; raises OSError. `inherited`: a bound socket of
        another process; nothing is received there before `start_receiving`. `shared`: another process may
        bind the same address."""
        if self._config.peer_listen is None:
            if inherited is not None:
                inherited.close()
            return
        sock = inherited if inherited is not None else self._create_socket()
        try:
            sock.setblocking(False)
            if inherited is None:
                if shared:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
                sock.bind(self._config.peer_listen)
        except OSError:
            sock.close()
            raise
        self._loop = loop
        self._socket = sock
        if inherited is None:
            self.start_receiving()

    def start_receiving(self) -> None:
        """Receive; also again, after `stop_receiving`."""
        if self._socket is not None and self._loop is not None:
            self._loop.add_reader(self._socket, self._read)

    def stop_receiving(self) -> None:
        """Receive nothing more: another process does. Sending goes on."""
        if self._socket is not None and self._loop is not None:
            self._loop.remove_reader(self._socket)

    @property
    def bound_socket(self) -> Any:
        """The socket, for another process; None where there is none."""
        return self._socket

    def _read(self) -> None:
        """Receive one datagram; the loop calls again at once if there are more."""
        assert self._socket is not None
        try:
            data, address = self._socket.recvfrom(MAX_MESSAGE_BYTES + 1)
        except OSError:  # nothing there, or the echo of a message that a peer could not take
            return
        number = self._numbers.get(address)
        if number is not None and len(data) <= MAX_MESSAGE_BYTES:  # anything else is not from a peer
            self._on_message(number, data)

    def send(self, receiver: int, data: bytes) -> None:
        """To one gateway by its number, or to all for -1."""
        if self._socket is None:
            return
        if len(data) > MAX_MESSAGE_BYTES:
            log.error("a message of %d bytes to gatekeeper %d was not sent", len(data), receiver)
            return
        peers = self._config.peers
        address: Address | None = self._config.peers_all
        if receiver >= 0:
            address = peers[receiver] if receiver < len(peers) else None
        if address is not None:
            try:  # noqa: SIM105  (for every message: a context manager costs as much as the call)
                self._socket.sendto(data, address)
            except OSError:
                pass  # a peer that is down, or a full buffer: lost, as any datagram may be

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None and self._loop is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None
