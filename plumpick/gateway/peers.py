"""UDP datagrams between gateways, of at most MAX_MESSAGE_BYTES each. Delivery is not guaranteed: a datagram
that cannot be sent is dropped without an error."""

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
    """Sends datagrams to other gateways and receives theirs; a sender is identified by its address alone.

    `on_message(sender, data)` is called for each datagram, with the sender's gateway number; `create_socket`
    returns an unbound datagram socket. A plain socket is used because the event loop's datagram transport
    takes several times as long for each message."""

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
        """Open the socket if the configuration has an address for peers; raises OSError.

        `inherited`: a bound socket of the hot-restart predecessor, on which nothing is received before
        `start_receiving` is called. `shared`: whether another process may bind the same address."""
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
        """Start receiving datagrams, also after `stop_receiving`."""
        if self._socket is not None and self._loop is not None:
            self._loop.add_reader(self._socket, self._read)

    def stop_receiving(self) -> None:
        """Stop receiving datagrams, since another process receives on the same socket; sending still
        works."""
        if self._socket is not None and self._loop is not None:
            self._loop.remove_reader(self._socket)

    @property
    def bound_socket(self) -> Any:
        """The socket, to be passed to another process; None if it is not open."""
        return self._socket

    def _read(self) -> None:
        """Receive one datagram; the event loop calls again immediately if there are more."""
        assert self._socket is not None
        try:
            data, address = self._socket.recvfrom(MAX_MESSAGE_BYTES + 1)
        except OSError:  # no datagram, or an ICMP error for one sent to a peer that is down
            return
        number = self._numbers.get(address)
        if number is not None and len(data) <= MAX_MESSAGE_BYTES:  # no peer sends a longer datagram
            self._on_message(number, data)

    def send(self, receiver: int, data: bytes) -> None:
        """Send a datagram to the gateway with the number `receiver`, or to all peers if it is -1."""
        if self._socket is None:
            return
        if len(data) > MAX_MESSAGE_BYTES:
            log.error(
                "message to gatekeeper %d dropped: %d bytes exceed the maximum of %d",
                receiver,
                len(data),
                MAX_MESSAGE_BYTES,
            )
            return
        peers = self._config.peers
        address: Address | None = self._config.peers_all
        if receiver >= 0:
            address = peers[receiver] if receiver < len(peers) else None
        if address is not None:
            try:  # noqa: SIM105  (runs for every message: a context manager costs as much as the call)
                self._socket.sendto(data, address)
            except OSError:
                pass  # the peer is down or the send buffer is full: the datagram is dropped

    def close(self) -> None:
        """Close the socket; does nothing if it is not open."""
        if self._socket is not None and self._loop is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None
