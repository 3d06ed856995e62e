"""The server side: connections of clients, and the requests on them."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

import httptools

from plumpick.clock import Alarm

if TYPE_CHECKING:
    from plumpick.gatekeeper import Gatekeeper, Request

MAX_HEAD, MAX_BODY = 16 * 1024, 64 * 1024
READ_MS = 10_000.0  # a request that has begun must be whole within so long
LINGER_MS = 1000.0  # what still comes after an error is read for so long, or the reset would erase the error
MOST_DEADLINE_MS = 600_000

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
           413: "Content Too Large", 431: "Request Header Fields Too Large", 502: "Bad Gateway",
           503: "Service Unavailable", 504: "Gateway Timeout"}
_KNOWN = {b"x-request-id", b"x-tier", b"x-api-key", b"x-deadline-ms", b"x-call-terms", b"x-retry",
          b"idempotency-key", b"content-type", b"content-length", b"transfer-encoding"}


class BadRequest(ValueError):
    """A request that cannot be read; the text names the part."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client, which asks one thing at a time."""

    def __init__(self, gatekeeper: Gatekeeper) -> None:
        self.gatekeeper = gatekeeper
        self.transport: asyncio.Transport | None = None
        self.request: Request | None = None  # taken and not answered yet
        self.parser = httptools.HttpRequestParser(self)
        self.ending = False  # nothing more is read from it
        self.excess = False  # more came before the answer: pipelined
        self.linger: Alarm | None = None
        self.begun_ms = 0.0  # when the message that is coming in began; 0: none is
        self._clear()

    def _clear(self) -> None:
        self.begun_ms, self.size, self.in_head, self.bad, self.keep = 0.0, 0, True, 0, True
        self.head_size = 0
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.body_size = 0

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.gatekeeper.client_came(self)

    def data_received(self, data: bytes) -> None:
        if self.ending:
            return
        if self.request is not None:
            self._pipelined()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.bad = self.bad or 400
        if self.in_head:
            self.size += len(data)
        if self.request is not None:
            if self.bad or self.excess:
                self._pipelined()
        elif self.bad:
            self.refuse(self.bad)
        elif self.in_head and self.size > MAX_HEAD:
            self.refuse(431)

    def _pipelined(self) -> None:
        """More has come before the answer. The open request gets its own answer first, then a 400 follows."""
        self.excess = True
        self.transport.pause_reading()  # type: ignore[union-attr]

    def eof_received(self) -> None:
        """A client that ends its sending has gone away: the connection closes."""

    def connection_lost(self, _problem: Exception | None) -> None:
        self.ending = True
        if self.linger is not None:
            self.linger.cancel()
        request, self.request = self.request, None
        self.gatekeeper.client_left(self, request)

    # -- the parser's callbacks

    def on_message_begin(self) -> None:
        if self.request is not None or self.bad:
            self.excess = True
            return
        self._clear()
        self.begun_ms = self.gatekeeper.clock.now()

    def on_url(self, url: bytes) -> None:
        if not self.excess:
            self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.excess:
            return
        self.head_size += len(name) + len(value)
        name = name.lower()
        if name in _KNOWN:
            if name in self.headers:
                self.bad = self.bad or 400  # two of them: which one counts?
            self.headers[name] = value

    def on_headers_complete(self) -> None:
        if self.excess:
            return
        self.in_head = False
        length = self.headers.get(b"content-length", b"0")
        if b"content-length" in self.headers and b"transfer-encoding" in self.headers:
            self.bad = 400  # one of them lies about where the request ends
        elif not length.isdigit():
            self.bad = 400
        elif len(length) > 12 or int(length) > MAX_BODY:
            self.bad = 413
        elif len(self.url) + self.head_size > MAX_HEAD:  # one that came at a stroke, end and all
            self.bad = 431

    def on_body(self, part: bytes) -> None:
        if self.excess or self.bad:
            return
        self.body_size += len(part)
        if self.body_size > MAX_BODY:
            self.bad = 413
        else:
            self.body.append(part)

    def on_message_complete(self) -> None:
        if self.excess or self.bad:
            return
        self.begun_ms = 0.0
        self.keep = self.parser.should_keep_alive()  # the parser knows this here and no later
        if self.parser.get_method() == b"GET" and self.url == b"/up":
            self._tell_readiness()
            return
        try:
            self.request = self.gatekeeper.take(self)
        except BadRequest:
            self.bad = 400

    def _tell_readiness(self) -> None:
        if self.gatekeeper.ready:
            self.answer(200, b"up\n", b"text/plain")
        else:
            self.answer(503, b"not up\n", b"text/plain")

    # -- answers

    def answer(self, status: int, body: bytes = b"", kind: bytes = b"", retry_in_ms: float = 0.0) -> None:
        """The answer to what was asked last, in one piece."""
        self.request = None
        if self.transport is None or self.transport.is_closing():
            return
        close = self.ending or self.excess or self.gatekeeper.draining or not self.keep
        if status == 200 and not close and not kind:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        else:
            head = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s%s\r\n" % (
                status, REASONS[status].encode(), len(body),
                b"Content-Type: %s\r\n" % kind if kind else b"",
                b"Retry-After: %.3f\r\n" % (retry_in_ms / 1000) if retry_in_ms else b"",
                b"Connection: close\r\n" if close else b"")
        self._clear()
        if not close:
            self.transport.write(head + body)
        elif self.excess:
            bad = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            head = head.replace(b"Connection: close\r\n", b"")
            self._finish(head + body + bad)
        else:
            self.ending = True
            self.transport.write(head + body)
            self.transport.close()

    def refuse(self, status: int) -> None:
        """An error for what cannot be read, and the end of the connection."""
        self._finish(b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                     % (status, REASONS[status].encode()))

    def _finish(self, data: bytes) -> None:
        """Write, end our side, and close once the client has ended its own or a while has passed."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self.ending = True
        transport.write(data)
        transport.write_eof()
        transport.resume_reading()
        self.linger = self.gatekeeper.alarms.at(self.gatekeeper.clock.now() + LINGER_MS, transport.abort)

    def close_if_idle(self) -> None:
        """Between requests a connection may be closed; not while one is open or coming in."""
        if self.request is None and not self.begun_ms and not self.ending:
            self.ending = True
            self.transport.close()  # type: ignore[union-attr]

    def close_if_stalled(self, now_ms: float) -> None:
        """A request that has begun and does not end is given up."""
        if self.begun_ms and self.request is None and not self.ending and now_ms - self.begun_ms > READ_MS:
            self.refuse(408)


def whole_number(text: bytes, least: int, most: float = math.inf) -> int:
    """A whole number in plain digits, within bounds."""
    if not text.isdigit() or len(text) > 15 or not least <= int(text) <= most:
        raise BadRequest(f"{text[:20]!r} is out of place")
    return int(text)


def call_terms(text: bytes, gateways: int, most_units: float) -> tuple[float, int, int]:
    """Units, spread and first of X-Call-Terms."""
    terms: dict[bytes, bytes] = {}
    for part in text.split(b","):
        name, _, value = part.strip().partition(b"=")
        terms[name] = value
    try:
        units = float(terms[b"units"])
        spread, first = terms[b"spread"], terms[b"first"]
    except (KeyError, ValueError) as problem:
        raise BadRequest("X-Call-Terms cannot be read") from problem
    if not 0 < units <= most_units:
        raise BadRequest("units are out of range")
    return units, whole_number(spread, 1, gateways), whole_number(first, 0, gateways - 1)


def header(headers: dict[bytes, Any], name: bytes) -> bytes:
    """A header that must be there."""
    value = headers.get(name)
    if not value:
        raise BadRequest(f"{name.decode()} is missing")
    return value
