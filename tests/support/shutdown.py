"""A served gateway that is told to end."""

import asyncio

from support.fakes import (
    FakeDiscovery,
    FakeWorker,
    config,
    entry,
    listing,
    run,
)
from support.processes import free_port

from plumpick.gateway import daemon, process
from plumpick.gateway.config import parse_config


def served(scenario, monkeypatch, ending=(0.05, 0.1, 0.3), **more):
    """The daemon in this process, which signals reach; `scenario` is given its port and the fake
    discovery."""

    async def whole():
        async with FakeDiscovery() as fake, FakeWorker() as worker:
            port = free_port()
            values = {"known": listing(entry("w1", worker.port)), **more}
            own = parse_config({**config(fake.port, port), **values}, {})
            task = asyncio.get_running_loop().create_task(daemon.serve(own))
            try:
                await scenario(port, fake, worker, task)
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    monkeypatch.setattr(process, "shutdown_times", lambda _deadlines: ending)
    run(whole())
