"""Encodes the request of an attempt as an HTTP/1.1 message for a worker."""

from __future__ import annotations

from plumpick.gateway.listeners.interface import IncomingRequest

MAX_COPIED_BODY_BYTES = 4 * 1024


def encode_head(incoming: IncomingRequest) -> bytes:
    """Encode the part of the head that all attempts of a request share: everything up to the value of the
    last header, X-Deadline-Ms."""
    parts = [
        incoming.method,
        b" ",
        incoming.target,
        b" HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: ",
        incoming.id,
    ]
    if incoming.idempotency_key is not None:
        parts += (b"\r\nIdempotency-Key: ", incoming.idempotency_key)
    if incoming.content_type is not None:
        parts += (b"\r\nContent-Type: ", incoming.content_type)
    if incoming.stream is not None and incoming.stream.length < 0:
        parts.append(b"\r\nTransfer-Encoding: chunked")
    elif incoming.stream is not None:
        parts.append(b"\r\nContent-Length: %d" % incoming.stream.length)
    elif incoming.method == b"POST":
        parts.append(b"\r\nContent-Length: %d" % len(incoming.body))
    parts.append(b"\r\nX-Deadline-Ms: ")
    return b"".join(parts)


def encode_message(head: bytes, timeout_ms: float, body: bytes) -> tuple[bytes, ...]:
    """Encode the message of one attempt, in parts. `head`: as from `encode_head`; `timeout_ms`: value of
    X-Deadline-Ms; `body`: empty if the body is streamed. A large body is a part of its own, which is not
    copied: its request keeps it for a retry."""
    if len(body) <= MAX_COPIED_BODY_BYTES:
        return (b"%s%d\r\n\r\n%s" % (head, max(1, int(timeout_ms)), body),)
    return b"%s%d\r\n\r\n" % (head, max(1, int(timeout_ms))), body
