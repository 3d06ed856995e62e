"""Where operators call: one line a connection, answered with one that begins with +OK or -ERR.

It decides nothing: what is said goes to the core as an order, and its answer back. Danger: callers that
connect and say nothing, hundreds of them, while clients hold every descriptor that they may. So there is room
for few at a time, out of a reserve of their own; one more takes the place of the oldest that has not made a
whole call; and nobody is waited for longer than PATIENCE_MS."""

from __future__ import annotations

import asyncio
from typing import Any

from plumpick.gateway.listeners.interface import OperatorGateway

MAX_CONNECTIONS, HARD_MAX_CONNECTIONS = (
    12,
    40,
)  # connections at a time; those that come at one stroke are all read before some go
MAX_LINE_BYTES = 512  # bytes, its end included
CALL_TIMEOUT_MS = 5000.0  # for a whole line
EVICTION_DELAY_MS = 5.0  # so long after one too many came, the oldest go
# And how many arguments each takes, at least and at most.
ARGUMENT_COUNTS = {
    b"READY": (0, 0),
    b"DISABLE": (1, 1),
    b"ENABLE": (1, 1),
    b"DRAIN": (0, 1),
    b"UNDRAIN": (0, 0),
    b"DUTIES": (0, 1),
    b"BUDGETS": (0, 1),
    b"CONFIGURATION": (0, 0),
}


class CommandLineReader:
    """The bytes of one call, however they come."""

    def __init__(self) -> None:
        self.text = b""

    def take(self, data: bytes, ended: bool = False) -> bytes | None:
        """The whole line without its end, or None; raises ValueError where it is too long. A line that is
        ended by the end of the sending is whole too."""
        self.text += data[: MAX_LINE_BYTES + 1]
        line, end, _ = self.text.partition(b"\n")
        if len(line) + len(end) > MAX_LINE_BYTES:
            raise ValueError("the line is too long")
        if end or ended and line:
            return line.removesuffix(b"\r")
        return None


def parse_command(line: bytes) -> tuple[str, str]:
    """The call and its argument, if it has one; raises ValueError. Case does not matter in a call, but in
    an id."""
    if not line.isascii() or not line.decode().isprintable():
        raise ValueError("the line holds what is no text")
    word, *arguments = line.split()[:3] or [b""]
    call = word.upper()
    if call not in ARGUMENT_COUNTS:
        raise ValueError("no such call; there are " + ", ".join(name.decode() for name in ARGUMENT_COUNTS))
    least, most = ARGUMENT_COUNTS[call]
    if not least <= len(line.split()) - 1 <= most:
        raise ValueError(
            f"{call.decode()} takes {'one id' if least else 'one word at most' if most else ''}"
            f"{'' if most else 'nothing more'}"
        )
    return call.decode(), arguments[0].decode() if arguments else ""


class AdminConnection:
    """One connection. An asyncio.Protocol by its methods."""

    def __init__(self, front: AdminListener) -> None:
        self.front, self.line, self.done = front, CommandLineReader(), False
        self.transport: asyncio.Transport | None = None
        self.since_ms = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.front.came(self)

    def data_received(self, data: bytes) -> None:
        self._take(data, False)

    def eof_received(self) -> bool:
        self._take(b"", True)
        return not self.done  # what is not answered has no more to say; else the answer is on its way

    def connection_lost(self, _problem: Exception | None) -> None:
        self.done = True
        self.front.left(self)

    def pause_writing(self) -> None:
        """An answer is a line: it fits."""

    def resume_writing(self) -> None:
        """It reads on."""

    def _take(self, data: bytes, ended: bool) -> None:
        if self.done:  # what comes behind the line is not looked at
            return
        try:
            line = self.line.take(data, ended)
            if line is None:
                if ended:
                    self.drop()
                return
            wrong, word = self.front.core.call(*parse_command(line))
        except ValueError as problem:
            wrong, word = True, str(problem)
        self.done = True
        transport = self.transport
        assert transport is not None
        transport.write(f"{'-ERR' if wrong else '+OK'}{' ' if word else ''}{word}\n".encode())
        # Danger: to close with bytes unread resets the connection, and the answer may be lost with it. So our
        # side ends, what still comes is read and dropped, and the sweep closes what stays.
        transport.write_eof()

    def drop(self) -> None:
        """Close at once."""
        self.done = True
        if self.transport is not None:
            self.transport.abort()


class AdminListener:
    """All connections of operators."""

    def __init__(self, core: OperatorGateway) -> None:
        self.core = core
        self.callers: dict[AdminConnection, None] = {}  # in the order in which they came
        self._making_room = False

    def connection(self) -> AdminConnection:
        """One more, for a listener."""
        return AdminConnection(self)

    def came(self, caller: AdminConnection) -> None:
        caller.since_ms = self.core.clock.now()
        if len(self.callers) >= HARD_MAX_CONNECTIONS:
            self._make_room(HARD_MAX_CONNECTIONS - 1)
        self.callers[caller] = None
        if len(self.callers) > MAX_CONNECTIONS and not self._making_room:
            self._making_room = True
            self.core.timers.at(caller.since_ms + EVICTION_DELAY_MS, lambda: self._make_room(MAX_CONNECTIONS))

    def left(self, caller: AdminConnection) -> None:
        self.callers.pop(caller, None)

    def _make_room(self, most: int) -> None:
        """The oldest go, half a line or none: who came last may not have been read yet. Who has been answered
        goes last."""
        self._making_room = False
        waiting = [one for one in self.callers if not one.done] + [one for one in self.callers if one.done]
        for caller in waiting[: max(0, len(waiting) - most)]:
            self.left(caller)
            caller.drop()

    def sweep(self, now: float) -> None:
        """Close what has had its time."""
        for caller in [one for one in self.callers if now - one.since_ms > CALL_TIMEOUT_MS]:
            self.left(caller)
            caller.drop()

    def close(self) -> None:
        """All connections, whatever they are at."""
        for caller in list(self.callers):
            self.left(caller)
            caller.drop()


def start_server(front: AdminListener, address: tuple[str, int], loop: asyncio.AbstractEventLoop) -> Any:
    """The listener, to be awaited."""
    return loop.create_server(front.connection, *address, backlog=512, reuse_address=True)
