"""A stub that receives the effects of scheduled tasks: it checks fencing tokens, rejects repeated keys and
records every effect.

It can break the connection before or after it accepts an effect, respond late, and stop listening. `restart`
loads the fencing tokens from their file, if there is one; the keys of accepted effects stay in memory."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from plumpick.gateway.cluster.fence import Fence
from plumpick.rehearsal.surroundings import HOST
from plumpick.rehearsal.wire import Message, Reader, WireError, answer_bytes


def machine_ms() -> float:
    """Return the machine's CLOCK_BOOTTIME in ms, the clock that the witness processes use too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


@dataclass(frozen=True, slots=True)
class ReceivedEffect:
    """An effect that was received completely.

    `fate` is "taken" (accepted), "again" (its key was accepted before) or "fenced" (its token was rejected).
    """

    t: float
    duty: str
    period: int
    token: int
    fate: str
    body: dict[str, Any]


class _GatewayConnection(asyncio.Protocol):
    """A connection of a gateway to the receiver."""

    def __init__(self, receiver: Receiver) -> None:
        self._receiver, self._reader, self.transport = receiver, Reader(answers=False), None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self._receiver.callers.add(self)

    def connection_lost(self, _problem: Exception | None) -> None:
        self._receiver.callers.discard(self)

    def data_received(self, data: bytes) -> None:
        try:
            for message in self._reader.feed(data, 0.0):
                self._receiver.handle_effect(self, message)
        except (WireError, KeyError, ValueError):
            self.transport.abort()  # type: ignore[attr-defined]


class Receiver:
    """The receiver of effects.

    `dies_before` and `dies_after` are the probabilities that the connection breaks before or after an effect
    is accepted; `late` is the probability that a response is delayed by `late_ms`. Without `fenced`, effects
    with an old token are accepted.
    """

    def __init__(
        self,
        chance: random.Random,
        path: Path | None = None,
        fenced: bool = True,
        clock: Callable[[], float] = machine_ms,
    ) -> None:
        self._clock = clock
        self._chance, self._path, self._fenced = chance, path, fenced
        self._fence = Fence(path)
        self._keys: set[tuple[str, int]] = set()
        self.dies_before = self.dies_after = self.late = 0.0
        self.late_ms = 500.0
        self.records: list[ReceivedEffect] = []
        self.callers: set[_GatewayConnection] = set()
        self.effect_accepted = asyncio.Event()  # Event that is set at each accepted effect
        self.port = 0
        self._server: Any = None

    async def start(self) -> None:
        """Listen, at the same port as before if there was one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _GatewayConnection(self), HOST, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Stop listening and abort all connections; `restart` undoes it."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for caller in list(self.callers):
            caller.transport.abort()  # type: ignore[attr-defined]

    async def restart(self) -> None:
        """Listen again, with the fencing tokens read from their file if there is one."""
        self.stop_listening()
        if self._path is not None:
            self._fence = Fence(self._path)
        await self.start()

    def handle_effect(self, caller: _GatewayConnection, message: Message) -> None:
        """Record an effect as accepted, repeated or fenced off, and respond to it."""
        chance, headers = self._chance, message.headers
        if chance.random() < self.dies_before:
            caller.transport.abort()  # type: ignore[attr-defined]
            return
        duty, period = headers[b"duty"].decode(), int(headers[b"period"])
        token, key = int(headers[b"fencing-token"], 16), (duty, period)
        fate = "taken"
        if not self._fence.admit(duty, token) and self._fenced:
            fate = "fenced"
        elif key in self._keys:
            fate = "again"
        else:
            self._keys.add(key)
        self.records.append(
            ReceivedEffect(self._clock(), duty, period, token, fate, json.loads(message.body))
        )
        if fate == "taken":
            self.effect_accepted.set()
        if chance.random() < self.dies_after:
            caller.transport.abort()  # type: ignore[attr-defined]
            return
        answer = (
            answer_bytes(200)
            if fate != "fenced"
            else answer_bytes(409, headers=f"Fencing-Token: {self._fence.highest(duty):x}\r\n")
        )
        wait_s = self.late_ms / 1000 if chance.random() < self.late else 0.0
        asyncio.get_running_loop().call_later(wait_s, self._answer, caller, answer)

    @staticmethod
    def _answer(caller: _GatewayConnection, answer: bytes) -> None:
        if caller.transport is not None and not caller.transport.is_closing():
            caller.transport.write(answer)

    def close(self) -> None:
        self.stop_listening()
