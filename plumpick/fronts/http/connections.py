"""The server side: connections of clients, and the requests on them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import httptools

from plumpick.fronts.http.forms import BadRequest

if TYPE_CHECKING:
    from plumpick.fronts.http.front import HttpFront

MAX_HEAD, MAX_BODY = 16 * 1024, 64 * 1024
MAX_RAW = MAX_HEAD + 8 * MAX_BODY  # of one message as it comes: chunks of a byte each take six
PAUSE_MS, PAUSE_MOST_MS = 50.0, 1000.0  # after a bad request nothing is read for so long; doubles each time

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
           409: "Conflict",
           413: "Content Too Large", 431: "Request Header Fields Too Large", 502: "Bad Gateway",
           503: "Service Unavailable", 504: "Gateway Timeout"}
_KNOWN = {b"x-request-id", b"x-tier", b"x-api-key", b"x-deadline-ms", b"x-call-terms", b"x-retry",
          b"idempotency-key", b"content-type", b"content-length", b"transfer-encoding"}


class ClientConnection:
    """One connection of a client, which asks one thing at a time. An asyncio.Protocol by its methods:
    compiled classes have no parents that are not."""

    def __init__(self, front: HttpFront) -> None:
        self.front, self.heart = front, front.heart
        self.transport: asyncio.Transport | None = None
        self.request: Any = None  # taken and not answered yet
        self.parser: Any = httptools.HttpRequestParser(self)
        self.ending = False  # nothing more is read from it
        self.excess = False  # more came before the answer: pipelined
        self.begun = False  # a message is coming in
        self.bad_before = 0  # requests that were turned away,
        self.paused = False  # and nothing is read because of the last of them
        self.heard = False  # something came since it was looked at, while it leaves
        self.leaving_ms = 0.0  # since when it leaves
        self.kept = False  # it was another process's before
        self._clear()

    def _clear(self) -> None:
        self.begun, self.size, self.in_head, self.bad, self.keep = False, 0, True, 0, True
        self.head_size = 0
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.front.came(self)

    def data_received(self, data: bytes) -> None:
        if self.ending:
            self.heard = True
            return
        if self._is_open():
            self._pipelined()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.bad = self.bad or 400
        self.size += len(data)
        if self._is_open():  # by a call: compiled, the look just before would stand for this one too
            if self.bad or self.excess:
                self._pipelined()
        elif self.bad or self.excess:
            self.refuse(self.bad or 400)
        elif self.in_head and self.size > MAX_HEAD:
            self.refuse(431)
        elif self.size > MAX_RAW:  # also what the parser passes over, such as extensions of chunks
            self.refuse(413)

    def _is_open(self) -> bool:
        return self.request is not None

    def _pipelined(self) -> None:
        """More has come before the answer. The open request gets its own answer first, then a 400 follows."""
        self.excess = True
        self.transport.pause_reading()  # type: ignore[union-attr]

    def pause_writing(self) -> None:
        """A client that does not read its answer asks nothing more; the sweep drops it."""

    def resume_writing(self) -> None:
        """It reads on."""

    def eof_received(self) -> None:
        """A client that ends its sending has gone away: the connection closes."""

    def connection_lost(self, _problem: Exception | None) -> None:
        self.ending = True
        self.parser = None  # it holds this connection: the two would wait for the collector
        request, self.request = self.request, None
        self.front.left(self, request)

    # -- the parser's callbacks

    def on_message_begin(self) -> None:
        if self.request is not None or self.bad or self.paused:
            self.excess = True
            return
        self._clear()
        self.begun = True
        self.front.begins(self)

    def on_url(self, url: bytes) -> None:
        if not self.excess:
            self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.excess:
            return
        self.head_size += len(name) + len(value)
        if not self.in_head:  # a trailer says nothing about the request, and must not go on for ever
            if self.head_size > MAX_HEAD:
                self.bad = self.bad or 431
            return
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
        self.body += part
        if len(self.body) > MAX_BODY:
            self.bad = 413

    def on_message_complete(self) -> None:
        if self.excess or self.bad:
            return
        self.begun = False
        self.keep = self.parser.should_keep_alive()  # the parser knows this here and no later
        if self.parser.get_method() == b"GET" and self.url == b"/up":
            self.front.admission.asked(self)
            self._tell_readiness()
            return
        try:
            self.request = self.front.take(self)
        except BadRequest as problem:
            self._turn_away(problem.status)

    def _tell_readiness(self) -> None:
        if self.heart.ready:
            self.answer(200, b"up\n", b"text/plain")
        else:
            self.answer(503, b"not up\n", b"text/plain")

    def _turn_away(self, status: int) -> None:
        """A whole request that is not in order. The error goes out at once and the connection may stay, but
        for a while nothing is read from it: some ask the same again at full speed, and are as cheap so."""
        if not self.keep or self.heart.draining:
            self.bad = status
            return
        self._clear()
        transport = self.transport
        assert transport is not None
        transport.write(b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n" % (status, REASONS[status].encode()))
        transport.pause_reading()
        self.paused = True
        pause_ms = min(PAUSE_MOST_MS, PAUSE_MS * 2 ** min(self.bad_before, 10))
        self.bad_before += 1
        self.heart.alarms.at(self.heart.clock.now() + pause_ms, self._read_on)

    def _read_on(self) -> None:
        self.paused = False
        if self.transport is not None and not self.transport.is_closing() and not self.excess:
            self.transport.resume_reading()

    # -- answers

    def answer(self, status: int, body: bytes = b"", kind: bytes = b"", retry_in_ms: float = 0.0) -> None:
        """The answer to what was asked last, in one piece."""
        self.request = None
        if self.transport is None or self.transport.is_closing():
            return
        close = self.ending or self.excess or self.heart.draining or not self.keep
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
            self.front.answered(self)
        elif self.excess:
            bad = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            head = head.replace(b"Connection: close\r\n", b"")
            self._finish(head + body + bad)
        else:
            self.transport.write(head + body)
            self._close()

    def refuse(self, status: int) -> None:
        """An error for what cannot be read, and the end of the connection."""
        self._finish(b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                     % (status, REASONS[status].encode()))

    def _finish(self, data: bytes) -> None:
        """Write and end our side, but read on for a while: a reset would erase the error on its way."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self._leave()
        transport.write(data)
        transport.write_eof()
        transport.resume_reading()

    def _close(self) -> None:
        """Close once all is written; a client that does not read its answer is dropped after a while."""
        self._leave()
        self.transport.close()  # type: ignore[union-attr]

    def _leave(self) -> None:
        self.ending, self.heard = True, False
        self.leaving_ms = self.heart.clock.now()
        self.front.admission.leaves(self, self.leaving_ms)

    # -- what the admission asks of it

    def close_if_idle(self) -> None:
        """Between requests a connection may be closed; not while one is open or coming in."""
        if self.is_idle():
            self._close()

    def is_idle(self) -> bool:
        """Whether nothing is open on it, and nothing has begun to come in."""
        return self.request is None and not self.begun and not self.ending and not self.paused

    def give(self, take: Callable[[Any], None]) -> None:
        """Another process goes on with it, as it is: what is unread stays in it."""
        transport = self.transport
        if transport is not None and not transport.is_closing():
            transport.pause_reading()
            take(transport)
        self.drop()

    def give_up(self) -> None:
        """Its time for a whole request is over."""
        if self.begun:
            self.refuse(408)
        else:
            self.close_if_idle()

    def send_away(self) -> None:
        """No request may come any more; what is half there can be asked elsewhere."""
        if self.begun:
            self.refuse(503)
        else:
            self.close_if_idle()

    def drop(self) -> None:
        """Close at once."""
        self.ending = True
        if self.transport is not None:
            self.transport.abort()
