"""A GET over one connection that is kept open: what the clients of discovery and of settings share.

How long each step may take is the caller's to say. Whatever goes wrong is a CallFailedError for a caller that
works within `call_errors`; it then aborts the connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import httptools

from plumpick.gateway.config import Address


class CallFailedError(Exception):
    """A call failed; the text tells why. `timed_out`: its connection was up, and its answer did not come in
    time."""

    def __init__(self, text: str, timed_out: bool = False) -> None:
        super().__init__(text)
        self.timed_out = timed_out


class HttpResponse:
    """One response as its bytes come, up to `max_bytes` of them."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._is_in_body = False
        self._has_length = False
        self._parser = httptools.HttpResponseParser(self)
        self.received_bytes = 0
        self.is_complete = False
        self.keeps_alive = False

    @property
    def status(self) -> int:
        """The status code."""
        return self._parser.get_status_code()

    @property
    def body(self) -> bytes:
        """The body, once it is complete."""
        return b"".join(self._parts)

    def feed(self, data: bytes) -> None:
        """Bytes from the connection, none at its end; raises CallFailedError or httptools.HttpParserError."""
        self.received_bytes += len(data)
        if not data:
            # An end without a length ends the body (RFC 9112, 6.3); a reset never does.
            self.is_complete = self.is_complete or self._is_in_body and not self._has_length
            if not self.is_complete:
                raise CallFailedError("the connection ended")
            return
        if self.received_bytes > self._max_bytes:
            raise CallFailedError("an answer without end")
        self._parser.feed_data(data)

    # -- the parser's callbacks

    def on_header(self, name: bytes, _value: bytes) -> None:
        """One header."""
        self._has_length = self._has_length or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        """The body begins."""
        self._is_in_body = True

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        self._parts.append(part)

    def on_message_complete(self) -> None:
        """The body is complete."""
        self.is_complete = True
        self.keeps_alive = self._parser.should_keep_alive()  # the parser knows this here and no later


class HttpConnection:
    """A connection to a service, opened when it is needed."""

    def __init__(self) -> None:
        self._address: Address | None = None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether it was opened and not aborted."""
        return self._writer is not None

    async def open(self, address: Address) -> None:
        """Connect, unless that is done; raises OSError."""
        if self._address != address:
            self.abort()
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(*address)
            self._address = address

    def send_get(self, target: str) -> None:
        """Write a request."""
        assert self._writer is not None
        assert self._address is not None
        self._writer.write(f"GET {target} HTTP/1.1\r\nHost: {host_of(self._address)}\r\n\r\n".encode())

    async def read(self, max_bytes: int) -> bytes:
        """What has come, or nothing at the connection's end; raises OSError."""
        assert self._reader is not None
        return await self._reader.read(max_bytes)

    def finish(self, response: HttpResponse, statuses: tuple[int, ...]) -> bytes:
        """The body of a complete response; raises CallFailedError for another status."""
        if response.status not in statuses:
            raise CallFailedError(f"status {response.status}")
        if not response.keeps_alive:
            self.abort()
        return response.body

    def abort(self) -> None:
        """Close it at once, if it is open."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = None
        self._writer = None


@contextmanager
def call_errors(connection: HttpConnection) -> Iterator[None]:
    """Raise what can go wrong with a call as CallFailedError."""
    try:
        yield
    except TimeoutError as problem:
        raise CallFailedError("no answer in time", timed_out=connection.is_open) from problem
    except httptools.HttpParserError as problem:
        raise CallFailedError("an answer that is no HTTP") from problem
    except OSError as problem:
        raise CallFailedError(f"the connection failed: {problem}") from problem


def host_of(address: Address) -> str:
    """An address as text."""
    return f"{address[0]}:{address[1]}"
