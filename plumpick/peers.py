"""Datagrams between gatekeepers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from plumpick.config import Address, Config

MAX_BYTES = 256

log = logging.getLogger(__name__)


class Peers(asyncio.DatagramProtocol):
    """Tells and hears other gatekeepers; who sent a datagram is known by its address alone."""

    def __init__(self, config: Config, heard: Callable[[int, bytes], None]) -> None:
        self._config, self._heard = config, heard
        self._numbers = {address: number for number, address in enumerate(config.peers)
                         if number != config.settings.number}
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, loop: asyncio.AbstractEventLoop) -> None:
        """Listen, where the configuration has peers."""
        if self._config.peer_listen is not None:
            await loop.create_datagram_endpoint(lambda: self, local_addr=self._config.peer_listen)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        number = self._numbers.get(address)
        if number is not None and len(data) <= MAX_BYTES:  # a stranger is no peer, whatever it says
            self._heard(number, data)

    def error_received(self, problem: OSError) -> None:
        """A peer that is down: what is sent to it is lost, as any datagram may be."""

    def tell(self, receiver: int, data: bytes) -> None:
        """To one gatekeeper by its number, or to all for -1."""
        if self._transport is None:
            return
        if len(data) > MAX_BYTES:
            log.error("a message of %d bytes to gatekeeper %d was not sent", len(data), receiver)
            return
        peers = self._config.peers
        address: Address | None = self._config.peers_all
        if receiver >= 0:
            address = peers[receiver] if receiver < len(peers) else None
        if address is not None:
            self._transport.sendto(data, address)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
