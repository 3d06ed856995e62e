"""The record of an HTTP request while it is read, and the limits on its size.

A request that exceeds a limit is marked with the HTTP status that rejects it (`error_status`). The connection
sends that status after the responses to earlier requests, and then closes."""

from __future__ import annotations

from typing import Any

MAX_HEAD_BYTES = 16 * 1024
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a larger body is streamed
# Maximum size on the wire of a message with a buffered body: a chunk of one byte takes six bytes there.
MAX_RAW_MESSAGE_BYTES = MAX_HEAD_BYTES + 8 * MAX_BUFFERED_BODY_BYTES
REQUEST_OBJECT_BYTES = 1024  # memory of a request beside its bytes
MAX_BODY_BYTES = 1 << 40  # maximum Content-Length of a request
MAX_CONTENT_LENGTH_DIGITS = 15
# Maximum time for which a request waits for memory for its body, in ms and as a share of its client's time.
MAX_MEMORY_WAIT_MS = 500.0
MEMORY_WAIT_RATIO = 0.25
MAX_PIPELINED_REQUESTS = 2  # number of queued requests from which on no further bytes are parsed
PARSE_BYTES = 1024  # number of bytes with heads that are parsed at a time

KNOWN_HEADERS = {
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
DELIMITING_HEADERS = {b"content-length", b"transfer-encoding", b"expect"}  # kept of a refused request


class ParsedRequest:
    """A request from its first byte until its response has been sent."""

    __slots__ = (
        "url",
        "headers",
        "body",
        "head_bytes",
        "raw_bytes",
        "in_head",
        "error_status",
        "is_refused",
        "waiting_since_ms",
        "is_complete",
        "keep_alive",
        "method",
        "is_http_1_0",
        "body_length",
        "stream",
        "received_ms",
        "body_received_bytes",
        "held_bytes",
    )

    def __init__(self) -> None:
        self.url = b""
        self.method = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.head_bytes = 0  # total length of the names and values of all headers and trailers
        self.raw_bytes = 0  # total length of the reads that contained parts of the request
        self.error_status = 0  # HTTP status that rejects the request; 0 if no error was found
        self.is_refused = False  # whether there is no memory for it: it is read to its end and not kept
        self.waiting_since_ms = 0.0  # time since which there is no memory for its body; 0.0 if there was
        self.in_head = True
        self.is_complete = False
        self.keep_alive = True
        self.is_http_1_0 = False
        self.body_length = 0  # Content-Length; -1 if the body is chunked
        self.stream: Any = None  # RequestStream of a body too large to be buffered
        self.received_ms = 0.0  # time at which the last byte was read, or of the head if the body is streamed
        self.body_received_bytes = 0
        self.held_bytes = 0  # memory that is counted for the request

    def request_id(self) -> bytes:
        """Return the client's id of the request, empty if it has none."""
        return self.headers.get(b"x-request-id", b"")

    def refuse(self) -> None:
        """Keep no more of the request than delimits it: it is refused with 503 once it is complete."""
        self.error_status = 503
        self.is_refused = True
        self.url = b""
        self.body = bytearray()
        self.headers = {name: value for name, value in self.headers.items() if name in DELIMITING_HEADERS}

    def expects_continue(self) -> bool:
        """Whether the client waits for 100 Continue before it sends the body."""
        return self.headers.get(b"expect", b"").lower() == b"100-continue" and not self.is_http_1_0

    def framing_error(self) -> int:
        """Return the status that rejects the request if its head is too large or its length is ambiguous;
        otherwise 0."""
        headers = self.headers
        length = headers.get(b"content-length", b"0")
        if b"content-length" in headers and b"transfer-encoding" in headers:
            return 400  # the two headers contradict each other on the end of the request
        if self.method == b"CONNECT":
            return 400  # what follows its head is no HTTP
        if not length.isdigit():
            return 400
        if len(length) > MAX_CONTENT_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES:
            return 413
        if len(self.url) + self.head_bytes > MAX_HEAD_BYTES:  # too long head that came in one read
            return 431
        return 0

    def longest_wait_ms(self) -> float:
        """Return for how long the request may wait for memory, which is a part of its client's time."""
        timeout = self.headers.get(b"x-deadline-ms", b"")
        if not timeout.isdigit() or len(timeout) > MAX_CONTENT_LENGTH_DIGITS:
            return 0.0
        return min(MAX_MEMORY_WAIT_MS, MEMORY_WAIT_RATIO * int(timeout))

    def required_bytes(self) -> int:
        """Return the memory that the request needs until its response: for an announced body that is buffered
        all of it, so that a request that was begun can be completed. A streamed body is counted apart."""
        if self.in_head:
            return REQUEST_OBJECT_BYTES + self.raw_bytes
        body_bytes = len(self.body)
        if 0 < self.body_length <= MAX_BUFFERED_BODY_BYTES:
            body_bytes = self.body_length
        return REQUEST_OBJECT_BYTES + len(self.url) + self.head_bytes + body_bytes
