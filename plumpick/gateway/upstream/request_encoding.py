"""What a worker is sent: a request of HTTP/1.1, as the protocol has it."""

from __future__ import annotations

from plumpick.gateway.listeners.interface import IncomingRequest


def head_of(ask: IncomingRequest) -> bytes:
    """The head of every attempt for a request, up to the value of its last header, the deadline."""
    parts = [ask.method, b" ", ask.target, b" HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: ", ask.id]
    if ask.key is not None:
        parts += (b"\r\nIdempotency-Key: ", ask.key)
    if ask.content_type is not None:
        parts += (b"\r\nContent-Type: ", ask.content_type)
    if ask.stream is not None and ask.stream.length < 0:
        parts.append(b"\r\nTransfer-Encoding: chunked")
    elif ask.stream is not None:
        parts.append(b"\r\nContent-Length: %d" % ask.stream.length)
    elif ask.method == b"POST":
        parts.append(b"\r\nContent-Length: %d" % len(ask.body))
    parts.append(b"\r\nX-Deadline-Ms: ")
    return b"".join(parts)


def message_of(head: bytes, allow_ms: float, body: bytes) -> bytes:
    """The whole message of one attempt, which may take so long."""
    return b"%s%d\r\n\r\n%s" % (head, max(1, int(allow_ms)), body)
