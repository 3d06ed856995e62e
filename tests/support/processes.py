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
    listing,
    told,
)

ROOT = pathlib.Path(__file__).parents[2]


UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n"


def free_port():
    with socket.create_server((HOST, 0)) as probe:
        return probe.getsockname()[1]


async def start_program(path, module="plumpick", **more):
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


async def wait_until_ready(port):
    """Wait until GET /up is answered with 200."""
    while True:
        try:
            client = await Client().open(port)
        except OSError:
            await asyncio.sleep(0)
            continue
        try:
            told = await client.send(UP_REQUEST).read_response()
        except ConnectionError:
            continue
        client.close()
        if told and told[0] == 200:
            return


async def send_endpoint_list(fake, *entries):
    """Answer the first call of discovery with the complete list, and leave the following watch open."""
    _, writer = await fake.next_call()
    writer.write(told(listing(*entries)))
