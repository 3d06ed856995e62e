"""A fake worker that exchanges raw bytes, and helpers that read HTTP messages from a stream."""

import asyncio
import contextlib

import httptools
from support.fakes import HOST, ControllerStub, Message, RunningGateway, entry, request


class RawWorker:
    """A fake worker that passes each accepted connection to the test, as a (reader, writer) pair in the queue
    `accepted`."""

    async def __aenter__(self):
        self.accepted, self.writers = asyncio.Queue(), []
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=2**16)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        await self.accepted.put((reader, writer))

    async def __aexit__(self, *_):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def read_head(reader):
    return (await reader.readuntil(b"\r\n\r\n")).decode()


async def read_response(reader):
    """Read until the response is complete or the connection ends; return its status, headers, body, and
    whether it is complete."""
    message = Message(httptools.HttpResponseParser)
    try:
        while not message.is_complete:
            data = await reader.read(2**18)
            if not data:
                break
            message.parser.feed_data(data)
    except ConnectionError:
        pass
    return message.parser.get_status_code(), message.headers, message.body, message.is_complete


@contextlib.asynccontextmanager
async def request_at_raw_worker(controller=None, data=None):
    """A gateway, a client of it whose request `data` is open, and the writer of the worker that has read the
    head of that request."""
    async with (
        RawWorker() as worker,
        RunningGateway(controller or ControllerStub(), known=[entry("w1", worker.port)]) as gate,
    ):
        client = await gate.client()
        client.send(data or request())
        reader, writer = await worker.accepted.get()
        await read_head(reader)
        yield gate, client, writer
