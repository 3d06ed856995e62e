"""The processes of one gateway that a soak starts, replaces and ends, and the discovery service they ask."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from support.fakes import HOST, FakeDiscovery, json_response, listing
from support.ports import free_port


class GatewayProcesses:
    """The processes that are started in `folder`, which holds their configuration and log. `program`: folder
    of another version of the program; empty for this one."""

    def __init__(self, folder: str, program: str = "") -> None:
        self.folder = folder
        self.port = free_port()
        self.processes: list[asyncio.subprocess.Process] = []
        self.expected_ends: set[int] = set()  # process ids
        self._program = program

    async def start_process(self) -> asyncio.subprocess.Process:
        """Start a gateway process, which takes over from one that runs."""
        environment = {
            **os.environ,
            "BALANCER_CONFIG": f"{self.folder}/config.json",
            "BALANCER_MANAGEMENT": f"{HOST}:{free_port()}",
            "TMPDIR": self.folder,
        }
        with Path(self.folder, "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                f"{self._program}/.venv/bin/python" if self._program else sys.executable,
                "-m",
                "plumpick",
                cwd=self._program or None,
                env=environment,
                stderr=log,
            )
        self.processes.append(process)
        return process

    def remove_ended(self) -> list[int | None]:
        """Forget the processes that have ended; returns the exit codes of those that ended by themselves."""
        ended = [process for process in self.processes if process.returncode is not None]
        self.processes = [process for process in self.processes if process not in ended]
        return [process.returncode for process in ended if process.pid not in self.expected_ends]

    async def answer_discovery(self, discovery: FakeDiscovery, workers: list[dict[str, Any]]) -> None:
        """Answer each call that asks for the whole list."""
        while True:
            target, writer = await discovery.next_call()
            if "since" not in target:
                writer.write(json_response(listing(*workers)))
