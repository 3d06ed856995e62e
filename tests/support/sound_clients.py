"""Sound clients of a gateway, the worker that they need, and the account of what became of their requests.

Each request asks for a response of a certain size, which begins with the id of the request. So a client can
tell a response that is cut off, or made for another request, from one that is whole."""

import asyncio
import contextlib
import itertools
import random
import socket
import struct
from collections import Counter
from dataclasses import dataclass, field

import httptools
from support.fakes import HOST, Message, request

PIPELINED = 8  # number of requests that a pipelining client sends in one write
MAX_BODY_BYTES = 60_000
SMALL_RESPONSE_BYTES = 200
DEADLINE_MS = 2500
GRACE_S = 0.5  # time after a deadline up to which a final response counts
MAX_START_AFTER_CLOSE_S = 0.1  # time after a client's close up to which an attempt may begin
CONNECT_PAUSE_S = 0.02
LAG_INTERVAL_S = 0.005
RESET = struct.pack("ii", 1, 0)
LOST = ("cut off", "foreign", "unanswered behind an answer", "silent", "begun after the close")

_ids = itertools.count(1)


@dataclass
class Ledger:
    """What became of all requests. `counts`: number of requests by outcome, a status or a kind of loss."""

    counts: Counter = field(default_factory=Counter)
    samples: list = field(default_factory=list)  # the first losses, told in words
    closed_s: dict = field(default_factory=dict)  # time at which a client left, by request id
    kills: int = 0  # number of times that the gateway was killed
    lags: list = field(default_factory=list)  # (time, lag in s) of the event loop that plays all stand-ins

    def lose(self, kind, request_id, text=""):
        """Count a request that got no complete response of its own."""
        self.counts[kind] += 1
        if len(self.samples) < 40:
            self.samples.append(f"{kind}: {request_id} {text}")

    async def watch_lag(self):
        """Record the lags of the event loop, by which what the stand-ins see is late."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.lags.append((loop.time(), loop.time() - due_s))

    def lag_since(self, start_s):
        """The sum of the loop's lags since `start_s`."""
        now_s = asyncio.get_running_loop().time()
        total_s = max(0.0, now_s - self.lags[-1][0] - LAG_INTERVAL_S) if self.lags else 0.0
        for time_s, lag_s in reversed(self.lags):
            if time_s < start_s:
                break
            total_s += lag_s
        return total_s

    def forgive(self):
        """Count the requests on connections that are open now as ended by a kill."""
        self.kills += 1

    def lost(self):
        """The number of requests by kind of loss; those that may have crossed a close are not among them."""
        return {kind: self.counts[kind] for kind in LOST if self.counts[kind]}

    def answered(self):
        """The number of whole responses."""
        return sum(count for kind, count in self.counts.items() if isinstance(kind, int))


class EchoWorker:
    """A worker that answers each request with a body that begins with its id. It resets `reset_ratio` of its
    connections before, within or after a response. `delay_s`: bounds of its time for a request."""

    def __init__(self, ledger, seed=0, reset_ratio=0.0, delay_s=(0.0, 0.01)):
        self.ledger = ledger
        self.random = random.Random(seed)
        self.reset_ratio = reset_ratio
        self.delay_s = delay_s

    async def start(self):
        """Start to listen; returns the server."""
        return await asyncio.start_server(self.serve, HOST, 0, limit=2**16, backlog=1024)

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = head.lower()
                _, found, rest = fields.partition(b"content-length: ")
                if found:
                    await self._read_body(reader, int(rest.partition(b"\r")[0]))
                request_id = fields.partition(b"x-request-id: ")[2].partition(b"\r")[0]
                self._record(request_id.decode())
                await asyncio.sleep(self.random.uniform(*self.delay_s))
                size = head.partition(b"?n=")[2].partition(b" ")[0] or SMALL_RESPONSE_BYTES
                await self._answer(writer, request_id, int(size))
        writer.transport.abort()

    @staticmethod
    async def _read_body(reader, left):
        while left:
            data = await reader.read(min(left, 2**16))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)

    def _record(self, request_id):
        closed_s = self.ledger.closed_s.get(request_id)
        if closed_s is not None:
            late_s = asyncio.get_running_loop().time() - closed_s - self.ledger.lag_since(closed_s)
            if late_s > MAX_START_AFTER_CLOSE_S:
                self.ledger.lose("begun after the close", request_id, f"{late_s * 1000:.0f} ms after")

    async def _answer(self, writer, request_id, size):
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + request_id.ljust(size, b".")
        if self.random.random() >= self.reset_ratio:
            writer.write(data)
            await writer.drain()
            return
        match self.random.choice(("before", "within", "after")):
            case "within":
                writer.write(data[: self.random.randrange(1, len(data))])
            case "after":
                writer.write(data)
        await writer.drain()
        await asyncio.sleep(0)
        self._reset(writer)

    @staticmethod
    def _reset(writer):
        connection = writer.transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()
        raise ConnectionResetError


@dataclass
class Sent:
    """A request that was sent. `write`: number of the write with which it was sent."""

    id: str
    size: int
    due_s: float  # time by which a response must have come
    write: int


