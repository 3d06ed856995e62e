"""Effects of scheduled tasks: a POST request to the task's receiver, with a fencing token.

    POST PATH HTTP/1.1
    Duty: use
    Period: 29847
    Idempotency-Key: use/29847
    Fencing-Token: 1a2b…            hexadecimal

A receiver answers 2xx if it has executed the effect, now or before, and 409 with the largest Fencing-Token
that it knows if the request's token is smaller. Any other answer, and no answer, is an error: the same
idempotency key is sent again, by this owner or the next one."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from plumpick.gateway.operator_config import Receiver

CONNECT_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 5.0
MAX_BODY_BYTES = 64 * 1024
READ_BYTES = 16 * 1024


class EffectError(Exception):
    """The receiver did not confirm the effect; the text gives the reason. The run has failed and is
    retried."""


class StaleTokenError(EffectError):
    """The receiver knows a larger token, `token`: the lease must be acquired again with a token above it."""

    def __init__(self, token: int) -> None:
        super().__init__(f"the receiver knows the larger token {token:x}")
        self.token = token


class ReceiverError(EffectError):
    """The receiver is unreachable, does not answer in time, or answers with an error status."""


class EffectTooLargeError(EffectError):
    """The effect's body is larger than MAX_BODY_BYTES."""


class LeaseEndedError(EffectError):
    """The lease had expired before the first byte of the effect was written."""

    def __init__(self) -> None:
        super().__init__("the lease expired before the effect was written")


@dataclass(slots=True)
class _Response:
    """The callbacks of the httptools response parser, and what they collect."""

    token: str = ""
    is_complete: bool = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"fencing-token":
            self.token = value.decode("ascii", "replace").strip()

    def on_message_complete(self) -> None:
        self.is_complete = True


def encode_request(receiver: Receiver, task: str, period: int, token: int, body: Any) -> bytes:
    """The bytes of the effect's HTTP request. Raises EffectTooLargeError."""
    data = json.dumps(body, separators=(",", ":")).encode()
    if len(data) > MAX_BODY_BYTES:
        raise EffectTooLargeError(f"effect body of {len(data)} bytes exceeds the maximum of {MAX_BODY_BYTES}")
    host, port = receiver.address
    return (
        f"POST {receiver.path} HTTP/1.1\r\nHost: {host}:{port}\r\nDuty: {task}\r\nPeriod: {period}\r\n"
        f"Idempotency-Key: {task}/{period}\r\nFencing-Token: {token:x}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
    ).encode() + data


async def send(
    receiver: Receiver, task: str, period: int, token: int, body: Any, may_write: Callable[[], bool]
) -> None:
    """Send the effect; returns once the receiver has confirmed it. Raises EffectError.

    `may_write` checks the lease against the clock; it is called directly before the request is written."""
    request = encode_request(receiver, task, period, token, body)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*receiver.address, limit=READ_BYTES)
    except OSError as problem:  # includes TimeoutError, a subclass of OSError
        raise ReceiverError(f"cannot connect to the receiver: {problem or 'timed out'}") from problem
    try:
        if not may_write():
            raise LeaseEndedError
        writer.write(request)
        status, receiver_token = await _read_response(reader)
    except httptools.HttpParserUpgrade as problem:  # is no HttpParserError
        raise ReceiverError("the receiver switched to another protocol") from problem
    except (OSError, httptools.HttpParserError) as problem:
        raise ReceiverError(f"no valid response from the receiver: {problem or 'timed out'}") from problem
    finally:
        writer.close()
    _check(status, receiver_token)


async def _read_response(reader: asyncio.StreamReader) -> tuple[int, str]:
    """The status (0 for a truncated response) and the Fencing-Token header of the receiver's response."""
    response = _Response()
    parser = httptools.HttpResponseParser(response)
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        while not response.is_complete:
            data = await reader.read(READ_BYTES)
            if not data:
                break
            parser.feed_data(data)
    return (parser.get_status_code() if response.is_complete else 0), response.token


def _check(status: int, receiver_token: str) -> None:
    """Raise StaleTokenError for status 409, ReceiverError for any other status than 2xx."""
    if status == 409:
        try:
            larger_token = int(receiver_token, 16)
        except ValueError:
            raise ReceiverError("status 409 from the receiver without a valid Fencing-Token") from None
        raise StaleTokenError(larger_token)
    if not 200 <= status < 300:
        raise ReceiverError(f"expected status 2xx from the receiver, got {status or 'a truncated response'}")
