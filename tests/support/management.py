"""Helper that sends operators' commands to a gateway's admin listener."""

import asyncio

from support.fakes import HOST


async def send_admin_command(port, data, end=False):
    """Send `data` to the admin listener at `port` on a new connection. Returns the complete reply, "" if the
    connection is reset. `end`: whether to close the sending side after `data`."""
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
