"""HTTP GET over one persistent connection, shared by the clients of discovery and of the settings service.

Timeouts are set by the caller. Within `call_errors` every failure of a call is raised as CallFailedError; the
caller must then abort the connection.
"""

from __future__ import annotations

import asyncio
import weakref
from collections.abc import Iterator
from contextlib import contextmanager

import httptools

from plumpick.gateway.config import Address


class CallFailedError(Exception):
    """A call failed for the reason in the text. `timed_out`: the connection was established, but the response
    did not arrive in time."""

    def __init__(self, text: str, timed_out: bool = False) -> None:
        super().__init__(text)
        self.timed_out = timed_out


class _ParserCallbacks:
    """Passes a parser's callbacks on to its response, which owns the parser. The reference back is weak:
    otherwise both, and the parts of the body, would stay in memory until the garbage collector runs."""

    def __init__(self, response: HttpResponse) -> None:
        self._response = weakref.ref(response)

    def on_header(self, name: bytes, _value: bytes) -> None:
        if (response := self._response()) is not None:
            response.on_header(name)

    def on_headers_complete(self) -> None:
        if (response := self._response()) is not None:
            response.on_headers_complete()

    def on_body(self, part: bytes) -> None:
        if (response := self._response()) is not None:
            response.on_body(part)

    def on_message_complete(self) -> None:
        if (response := self._response()) is not None:
            response.on_message_complete()


class HttpResponse:
    """Parser of one response of at most `max_bytes` bytes, head included."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._is_in_body = False
        self._has_length = False
        self._parser = httptools.HttpResponseParser(_ParserCallbacks(self))
        self.received_bytes = 0
        self.is_complete = False
        self.keeps_alive = False

    @property
    def status(self) -> int:
        """The status code of the response, once its head has been received."""
        return self._parser.get_status_code()

    @property
    def body(self) -> bytes:
        """The body, once it is complete."""
        return b"".join(self._parts)

    def feed(self, data: bytes) -> None:
        """Parse bytes from the connection; empty bytes mean that the peer has closed it. Raises
        CallFailedError, httptools.HttpParserError or httptools.HttpParserUpgrade."""
        self.received_bytes += len(data)
        if not data:
            # A close completes a body without a declared length (RFC 9112, 6.3); a reset never does.
            self.is_complete = self.is_complete or self._is_in_body and not self._has_length
            if not self.is_complete:
                raise CallFailedError("the server closed the connection before the response was complete")
            return
        if self.received_bytes > self._max_bytes:
            raise CallFailedError(f"the response exceeds {self._max_bytes} bytes")
        self._parser.feed_data(data)

    # -- the parser's callbacks

    def on_header(self, name: bytes) -> None:
        """Parser callback: note whether the response declares its length."""
        self._has_length = self._has_length or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete and the body begins."""
        self._is_in_body = True

    def on_body(self, part: bytes) -> None:
        """Parser callback: collect a part of the body."""
        self._parts.append(part)

    def on_message_complete(self) -> None:
        """Parser callback: the body is complete."""
        self.is_complete = True
        # The parser's answer is valid only during this callback.
        self.keeps_alive = self._parser.should_keep_alive()


class HttpConnection:
    """A connection to a service, opened on demand and reused."""

    def __init__(self) -> None:
        self._address: Address | None = None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection has been opened and not aborted since."""
        return self._writer is not None

    async def open(self, address: Address) -> None:
        """Connect to the address unless already connected to it; raises OSError."""
        if self._address != address:
            self.abort()
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(*address)
            self._address = address

    def send_get(self, target: str) -> None:
        """Write a GET request for the target (path and query)."""
        assert self._writer is not None
        assert self._address is not None
        self._writer.write(f"GET {target} HTTP/1.1\r\nHost: {format_address(self._address)}\r\n\r\n".encode())

    async def read(self, max_bytes: int) -> bytes:
        """Wait for bytes and return them; empty if the peer has closed the connection. Raises OSError."""
        assert self._reader is not None
        return await self._reader.read(max_bytes)

    def finish(self, response: HttpResponse, statuses: tuple[int, ...]) -> bytes:
        """Return the body of a complete response; raises CallFailedError if its status is not in `statuses`.
        Aborts the connection if the server does not keep it open."""
        if response.status not in statuses:
            expected = " or ".join(str(status) for status in statuses)
            raise CallFailedError(f"unexpected status {response.status}, expected {expected}")
        if not response.keeps_alive:
            self.abort()
        return response.body

    def abort(self) -> None:
        """Close the connection at once if it is open."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = None
        self._writer = None


@contextmanager
def call_errors(connection: HttpConnection) -> Iterator[None]:
    """Convert time-outs, connection errors and malformed responses of a call to CallFailedError."""
    try:
        yield
    except TimeoutError as problem:
        raise CallFailedError("no response in time", timed_out=connection.is_open) from problem
    except httptools.HttpParserError as problem:
        raise CallFailedError("the response is not valid HTTP") from problem
    except httptools.HttpParserUpgrade as problem:  # is no HttpParserError
        raise CallFailedError("the server switched to another protocol") from problem
    except OSError as problem:
        raise CallFailedError(f"connection failed: {problem}") from problem


def format_address(address: Address) -> str:
    """Format an address as `host:port`."""
    return f"{address[0]}:{address[1]}"
