"""Answers of many MB to clients that read 64 kB a second: is the whole answer passed on?"""

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
DEADLINE_MS = 2000
SIZES = (12_000_000, 16_000_000, 24_000_000, 32_000_000)  # the pages: answers reach 32 MB, many at a time
SLOW_BYTES_PER_S = 64_000  # the pages: a body at 64 kB a second
PIECE = 6_400
WATCHED_S = 90.0  # a client that still reads then is not judged
CLIENT_BUFFER = 65_536


class Answers:
    """The workers: they give what the gateway takes, and note an answer that was cut off."""

    def __init__(self, recorder: kit.Recorder, rng: random.Random) -> None:
        self.recorder, self.rng = recorder, rng
        self.cut: set[str] = set()

    async def serve(self, worker: kit.Worker, message: kit.Message, writer: asyncio.StreamWriter) -> None:
        """Give the answer as fast as it is taken."""
        request_id = message.headers["x-request-id"]
        size = int(request_id.split("-")[-1])
        self.recorder.write(f"{worker.name}: began {request_id}")
        await asyncio.sleep(self.rng.uniform(0.066, 0.110))
        try:
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n{kit.LOAD}\r\n".encode())
            for _ in range(size // 100_000):
                writer.write(bytes(100_000))
                await writer.drain()
        except OSError as problem:
            self.cut.add(request_id)
            self.recorder.say(
                f"{worker.name}: {request_id} was cut off while it was being given: {problem!r}"
            )
            raise
        self.recorder.write(f"{worker.name}: gave all of {request_id}")


class Client:
    """Asks once and reads the answer at its own pace, without a pause."""

    def __init__(self, recorder: kit.Recorder) -> None:
        self.recorder = recorder
        self.cut: list[str] = []
        self.whole: list[str] = []
        self.refused: list[str] = []

    async def ask(self, port: int, request_id: str, customer: int, size: int, bytes_per_s: float) -> None:
        """Ask for one answer and read it at this pace, without a pause."""
        loop, now = asyncio.get_running_loop(), self.recorder.clock.ms
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER)
            sock.setblocking(False)
            await loop.sock_connect(sock, (kit.HOST, port))
            began = now()
            await loop.sock_sendall(
                sock,
                kit.request_bytes("seat-check", request_id, customer, plan="amplio", deadline_ms=DEADLINE_MS),
            )
            data = await loop.sock_recv(sock, PIECE)
            head, _, rest = data.partition(b"\r\n\r\n")
            self.recorder.write(f"{request_id}: {head.splitlines()[0].decode()} after {now() - began:.0f} ms")
            if b" 200 " not in head.splitlines()[0]:  # refused or failed: no answer was begun
                self.refused.append(request_id)
                return
            received, first = len(rest), now()
            while received < size and now() - first < WATCHED_S * 1000:
                due = first + received / bytes_per_s * 1000
                await asyncio.sleep(max(0.0, due - now()) / 1000)
                try:
                    data = await loop.sock_recv(sock, PIECE if kit.TROUBLE else 1_000_000)
                except OSError:
                    data = b""
                if not data:
                    self.cut.append(request_id)
                    self.recorder.say(
                        f"{request_id}: CUT OFF at {received} of {size} bytes after {now() - first:.0f} ms"
                    )
                    return
                received += len(data)
            if received >= size:
                self.whole.append(request_id)
            self.recorder.write(f"{request_id}: {received} of {size} bytes after {now() - first:.0f} ms")


async def case(recorder: kit.Recorder, platform: kit.Platform) -> int:
    """Twelve large answers over three gateways."""
    answers = Answers(recorder, random.Random(9))
    workers = [kit.Worker(f"s-{number}", "", answers.serve) for number in range(WORKERS)]
    for worker in workers:
        await worker.start()
    rows = [(one.name, one.port, kit.HALLS[place % 3]) for place, one in enumerate(workers)]
    tier = await kit.start_tier(platform, rows)
    client = Client(recorder)
    pace = SLOW_BYTES_PER_S if kit.TROUBLE else 50_000_000.0
    tasks = []
    for place, gateway in enumerate(tier.gateways):
        for number, size in enumerate(SIZES):
            request_id = f"big-{place}-{number}-{size}"
            task = client.ask(gateway.port, request_id, 3 * number + place, size, pace)
            tasks.append(asyncio.create_task(task))
            await asyncio.sleep(0.2)
    await asyncio.gather(*tasks)
    # A client that still reads what the kernel holds cannot get the rest: its worker could not give it.
    reading = sorted(answers.cut - {*client.cut, *client.whole, *client.refused})
    client.cut += reading
    counts = f"whole: {len(client.whole)}; refused or failed: {len(client.refused)}"
    recorder.say(f"asked: {len(tasks)}; {counts}; cut off: {len(client.cut)} {client.cut}")
    return kit.BROKEN if client.cut else kit.HELD


if __name__ == "__main__":
    sys.exit(kit.main(FOLDER, case, limit_s=115.0))
