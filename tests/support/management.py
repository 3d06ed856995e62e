"""Helper that sends a command to the admin listener."""

import asyncio

from support.fakes import HOST


async def send_admin_command(port, data, end=False):
    """Send `data` on a new connection and return the complete reply; empty if the connection is reset. `end`:
    whether to close the sending side afterwards."""
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
