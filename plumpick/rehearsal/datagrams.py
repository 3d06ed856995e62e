"""A relay for the datagrams between gateways, with delay, loss, full inboxes and network splits.

Each ordered pair of gateways has its own relay socket: the sender sends to its address, and datagrams of the
opposite direction arrive from it. A gateway therefore identifies each peer by address, as in production.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from plumpick.rehearsal.records import DatagramHandled, Record
from plumpick.rehearsal.scenario import PeerPart
from plumpick.rehearsal.surroundings import HOST, Surroundings


class _RelaySocket(asyncio.DatagramProtocol):
    """The relay socket to which `sender` sends its datagrams for `receiver`."""

    def __init__(self, relay: Relay, sender: int, receiver: int) -> None:
        self.relay, self.sender, self.receiver = relay, sender, receiver
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        if address[1] == self.relay.ports[self.sender]:  # the relay ignores datagrams of other processes
            self.relay.carry(self, data)


class Relay:
    """Carries datagrams between the gateways that listen on `ports`."""

    def __init__(
        self, around: Surroundings, part: PeerPart, names: list[str], record: Callable[[Record], None]
    ) -> None:
        self._around, self._part, self._names, self._record = around, part, names, record
        self._rng = around.chance("datagrams")
        self.ports = [0] * len(names)  # datagram ports of the gateways, set by the supervisor
        self._sockets: dict[tuple[int, int], _RelaySocket] = {}
        self._inbox: list[deque[float]] = [deque() for _ in names]
        self.sides: list[set[int]] = []  # sets of gateways whose datagrams to and from all others are dropped
        # sets of senders and receivers; datagrams from one to the other are dropped
        self.deaf: list[tuple[set[int], set[int]]] = []
        # Fault injection for a datagram (sender, receiver, data): additional delay in ms, None to lose it.
        self.hook: Callable[[int, int, bytes], float | None] = lambda _sender, _receiver, _data: 0.0
        # probabilities that a datagram is lost, and that it is delivered twice
        self.loss, self.twice = part.loss, 0.0
        # range of the delay, drawn for each datagram, so that datagrams may be reordered
        self.delay_ms = tuple(part.delay_ms)

    async def start(self) -> None:
        for sender in range(len(self._names)):
            for receiver in range(len(self._names)):
                if sender != receiver:
                    socket = _RelaySocket(self, sender, receiver)
                    await self._around.loop.create_datagram_endpoint(lambda socket=socket: socket, (HOST, 0))
                    self._sockets[sender, receiver] = socket

    def address(self, sender: int, receiver: int) -> str:
        """Return the host:port to which `sender` sends its datagrams for `receiver`."""
        return f"{HOST}:{self._sockets[sender, receiver].transport.get_extra_info('sockname')[1]}"

    def carry(self, socket: _RelaySocket, data: bytes) -> None:
        """Schedule the delivery of a datagram received from `socket.sender`, or drop it."""
        more_ms = self.hook(socket.sender, socket.receiver, data)
        if any((socket.sender in side) != (socket.receiver in side) for side in self.sides) or any(
            socket.sender in some and socket.receiver in others for some, others in self.deaf
        ):
            self._record_fate(socket, data, "cut")
        elif more_ms is None or self._rng.random() < self.loss:
            self._record_fate(socket, data, "lost")
        else:
            for _ in range(1 + (self.twice > 0 and self._rng.random() < self.twice)):
                self._around.later(more_ms + self._rng.uniform(*self.delay_ms), self._deliver, socket, data)

    def again(self, sender: int, receiver: int, data: bytes) -> None:
        """Deliver an earlier datagram once more, without delay."""
        self._deliver(self._sockets[sender, receiver], data)

    def _deliver(self, socket: _RelaySocket, data: bytes) -> None:
        t, inbox = self._around.now(), self._inbox[socket.receiver]
        while inbox and inbox[0] <= t - 1000:
            inbox.popleft()
        back = self._sockets[socket.receiver, socket.sender]
        if len(inbox) >= self._part.inbox_per_s:
            self._record_fate(socket, data, "crowded out")
        elif not back.transport.is_closing():
            inbox.append(t)
            self._record_fate(socket, data, "delivered")
            back.transport.sendto(data, (HOST, self.ports[socket.receiver]))

    def _record_fate(self, socket: _RelaySocket, data: bytes, fate: str) -> None:
        self._record(
            DatagramHandled(
                self._around.now(), self._names[socket.sender], self._names[socket.receiver], len(data), fate
            )
        )

    def close(self) -> None:
        for socket in self._sockets.values():
            socket.transport.close()
