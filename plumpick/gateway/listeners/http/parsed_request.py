"""One HTTP request while it is read, and the limits on what is read of it.

A request over a limit is marked with the status that rejects it (`error_status`); the connection answers it
in its turn and then closes."""

from __future__ import annotations

from typing import Any

MAX_HEAD_BYTES = 16 * 1024
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a larger body is streamed
# Of one message as it is sent, if its body is buffered: chunks of a byte each take six.
MAX_RAW_MESSAGE_BYTES = MAX_HEAD_BYTES + 8 * MAX_BUFFERED_BODY_BYTES
MAX_BODY_BYTES = 1 << 40  # that Content-Length may announce
MAX_CONTENT_LENGTH_DIGITS = 15
MAX_PIPELINED_REQUESTS = 16  # read behind an open request; more of them in one read end the connection

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


class ParsedRequest:
    """A request from its first byte until it is answered."""

    __slots__ = (
        "url",
        "headers",
        "body",
        "head_bytes",
        "raw_bytes",
        "in_head",
        "error_status",
        "is_complete",
        "keep_alive",
        "method",
        "is_http_1_0",
        "body_length",
        "stream",
        "received_ms",
        "body_received_bytes",
    )

    def __init__(self) -> None:
        self.url = b""
        self.method = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.head_bytes = 0  # names and values of all headers and trailers
        self.raw_bytes = 0  # of the reads that it came in
        self.error_status = 0  # the HTTP status that rejects it; 0: none so far
        self.in_head = True
        self.is_complete = False
        self.keep_alive = True
        self.is_http_1_0 = False
        self.body_length = 0  # as announced; -1: chunked
        self.stream: Any = None  # a RequestStream, if the body is too large to be buffered
        self.received_ms = 0.0  # when its last byte was read; of a streamed one its head
        self.body_received_bytes = 0
