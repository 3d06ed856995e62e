"""The operators' listener: one command a connection, a line that is answered with one of +OK or -ERR.

It decides nothing: a command goes to the gateway, and its reply back. Hundreds of connections that send
nothing must not lock operators out while clients hold every descriptor that they may: a few connections are
open at a time, out of a reserve of their own; one more replaces the oldest without a complete command; and no
command is waited for longer than COMMAND_TIMEOUT_MS. A malformed command is answered with -ERR and its
reason."""

from __future__ import annotations

import asyncio
from typing import Any

from plumpick.gateway.listeners.interface import OperatorGateway

MAX_CONNECTIONS = 12
HARD_MAX_CONNECTIONS = 40  # those that come in one go are all read before some are closed
MAX_LINE_BYTES = 512  # its end included
COMMAND_TIMEOUT_MS = 5000.0  # for a complete line
EVICTION_DELAY_MS = 5.0  # after one connection too many
LISTEN_BACKLOG = 512

# Commands, and how many arguments each takes: at least, at most.
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


class CommandError(ValueError):
    """A line that is no command; the text is the reply to it."""


class CommandLineReader:
    """The bytes of one command, however they are split."""

    def __init__(self) -> None:
        self.buffered = b""  # at most one byte more than a line

    def feed(self, data: bytes, ended: bool = False) -> bytes | None:
        """The complete line without its end, or None; raises CommandError where it is too long. A line that
        the end of the sending ends is complete too."""
        self.buffered += data[: MAX_LINE_BYTES + 1]
        line, end, _ = self.buffered.partition(b"\n")
        if len(line) + len(end) > MAX_LINE_BYTES:
            raise CommandError("the line is too long")
        if end or (ended and line):
            return line.removesuffix(b"\r")
        return None


def parse_command(line: bytes) -> tuple[str, str]:
    """The command and its argument, or an empty one; raises CommandError. Case matters in an id only."""
    if not line.isascii() or not line.decode().isprintable():
        raise CommandError("the line holds what is no text")
    word, *arguments = line.split()[:3] or [b""]
    name = word.upper()
    if name not in ARGUMENT_COUNTS:
        raise CommandError("no such call; there are " + ", ".join(one.decode() for one in ARGUMENT_COUNTS))
    minimum, maximum = ARGUMENT_COUNTS[name]
    if not minimum <= len(line.split()) - 1 <= maximum:
        raise CommandError(f"{name.decode()} takes {_expected_arguments(minimum, maximum)}")
    return name.decode(), arguments[0].decode() if arguments else ""


def _expected_arguments(minimum: int, maximum: int) -> str:
    if minimum:
        return "one id"
    return "one word at most" if maximum else "nothing more"


class AdminConnection:
    """One connection: an asyncio.Protocol by its methods."""

    def __init__(self, listener: AdminListener) -> None:
        self.is_done = False  # answered, or closed
        self.opened_ms = 0.0
        self._listener = listener
        self._reader = CommandLineReader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self._transport = transport  # type: ignore[assignment]
        self._listener.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Bytes of the command have come."""
        self._on_input(data, False)

    def eof_received(self) -> bool:
        """The other side has ended its sending; False closes the connection, True lets the reply go out."""
        self._on_input(b"", True)
        return not self.is_done

    def connection_lost(self, _problem: Exception | None) -> None:
        """The connection is closed."""
        self.is_done = True
        self._listener.on_disconnected(self)

    def pause_writing(self) -> None:
        """A reply is one line: it always fits."""

    def resume_writing(self) -> None:
        """See pause_writing."""

    def _on_input(self, data: bytes, ended: bool) -> None:
        if self.is_done:  # what comes behind the line is ignored
            return
        try:
            line = self._reader.feed(data, ended)
            if line is None:
                if ended:
                    self.abort()
                return
            text = self._listener.gateway.execute_command(*parse_command(line))
            is_rejected = False
        except ValueError as problem:  # a CommandError, or the gateway rejects the command
            text = str(problem)
            is_rejected = True
        self.is_done = True
        self._reply(is_rejected, text)

    def _reply(self, is_rejected: bool, text: str) -> None:
        transport = self._transport
        assert transport is not None
        transport.write(f"{'-ERR' if is_rejected else '+OK'}{' ' if text else ''}{text}\n".encode())
        # To close over unread bytes resets the connection, and the reply may be lost with it. So our side
        # ends, what still comes is read and dropped, and the sweep closes what stays.
        transport.write_eof()

    def abort(self) -> None:
        """Close at once."""
        self.is_done = True
        if self._transport is not None:
            self._transport.abort()


class AdminListener:
    """All connections of operators."""

    def __init__(self, gateway: OperatorGateway) -> None:
        self.gateway = gateway
        self.connections: dict[AdminConnection, None] = {}  # in the order in which they came
        self._is_eviction_due = False

    def create_connection(self) -> AdminConnection:
        """A connection for a new transport."""
        return AdminConnection(self)

    def on_connected(self, connection: AdminConnection) -> None:
        """A connection is up; soon after one too many the oldest are closed."""
        connection.opened_ms = self.gateway.clock.now()
        if len(self.connections) >= HARD_MAX_CONNECTIONS:
            self._evict(HARD_MAX_CONNECTIONS - 1)
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS and not self._is_eviction_due:
            self._is_eviction_due = True
            self.gateway.timers.at(
                connection.opened_ms + EVICTION_DELAY_MS, lambda: self._evict(MAX_CONNECTIONS)
            )

    def on_disconnected(self, connection: AdminConnection) -> None:
        """A connection is closed."""
        self.connections.pop(connection, None)

    def _evict(self, maximum: int) -> None:
        """Close the oldest, half a line read or none: the newest may not have been read yet. Those that have
        their reply are closed last."""
        self._is_eviction_due = False
        by_age = [one for one in self.connections if not one.is_done]
        by_age += [one for one in self.connections if one.is_done]
        for connection in by_age[: max(0, len(by_age) - maximum)]:
            self._abort(connection)

    def sweep(self, now: float) -> None:
        """Close what has had its time."""
        for connection in list(self.connections):
            if now - connection.opened_ms > COMMAND_TIMEOUT_MS:
                self._abort(connection)

    def close(self) -> None:
        """Close all connections, whatever their state."""
        for connection in list(self.connections):
            self._abort(connection)

    def _abort(self, connection: AdminConnection) -> None:
        self.on_disconnected(connection)
        connection.abort()


async def start_server(
    listener: AdminListener, address: tuple[str, int], loop: asyncio.AbstractEventLoop
) -> Any:
    """Listen for operators at that address; raises OSError."""
    return await loop.create_server(
        listener.create_connection, *address, backlog=LISTEN_BACKLOG, reuse_address=True
    )
