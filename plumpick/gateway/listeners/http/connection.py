"""The server side: connections of clients, and the requests on them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import httptools

from plumpick.gateway.listeners.http.validation import BadRequestError

if TYPE_CHECKING:
    from plumpick.gateway.listeners.http.listener import HttpListener

MAX_HEAD_BYTES, MAX_BUFFERED_BODY_BYTES = (
    16 * 1024,
    64 * 1024,
)  # of a request; a larger body goes on while it comes
MAX_RAW_MESSAGE_BYTES = (
    MAX_HEAD_BYTES + 8 * MAX_BUFFERED_BODY_BYTES
)  # of one message as it comes, whole: chunks of a byte each take six
MAX_BODY_BYTES = 1 << 40  # bytes that a length may tell
MAX_PIPELINED_REQUESTS = (
    16  # requests read behind an open one; those of one read that are more end the connection
)
FIRST_PAUSE_MS, MAX_PAUSE_MS = (
    50.0,
    1000.0,
)  # after a bad request nothing is read for so long; doubles each time
MIN_BODY_RATE_BYTES_PER_MS = (
    32.0  # bytes a millisecond that a body has to come with: half of what the slowest clients do
)

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
_KNOWN_HEADERS = {
    b"x-request-id",
    b"x-tier",
    b"x-api-key",
    b"x-deadline-ms",
    b"x-call-terms",
    b"x-retry",
    b"idempotency-key",
    b"content-type",
    b"content-length",
    b"transfer-encoding",
    b"expect",
}


class ParsedRequest:
    """One request as it is read, and until it is answered."""

    __slots__ = (
        "url",
        "headers",
        "body",
        "head_size",
        "size",
        "in_head",
        "bad",
        "whole",
        "keep",
        "method",
        "old",
        "length",
        "stream",
        "came_ms",
        "received",
    )

    def __init__(self) -> None:
        self.url = self.method = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.head_size = self.size = self.bad = 0
        self.in_head, self.whole, self.keep, self.old = True, False, True, False  # old: HTTP/1.0
        self.length = 0  # of the body; -1: in chunks
        self.stream: Any = None  # of a body that is too large to be kept
        self.came_ms = 0.0  # when its last byte was read, or of a stream its head
        self.received = 0  # bytes of its body


class ClientConnection:
    """One connection of a client. Its requests are answered one after the other, in the order in which they
    came; while one is open nothing more is read than came along with it. An asyncio.Protocol by its methods:
    compiled classes have no parents that are not."""

    def __init__(self, front: HttpListener) -> None:
        self.front, self.core = front, front.core
        self.transport: asyncio.Transport | None = None
        self.request: Any = None  # taken and not answered yet
        self.parser: Any = httptools.HttpRequestParser(self)
        self.ending = False  # nothing more is read from it
        self.begun = False  # a request is coming in, and none is open
        self.coming: ParsedRequest | None = None  # the message that is being read
        self.served: ParsedRequest | None = None  # the one that is open, or was last
        self.waiting: list[ParsedRequest] = []  # whole, or bad, behind the open one
        self.unreadable = False  # what comes cannot be read any more
        self.bad_before = 0  # requests that were turned away,
        self.paused = False  # and nothing is read because of the last of them
        self.held = False  # nothing is read while a request is open, or its body may not go on
        self.heard = False  # something came since it was looked at, while it leaves
        self.leaving_ms = 0.0  # since when it leaves
        self.left_over = 0  # bytes that were not written when it was looked at last
        self.moved_ms = 0.0  # when something came last
        self.kept = False  # it was another process's before
        self.source: Any = None  # of an answer that goes on while it comes,
        self.chunks = False  # and whether it goes in chunks
        self.ended = False  # the client has ended its sending

    # -- the transport's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.front.came(self)

    def data_received(self, data: bytes) -> None:
        if self.ending or self.unreadable:
            self.heard = True
            return
        self.moved_ms = self.core.clock.now()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._unreadable()
        coming = self.coming
        if coming is not None and not coming.bad:
            coming.size += len(data)
            if coming.in_head and coming.size > MAX_HEAD_BYTES:
                self._spoil(coming, 431)
            elif coming.stream is None and coming.length < 0 and coming.size > MAX_RAW_MESSAGE_BYTES:
                self._spoil(coming, 413)  # also what the parser passes over, such as extensions of chunks
        self._next()

    def _unreadable(self) -> None:
        """What is no HTTP ends the connection, behind the answers that are due before."""
        coming = self.coming
        if coming is None:
            coming = self.coming = ParsedRequest()
        self._spoil(coming, 400)

    def _spoil(self, coming: ParsedRequest, status: int) -> None:
        """Nothing more can be read behind a message that is not in order."""
        self.unreadable = True
        coming.bad = coming.bad or status
        self.coming = None
        if coming is self.served:  # its body has begun to go on: no end of it will come
            if self.request is not None:
                request, self.request = self.request, None
                self.core.left(request)
            self.refuse(coming.bad)
        else:
            self.waiting.append(coming)

    def pause_writing(self) -> None:
        """A client that does not read its answer: who gives it waits, or the sweep drops it."""
        if self.source is not None:
            self.source.hold()

    def resume_writing(self) -> None:
        """It reads on."""
        if self.source is not None:
            self.source.go_on()

    def eof_received(self) -> None:
        """A client that ends its sending has gone away: the connection closes."""

    def connection_lost(self, _problem: Exception | None) -> None:
        self.ending = True
        self.parser = None  # it holds this connection: the two would wait for the collector
        self.source = None
        self.waiting.clear()
        request, self.request = self.request, None
        self.front.left(self, request)

    # -- the parser's callbacks

    def on_message_begin(self) -> None:
        if self.unreadable:
            return
        self.coming = ParsedRequest()
        if self.request is None and not self.waiting and not self.paused:
            self.begun = True
            self.front.begins(self)
        elif len(self.waiting) >= MAX_PIPELINED_REQUESTS:
            self._spoil(self.coming, 400)

    def on_url(self, url: bytes) -> None:
        if self.coming is not None:
            self.coming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        coming = self.coming
        if coming is None:
            return
        coming.head_size += len(name) + len(value)
        if not coming.in_head:  # a trailer says nothing about the request, and must not go on for ever
            if coming.head_size > MAX_HEAD_BYTES:
                self._spoil(coming, 431)
            return
        name = name.lower()
        if name in _KNOWN_HEADERS:
            if name in coming.headers:
                coming.bad = coming.bad or 400  # two of them: which one counts?
            coming.headers[name] = value.strip(b" \t")  # blanks round a value are none of it (RFC 9110, 5.5)

    def on_headers_complete(self) -> None:
        coming = self.coming
        if coming is None:
            return
        coming.in_head = False
        headers = coming.headers
        length = headers.get(b"content-length", b"0")
        coming.method, coming.old = self.parser.get_method(), self.parser.get_http_version() == "1.0"
        if b"content-length" in headers and b"transfer-encoding" in headers:
            coming.bad = 400  # one of them lies about where the request ends
        elif not length.isdigit():
            coming.bad = 400
        elif len(length) > 15 or int(length) > MAX_BODY_BYTES:
            coming.bad = 413
        elif len(coming.url) + coming.head_size > MAX_HEAD_BYTES:  # one that came at a stroke, end and all
            coming.bad = 431
        if coming.bad:
            self._spoil(coming, coming.bad)
            return
        coming.length = -1 if b"transfer-encoding" in headers else int(length)
        if (
            headers.get(b"expect", b"").lower() == b"100-continue"
            and not coming.old
            and (self.request is None and not self.waiting and self.transport is not None)
        ):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if coming.length > MAX_BUFFERED_BODY_BYTES:
            self._stream(coming)
        elif coming.length:
            self.front.admission.body_begins(self, self.core.clock.now())

    def on_body(self, part: bytes) -> None:
        coming = self.coming
        if coming is None:
            return
        coming.received += len(part)
        if coming.stream is not None:
            coming.stream.moved_ms = self.core.clock.now()
            if self.request is not None:
                coming.stream.feed(part)
            return
        coming.body += part
        if len(coming.body) > MAX_BUFFERED_BODY_BYTES:
            self._stream(coming)

    def on_message_complete(self) -> None:
        coming, self.coming = self.coming, None
        if coming is None:
            return
        coming.whole, coming.came_ms = True, self.core.clock.now()
        coming.keep = self.parser.should_keep_alive()  # the parser knows this here and no later
        if coming.stream is not None:
            if self.request is not None and coming is self.served:
                coming.stream.finish()
                self.core.came_whole(self.request)
            return
        self.waiting.append(coming)

    # -- one request after the other

    def _is_open(self) -> bool:
        return self.request is not None

    def _next(self) -> None:
        """Serve what waits, as far as it is its turn.

        Danger: while the connection is held its end is not read. Who has gone meanwhile asks nothing more."""
        if self.held and self.waiting and self.has_gone():
            self.drop()
            return
        while not (self._is_open() or self.ending or self.paused):
            if not self.waiting:
                coming = self.coming
                if (
                    coming is None
                    or coming.stream is not None
                    or len(coming.body) <= MAX_BUFFERED_BODY_BYTES
                    and (coming.length <= MAX_BUFFERED_BODY_BYTES or coming.in_head)
                ):
                    break
                if not self._stream(coming):  # its turn has come
                    break
                continue
            coming = self.waiting.pop(0)
            self.begun = False
            self.served = coming
            if coming.bad:
                self.front.admission.asked(self)
                self.refuse(coming.bad)
            elif coming.method == b"GET" and coming.url == b"/up":
                self.front.admission.asked(self)
                self._tell_readiness()
            else:
                self._take(coming)
        self._hold_or_go_on()

    def _take(self, coming: ParsedRequest) -> None:
        try:
            self.request = self.front.take(self, coming)
        except BadRequestError as problem:
            self._turn_away(problem.status)

    def _stream(self, coming: ParsedRequest) -> bool:
        """A body that is too large to be kept: its request is taken now, if it is its turn; whether it is."""
        if self._is_open() or self.waiting or self.ending or self.paused or coming.bad:
            return False
        coming.came_ms = self.core.clock.now()
        self.served = coming
        try:
            self.request = self.front.take(self, coming)
        except BadRequestError as problem:  # the rest of it would be read for nothing
            self.unreadable, self.begun = True, False
            self.refuse(problem.status)
            return False
        self.begun = False
        body, coming.body = bytes(coming.body), bytearray()
        if body:
            coming.stream.feed(body)
        return True

    def _hold_or_go_on(self) -> None:
        """Read nothing more while requests wait behind an open one."""
        transport = self.transport
        if transport is None or self.ending or self.paused or transport.is_closing():
            return
        more = self.coming if self.coming is not self.served else None
        behind = self._is_open() and (bool(self.waiting) or more is not None)
        if behind and not self.held:
            self.held = True
            transport.pause_reading()
        elif self.held and not behind and not self._is_streaming_held():
            self.held = False
            transport.resume_reading()

    def _is_streaming_held(self) -> bool:
        served = self.served
        if served is None or served.stream is None:
            return False
        return self._is_open() and bool(served.stream.held)

    # -- a body that goes on while it comes: its giver

    def hold(self) -> None:
        """Read no more of it for now."""
        if self.transport is not None and not self.ending:
            self.held = True
            self.transport.pause_reading()

    def go_on(self) -> None:
        if self.transport is not None and self.held and not self.ending and not self.paused:
            self.held = False
            self.transport.resume_reading()

    def _tell_readiness(self) -> None:
        if self.core.ready:
            self.answer(200, b"up\n", b"text/plain")
        else:
            self.answer(503, b"not up\n", b"text/plain")

    def _turn_away(self, status: int) -> None:
        """A whole request that is not in order. The error goes out at once and the connection may stay, but
        for a while nothing is read from it: some ask the same again at full speed, and are as cheap so."""
        served = self.served
        if served is None or not served.keep or self.core.draining:
            self.refuse(status)
            return
        transport = self.transport
        assert transport is not None
        transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n" % (status, REASON_PHRASES[status].encode())
        )
        transport.pause_reading()
        self.paused = True
        pause_ms = min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** min(self.bad_before, 10))
        self.bad_before += 1
        self.core.timers.at(self.core.clock.now() + pause_ms, self._read_on)

    def _read_on(self) -> None:
        self.paused = False
        if self.transport is not None and not self.transport.is_closing() and not self.ending:
            self.held = True  # as it is: what waits comes first
            self._next()

    # -- answers

    def answer(self, status: int, body: bytes = b"", kind: bytes = b"", retry_in_ms: float = 0.0) -> None:
        """The answer to what is open, in one piece."""
        self.request = None
        served = self.served
        if self.transport is None or self.transport.is_closing():
            return
        # Of a body that has not come whole the rest is not read.
        cut = served is None or not served.whole
        close = self.ending or self.core.draining or cut or not served.keep  # type: ignore[union-attr]
        length = b"%d" % len(body)
        if status == 200 and served is not None and served.method == b"HEAD":
            length, body = body, b""
        if status == 200 and not close and not kind:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\n" % length
        else:
            head = b"HTTP/1.1 %d %s\r\nContent-Length: %s\r\n%s%s%s\r\n" % (
                status,
                REASON_PHRASES[status].encode(),
                length,
                b"Content-Type: %s\r\n" % kind if kind else b"",
                b"Retry-After: %.3f\r\n" % (retry_in_ms / 1000) if retry_in_ms else b"",
                b"Connection: close\r\n" if close else self._stays(),
            )
        if cut:
            self.unreadable = True
            self._finish(head + body)
            return
        self.transport.write(head + body)
        self._answered(close)

    def _stays(self) -> bytes:
        """HTTP/1.0 wants to be told that its connection stays."""
        return b"Connection: keep-alive\r\n" if self.served is not None and self.served.old else b""

    def _answered(self, close: bool) -> None:
        """The answer to what was open is written."""
        if close:
            self._finish()
            return
        if self.waiting or self.coming is not None:
            self.begun = True
            self.front.begins(self)
            self.core.timers.at(self.core.clock.now(), self._next)  # not within the answer of another
        else:
            self.front.answered(self)
            self._hold_or_go_on()

    def begin(self, length: int, kind: bytes, source: Any, mark: int) -> None:
        """The answer's head; its body follows while it comes."""
        served, transport = self.served, self.transport
        if transport is None or transport.is_closing() or served is None:
            return
        self.chunks = length < 0 and not served.old
        close = (
            self.ending
            or self.core.draining
            or not served.keep
            or not served.whole
            or (length < 0 and not self.chunks)
        )
        served.keep = not close
        head = b"HTTP/1.1 200 OK\r\n%s%s%s\r\n" % (
            b"Content-Length: %d\r\n" % length
            if length >= 0
            else b"Transfer-Encoding: chunked\r\n"
            if self.chunks
            else b"",
            b"Content-Type: %s\r\n" % kind if kind else b"",
            b"Connection: close\r\n" if close else self._stays(),
        )
        transport.set_write_buffer_limits(high=mark)
        self.source = source
        transport.write(head)

    def part(self, data: bytes) -> None:
        """Some more of the answer's body."""
        if self.transport is not None and not self.transport.is_closing() and data:
            self.transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self.chunks else data)

    def finish(self) -> None:
        """That was all of it."""
        self.request = self.source = None
        if self.transport is None or self.transport.is_closing():
            return
        if self.chunks:
            self.transport.write(b"0\r\n\r\n")
        self._answered(self.served is None or not self.served.keep)

    def broken(self) -> None:
        """The rest will not come: a reset, so that it cannot pass for whole."""
        self.request = self.source = None
        self.drop()

    def refuse(self, status: int) -> None:
        """An error for what cannot be read, and the end of the connection."""
        self._finish(
            b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            % (status, REASON_PHRASES[status].encode())
        )

    def _finish(self, data: bytes = b"") -> None:
        """The one way to close: write, end our side, and read on for a while what is dropped.

        Danger: a close over bytes that nobody has read is a reset, which erases what was written before and
        is still on its way (RFC 9112, 9.6). What comes from now on is never taken: its client asks anew."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self._leave()
        if data:
            transport.write(data)
        transport.write_eof()
        transport.resume_reading()

    def _leave(self) -> None:
        self.ending, self.heard = True, False
        self.leaving_ms = self.core.clock.now()
        self.front.admission.leaves(self, self.leaving_ms)

    # -- what the admission asks of it

    def earned_ms(self) -> float:
        """For what has come of a body it may take so much longer."""
        return self.coming.received / MIN_BODY_RATE_BYTES_PER_MS if self.coming is not None else 0.0

    def close_if_idle(self) -> None:
        """Between requests a connection may be closed; not while one is open or coming in."""
        # Danger: the loop may not have read yet what has come, and the request would be lost with it. Seen:
        # four at one stroke, beside other work that held us up for less than what counts as a stall.
        transport = self.transport
        if transport is None or transport.is_closing() or not self.is_idle():
            return
        if self.front.looks_quiet(transport):
            self._finish()

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

    def unwritten(self) -> int:
        """Bytes of answers that the system has not taken yet."""
        transport = self.transport
        return 0 if transport is None or transport.is_closing() else transport.get_write_buffer_size()

    def has_gone(self) -> bool:
        """Whether its client has left. What is not read tells nothing: of a held connection nothing is, and
        after a stall of ours not yet."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return True
        return (self.held or self.paused or self.core.has_stalled()) and self.front.has_ended(transport)

    def drop(self) -> None:
        """Close at once."""
        self.ending = True
        if self.transport is not None:
            self.transport.abort()
