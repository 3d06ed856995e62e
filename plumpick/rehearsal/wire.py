"""HTTP/1.1 as far as the protocol has it, for the stand-ins: bytes in, whole messages out.

Strict on purpose. What the protocol does not have (chunks from the daemon, a missing length) is a fault of
the message, and is told as one, not mended.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_HEAD = 32 * 1024


class WireError(ValueError):
    """Bytes that are no message of the protocol."""


@dataclass(slots=True)
class Message:
    """One whole message: its start line in three parts, its headers by lower-case name, its body, all
    bytes."""

    start: tuple[bytes, bytes, bytes]
    headers: dict[bytes, bytes]
    body: bytes
    raw: bytes
    first_t: float  # when its first byte came

    @property
    def status(self) -> int:
        return int(self.start[1])


class Reader:
    """Cuts a stream into messages. `answers`: it is the stream of a server."""

    def __init__(self, answers: bool) -> None:
        self._answers, self._data, self._first_t = answers, b"", 0.0

    @property
    def begun(self) -> bool:
        """Part of a message has come."""
        return bool(self._data)

    def feed(self, data: bytes, now: float) -> list[Message]:
        """Take in bytes; the messages that are whole now. Raises WireError."""
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
                raise WireError("a head without end")
            return None
        first, *lines = data[:end].split(b"\r\n")
        start = tuple(first.split(b" ", 2))
        if len(start) != 3 or not (start[0] if self._answers else start[2]).startswith(b"HTTP/1."):
            raise WireError(f"no start line: {first[:60]!r}")
        if self._answers and not (start[1].isdigit() and len(start[1]) == 3):
            raise WireError(f"no status: {first[:60]!r}")
        headers: dict[bytes, bytes] = {}
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon or not name or name != name.strip():
                raise WireError(f"no header: {line[:60]!r}")
            headers[name.lower()] = value.strip()
        if b"transfer-encoding" in headers:
            raise WireError("a message in chunks")
        length = headers.get(b"content-length", b"0")
        if not length.isdigit() or len(length) > 9:
            raise WireError(f"no length: {length[:20]!r}")
        if self._answers and b"content-length" not in headers:
            raise WireError("an answer with no length")
        whole = end + 4 + int(length)
        if len(data) < whole:
            return None
        self._data = data[whole:]
        first_words = (start[0], start[1], start[2])
        return Message(first_words, headers, data[end + 4 : whole], data[:whole], self._first_t)


def request_bytes(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """A request with these headers; its length goes along where it has a body or is a POST."""
    lines = [f"{method} {path} HTTP/1.1", "Host: api.internal"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


_REASONS = {200: "OK", 404: "Not Found", 500: "Internal Server Error", 503: "Service Unavailable"}


def answer_bytes(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """An answer; `headers` are whole lines, each with its end."""
    return (
        f"HTTP/1.1 {status} {_REASONS.get(status, 'Other')}\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    ).encode() + body
