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


class _Plug(asyncio.DatagramProtocol):
    """The relay socket to which `sender` sends its datagrams for `receiver`."""

    def __init__(self, relay: Relay, sender: int, receiver: int) -> None:
        self.relay, self.sender, self.receiver = relay, sender, receiver
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        if address[1] == self.relay.ports[self.sender]:  # ignores datagrams of other processes
            self.relay.carry(self, data)


class Relay:
    """Carries datagrams between the gateways that listen on `ports`."""

    def __init__(
        self, around: Surroundings, part: PeerPart, names: list[str], record: Callable[[Record], None]
    ) -> None:
        self._around, self._part, self._names, self._record = around, part, names, record
        self._rng = around.chance("datagrams")
        self.ports = [0] * len(names)  # datagram ports of the gateways, set by the supervisor
        self._plugs: dict[tuple[int, int], _Plug] = {}
        self._inbox: list[deque[float]] = [deque() for _ in names]
        self.sides: list[set[int]] = []  # sets of gateways that are cut off from all others
        self.deaf: list[tuple[set[int], set[int]]] = []  # (senders, receivers) that are cut one way
        # Fault injection for a datagram (sender, receiver, data): additional delay in ms, None to lose it.
        self.hook: Callable[[int, int, bytes], float | None] = lambda _sender, _receiver, _data: 0.0
        self.loss, self.twice = part.loss, 0.0  # shares of datagrams that are lost, delivered twice
        self.delay_ms = tuple(part.delay_ms)  # drawn per datagram, so that datagrams are reordered

    async def start(self) -> None:
        for sender in range(len(self._names)):
            for receiver in range(len(self._names)):
                if sender != receiver:
                    plug = _Plug(self, sender, receiver)
                    await self._around.loop.create_datagram_endpoint(lambda plug=plug: plug, (HOST, 0))
                    self._plugs[sender, receiver] = plug

    def address(self, sender: int, receiver: int) -> str:
        """Return the host:port to which `sender` sends its datagrams for `receiver`."""
        return f"{HOST}:{self._plugs[sender, receiver].transport.get_extra_info('sockname')[1]}"

    def carry(self, plug: _Plug, data: bytes) -> None:
        """Schedule the delivery of a datagram received from `plug.sender`, or drop it."""
        more_ms = self.hook(plug.sender, plug.receiver, data)
        if any((plug.sender in side) != (plug.receiver in side) for side in self.sides) or any(
            plug.sender in some and plug.receiver in others for some, others in self.deaf
        ):
            self._tell(plug, data, "cut")
        elif more_ms is None or self._rng.random() < self.loss:
            self._tell(plug, data, "lost")
        else:
            for _ in range(1 + (self.twice > 0 and self._rng.random() < self.twice)):
                self._around.later(more_ms + self._rng.uniform(*self.delay_ms), self._deliver, plug, data)

    def again(self, sender: int, receiver: int, data: bytes) -> None:
        """Deliver an earlier datagram once more, without delay."""
        self._deliver(self._plugs[sender, receiver], data)

    def _deliver(self, plug: _Plug, data: bytes) -> None:
        t, inbox = self._around.now(), self._inbox[plug.receiver]
        while inbox and inbox[0] <= t - 1000:
            inbox.popleft()
        back = self._plugs[plug.receiver, plug.sender]
        if len(inbox) >= self._part.inbox_per_s:
            self._tell(plug, data, "crowded out")
        elif not back.transport.is_closing():
            inbox.append(t)
            self._tell(plug, data, "delivered")
            back.transport.sendto(data, (HOST, self.ports[plug.receiver]))

    def _tell(self, plug: _Plug, data: bytes, fate: str) -> None:
        self._record(
            DatagramHandled(
                self._around.now(), self._names[plug.sender], self._names[plug.receiver], len(data), fate
            )
        )

    def close(self) -> None:
        for plug in self._plugs.values():
            plug.transport.close()
