"""Parsing of HTTP requests that offer an upgrade to another protocol. The offer is ignored (RFC 9110, 7.8).

httptools ends such a request after its head, whether or not a body follows: it calls on_message_complete and
then raises HttpParserUpgrade with the offset of the rest. The rest is read by a second parser, which is first
fed a head that delimits the body in the same way but has no offer."""

from __future__ import annotations

from typing import Any, Protocol

import httptools

FRAMING_HEADERS = (b"content-length", b"transfer-encoding")  # the headers that delimit a request's body
REQUEST_LINE = b"POST / HTTP/1.1\r\n"


class RequestReceiver(Protocol):
    """The receiver of a request parser's callbacks.

    It has to ignore a call of on_message_complete during which `parser.should_upgrade()` returns true."""

    parser: Any

    def framing_fields(self) -> bytes | None:
        """Return the header lines that delimit the body of the request being read; None if the request has
        been rejected and its rest must not be parsed."""

    def on_message_begin(self) -> None:
        """Handle the start of a request."""

    def on_url(self, url: bytes) -> None:
        """Handle bytes of the request target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header or trailer."""

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""

    def on_body(self, part: bytes) -> None:
        """Handle bytes of the body."""

    def on_message_complete(self) -> None:
        """Handle the end of the request."""


class _CallbacksAfterHead:
    """Passes the callbacks of a parser on to `receiver`, without those of the first head."""

    def __init__(self, receiver: RequestReceiver) -> None:
        self._receiver = receiver
        self._is_head_complete = False
        self.on_body = receiver.on_body
        self.on_message_complete = receiver.on_message_complete

    def on_message_begin(self) -> None:
        if self._is_head_complete:
            self._receiver.on_message_begin()

    def on_url(self, url: bytes) -> None:
        if self._is_head_complete:
            self._receiver.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_head_complete:
            self._receiver.on_header(name, value)

    def on_headers_complete(self) -> None:
        if self._is_head_complete:
            self._receiver.on_headers_complete()
        self._is_head_complete = True


def feed_parser(receiver: RequestReceiver, data: bytes) -> None:
    """Feed received bytes to `receiver.parser`, which is replaced after a head with an offer to upgrade.
    Raises httptools.HttpParserError."""
    while data:
        try:
            receiver.parser.feed_data(data)
            return
        except httptools.HttpParserUpgrade as offer:
            data = data[offer.args[0] :]
        framing = receiver.framing_fields()
        if framing is None:
            return
        receiver.parser = httptools.HttpRequestParser(_CallbacksAfterHead(receiver))
        receiver.parser.feed_data(REQUEST_LINE + framing + b"\r\n")
