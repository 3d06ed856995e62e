"""Fault injection by a relay between the gateways and their workers or clients.

Each fault makes the relay break one of the auditor's rules; the gateway itself contains no fault code. The
auditor must find the breach in the records.
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

# Time after notice of a drain from which new work breaks the rule, as grace period and tolerance are over
DRAIN_OVERDUE_MS = 1150.0
COLD_SEND_AFTER_MS = 150.0  # Time after a worker's cold start from which the fault sends work to it


class _TargetConnection(asyncio.Protocol):
    """The relay's connection to the target of the messages."""

    def __init__(self, accepted: _AcceptedConnection) -> None:
        self.accepted = accepted
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
        except WireError:  # A malformed response is passed on unchanged.
            self.accepted.send_back(data)
            return
        for message in messages:
            self.accepted.response_received(message)

    def connection_lost(self, _problem: Exception | None) -> None:
        if self.accepted.target is self:
            self.accepted.close()


class _AcceptedConnection(asyncio.Protocol):
    """A connection from a gateway or client that the relay accepted."""

    def __init__(self, relays: FaultRelays, port: int) -> None:
        self.relays, self.port = relays, port
        self.transport: Any = None
        self.reader = Reader(answers=False)
        self.target: _TargetConnection | None = None
        self.target_port = 0
        self.request: Message | None = None
        self.tasks: set[asyncio.Task[Any]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.relays.accepted.add(self)

    def data_received(self, data: bytes) -> None:
        try:
            messages = self.reader.feed(data, 0.0)
        except WireError:
            self.transport.abort()
            return
        for message in messages:
            self.request = message
            port, raw = self.relays.plant.request(self.port, message)
            self.forward(port, raw)

    def forward(self, port: int, raw: bytes) -> None:
        if self.target is None or self.target_port != port:
            old, self.target = self.target, _TargetConnection(self)
            self.target_port = port
            if old is not None and old.transport is not None:
                old.transport.abort()
            target = self.target

            async def dial() -> None:
                try:
                    await self.relays.around.loop.create_connection(lambda: target, HOST, port)
                except OSError:
                    if self.target is target:
                        # Without the relay, the client's connection would have been refused.
                        self.relays.refused.add(self.transport.get_extra_info("peername")[1])
                        self.close()

            self.relays.around.spawn(self.tasks, dial())
        self.target.write(raw)

    def response_received(self, message: Message) -> None:
        request = self.request
        for raw in self.relays.plant.answer(request, message) if request is not None else [message.raw]:
            self.send_back(raw)

    def send_back(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, _problem: Exception | None) -> None:
        self.relays.accepted.discard(self)
        target, self.target = self.target, None
        if target is not None and target.transport is not None:
            target.transport.abort()


class InjectedFault:
    """An injected fault: `request` may redirect or change a request, `answer` may change the response.

    With `at_servers` the relay stands between gateways and workers, else between clients and gateways.
    A fault receives all records of the run.
    """

    name, at_servers = "", False
    rule = ""  # Name of the auditor's rule that the fault breaks

    def __init__(self, around: Surroundings) -> None:
        self.around, self.relays = around, None  # type: Surroundings, FaultRelays | None
        self.strikes = 0  # Number of messages that the fault has affected

    def feed(self, record: Record) -> None:
        """Receive a record of the run."""

    def request(self, port: int, message: Message) -> tuple[int, bytes]:
        """Return the target port and the bytes of a request that was sent to `port`."""
        return port, message.raw

    def answer(self, request: Message, message: Message) -> list[bytes]:
        """Return the messages that the sender of `request` gets in place of the response `message`."""
        return [message.raw]


class _EveryNth(InjectedFault):
    """A fault that changes every n-th of the responses it applies to."""

    every = 10

    def __init__(self, around: Surroundings) -> None:
        super().__init__(around)
        self._count = itertools.count(1)

    def applies_to(self, request: Message, message: Message) -> bool:
        return message.status == 200 and not request.start[1].startswith(b"/up")

    def answer(self, request: Message, message: Message) -> list[bytes]:
        if not self.applies_to(request, message) or next(self._count) % self.every:
            return [message.raw]
        self.strikes += 1
        return self.alter(request, message)

    def alter(self, request: Message, message: Message) -> list[bytes]:
        raise NotImplementedError


class DoubleDebit(InjectedFault):
    """An hours-debit request is also sent to a second worker, while the first one runs it."""

    name, at_servers, rule = "double-debit", True, "effects-once"
    every = 4

    def __init__(self, around: Surroundings) -> None:
        super().__init__(around)
        self._count = itertools.count(1)

    def request(self, port: int, message: Message) -> tuple[int, bytes]:
        if message.start[1].startswith(b"/hours-debit") and not next(self._count) % self.every:
            assert self.relays is not None
            others = [one for one in self.relays.targets() if one != port]
            if others:
                self.strikes += 1
                self.relays.send_separately(others[self.strikes % len(others)], message.raw)
        return port, message.raw


class LostAnswer(_EveryNth):
    """A response never reaches its client; the connection stays open."""

    name, rule = "lost-answer", "no-request-lost"

    def alter(self, request: Message, message: Message) -> list[bytes]:
        return []


class SecondAnswer(_EveryNth):
    """A client gets its response twice."""

    name, rule = "second-answer", "no-request-lost"

    def alter(self, request: Message, message: Message) -> list[bytes]:
        return [message.raw + message.raw]


class ForeignAnswer(_EveryNth):
    """A client gets the response to another client's request."""

    name, rule = "foreign-answer", "no-request-lost"

    def __init__(self, around: Surroundings) -> None:
        super().__init__(around)
        self._last: bytes = b""

    def answer(self, request: Message, message: Message) -> list[bytes]:
        result = super().answer(request, message)
        if self.applies_to(request, message):
            self._last = message.raw
        return result

    def alter(self, request: Message, message: Message) -> list[bytes]:
        return [self._last or message.raw]


class UnsafeRefusal(_EveryNth):
    """A successful response to an hours-debit is replaced by a 503, as if a retry were safe."""

    name, rule = "unsafe-refusal", "effects-once"
    every = 4

    def applies_to(self, request: Message, message: Message) -> bool:
        return message.status == 200 and request.start[1].startswith(b"/hours-debit")

    def alter(self, request: Message, message: Message) -> list[bytes]:
        return [b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.5\r\n\r\n"]


class _Redirect(InjectedFault):
    """A fault that redirects attempts, but only those whose redirection breaks no other rule.

    Attempts with an idempotency key stay, as their zone would change; of unsafe requests only the first
    attempt is redirected.
    """

    def __init__(self, around: Surroundings) -> None:
        super().__init__(around)
        self._gateway_of: dict[str, str] = {}
        self._seen: set[str] = set()

    def feed(self, record: Record) -> None:
        if isinstance(record, RequestSent):
            self._gateway_of[record.id] = record.gate

    def redirectable_from(self, message: Message) -> str:
        """Return the gateway that sent the attempt, or "" if the attempt must not be redirected."""
        name = message.headers.get(b"x-request-id", b"").decode()
        again = name in self._seen
        self._seen.add(name)
        is_excluded = b"idempotency-key" in message.headers or message.start[0] == b"POST" and again
        return "" if is_excluded else self._gateway_of.get(name, "")


class SendToDrained(_Redirect):
    """Some attempts go to a worker whose draining was announced to the sending gateway long before."""

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
        assert self.relays is not None
        gate, now = self.redirectable_from(message), self.around.now()
        for (told, server), t in self._draining.items():
            drained = self.relays.port_of(server)
            if told == gate and now - t > DRAIN_OVERDUE_MS and drained and not next(self._count) % 3:
                self.strikes += 1
                return drained, message.raw
        return port, message.raw


class ColdRush(_Redirect):
    """Attempts of all gateways go to one worker that has just started.

    Each gateway alone stays within what it may send to a cold worker.
    """

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
        assert self.relays is not None
        gate = self.redirectable_from(message)
        for server, t in self._cold.items():
            target = self.relays.port_of(server)
            if target and gate in self._told[server] and self.around.now() - t > COLD_SEND_AFTER_MS:
                self.strikes += 1
                return target, message.raw
        return port, message.raw


class OverCeiling(InjectedFault):
    """Requests of customers with a ceiling carry changing customer keys, so that no gateway sees a customer's
    total."""

    name, rule = "over-ceiling", "ceilings"
    names = 24

    def __init__(self, around: Surroundings) -> None:
        super().__init__(around)
        self._count = itertools.count(1)
        self.plans: set[bytes] = set()  # Names of the plans whose customers have a ceiling

    def request(self, port: int, message: Message) -> tuple[int, bytes]:
        if message.headers.get(b"x-tier") not in self.plans:
            return port, message.raw
        self.strikes += 1
        customer = message.headers[b"x-api-key"]
        other = b"%016x" % (int(customer, 16) ^ (next(self._count) % self.names + 1) << 8)
        return port, message.raw.replace(b"X-Api-Key: " + customer, b"X-Api-Key: " + other, 1)


PLANTS: dict[str, type[InjectedFault]] = {
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


class FaultRelays:
    """The relays of one injected fault, one for each target port."""

    def __init__(self, around: Surroundings, plant: InjectedFault) -> None:
        self.around, self.plant = around, plant
        plant.relays = self
        self.accepted: set[_AcceptedConnection] = set()
        self.ports: dict[int, int] = {}  # Port of the relay by port of the target
        self.refused: set[int] = set()  # Local ports of clients whose target refused the connection
        self.port_of: Callable[[str], int] = lambda name: 0
        self.targets: Callable[[], list[int]] = list
        self._servers: list[asyncio.Server] = []
        self._separate_sends: set[asyncio.Task[Any]] = set()

    async def relay_port_for(self, port: int) -> int:
        """Return the port of the relay in front of the target port, started on first use."""
        if port not in self.ports:
            server = await self.around.loop.create_server(lambda: _AcceptedConnection(self, port), HOST, 0)
            self._servers.append(server)
            self.ports[port] = server.sockets[0].getsockname()[1]
        return self.ports[port]

    def send_separately(self, port: int, raw: bytes) -> None:
        """Send a message on a separate connection, and discard the response."""

        async def send() -> None:
            try:
                reader, writer = await asyncio.open_connection(HOST, port)
            except OSError:
                return
            writer.write(raw)
            try:
                await reader.readuntil(b"\r\n\r\n")
            except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                pass  # The response is discarded, so an early end of the connection does not matter.
            finally:
                writer.close()

        self.around.spawn(self._separate_sends, send())

    def close(self) -> None:
        for server in self._servers:
            server.close()
        for accepted in list(self.accepted):
            accepted.close()
        for task in list(self._separate_sends):
            task.cancel()
