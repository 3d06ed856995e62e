"""Helpers that start gateways as separate processes and wait until they are ready."""

import asyncio
import os
import pathlib
import socket
import sys
import tomllib

from support.fakes import (
    HOST,
    Client,
    json_response,
    listing,
)

ROOT = pathlib.Path(__file__).parents[2]


UP = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n"


def free_port():
    with socket.create_server((HOST, 0)) as probe:
        return probe.getsockname()[1]


async def start(path, module="plumpick", **more):
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    command = command.replace(".venv/bin/python", sys.executable).replace("-m plumpick", f"-m {module}")
    return await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        command,
        cwd=ROOT,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
        **more,
    )


async def until_up(port):
    """Wait until GET /up is answered with 200."""
    while True:
        try:
            client = await Client().open(port)
        except OSError:
            await asyncio.sleep(0)
            continue
        try:
            response = await client.send(UP).read_response()
        except ConnectionError:
            continue
        client.close()
        if response and response[0] == 200:
            return


async def tell_list(fake, *entries):
    """Answer the first call of discovery with the complete list, and leave the following watch open."""
    _, writer = await fake.next_call()
    writer.write(json_response(listing(*entries)))
