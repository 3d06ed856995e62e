"""A rolling deploy under seat-checks, some of whose answers are over 64 KiB: is each answer a whole one?"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness2 as kit  # noqa: E402

WORKERS = 9
REQUESTS_PER_S = 70.0  # at each of three gateways
FIRST_DRAIN_S = 3.0
REPLACE_EVERY_S = 3.2  # one of nine at a time (the pages: up to 19 %), eight of nine in 26 s (21 to 34 s)
REPLACED = (0, 2, 4, 6, 8, 1, 3, 5)
LAST_S = FIRST_DRAIN_S + len(REPLACED) * REPLACE_EVERY_S
# The list of seats as a licence server keeps it: some servers keep longer ones than others.
LONG, SHORT = 150_000, 50_000
PIECE, PIECE_EVERY_S = 8192, 0.01  # the pages: peers write in small pieces
DEADLINE_MS = 2000


def body_of(server: str, request_id: str, size: int) -> bytes:
    """The answer that this server makes for this request."""
    line = f"seat at {server} for {request_id}\n".encode()
    return (line * (size // len(line) + 1))[:size]


class LicenceServer:
    """Works for 66 to 110 ms, then answers with its list of seats."""

    def __init__(self, name: str, size: int, recorder: kit.Recorder, rng: random.Random) -> None:
        self.size, self.recorder, self.rng = size, recorder, rng
        self.worker = kit.Worker(name, "", self._serve)

    async def _serve(self, worker: kit.Worker, message: kit.Message, writer: asyncio.StreamWriter) -> None:
        request_id = message.headers["x-request-id"]
        self.recorder.write(f"{worker.name}: began {request_id}")
        await asyncio.sleep(self.rng.uniform(0.066, 0.110))
        data = kit.answer(200, body_of(worker.name, request_id, self.size), kit.LOAD)
        for place in range(0, len(data), PIECE):
            writer.write(data[place : place + PIECE])
            await writer.drain()
            if len(data) > 65536:
                await asyncio.sleep(PIECE_EVERY_S)
        self.recorder.write(f"{worker.name}: answered {request_id}")


class Front:
    """Sends requests over kept connections, one at a time on each, and compares every answer."""

    def __init__(self, recorder: kit.Recorder, servers: dict[str, LicenceServer]) -> None:
        self.recorder, self.servers = recorder, servers
        self.idle: dict[int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self.statuses: dict[str, int] = {}
        self.wrong: list[str] = []

    async def ask(self, port: int, request_id: str, customer: int) -> None:
        """Send one seat-check."""
        idle = self.idle.setdefault(port, [])
        reader, writer = idle.pop() if idle else await asyncio.open_connection(kit.HOST, port)
        writer.write(
            kit.request_bytes("seat-check", request_id, customer, plan="amplio", deadline_ms=DEADLINE_MS)
        )
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 3):
                message = await kit.read_message(reader)
            status = str(kit.status_of(message))
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError, IndexError) as problem:
            writer.transport.abort()
            self.count(f"{type(problem).__name__}")
            self.recorder.write(f"{request_id}: {problem!r}")
            return
        self.count(status)
        if status == "200" and not self.is_answer(request_id, message.body):
            self.report_wrong(request_id, message.body)
            writer.transport.abort()
        elif message.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            idle.append((reader, writer))

    def is_answer(self, request_id: str, body: bytes) -> bool:
        """Whether a server made this body for this request."""
        return any(body == body_of(name, request_id, one.size) for name, one in self.servers.items())

    def report_wrong(self, request_id: str, body: bytes) -> None:
        """Record an answer that no server made for its request."""
        self.wrong.append(request_id)
        at = max(0, body.find(b"HTTP/1.1"))
        self.recorder.say(
            f"{request_id}: 200 with {len(body)} bytes that no server made; at {at}: {body[at : at + 130]!r}"
        )

    def count(self, kind: str) -> None:
        """Count an answer by its status."""
        self.statuses[kind] = self.statuses.get(kind, 0) + 1


async def deploy(
    recorder: kit.Recorder, tier: kit.Tier, servers: dict[str, LicenceServer], rng: random.Random
) -> None:
    """Replace the servers one after another: drain, end when all is answered, start the successor cold."""
    await asyncio.sleep(FIRST_DRAIN_S)
    for number in REPLACED:
        old = servers[f"s-{number}"]
        zone = kit.HALLS[number % 3]
        recorder.say(f"{old.worker.name} drains")
        await tier.discovery.put(old.worker.name, old.worker.port, zone, "draining")
        await asyncio.sleep(REPLACE_EVERY_S / 2)
        await tier.discovery.put(old.worker.name, old.worker.port, zone, "gone")
        new = LicenceServer(f"t-{number}", old.size, recorder, rng)
        await new.worker.start()
        servers[new.worker.name] = new
        await tier.discovery.put(new.worker.name, new.worker.port, zone, "ready", kit.time.time() * 1000)
        await asyncio.sleep(REPLACE_EVERY_S / 2)


async def load(front: Front, gateway: kit.GatewayProcess, place: int, rng: random.Random) -> None:
    """Requests at one gateway, as they come, until the deploy is over."""
    end_ms = front.recorder.clock.ms() + LAST_S * 1000
    tasks = []
    number = 0
    while front.recorder.clock.ms() < end_ms:
        number += 1
        tasks.append(asyncio.create_task(front.ask(gateway.port, f"q-{place}-{number}", 3 * number + place)))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)


async def case(recorder: kit.Recorder, platform: kit.Platform) -> int:
    """Seat-checks at three gateways while eight of nine workers are replaced."""
    rng = random.Random(8)
    servers: dict[str, LicenceServer] = {}
    for number in range(WORKERS):
        server = LicenceServer(f"s-{number}", SHORT if number % 2 else LONG, recorder, rng)
        await server.worker.start()
        servers[server.worker.name] = server
    rows = [
        (name, one.worker.port, kit.HALLS[place % 3]) for place, (name, one) in enumerate(servers.items())
    ]
    tier = await kit.start_tier(platform, rows, cancel=False)
    front = Front(recorder, servers)
    jobs = [load(front, gateway, place, rng) for place, gateway in enumerate(tier.gateways)]
    if kit.TROUBLE:
        jobs.append(deploy(recorder, tier, servers, rng))
    await asyncio.gather(*jobs)
    recorder.say(f"answers: {front.statuses}; wrong bodies: {len(front.wrong)} {front.wrong}")
    return kit.BROKEN if front.wrong else kit.HELD


if __name__ == "__main__":
    sys.exit(kit.main(FOLDER, case))
