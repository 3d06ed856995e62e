"""Crowds of clients that misuse a gateway, each of which comes again at once when its connection has ended.

A client is a coroutine that plays one connection; `play` repeats it. The worker that the crowds need is here,
too."""

import asyncio
import contextlib
import socket
import struct

from support.fakes import HOST, request

PIECE = 32 * 1024
BUFFERED = 60_000  # size of a body or response that is buffered
LARGE = 8 * 2**20  # size of a body or response that is streamed
CONNECT_PAUSE_S = 0.01  # pause after a connection that was refused or closed at once
READ_PAUSE_S = 0.5  # pause of a client or worker that reads at 64 kB a second


def head(length, path="/debit"):
    """The head of a request that announces a body of `length` bytes."""
    return request(path=path, body=b"x")[:-1].replace(b"Length: 1\r", b"Length: %d\r" % length)


class Peer:
    """One connection of a client to the gateway."""

    def __init__(self, connection):
        self.connection = connection

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self.connection, data)

    async def read(self, size=PIECE):
        return await asyncio.get_running_loop().sock_recv(self.connection, size)

    async def wait_for_end(self):
        """Read and drop what comes until the gateway closes the connection."""
        while await self.read():
            pass


async def stop_within_upload(peer):
    """Announce a large body, send half of it at full speed, and stop."""
    await peer.send(head(LARGE))
    await peer.send(bytes(LARGE // 2))
    await peer.wait_for_end()


async def leave_within_upload(peer):
    """Send a part of a large body at full speed and reset the connection."""
    await peer.send(head(LARGE))
    await peer.send(bytes(300_000))
    peer.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def send_buffered_body(peer):
    """Send a whole request whose body is buffered, and wait for the response."""
    await peer.send(head(BUFFERED) + bytes(BUFFERED))
    await peer.wait_for_end()


async def stop_within_buffered_body(peer):
    """Send a buffered body but for its last byte, and stop."""
    await peer.send(head(BUFFERED) + bytes(BUFFERED - 1))
    await peer.wait_for_end()


async def pipeline_unread_responses(peer):
    """Pipeline requests for responses of BUFFERED bytes, and read nothing."""
    for _ in range(30):
        await peer.send(request())
    await asyncio.sleep(20.0)


async def pipeline_bodies(peer):
    """Pipeline requests with bodies, and read slowly."""
    await peer.send(b"".join(head(3000) + bytes(3000) for _ in range(16)))
    while await peer.read(1024):
        await asyncio.sleep(READ_PAUSE_S)


async def send_short_fields(peer):
    """Send a head of very many short fields, and stop before its end."""
    start = request()[:-2]
    await peer.send(start + b"a:b\r\n" * ((16_000 - len(start)) // 5))
    await peer.wait_for_end()


async def send_body_in_short_chunks(peer):
    """Send a body in chunks of one byte, and stop."""
    chunked = head(1).replace(b"Content-Length: 1", b"Transfer-Encoding: chunked")
    await peer.send(chunked + b"1\r\nx\r\n" * 50_000)
    await peer.wait_for_end()


async def read_slowly(peer):
    """Ask for a large response and read it at 64 kB a second."""
    await peer.send(request())
    while await peer.read(PIECE):
        await asyncio.sleep(READ_PAUSE_S)


async def write_slowly(peer):
    """Send a large body at 64 kB a second."""
    await peer.send(head(LARGE))
    for _ in range(LARGE // PIECE):
        await peer.send(bytes(PIECE))
        await asyncio.sleep(READ_PAUSE_S)
    await peer.wait_for_end()


async def upload_in_small_pieces(peer):
    """Send a large body in pieces of two bytes, each of which is read by itself."""
    peer.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    await peer.send(head(LARGE))
    for _ in range(LARGE // 2):
        await peer.send(b"xy")
        await asyncio.sleep(0)


MIXED = (stop_within_upload, stop_within_buffered_body, send_short_fields, read_slowly, write_slowly)


async def play(port, behaviour, until_s):
    """Repeat one client's `behaviour` on new connections until the loop's time `until_s`."""
    loop = asyncio.get_running_loop()
    while loop.time() < until_s:
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE)
        connection.setblocking(False)
        try:
            await loop.sock_connect(connection, (HOST, port))
            await asyncio.wait_for(behaviour(Peer(connection)), max(0.1, until_s - loop.time()))
        except (OSError, TimeoutError):
            await asyncio.sleep(CONNECT_PAUSE_S)
        finally:
            connection.close()


async def play_crowd(port, behaviours, count, duration_s):
    """Play `count` clients for `duration_s`, whose behaviours are taken from the list in turn."""
    until_s = asyncio.get_running_loop().time() + duration_s
    await asyncio.gather(
        *(play(port, behaviours[number % len(behaviours)], until_s) for number in range(count))
    )


class SilentWorker:
    """A worker that accepts connections and reads nothing."""

    async def start(self):
        """Start to listen; returns the server."""
        return await asyncio.get_running_loop().create_server(SilentProtocol, HOST, 0)


class SilentProtocol(asyncio.Protocol):
    """A connection that is not read."""

    def connection_made(self, transport):
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        transport.pause_reading()


class SlowWorker:
    """A worker that reads each request whole and answers it after `delay_s` with `response_bytes` bytes. It
    takes a streamed request at 160 kB a second."""

    def __init__(self, delay_s=0.0, response_bytes=1000):
        self.delay_s = delay_s
        self.response_bytes = response_bytes

    async def start(self):
        """Start to listen; returns the server."""
        return await asyncio.start_server(self.serve, HOST, 0, limit=PIECE)

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                fields = (await reader.readuntil(b"\r\n\r\n")).lower()
                if b"chunked" in fields:
                    while (await reader.readline()).strip() != b"0":
                        pass
                    await reader.readline()
                _, found, rest = fields.partition(b"content-length: ")
                left = int(rest.partition(b"\r")[0]) if found else 0
                is_streamed = left > 64 * 1024
                while left:
                    data = await reader.read(min(left, PIECE))
                    if not data:
                        raise asyncio.IncompleteReadError(b"", left)
                    left -= len(data)
                    if is_streamed:
                        await asyncio.sleep(0.2)
                await asyncio.sleep(self.delay_s)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.response_bytes)
                for start in range(0, self.response_bytes, PIECE):
                    writer.write(bytes(min(PIECE, self.response_bytes - start)))
                    await writer.drain()
        writer.transport.abort()
