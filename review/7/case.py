"""Uploads over 64 KiB while one of nine workers is silent: each taken request is owed its final answer."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as kit  # noqa: E402

WORKERS = 9
SILENT_FROM_S = 3.0
SILENT_FOR_S = 25.0  # the pages: 8.1 to 30 s
UPLOADS_EVERY_S = 0.25
UPLOADS_FOR_S = 12.0
DEADLINE_MS = 7500
LATE_MS = 550.0  # an answer up to half a second late only earns nothing; 50 ms more, as for each limit
SIZES = (5_000_000, 6_000_000, 7_000_000, 8_000_000)  # the pages: bodies reach 32 MB
PIECE = 65536


class LicenceServer:
    """Reads a request, works for 160 to 290 ms, answers. While it is silent it reads and writes nothing."""

    def __init__(self, name: str, recorder: kit.Recorder, rng: random.Random) -> None:
        self.name, self.recorder, self.rng = name, recorder, rng
        self.awake = asyncio.Event()
        self.awake.set()
        self.open: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self._accept, kit.HOST, 0, limit=PIECE)
        self.port = server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        try:
            while True:
                await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(writer)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, headers = await kit.read_head(reader)
        request_id = headers["x-request-id"]
        left = int(headers["content-length"])
        self.recorder.write(f"{self.name}: head of {request_id}")
        while left:
            await self.awake.wait()
            data = await reader.read(min(left, PIECE))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)
        await asyncio.sleep(self.rng.uniform(0.16, 0.29))
        await self.awake.wait()
        self.recorder.write(f"{self.name}: ran {request_id}")
        writer.write(kit.answer(200, request_id.encode(), kit.LOAD))
        await writer.drain()

    def come_back_cold(self) -> None:
        """The process has been started anew: its connections are reset."""
        for writer in list(self.open):
            kit.reset(writer)
        self.awake.set()


class Client:
    """Sends uploads and notes when the last byte was written and when the answer came."""

    def __init__(self, recorder: kit.Recorder) -> None:
        self.recorder = recorder
        self.lost: list[str] = []
        self.taken = 0
        self.statuses: dict[str, int] = {}

    async def upload(self, port: int, request_id: str, customer: int, size: int) -> None:
        """Send one hours-debit and wait for its answer, well past the client's time."""
        loop, now = asyncio.get_running_loop(), self.recorder.clock.ms
        with socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, (kit.HOST, port))
            began = now()
            head = kit.request_bytes(
                "hours-debit", request_id, customer, plan="amplio", deadline_ms=DEADLINE_MS, length=size
            )
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000):
                    await loop.sock_sendall(sock, head + bytes(size))
            except TimeoutError:
                self.note(request_id, "gave up: the last byte could not be written, so it was not taken")
                return
            written = now()
            self.taken += 1
            self.recorder.write(
                f"{request_id}: {size} bytes, last byte written after {written - began:.0f} ms"
            )
            owed = (DEADLINE_MS + LATE_MS) / 1000
            try:
                async with asyncio.timeout(owed):
                    answer = await loop.sock_recv(sock, PIECE)
            except TimeoutError:
                self.lost.append(request_id)
                self.note(request_id, f"LOST: no answer {now() - written:.0f} ms after its last byte")
                return
            self.note(request_id, answer.split(b"\r\n")[0].decode() or "closed with no answer")
            if not answer:
                self.lost.append(request_id)

    def note(self, request_id: str, text: str) -> None:
        """Record what became of a request."""
        self.recorder.write(f"{request_id}: {text}")
        kind = text.split(":")[0]
        self.statuses[kind] = self.statuses.get(kind, 0) + 1


async def trouble(recorder: kit.Recorder, tier: kit.Tier, server: LicenceServer) -> None:
    """One worker of nine goes silent (no reset, no answer) and comes back cold."""
    await asyncio.sleep(SILENT_FROM_S)
    recorder.say(f"{server.name} goes silent")
    server.awake.clear()
    await asyncio.sleep(SILENT_FOR_S)
    recorder.say(f"{server.name} comes back cold")
    server.come_back_cold()
    await tier.discovery.put(server.name, server.port, kit.HALLS[0], "ready", kit.time.time() * 1000)


async def case(recorder: kit.Recorder, platform: kit.Platform) -> int:
    """Uploads at three gateways; one of nine workers is silent for a while."""
    rng = random.Random(7)
    servers = [LicenceServer(f"s-{number}", recorder, rng) for number in range(WORKERS)]
    for server in servers:
        await server.start()
    rows = [(server.name, server.port, kit.HALLS[place % 3]) for place, server in enumerate(servers)]
    tier = await kit.start_tier(platform, rows)
    client = Client(recorder)
    tasks: list[asyncio.Task[None]] = []
    if kit.TROUBLE:
        tasks.append(asyncio.create_task(trouble(recorder, tier, servers[0])))
    for number in range(int((SILENT_FROM_S + UPLOADS_FOR_S) / UPLOADS_EVERY_S)):
        for place, gateway in enumerate(tier.gateways):
            size = SIZES[(number + place) % len(SIZES)]
            request_id = f"up-{number}-{place}"
            customer = 3 * number + place
            tasks.append(asyncio.create_task(client.upload(gateway.port, request_id, customer, size)))
            await asyncio.sleep(UPLOADS_EVERY_S / len(tier.gateways))
    await asyncio.gather(*tasks)
    recorder.say(f"uploads taken: {client.taken}; {client.statuses}; lost: {len(client.lost)} {client.lost}")
    return kit.BROKEN if client.lost else kit.HELD


if __name__ == "__main__":
    sys.exit(kit.main(FOLDER, case))
