"""Messages between two processes of one gatekeeper. No I/O: bytes in, messages out.

    magic (4 bytes) | version (2) | length of the text (4) | CRC-32 of the text (4) | text

with the highest byte of numbers first; the text is JSON, [kind, value]. Danger: what lies in $TMPDIR may be
of anybody and of any age. So each message is checked before any of it is believed, and what is wrong ends
the connection."""

from __future__ import annotations

import json
import struct
import zlib
from typing import Any

MAGIC, VERSION = b"pLmP", 1
MAX_TEXT_BYTES = 8 * 1024 * 1024  # bytes
_HEADER = struct.Struct(">4sHII")


class MessageFormatError(ValueError):
    """Bytes that are no message of this version; the text says why."""


def encode(kind: str, value: Any = None) -> bytes:
    """The bytes of a message; raises ValueError where it is too long or no JSON."""
    text = json.dumps([kind, value], allow_nan=False, separators=(",", ":")).encode()
    if len(text) > MAX_TEXT_BYTES:
        raise ValueError(f"a message of {len(text)} bytes")
    return _HEADER.pack(MAGIC, VERSION, len(text), zlib.crc32(text)) + text


class MessageDecoder:
    """Bytes become messages, wherever they are cut."""

    def __init__(self) -> None:
        self._bytes = bytearray()

    def feed(self, data: bytes) -> list[tuple[str, Any]]:
        """The messages that are whole now; raises Unreadable."""
        self._bytes += data
        messages = []
        while len(self._bytes) >= _HEADER.size:
            magic, version, length, check = _HEADER.unpack_from(self._bytes)
            if magic != MAGIC:
                raise MessageFormatError("this is no gatekeeper's message")
            if version != VERSION:
                raise MessageFormatError(f"version {version} is not {VERSION}")
            if length > MAX_TEXT_BYTES:
                raise MessageFormatError(f"a message of {length} bytes")
            if len(self._bytes) < _HEADER.size + length:
                break
            text = bytes(self._bytes[_HEADER.size : _HEADER.size + length])
            del self._bytes[: _HEADER.size + length]
            messages.append(_parse_text(text, check))
        return messages


def _parse_text(text: bytes, check: int) -> tuple[str, Any]:
    if zlib.crc32(text) != check:
        raise MessageFormatError("the checksum does not match")
    try:
        kind, value = json.loads(text)
    except (ValueError, TypeError, RecursionError) as problem:
        raise MessageFormatError("no JSON of ours") from problem
    if not isinstance(kind, str):
        raise MessageFormatError("a message without a kind")
    return kind, value
