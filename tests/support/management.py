"""One call of an operator, byte by byte."""

import asyncio

from support.fakes import HOST


async def say(port, data, end=False):
    """The answer to what is sent on one connection, all of it; nothing where it just ends."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(data)
        if end:
            writer.write_eof()
        return (await reader.read()).decode()
    except ConnectionError:
        return ""
    finally:
        writer.close()
