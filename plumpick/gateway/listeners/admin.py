"""The operators' listener: each connection carries one command line and gets one reply line, +OK or -ERR.

Commands are passed to the gateway, which decides on them. Operators must not be locked out by hundreds of
idle connections or by clients that use up their descriptors. So the listener has its own reserve of
descriptors for a few connections. A connection above that limit replaces the oldest one without a complete
command, and a complete command must arrive within COMMAND_TIMEOUT_MS. A malformed command is answered with
-ERR and the reason."""

from __future__ import annotations

import asyncio
from typing import Any

from plumpick.gateway.listeners.interface import OperatorGateway

MAX_CONNECTIONS = 12
# Maximum number of connections during EVICTION_DELAY_MS, so that connections that arrive together are all
# read before some are closed.
HARD_MAX_CONNECTIONS = 40
MAX_LINE_BYTES = 512  # maximum length of a command line, including the line ending
COMMAND_TIMEOUT_MS = 5000.0  # time limit for receiving a complete command line
EVICTION_DELAY_MS = 5.0  # time from exceeding MAX_CONNECTIONS to closing the excess connections
LISTEN_BACKLOG = 512

# Minimum and maximum number of arguments of each command.
ARGUMENT_COUNTS = {
    b"READY": (0, 0),
    b"DISABLE": (1, 1),
    b"ENABLE": (1, 1),
    b"DRAIN": (0, 1),
    b"UNDRAIN": (0, 0),
    b"DUTIES": (0, 1),
    b"BUDGETS": (0, 1),
    b"CONFIGURATION": (0, 0),
    b"MEMORY": (0, 0),
}


class CommandError(ValueError):
    """A line that is not a valid command; the text is the reply to it."""


class CommandLineReader:
    """Collects the bytes of one command line from any number of reads."""

    def __init__(self) -> None:
        # Received part of the line; at most MAX_LINE_BYTES + 1 bytes of each read are added.
        self.buffered = b""

    def feed(self, data: bytes, ended: bool = False) -> bytes | None:
        """Add bytes and return the complete line without its line ending, or None if it is incomplete. With
        `ended` (the peer has ended its sending) a line without a line ending counts as complete. Raises
        CommandError if the line is too long."""
        self.buffered += data[: MAX_LINE_BYTES + 1]
        line, end, _ = self.buffered.partition(b"\n")
        if len(line) + len(end) > MAX_LINE_BYTES:
            raise CommandError(f"the command line is longer than {MAX_LINE_BYTES} bytes")
        if end or (ended and line):
            return line.removesuffix(b"\r")
        return None


def parse_command(line: bytes) -> tuple[str, str]:
    """Return the command and its argument (empty if none); raises CommandError. The command is not
    case-sensitive, its argument is."""
    if not line.isascii() or not line.decode().isprintable():
        raise CommandError("the command line is not printable ASCII text")
    command, *arguments = line.split()[:3] or [b""]
    name = command.upper()
    if name not in ARGUMENT_COUNTS:
        commands = ", ".join(known.decode() for known in ARGUMENT_COUNTS)
        raise CommandError(f"unknown command {name[:20].decode()!r}, expected one of {commands}")
    minimum, maximum = ARGUMENT_COUNTS[name]
    count = len(line.split()) - 1
    if not minimum <= count <= maximum:
        expected = _expected_arguments(minimum, maximum)
        raise CommandError(f"{name.decode()}: expected {expected}, got {count}")
    return name.decode(), arguments[0].decode() if arguments else ""


def _expected_arguments(minimum: int, maximum: int) -> str:
    if minimum:
        return "one id"
    return "at most one argument" if maximum else "no argument"


