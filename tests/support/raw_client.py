"""A client that reads and writes raw bytes."""

import asyncio

import httptools
from support.fakes import HOST, Message


class Raw:
    """A worker that gives its connections to the test as they are."""

    async def __aenter__(self):
        self.came, self.writers = asyncio.Queue(), []
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=2**16)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        await self.came.put((reader, writer))

    async def __aexit__(self, *_):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def head_of(reader):
    return (await reader.readuntil(b"\r\n\r\n")).decode()


async def whole_answer(reader):
    """(status, headers, body, whether it is whole) of what comes until it is whole or the connection ends."""
    message = Message(httptools.HttpResponseParser)
    try:
        while not message.whole:
            data = await reader.read(2**18)
            if not data:
                break
            message.parser.feed_data(data)
    except ConnectionError:
        pass
    return message.parser.get_status_code(), message.headers, message.body, message.whole
