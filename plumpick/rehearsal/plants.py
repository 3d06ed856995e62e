"""Planted faults: a relay on the way between a gatekeeper and its servers or clients does what must never
happen.

The daemon holds no fault code, and does nothing wrong. The auditor has to find the breach all the same.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from plumpick.rehearsal.records import Record, RequestSent, StatusSent, WorkerStarted
from plumpick.rehearsal.surroundings import HOST, Surroundings
from plumpick.rehearsal.wire import Message, Reader, WireError

DRAIN_SURE_MS = 1150.0  # after word of a drain: beyond the grace and its tolerance
COLD_SURE_MS = 150.0


class _Far(asyncio.Protocol):
    """The relay's connection to where the messages really go."""

    def __init__(self, near: _Near) -> None:
        self.near = near
        self.transport: Any = None
        self.reader = Reader(answers=True)
        self.waiting: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        for data in self.waiting:
            self.transport.write(data)

    def write(self, data: bytes) -> None:
        if self.transport is None:
            self.waiting.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        try:
            messages = self.reader.feed(data, 0.0)
        except WireError:  # a spoilt answer goes on as it is
            self.near.say(data)
            return
        for message in messages:
            self.near.answered(message)

    def connection_lost(self, _problem: Exception | None) -> None:
        if self.near.far is self:
            self.near.close()


