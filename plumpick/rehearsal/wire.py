"""The subset of HTTP/1.1 that clients, gateways and workers use, for the stubs of the rehearsal kit.

The parser is strict on purpose: features outside the subset, such as chunked bodies or a missing length, are
reported as errors of the gateway and never repaired.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_HEAD = 32 * 1024  # bytes of a start line with its headers


class WireError(ValueError):
    """Received bytes are not a valid HTTP message of the supported subset."""


@dataclass(slots=True)
class Message:
    """A complete HTTP message: three parts of the start line, headers by lower-case name, and body."""

    start: tuple[bytes, bytes, bytes]
    headers: dict[bytes, bytes]
    body: bytes
    raw: bytes
    first_t: float  # time at which the first byte of the message arrived, as given to Reader.feed

    @property
    def status(self) -> int:
        return int(self.start[1])


class Reader:
    """Splits a byte stream into HTTP messages: responses if `answers` is set, otherwise requests."""

    def __init__(self, answers: bool) -> None:
        self._answers, self._data, self._first_t = answers, b"", 0.0

    @property
    def begun(self) -> bool:
        """Whether part of the next message has arrived."""
        return bool(self._data)

    def feed(self, data: bytes, now: float) -> list[Message]:
        """Add received bytes and return the messages that they complete; raises WireError if malformed."""
        if not self._data:
            self._first_t = now
        self._data += data
        messages = []
        while (message := self._next()) is not None:
            messages.append(message)
            self._first_t = now
        return messages

    def _next(self) -> Message | None:
        data = self._data
        end = data.find(b"\r\n\r\n")
        if end < 0:
            if len(data) > MAX_HEAD:
                raise WireError(f"headers too long: no empty line within {len(data)} bytes, limit {MAX_HEAD}")
            return None
        first, *lines = data[:end].split(b"\r\n")
        start = tuple(first.split(b" ", 2))
        if len(start) != 3 or not (start[0] if self._answers else start[2]).startswith(b"HTTP/1."):
            raise WireError(f"malformed start line: {first[:60]!r}")
        if self._answers and not (start[1].isdigit() and len(start[1]) == 3):
            raise WireError(f"status is not a three-digit number: {first[:60]!r}")
        headers: dict[bytes, bytes] = {}
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon or not name or name != name.strip():
                raise WireError(f"malformed header line: {line[:60]!r}")
            headers[name.lower()] = value.strip()
        if b"transfer-encoding" in headers:
            raise WireError("unexpected Transfer-Encoding header; messages must have a Content-Length")
        length = headers.get(b"content-length", b"0")
        if not length.isdigit() or len(length) > 9:
            raise WireError(f"invalid Content-Length: {length[:20]!r}")
        if self._answers and b"content-length" not in headers:
            raise WireError("response without Content-Length")
        whole = end + 4 + int(length)
        if len(data) < whole:
            return None
        self._data = data[whole:]
        first_words = (start[0], start[1], start[2])
        return Message(first_words, headers, data[end + 4 : whole], data[:whole], self._first_t)


def request_bytes(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an HTTP request with these headers; a POST also gets a Content-Length."""
    lines = [f"{method} {path} HTTP/1.1", "Host: api.internal"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


_REASONS = {200: "OK", 404: "Not Found", 500: "Internal Server Error", 503: "Service Unavailable"}


def answer_bytes(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """Return an HTTP response; `headers` is a sequence of complete header lines with their line ends."""
    return (
        f"HTTP/1.1 {status} {_REASONS.get(status, 'Other')}\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    ).encode() + body
