"""Encoding and decoding of the messages between the two processes of a hot restart, without I/O.

    magic (4 bytes) | version (2) | length of the text (4) | CRC-32 of the text (4) | text

Numbers are big-endian; the text is JSON, [kind, value]. The socket in $TMPDIR may belong to another program
or to another version of this one. Each message is therefore checked before it is used; the connection is
closed on a MessageFormatError."""

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
    """The kinds of messages, as sent on the wire. The comments give the value of a message of each kind."""

    HELLO = "hello"  # value: name of the successor's gateway
    OFFER = "offer"  # value: {"descriptors": count}; carries the listening and the datagram socket
    TAKE_OVER = "take"  # value: None; the successor requests the state
    STATE = "state"  # value: exported state, or None
    SERVING = "serving"  # value: None; the successor accepts clients and can receive their connections
    CLIENT_CONNECTION = "client"  # value: {"descriptors": 1}; carries the descriptor of a client's connection
    DESCRIPTOR_COUNT = "held"  # value: number of descriptors that the predecessor still holds
    PEER_MESSAGE = "heard"  # value: [sender's number, datagram in hex] that the other process received
    OWN_MESSAGE = "said"  # value: datagram in hex that the policy sent to its own gateway's number
    REQUEST_ID = "claimed"  # value: id of a request that the predecessor has opened since its handover
    OPERATOR_COMMAND = "ordered"  # value: [name, argument] of an operator's command
    USAGE_ROW = "counted"  # value: [plan, outcome, units] of a request, for the successor's usage counts


class MessageFormatError(ValueError):
    """The received bytes are not a valid message of this version; the text gives the reason."""


class MessageTooLongError(ValueError):
    """The JSON text of a message is longer than MAX_TEXT_BYTES."""


def encode(kind: str, value: Any = None) -> bytes:
    """The bytes of a message. Raises MessageTooLongError, and ValueError if the value has no JSON form."""
    text = json.dumps([kind, value], allow_nan=False, separators=(",", ":")).encode()
    if len(text) > MAX_TEXT_BYTES:
        raise MessageTooLongError(
            f"message of {len(text)} bytes exceeds the maximum of {MAX_TEXT_BYTES} bytes"
        )
    return _HEADER.pack(MAGIC, VERSION, len(text), zlib.crc32(text)) + text


class MessageDecoder:
    """Decodes messages from a byte stream that may be split at any position."""

    def __init__(self) -> None:
        self._bytes = bytearray()  # received part of an incomplete message

    def feed(self, data: bytes) -> list[tuple[str, Any]]:
        """Add received bytes; returns the (kind, value) of each completed message. Raises
        MessageFormatError."""
        self._bytes += data
        messages = []
        while len(self._bytes) >= _HEADER.size:
            magic, version, length, checksum = _HEADER.unpack_from(self._bytes)
            if magic != MAGIC:
                raise MessageFormatError(f"message begins with {magic!r}, expected {MAGIC!r}")
            if version != VERSION:
                raise MessageFormatError(f"message of version {version}, expected version {VERSION}")
            if length > MAX_TEXT_BYTES:
                raise MessageFormatError(
                    f"message of {length} bytes exceeds the maximum of {MAX_TEXT_BYTES} bytes"
                )
            if len(self._bytes) < _HEADER.size + length:
                break
            text = bytes(self._bytes[_HEADER.size : _HEADER.size + length])
            del self._bytes[: _HEADER.size + length]
            messages.append(_parse_text(text, checksum))
        return messages


def _parse_text(text: bytes, checksum: int) -> tuple[str, Any]:
    if zlib.crc32(text) != checksum:
        raise MessageFormatError("checksum of the message does not match its text")
    try:
        kind, value = json.loads(text)
    except (ValueError, TypeError, RecursionError) as problem:
        raise MessageFormatError(
            f"message text is not a JSON array of a kind and a value: {problem}"
        ) from problem
    if not isinstance(kind, str):
        raise MessageFormatError(
            f"kind of the message is of the type {type(kind).__name__}, expected a string"
        )
    return kind, value