class SoundClient:
    """One client that sends requests on a connection as long as it stays open, and connects again."""

    def __init__(self, port, ledger, rng):
        self.port = port
        self.ledger = ledger
        self.random = rng
        self.reader = self.writer = None
        self.waiting = []  # requests without a response, in order
        self.writes = 0
        self.answered_write = -1  # latest write of which a request was answered
        self.kills_before = 0  # number of kills when the connection was opened

    def _request(self, path, size, body=b"", key=None, deadline=DEADLINE_MS):
        request_id = f"5{next(_ids):015x}"  # those of crowds begin with 0
        due_s = asyncio.get_running_loop().time() + deadline / 1000 + GRACE_S
        self.waiting.append(Sent(request_id, size, due_s, self.writes))
        return request(request_id, f"{path}?n={size}", key=key, body=body, deadline=deadline)

    def ask(self):
        """A safe request for a response of up to 60 kB."""
        return self._request("/look", self.random.randrange(5000, MAX_BODY_BYTES))

    def order(self):
        """An unsafe request or a keyed one with a body of up to 60 kB."""
        body = bytes(self.random.randrange(1, MAX_BODY_BYTES))
        if self.random.random() < 0.5:
            return self._request("/debit", SMALL_RESPONSE_BYTES, body)
        return self._request("/book", SMALL_RESPONSE_BYTES, body, key=f"k{next(_ids)}")

    def pipeline(self):
        """Several small requests in one write."""
        return b"".join(self._request("/look", SMALL_RESPONSE_BYTES) for _ in range(PIPELINED))

    def short(self):
        """A small request."""
        return self._request("/look", SMALL_RESPONSE_BYTES)

    async def play(self, kind, until_s):
        """Send requests of a `kind` (a method's name) one write after the other until `until_s`."""
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            try:
                self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=2**17)
            except OSError:
                self.ledger.counts["not connected"] += 1
                await asyncio.sleep(CONNECT_PAUSE_S)
                continue
            self.waiting, self.writes, self.answered_write = [], 0, -1
            self.kills_before = self.ledger.kills
            try:
                while loop.time() < until_s and await self._exchange(kind):
                    self.writes += 1
                    await asyncio.sleep(self.random.uniform(0.0, 0.03))
            except OSError:
                self._count_unanswered()
            self.writer.transport.abort()

    async def _exchange(self, kind):
        """Send one write and read its responses; returns whether the connection stays open."""
        leaves = kind == "leave"
        self.writer.write(self.short() if leaves else getattr(self, kind)())
        if leaves:
            await asyncio.sleep(self.random.uniform(0.0, 0.02))
            self.writer.transport.abort()
            for _ in range(2):  # the event loop closes the connection in its next iteration
                await asyncio.sleep(0)
            self.ledger.closed_s[self.waiting[0].id] = asyncio.get_running_loop().time()
            self.ledger.counts["left"] += 1
            self.waiting.clear()
            return False
        while self.waiting:
            try:
                async with asyncio.timeout_at(self.waiting[0].due_s):
                    message = await self._read_response()
            except TimeoutError:
                port = self.writer.get_extra_info("sockname")[1]
                for sent in self.waiting:
                    self.ledger.lose("silent", sent.id, f"write {sent.write} of port {port}")
                self.waiting.clear()
                return False
            if message is None or not self._judge(message):
                self._count_unanswered()
                return False
            if message.headers.get("connection") == "close":
                self._count_unanswered()
                return False
        return True

    async def _read_response(self):
        """The next response, complete or not; None if the connection ends before its first byte."""
        message = Message(httptools.HttpResponseParser)
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as end:
            if not end.partial:
                return None
            if not self._was_killed():
                self.ledger.lose("cut off", self.waiting.pop(0).id, "within its head")
            return None
        message.parser.feed_data(head)
        length = int(message.headers.get("content-length", "0"))
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            message.parser.feed_data(await self.reader.readexactly(length))
        return message

    def _judge(self, message):
        """Count a response; returns whether it is complete."""
        sent = self.waiting.pop(0)
        self.answered_write = sent.write
        status = message.parser.get_status_code()
        expected = int(message.headers.get("content-length", "0"))
        if len(message.body) < expected and self._was_killed():
            return False
        if len(message.body) < expected:
            self.ledger.lose("cut off", sent.id, f"status {status}, of {expected} bytes")
            return False
        if status == 200 and message.body != sent.id.encode().ljust(sent.size, b"."):
            self.ledger.lose("foreign", sent.id, repr(message.body[:20]))
        else:
            self.ledger.counts[status] += 1
        return True

    def _was_killed(self):
        """Whether the gateway was killed since the connection was opened."""
        return self.ledger.kills != self.kills_before

    def _count_unanswered(self):
        """Count the requests without a response on a connection that has ended. Those of a write of which
        none was answered may have crossed the close unread."""
        for sent in self.waiting:
            if self._was_killed():
                self.ledger.counts["killed"] += 1
            elif sent.write == self.answered_write:
                self.ledger.lose("unanswered behind an answer", sent.id)
            else:
                self.ledger.counts["crossed a close" if self.writes else "closed unread when new"] += 1
        self.waiting.clear()


async def play_sound_clients(port, ledger, kinds, count, seconds, seed=0):
    """Play `count` clients of these kinds in turn for so many seconds."""
    rng = random.Random(seed)
    until_s = asyncio.get_running_loop().time() + seconds
    clients = [SoundClient(port, ledger, random.Random(rng.random())) for _ in range(count)]
    watcher = asyncio.ensure_future(ledger.watch_lag())
    await asyncio.gather(
        *(client.play(kinds[number % len(kinds)], until_s) for number, client in enumerate(clients))
    )
    watcher.cancel()
