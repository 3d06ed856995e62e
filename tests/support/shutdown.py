"""A gateway run in the test process, so that tests can send it SIGTERM."""

import asyncio

from support.fakes import (
    FakeDiscovery,
    FakeWorker,
    config,
    entry,
    listing,
    run,
)
from support.ports import free_port

from plumpick.gateway import daemon, process
from plumpick.gateway.config import parse_config


def run_served_gateway(scenario, monkeypatch, phases_s=(0.05, 0.1, 0.3), **more):
    """Run the gateway's daemon in this process, where it receives signals, together with a scenario. The
    scenario is called with the daemon's port, the fake discovery, a fake worker and the daemon's task.
    `phases_s`: result of `shutdown_times`; `more`: further configuration values."""

    async def run_scenario():
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

    monkeypatch.setattr(process, "shutdown_times", lambda _deadlines: phases_s)
    run(run_scenario())
