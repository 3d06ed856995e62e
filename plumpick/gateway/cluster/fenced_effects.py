"""An effect of a duty: a POST to its receiver, under a token.

    POST PATH HTTP/1.1
    Duty: use
    Period: 29847
    Idempotency-Key: use/29847
    Fencing-Token: 1a2b…            hexadecimal

A receiver answers 2xx once it has taken it, or has had it already; 409 with its own Fencing-Token where it
knows a larger one. Anything else, or nothing, has failed: the same key is sent again, now or by the next
owner."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from plumpick.gateway.operator_config import Receiver

CONNECT_S, ANSWER_S = 2.0, 5.0
MOST_BODY = 64 * 1024
LIMIT = 16 * 1024


class Outdone(Exception):
    """The receiver knows a larger token, `token`."""

    def __init__(self, token: int) -> None:
        super().__init__(f"the receiver knows the larger token {token:x}")
        self.token = token


class Failed(Exception):
    """It is not known to be taken; the text says why."""


class Ended(Exception):
    """Its lease had ended before the first byte was written."""


@dataclass(slots=True)
class _Answer:
    """What httptools tells of an answer."""

    status: int = 0
    token: str = ""
    done: bool = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"fencing-token":
            self.token = value.decode("ascii", "replace").strip()

    def on_message_complete(self) -> None:
        self.done = True


def message_of(receiver: Receiver, duty: str, period: int, token: int, body: Any) -> bytes:
    """The request. Raises Failed where its body is too large."""
    data = json.dumps(body, separators=(",", ":")).encode()
    if len(data) > MOST_BODY:
        raise Failed(f"its body has {len(data)} bytes; {MOST_BODY} is the most")
    host, port = receiver.address
    return (
        f"POST {receiver.path} HTTP/1.1\r\nHost: {host}:{port}\r\nDuty: {duty}\r\nPeriod: {period}\r\n"
        f"Idempotency-Key: {duty}/{period}\r\nFencing-Token: {token:x}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
    ).encode() + data


async def send(
    receiver: Receiver, duty: str, period: int, token: int, body: Any, may: Callable[[], bool]
) -> None:
    """Have the effect taken; returns once the receiver has said so. `may` looks at the clock: it is asked
    last, when all that is left is to write. Raises Outdone, Failed or Ended."""
    message = message_of(receiver, duty, period, token, body)
    try:
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(*receiver.address, limit=LIMIT)
    except OSError as problem:  # a TimeoutError is one
        raise Failed(f"no connection to its receiver: {problem or 'no answer'}") from problem
    try:
        if not may():
            raise Ended
        writer.write(message)
        answer = _Answer()
        parser = httptools.HttpResponseParser(answer)
        async with asyncio.timeout(ANSWER_S):
            while not answer.done:
                data = await reader.read(LIMIT)
                if not data:
                    break
                parser.feed_data(data)
        status = parser.get_status_code() if answer.done else 0
    except (OSError, httptools.HttpParserError) as problem:
        raise Failed(f"no answer of its receiver: {problem or 'out of time'}") from problem
    finally:
        writer.close()
    if status == 409:
        try:
            raise Outdone(int(answer.token, 16))
        except ValueError:
            raise Failed("its receiver refuses the token and names none") from None
    if not 200 <= status < 300:
        raise Failed(f"its receiver answered {status or 'nothing whole'}")
