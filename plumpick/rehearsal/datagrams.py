"""The way of datagrams between gatekeepers: delay, loss, a full inbox, splits.

Each pair of gatekeepers has a socket each way: the address at which the one reaches the other, and from
which it hears it. So a gatekeeper knows its peers by address, as on the platform.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

from plumpick.rehearsal.records import Passed, Record
from plumpick.rehearsal.scenario import PeerPart
from plumpick.rehearsal.surroundings import HOST, Surroundings


class _Plug(asyncio.DatagramProtocol):
    """Where `sender` reaches `receiver`."""

    def __init__(self, relay: Relay, sender: int, receiver: int) -> None:
        self.relay, self.sender, self.receiver = relay, sender, receiver
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        if address[1] == self.relay.ports[self.sender]:  # a stranger is nobody's peer
            self.relay.carry(self, data)


class Relay:
    """Carries datagrams between the gatekeepers, whose own ports are `ports`."""

    def __init__(
        self, around: Surroundings, part: PeerPart, names: list[str], record: Callable[[Record], None]
    ) -> None:
        self._around, self._part, self._names, self._record = around, part, names, record
        self._rng = around.chance("datagrams")
        self.ports = [0] * len(names)  # set by the supervisor
        self._plugs: dict[tuple[int, int], _Plug] = {}
        self._inbox: list[deque[float]] = [deque() for _ in names]
        self.sides: list[set[int]] = []  # who is cut off from all others
        self.deaf: list[tuple[set[int], set[int]]] = []  # what the first say does not come to the second
        # What a script does with one datagram, by sender, receiver and bytes: ms more, or None: it is lost.
        self.hook: Callable[[int, int, bytes], float | None] = lambda _sender, _receiver, _data: 0.0
        self.loss, self.twice = part.loss, 0.0  # shares
        self.delay_ms = tuple(part.delay_ms)  # drawn for each, so that they overtake one another

    async def start(self) -> None:
        for sender in range(len(self._names)):
            for receiver in range(len(self._names)):
                if sender != receiver:
                    plug = _Plug(self, sender, receiver)
                    await self._around.loop.create_datagram_endpoint(lambda plug=plug: plug, (HOST, 0))
                    self._plugs[sender, receiver] = plug

    def address(self, sender: int, receiver: int) -> str:
        """Where `sender` reaches `receiver`, as host:port."""
        return f"{HOST}:{self._plugs[sender, receiver].transport.get_extra_info('sockname')[1]}"

    def carry(self, plug: _Plug, data: bytes) -> None:
        """A datagram has come from `plug.sender`."""
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
        """Deliver a datagram now that came before."""
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
            Passed(self._around.now(), self._names[plug.sender], self._names[plug.receiver], len(data), fate)
        )

    def close(self) -> None:
        for plug in self._plugs.values():
            plug.transport.close()
