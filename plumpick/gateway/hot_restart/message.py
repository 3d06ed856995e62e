"""Messages between two processes of one gateway. No I/O: bytes in, messages out.

    magic (4 bytes) | version (2) | length of the text (4) | CRC-32 of the text (4) | text

with the highest byte of numbers first; the text is JSON, [kind, value]. A socket in $TMPDIR may be of anybody
and of any version. So each message is checked before any of it is used; MessageFormatError ends the
connection."""

from __future__ import annotations

import json
import struct
import zlib
from typing import Any

MAGIC = b"pLmP"
VERSION = 1
MAX_TEXT_BYTES = 8 * 1024 * 1024
_HEADER = struct.Struct(">4sHII")


class MessageKind:
    """The kinds, as they are on the wire. The value of each is given; it is None where none is named."""

    HELLO = "hello"  # the new process's gateway name
    OFFER = "offer"  # {"descriptors": count}, with the listening socket and the datagram socket
    TAKE_OVER = "take"
    STATE = "state"  # the state, or None
    SERVING = "serving"  # the new process accepts clients, and can take connections over
    CLIENT_CONNECTION = "client"  # {"descriptors": 1}, with the connection of a client
    DESCRIPTOR_COUNT = "held"  # how many descriptors the old process still holds
    PEER_MESSAGE = "heard"  # [sender, hex]
    OWN_MESSAGE = "said"  # hex: the policy's message to its own number
    OPERATOR_COMMAND = "ordered"  # [name, argument]
    USAGE_ROW = "counted"  # a row of counted usage, for the cluster participant


class MessageFormatError(ValueError):
    """Bytes that are no message of this version; the text says why."""


class MessageTooLongError(ValueError):
    """A value whose text has more than MAX_TEXT_BYTES."""


def encode(kind: str, value: Any = None) -> bytes:
    """The bytes of a message; raises MessageTooLongError, and ValueError where the value is no JSON."""
    text = json.dumps([kind, value], allow_nan=False, separators=(",", ":")).encode()
    if len(text) > MAX_TEXT_BYTES:
        raise MessageTooLongError(f"a message of {len(text)} bytes")
    return _HEADER.pack(MAGIC, VERSION, len(text), zlib.crc32(text)) + text


class MessageDecoder:
    """Bytes become messages, wherever they are split."""

    def __init__(self) -> None:
        self._bytes = bytearray()  # of a message that is not complete

    def feed(self, data: bytes) -> list[tuple[str, Any]]:
        """The messages, as (kind, value), that are complete now; raises MessageFormatError."""
        self._bytes += data
        messages = []
        while len(self._bytes) >= _HEADER.size:
            magic, version, length, checksum = _HEADER.unpack_from(self._bytes)
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
            messages.append(_parse_text(text, checksum))
        return messages


def _parse_text(text: bytes, checksum: int) -> tuple[str, Any]:
    if zlib.crc32(text) != checksum:
        raise MessageFormatError("the checksum does not match")
    try:
        kind, value = json.loads(text)
    except (ValueError, TypeError, RecursionError) as problem:
        raise MessageFormatError("no JSON of ours") from problem
    if not isinstance(kind, str):
        raise MessageFormatError("a message without a kind")
    return kind, value
