"""Helpers that start gateways as separate processes and wait until they are ready."""

import asyncio
import os
import pathlib
import sys
import tomllib

from support.fakes import (
    Client,
    json_response,
    listing,
)

ROOT = pathlib.Path(__file__).parents[2]


UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n"


async def start_program(path, module="plumpick", **more):
    """Start a gateway process with the deploy file's `run` command. `path`: its configuration file; `module`:
    the module that runs in place of plumpick; `more`: arguments for creating the process."""
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
    """Wait until the gateway at `port` answers GET /up with status 200."""
    while True:
        try:
            client = await Client().open(port)
        except OSError:
            await asyncio.sleep(0)
            continue
        try:
            response = await client.send(UP_REQUEST).read_response()
        except ConnectionError:
            continue
        client.close()
        if response and response[0] == 200:
            return


async def send_endpoint_list(fake, *entries):
    """Answer the next call to the discovery stub `fake` with a complete endpoint list of `entries`. The watch
    that follows gets no answer."""
    _, writer = await fake.next_call()
    writer.write(json_response(listing(*entries)))