class AdminConnection:
    """One connection of an operator. It has the methods of asyncio.Protocol but does not derive from it."""

    def __init__(self, listener: AdminListener) -> None:
        self.is_done = False  # whether the command has been answered or the connection closed
        self.opened_ms = 0.0
        self._listener = listener
        self._reader = CommandLineReader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection with its listener."""
        self._transport = transport  # type: ignore[assignment]
        self._listener.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes of the command line."""
        self._on_input(data, False)

    def eof_received(self) -> bool:
        """Handle the end of the peer's sending: complete the line. Returning False closes the connection."""
        self._on_input(b"", True)
        return not self.is_done

    def connection_lost(self, _problem: Exception | None) -> None:
        """Remove the closed connection from its listener."""
        self.is_done = True
        self._listener.on_disconnected(self)

    def pause_writing(self) -> None:
        """Do nothing: a reply is one line, which always fits the write buffer."""

    def resume_writing(self) -> None:
        """Do nothing, see pause_writing."""

    def _on_input(self, data: bytes, ended: bool) -> None:
        if self.is_done:  # bytes after the command line are ignored
            return
        try:
            line = self._reader.feed(data, ended)
            if line is None:
                if ended:
                    self.abort()
                return
            text = self._listener.gateway.execute_command(*parse_command(line))
            is_rejected = False
        except ValueError as problem:  # a CommandError, or the gateway's rejection of the command
            text = str(problem)
            is_rejected = True
        self.is_done = True
        self._reply(is_rejected, text)

    def _reply(self, is_rejected: bool, text: str) -> None:
        transport = self._transport
        assert transport is not None
        transport.write(f"{'-ERR' if is_rejected else '+OK'}{' ' if text else ''}{text}\n".encode())
        # Closing a connection with unread bytes resets it, and the reply may be lost. So only the sending
        # side is shut down, further input is read and discarded, and the sweep closes the connection.
        transport.write_eof()

    def abort(self) -> None:
        """Close the connection at once."""
        self.is_done = True
        if self._transport is not None:
            self._transport.abort()


class AdminListener:
    """Accepts connections of operators and limits their number and lifetime."""

    def __init__(self, gateway: OperatorGateway) -> None:
        self.gateway = gateway
        self.connections: dict[AdminConnection, None] = {}  # open connections in order of arrival
        self._is_eviction_due = False

    def create_connection(self) -> AdminConnection:
        """Create the protocol object for a new transport."""
        return AdminConnection(self)

    def on_connected(self, connection: AdminConnection) -> None:
        """Register a new connection; above MAX_CONNECTIONS the oldest ones are closed shortly afterwards."""
        connection.opened_ms = self.gateway.clock.now()
        if len(self.connections) >= HARD_MAX_CONNECTIONS:
            self._evict(HARD_MAX_CONNECTIONS - 1)
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS and not self._is_eviction_due:
            self._is_eviction_due = True
            self.gateway.timers.call_at(
                connection.opened_ms + EVICTION_DELAY_MS, lambda: self._evict(MAX_CONNECTIONS)
            )

    def on_disconnected(self, connection: AdminConnection) -> None:
        """Remove a closed connection."""
        self.connections.pop(connection, None)

    def _evict(self, maximum: int) -> None:
        """Close the oldest connections without a complete command until `maximum` remain; newer ones may not
        have been read yet. Answered connections are closed last, so that their replies are delivered."""
        self._is_eviction_due = False
        eviction_order = [conn for conn in self.connections if not conn.is_done]
        eviction_order += [conn for conn in self.connections if conn.is_done]
        for connection in eviction_order[: max(0, len(eviction_order) - maximum)]:
            self._abort(connection)

    def sweep(self, now: float) -> None:
        """Close the connections that have been open for longer than COMMAND_TIMEOUT_MS."""
        for connection in list(self.connections):
            if now - connection.opened_ms > COMMAND_TIMEOUT_MS:
                self._abort(connection)

    def close(self) -> None:
        """Close all connections at once, whatever their state."""
        for connection in list(self.connections):
            self._abort(connection)

    def _abort(self, connection: AdminConnection) -> None:
        self.on_disconnected(connection)
        connection.abort()


async def start_server(
    listener: AdminListener, address: tuple[str, int], loop: asyncio.AbstractEventLoop
) -> Any:
    """Start listening for operators at the address and return the asyncio server; raises OSError."""
    return await loop.create_server(
        listener.create_connection, *address, backlog=LISTEN_BACKLOG, reuse_address=True
    )
