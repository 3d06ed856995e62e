"""Datagrams between gatekeepers."""

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
    """Tells and hears other gatekeepers; who sent a datagram is known by its address alone.

    On a plain socket: the loop's own datagram transport takes several times as long for each message."""

    def __init__(
        self, config: Config, heard: Callable[[int, bytes], None], datagrams: Callable[[], Any]
    ) -> None:
        self._config, self._heard, self._datagrams = config, heard, datagrams
        self._numbers = {
            address: number
            for number, address in enumerate(config.peers)
            if number != config.settings.gateway_number
        }
        self._loop: asyncio.AbstractEventLoop | None = None
        self._socket: Any = None

    def open(self, loop: asyncio.AbstractEventLoop, plug: Any = None, shared: bool = False) -> None:
        """Listen, where the configuration has peers. `plug`: a bound socket that another process listened at;
        nothing is heard there before `listen`. `shared`: another process may listen at the same address."""
        if self._config.peer_listen is None:
            if plug is not None:
                plug.close()
            return
        given = plug is not None
        plug = plug if given else self._datagrams()
        try:
            plug.setblocking(False)
            if shared and not given:
                plug.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            if not given:
                plug.bind(self._config.peer_listen)
        except OSError:
            plug.close()
            raise
        self._loop, self._socket = loop, plug
        if not given:
            self.listen()

    def listen(self) -> None:
        """Hear what comes; also again, after `mute`."""
        if self._socket is not None and self._loop is not None:
            self._loop.add_reader(self._socket, self._read)

    def mute(self) -> None:
        """Hear nothing more: another process does. What is told still goes out."""
        if self._socket is not None and self._loop is not None:
            self._loop.remove_reader(self._socket)

    @property
    def plug(self) -> Any:
        """The socket, for another process; None where there is none."""
        return self._socket

    def _read(self) -> None:
        """Take in one datagram; the loop calls again at once if there are more."""
        assert self._socket is not None
        try:
            data, address = self._socket.recvfrom(MAX_MESSAGE_BYTES + 1)
        except OSError:  # nothing there, or the echo of a message that a peer could not take
            return
        number = self._numbers.get(address)
        if number is not None and len(data) <= MAX_MESSAGE_BYTES:  # a stranger is no peer, whatever it says
            self._heard(number, data)

    def tell(self, receiver: int, data: bytes) -> None:
        """To one gatekeeper by its number, or to all for -1."""
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
        if self._socket is not None and self._loop is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None
