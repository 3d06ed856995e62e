"""A TCP relay before a service that drops, delays, doubles, alters and reorders whole answers."""

from __future__ import annotations

import asyncio
import random
import re
from collections import deque
from dataclasses import dataclass

from plumpick.rehearsal.surroundings import HOST

REMEMBERED = 40  # answers that may come late
NAME = re.compile(rb"[?&]name=([^& ]*)")


@dataclass
class Weather:
    """How often what happens to an answer that brings news; all may happen to one."""

    drop: float = 0.0
    double: float = 0.0
    late: float = 0.0  # an older one comes in its place, of whomever
    alter: float = 0.0  # one figure of it is another
    delay_ms: tuple[float, float] = (0.0, 2.0)


class Relay:
    """Between all gatekeepers and one service at `port`."""

    def __init__(self, chance: random.Random, port: int) -> None:
        self._chance, self._to = chance, port
        self.weather, self.cut, self.port = Weather(), set[str](), 0
        self._old: deque[bytes] = deque(maxlen=REMEMBERED)
        self._writers: dict[asyncio.StreamWriter, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut_off(self, names: set[str]) -> None:
        """Of these nothing comes through any more; an empty set heals all."""
        self.cut = names
        for writer, name in list(self._writers.items()):
            if name in names:
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers[writer] = ""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        upstream: asyncio.StreamWriter | None = None
        try:
            answers, upstream = await asyncio.open_connection(HOST, self._to)
            while True:
                asked = await reader.readuntil(b"\r\n\r\n")
                found = NAME.search(asked)
                self._writers[writer] = found.group(1).decode() if found else ""
                if self._writers[writer] in self.cut:
                    return
                upstream.write(asked)
                if not await self._answer(answers, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # either side has gone, or the trial is over
        finally:
            self._writers.pop(writer, None)
            self._tasks.discard(task)
            writer.transport.abort()
            if upstream is not None:
                upstream.transport.abort()

    async def _answer(self, answers: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await answers.readuntil(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        if length is None:
            writer.write(head)
            return True
        whole = head + await answers.readexactly(int(length.group(1)))
        chance, weather = self._chance, self.weather
        if chance.random() < weather.drop:
            return False
        if self._old and chance.random() < weather.late:
            whole, late = chance.choice(self._old), whole
            self._old.append(late)
        else:
            self._old.append(whole)
        if chance.random() < weather.alter:
            whole = altered(whole, chance)
        await asyncio.sleep(chance.uniform(*weather.delay_ms) / 1000)
        writer.write(whole * (2 if chance.random() < weather.double else 1))
        await writer.drain()
        return True


def altered(whole: bytes, chance: random.Random) -> bytes:
    """With one digit of the settings in it changed, still as JSON."""
    begin = max(whole.find(b'"settings":'), whole.find(b'"changes":'))
    places = [
        found.start(1)
        for found in re.finditer(rb'"(?:worth|perSecond)":(\d)', whole)
        if found.start() > begin
    ]
    if begin < 0 or not places:
        return whole
    place = chance.choice(places)
    digit = b"%d" % ((whole[place] - 48) % 9 + 1)
    return whole[:place] + digit + whole[place + 1 :]
