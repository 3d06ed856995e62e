"""Floods: clients that send small or unsound requests at full speed, played in a process of their own."""

import asyncio
import itertools
import multiprocessing
import random
import socket
import time
from dataclasses import dataclass

import uvloop
from support.fakes import HOST

READY = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n"
WRITE_BYTES = 64 * 1024
REQUESTS_A_BLOCK = 200  # number of requests with names of their own that are built at a time
CONNECT_PAUSE_S = 0.005
READ_BYTES = 256 * 1024
CUSTOMERS = 2**33  # number of different valid names of customers

_numbers = itertools.count(1)


def sound_request(number, path="/look", customer="00000000b4d65521", deadline=2000, extra="", method="GET"):
    """The bytes of a request whose id is made of `number`."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: f{number:015x}\r\nX-Tier: basic\r\n"
        f"X-Api-Key: {customer}\r\nX-Deadline-Ms: {deadline}\r\n"
        f"X-Call-Terms: units=1,spread=1,first=0\r\n{extra}\r\n"
    ).encode()


def _block(build):
    return b"".join(build(next(_numbers)) for _ in range(REQUESTS_A_BLOCK))


def ready():
    """Readiness checks, as many as fill a write."""
    return READY * (WRITE_BYTES // len(READY))


def ready_one_a_write():
    """One readiness check."""
    return READY


def expired():
    """Requests whose time is over on arrival."""
    return _block(lambda number: sound_request(number, deadline=1))


def without_id():
    """Requests without an id, each of which is answered 400."""
    return b"GET /look HTTP/1.1\r\nHost: h\r\nX-Tier: basic\r\n\r\n" * REQUESTS_A_BLOCK


def unknown_paths():
    """Requests for ever new unknown paths."""
    return _block(lambda number: sound_request(number, f"/none/{number}"))


def unknown_classes():
    """Requests with ever new unknown plans."""
    return _block(lambda number: sound_request(number).replace(b"basic", b"plan%d" % number))


def same_id():
    """Requests with one id."""
    return sound_request(1) * REQUESTS_A_BLOCK


def new_customers():
    """Sound requests of ever new customers."""
    return _block(lambda number: sound_request(number, customer=f"{number % CUSTOMERS:016x}"))


def keyed_posts():
    """Keyed requests with ever new keys."""
    return _block(
        lambda number: sound_request(
            number, "/book", extra=f"Content-Length: 0\r\nIdempotency-Key: k{number}\r\n", method="POST"
        )
    )


def broken():
    """No HTTP."""
    return b"\x00garbage\r\n\r\n" * 1000


def one_byte_chunks():
    """A body that is sent in chunks of one byte."""
    head = sound_request(next(_numbers), "/debit", method="POST", extra="Transfer-Encoding: chunked\r\n")
    return head + b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n"


def large_heads():
    """Sound requests with heads of 6 kB."""
    return _block(lambda number: sound_request(number, extra=f"X-Filler: {'x' * 6000}\r\n"))


KINDS = {
    build.__name__: build
    for build in (
        ready,
        ready_one_a_write,
        expired,
        without_id,
        unknown_paths,
        unknown_classes,
        same_id,
        new_customers,
        keyed_posts,
        broken,
        one_byte_chunks,
    )
}

# Kinds that no seed draws, so that the plans of the seeds stay as they are.
FURTHER_KINDS = {large_heads.__name__: large_heads}
# Clients that use each connection once: they only connect and close, or send one readiness check, with or
# without waiting for the answer.
CONNECT = "connect"
CONNECT_AND_ASK = "connect_and_ask"
CONNECT_AND_LEAVE = "connect_and_leave"


@dataclass
class Flood:
    """Some clients that send requests of the same kind. `kind`: a key of KINDS or FURTHER_KINDS, or one of
    the kinds of clients that use each connection once. `reads`: whether they read what they get."""

    kind: str
    clients: int
    seconds: float = 5.0
    reads: bool = True


async def _drain(connection, received):
    loop = asyncio.get_running_loop()
    buffer = bytearray(READ_BYTES)
    while True:
        size = await loop.sock_recv_into(connection, buffer)
        if not size:
            return
        received[0] += size


async def _use_once(connection, kind, received):
    """Send what clients send that use each connection once."""
    loop = asyncio.get_running_loop()
    if kind in (CONNECT_AND_ASK, CONNECT_AND_LEAVE):
        await loop.sock_sendall(connection, READY)
    if kind == CONNECT_AND_ASK:
        async with asyncio.timeout(1.0):
            received[0] += len(await loop.sock_recv(connection, READ_BYTES))


async def _send(port, flood, until_s, received):
    """Play one client until the loop's time `until_s`."""
    loop = asyncio.get_running_loop()
    build = (KINDS | FURTHER_KINDS).get(flood.kind)
    while loop.time() < until_s:
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = None
        try:
            await loop.sock_connect(connection, (HOST, port))
            if build is None:
                await _use_once(connection, flood.kind, received)
                continue
            if flood.reads:
                reader = asyncio.ensure_future(_drain(connection, received))
            while loop.time() < until_s and (reader is None or not reader.done()):
                async with asyncio.timeout_at(until_s):
                    await loop.sock_sendall(connection, build())
                await asyncio.sleep(0)
        except (OSError, TimeoutError):
            await asyncio.sleep(CONNECT_PAUSE_S)
        finally:
            if reader is not None:
                reader.cancel()
                await asyncio.gather(reader, return_exceptions=True)
            connection.close()


def _play(port, flood, started, received):
    global _numbers
    _numbers = itertools.count(random.getrandbits(40))

    async def play():
        counted = [0]
        started.value = time.monotonic()
        until_s = asyncio.get_running_loop().time() + flood.seconds
        await asyncio.gather(*(_send(port, flood, until_s, counted) for _ in range(flood.clients)))
        received.value = counted[0]

    uvloop.run(play())


class FloodProcess:
    """A process that plays a flood at once; `received_bytes` counts what its clients have read."""

    def __init__(self, port, flood):
        context = multiprocessing.get_context("spawn")
        self._started = context.Value("d", 0.0)
        self._received = context.Value("q", 0)
        self._process = context.Process(target=_play, args=(port, flood, self._started, self._received))
        self._process.start()

    async def wait_until_started(self):
        """Wait until the first client connects."""
        while not self._started.value:
            await asyncio.sleep(0.01)

    async def wait(self):
        """Wait until the flood is over."""
        while self._process.is_alive():
            await asyncio.sleep(0.02)
        self._process.join()

    @property
    def received_bytes(self):
        """The number of bytes that the clients have read, once the flood is over."""
        return self._received.value
