"""An effect of a scheduled task: a POST to its receiver, under a fencing token.

    POST PATH HTTP/1.1
    Duty: use
    Period: 29847
    Idempotency-Key: use/29847
    Fencing-Token: 1a2b…            hexadecimal

A receiver answers 2xx once it has taken the effect, or had taken it before; 409 with its own Fencing-Token
where it knows a larger one. Anything else, or nothing, is an error: the same key is sent again, now or by the
next owner."""

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
    """The effect is not known to be taken; the text gives the reason. The run has failed, and is retried."""


class StaleTokenError(EffectError):
    """The receiver knows a larger token, `token`: the lease has to be acquired again, above it."""

    def __init__(self, token: int) -> None:
        super().__init__(f"the receiver knows the larger token {token:x}")
        self.token = token


class ReceiverError(EffectError):
    """The receiver cannot be reached, does not answer, or answers with an error."""


class EffectTooLargeError(EffectError):
    """The effect's body is too large to be sent."""


class LeaseEndedError(EffectError):
    """The lease had ended before the first byte was written."""

    def __init__(self) -> None:
        super().__init__("its lease had ended before the effect was written")


@dataclass(slots=True)
class _Response:
    """What httptools reports of a response."""

    token: str = ""
    is_complete: bool = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"fencing-token":
            self.token = value.decode("ascii", "replace").strip()

    def on_message_complete(self) -> None:
        self.is_complete = True


def encode_request(receiver: Receiver, task: str, period: int, token: int, body: Any) -> bytes:
    """The request. Raises EffectTooLargeError."""
    data = json.dumps(body, separators=(",", ":")).encode()
    if len(data) > MAX_BODY_BYTES:
        raise EffectTooLargeError(f"its body has {len(data)} bytes; {MAX_BODY_BYTES} is the most")
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
    """Have the effect taken; returns once the receiver has confirmed it. Raises EffectError.

    `may_write` looks at the clock: it is called last, when all that is left is to write."""
    request = encode_request(receiver, task, period, token, body)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*receiver.address, limit=READ_BYTES)
    except OSError as problem:  # a TimeoutError is one
        raise ReceiverError(f"no connection to its receiver: {problem or 'no answer'}") from problem
    try:
        if not may_write():
            raise LeaseEndedError
        writer.write(request)
        status, receiver_token = await _read_response(reader)
    except (OSError, httptools.HttpParserError) as problem:
        raise ReceiverError(f"no answer of its receiver: {problem or 'out of time'}") from problem
    finally:
        writer.close()
    _check(status, receiver_token)


async def _read_response(reader: asyncio.StreamReader) -> tuple[int, str]:
    """The status, 0 for a response that ended early, and the receiver's token."""
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
    """Raise the error that a response stands for, if any."""
    if status == 409:
        try:
            larger_token = int(receiver_token, 16)
        except ValueError:
            raise ReceiverError("its receiver refuses the token and names none") from None
        raise StaleTokenError(larger_token)
    if not 200 <= status < 300:
        raise ReceiverError(f"its receiver answered {status or 'nothing whole'}")