class _Near(asyncio.Protocol):
    """A connection that has come to the relay."""

    def __init__(self, stage: Stage, port: int) -> None:
        self.stage, self.port = stage, port
        self.transport: Any = None
        self.reader = Reader(answers=False)
        self.far: _Far | None = None
        self.far_port = 0
        self.request: Message | None = None
        self.tasks: set[asyncio.Task[Any]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.stage.near.add(self)

    def data_received(self, data: bytes) -> None:
        try:
            messages = self.reader.feed(data, 0.0)
        except WireError:
            self.transport.abort()
            return
        for message in messages:
            self.request = message
            port, raw = self.stage.plant.request(self.port, message)
            self.forward(port, raw)

    def forward(self, port: int, raw: bytes) -> None:
        if self.far is None or self.far_port != port:
            old, self.far = self.far, _Far(self)
            self.far_port = port
            if old is not None and old.transport is not None:
                old.transport.abort()
            far = self.far

            async def dial() -> None:
                try:
                    await self.stage.around.loop.create_connection(lambda: far, HOST, port)
                except OSError:
                    if self.far is far:
                        # Without us the client would have seen that nobody listens.
                        self.stage.refused.add(self.transport.get_extra_info("peername")[1])
                        self.close()

            self.stage.around.spawn(self.tasks, dial())
        self.far.write(raw)

    def answered(self, message: Message) -> None:
        request = self.request
        for raw in self.stage.plant.answer(request, message) if request is not None else [message.raw]:
            self.say(raw)

    def say(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, _problem: Exception | None) -> None:
        self.stage.near.discard(self)
        far, self.far = self.far, None
        if far is not None and far.transport is not None:
            far.transport.abort()


class Plant:
    """What goes wrong: `request` may send a message elsewhere or change it, `answer` may change what comes
    back.

    `at_servers`: the relay stands before the servers, else before the gatekeepers. A plant hears all records.
    """

    name, at_servers = "", False
    rule = ""  # that it breaks

    def __init__(self, around: Surroundings) -> None:
        self.around, self.stage = around, None  # type: Surroundings, Stage | None
        self.done = 0  # how often it has struck

    def feed(self, record: Record) -> None:
        """A record has come."""

    def request(self, port: int, message: Message) -> tuple[int, bytes]:
        """Where the message goes, and its bytes."""
        return port, message.raw

    def answer(self, request: Message, message: Message) -> list[bytes]:
        """What the other side gets for this answer."""
        return [message.raw]


class _EveryNth(Plant):
    """Strikes at every n-th answer that it is for."""

    every = 10

    def __init__(self, around: Surroundings) -> None:
        super().__init__(around)
        self._count = itertools.count(1)

    def is_for(self, request: Message, message: Message) -> bool:
        return message.status == 200 and not request.start[1].startswith(b"/up")

    def answer(self, request: Message, message: Message) -> list[bytes]:
        if not self.is_for(request, message) or next(self._count) % self.every:
            return [message.raw]
        self.done += 1
        return self.spoil(request, message)

    def spoil(self, request: Message, message: Message) -> list[bytes]:
        raise NotImplementedError


class DoubleDebit(Plant):
    """An hours-debit is sent to a second server too, while the first runs it."""

    name, at_servers, rule = "double-debit", True, "effects-once"
    every = 4

    def __init__(self, around: Surroundings) -> None:
        super().__init__(around)
        self._count = itertools.count(1)

    def request(self, port: int, message: Message) -> tuple[int, bytes]:
        if message.start[1].startswith(b"/hours-debit") and not next(self._count) % self.every:
            assert self.stage is not None
            others = [one for one in self.stage.targets() if one != port]
            if others:
                self.done += 1
                self.stage.send_aside(others[self.done % len(others)], message.raw)
        return port, message.raw


class LostAnswer(_EveryNth):
    """An answer never reaches its client; the connection stays open."""

    name, rule = "lost-answer", "no-request-lost"

    def spoil(self, request: Message, message: Message) -> list[bytes]:
        return []


class SecondAnswer(_EveryNth):
    """A client gets its answer twice."""

    name, rule = "second-answer", "no-request-lost"

    def spoil(self, request: Message, message: Message) -> list[bytes]:
        return [message.raw + message.raw]


class ForeignAnswer(_EveryNth):
    """A client gets the body that was made for another."""

    name, rule = "foreign-answer", "no-request-lost"

    def __init__(self, around: Surroundings) -> None:
        super().__init__(around)
        self._last: bytes = b""

    def answer(self, request: Message, message: Message) -> list[bytes]:
        result = super().answer(request, message)
        if self.is_for(request, message):
            self._last = message.raw
        return result

    def spoil(self, request: Message, message: Message) -> list[bytes]:
        return [self._last or message.raw]


class UnsafeRefusal(_EveryNth):
    """An hours-debit that ran is refused, as if another try were harmless."""

    name, rule = "unsafe-refusal", "effects-once"
    every = 4

    def is_for(self, request: Message, message: Message) -> bool:
        return message.status == 200 and request.start[1].startswith(b"/hours-debit")

    def spoil(self, request: Message, message: Message) -> list[bytes]:
        return [b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.5\r\n\r\n"]


class _Divert(Plant):
    """Sends attempts elsewhere, but only such as break no other rule by that: no keyed ones, whose hall would
    change, and of unsafe ones the first."""

    def __init__(self, around: Surroundings) -> None:
        super().__init__(around)
        self._gates: dict[str, str] = {}
        self._seen: set[str] = set()

    def feed(self, record: Record) -> None:
        if isinstance(record, RequestSent):
            self._gates[record.id] = record.gate

    def gate_of(self, message: Message) -> str:
        """The gatekeeper that sends it, where it may be diverted, else nothing."""
        name = message.headers.get(b"x-request-id", b"").decode()
        again = name in self._seen
        self._seen.add(name)
        barred = b"idempotency-key" in message.headers or message.start[0] == b"POST" and again
        return "" if barred else self._gates.get(name, "")


class SendToDrained(_Divert):
    """Now and then work goes to a server of which its gatekeeper was told long ago that it drains."""

    name, at_servers, rule = "send-to-drained", True, "drains-kept"

    def __init__(self, around: Surroundings) -> None:
        super().__init__(around)
        self._draining: dict[tuple[str, str], float] = {}
        self._count = itertools.count(1)

    def feed(self, record: Record) -> None:
        super().feed(record)
        if isinstance(record, StatusSent):
            if record.status == "draining":
                self._draining[record.gate, record.server] = record.t
            else:
                self._draining.pop((record.gate, record.server), None)

    def request(self, port: int, message: Message) -> tuple[int, bytes]:
        assert self.stage is not None
        gate, now = self.gate_of(message), self.around.now()
        for (told, server), t in self._draining.items():
            drained = self.stage.port_of(server)
            if told == gate and now - t > DRAIN_SURE_MS and drained and not next(self._count) % 3:
                self.done += 1
                return drained, message.raw
        return port, message.raw


class ColdRush(_Divert):
    """All gatekeepers' work goes to a server that has just started, no more from each than it might send."""

    name, at_servers, rule = "cold-rush", True, "cold-servers"

    def __init__(self, around: Surroundings) -> None:
        super().__init__(around)
        self._cold: dict[str, float] = {}
        self._told: defaultdict[str, set[str]] = defaultdict(set)

    def feed(self, record: Record) -> None:
        super().feed(record)
        if isinstance(record, WorkerStarted) and record.cold_from < 1:
            self._cold[record.server] = record.t
        elif isinstance(record, StatusSent) and record.status == "ready":
            self._told[record.server].add(record.gate)

    def request(self, port: int, message: Message) -> tuple[int, bytes]:
        assert self.stage is not None
        gate = self.gate_of(message)
        for server, t in self._cold.items():
            target = self.stage.port_of(server)
            if target and gate in self._told[server] and self.around.now() - t > COLD_SURE_MS:
                self.done += 1
                return target, message.raw
        return port, message.raw


class OverCeiling(Plant):
    """Firms under a ceiling pass for many firms, so that no gatekeeper sees what they are sent on for
    together."""

    name, rule = "over-ceiling", "ceilings"
    names = 24

    def __init__(self, around: Surroundings) -> None:
        super().__init__(around)
        self._count = itertools.count(1)
        self.plans: set[bytes] = set()  # that have a ceiling

    def request(self, port: int, message: Message) -> tuple[int, bytes]:
        if message.headers.get(b"x-tier") not in self.plans:
            return port, message.raw
        self.done += 1
        firm = message.headers[b"x-api-key"]
        other = b"%016x" % (int(firm, 16) ^ (next(self._count) % self.names + 1) << 8)
        return port, message.raw.replace(b"X-Api-Key: " + firm, b"X-Api-Key: " + other, 1)


PLANTS: dict[str, type[Plant]] = {
    kind.name: kind
    for kind in (
        DoubleDebit,
        LostAnswer,
        ForeignAnswer,
        SecondAnswer,
        SendToDrained,
        ColdRush,
        OverCeiling,
        UnsafeRefusal,
    )
}


class Stage:
    """The relays of one plant, one for each target port."""

    def __init__(self, around: Surroundings, plant: Plant) -> None:
        self.around, self.plant = around, plant
        plant.stage = self
        self.near: set[_Near] = set()
        self.ports: dict[int, int] = {}  # the relay's port for a target's
        self.refused: set[int] = set()  # ports of clients whose target did not listen
        self.port_of: Callable[[str], int] = lambda name: 0
        self.targets: Callable[[], list[int]] = list
        self._servers: list[asyncio.Server] = []
        self._aside: set[asyncio.Task[Any]] = set()

    async def before(self, port: int) -> int:
        """The port of a relay before this one."""
        if port not in self.ports:
            server = await self.around.loop.create_server(lambda: _Near(self, port), HOST, 0)
            self._servers.append(server)
            self.ports[port] = server.sockets[0].getsockname()[1]
        return self.ports[port]

    def send_aside(self, port: int, raw: bytes) -> None:
        """Send a message on a connection of its own, and read what comes without telling anybody."""

        async def send() -> None:
            try:
                reader, writer = await asyncio.open_connection(HOST, port)
            except OSError:
                return
            writer.write(raw)
            try:
                await reader.readuntil(b"\r\n\r\n")
            except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                pass  # its server has gone
            finally:
                writer.close()

        self.around.spawn(self._aside, send())

    def close(self) -> None:
        for server in self._servers:
            server.close()
        for near in list(self.near):
            near.close()
        for task in list(self._aside):
            task.cancel()
