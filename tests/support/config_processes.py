"""Helpers that run a configuration service together with gateway processes.

The gateways run as `python -m benchmarks.configuration.witness`, which records the versions that each
receives and activates."""

import asyncio
import json
import os
import sys

from support.dynamic_config import document
from support.fakes import HOST, config, entry, run
from support.ports import free_port
from support.processes import ROOT, wait_until_ready

from plumpick.tools.call import send_command
from plumpick.tools.configuration_service import VersionService


class ServiceAndGateway:
    """A configuration service in the test process, and a gateway with one process at a time, or two during a
    hot restart."""

    def __init__(self, folder):
        self.folder, self.service, self.processes = folder, VersionService(), []
        self.port = free_port()

    async def __aenter__(self):
        await self.service.open(HOST, 0)
        self.name_services()
        return self

    def name_services(self, *others):
        """Write the operator's file of the gateway, which names this service and `others`."""
        addresses = [f"{HOST}:{service.port}" for service in (self.service, *others)]
        text = f"[configuration]\naddresses = {json.dumps(addresses)}\n"
        (self.folder / "operator.toml").write_text(text)

    async def __aexit__(self, *_):
        self.service.close()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def publish(self, version, value, later_ms=0.0):
        """Publish `value` as a version that gateways activate in `later_ms` milliseconds."""
        self.publish_at(self.service, version, value, self.service.now_ms() + later_ms)

    @staticmethod
    def publish_at(service, version, value, activates_at_ms=0.0):
        """Publish `value` at `service` as a version that gateways activate at `activates_at_ms`."""
        update = document(version, value, activates_at_ms)
        assert service._publish(json.dumps(update).encode())[0] == 200

    async def start_gateway(self, worker=9):
        """Start a gateway process whose only worker listens at the port `worker`, and wait until the gateway
        is ready. Returns the process and the port of its admin listener."""
        admin_port = free_port()
        (self.folder / "config.json").write_text(
            json.dumps(config(9, self.port, known=[entry("w", worker)], management=f"{HOST}:{admin_port}"))
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.configuration.witness",
            cwd=ROOT,
            stderr=asyncio.subprocess.DEVNULL,
            env={
                **os.environ,
                "BALANCER_CONFIG": str(self.folder / "config.json"),
                "PLUMPICK_OPERATOR": str(self.folder / "operator.toml"),
                "TMPDIR": str(self.folder),
                "WITNESS_FILE": str(self.folder / "witness"),
            },
        )
        self.processes.append(process)
        await wait_until_ready(self.port)
        return process, admin_port

    def activated_versions(self, pid):
        """Returns the numbers of the settings versions that the process `pid` activated, in order."""
        path = self.folder / "witness"
        rows = [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []
        return [row[3] for row in rows if row[0] == "force" and row[2] == pid]

    async def wait_until_activated(self, process, version):
        """Wait until `version` is the last settings version that the process activated."""
        while self.activated_versions(process.pid)[-1:] != [version]:
            await asyncio.sleep(0.01)


async def send_when_listening(admin_port, line="CONFIGURATION"):
    """Send an operator's command as soon as the admin listener accepts connections. Returns its reply."""
    while True:
        try:
            return await asyncio.to_thread(send_command, (HOST, admin_port), line)
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)


def with_service_and_gateway(tmp_path, scenario):
    """Run `scenario` with a `ServiceAndGateway` whose files are in `tmp_path`."""

    async def run_scenario():
        async with ServiceAndGateway(tmp_path) as setup:
            await scenario(setup)

    run(run_scenario())
