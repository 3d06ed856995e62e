"""The daemon with a record of which settings it has: `python -m benchmarks.configuration.witness`, in place
of `-m plumpick`.

One line of JSON for each thing, [kind, Unix ms, pid, ...], in $WITNESS_FILE: `asked` for each call of a
service, `took` (version) when one is staged, `force` (version, mark) when one is in force; the mark is made
of the settings that the module goes by, not of what it was told about them. $WITNESS_PLANT plants a bug
(plants.py)."""

from __future__ import annotations

import hashlib
import json
import os
import sys
import time
from dataclasses import replace
from typing import Any


def mark_of(config: Any) -> str:
    """What tells the settings of a configuration from others, less what is a gatekeeper's own."""
    shared = replace(config.settings, gateway_number=0, zone="")
    text = repr((shared, config.connect_timeout_ms, config.worker_idle_timeout_ms))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def main() -> int:
    """The exit code."""
    from plumpick.gateway import daemon
    from plumpick.gateway.dynamic_config.client import ConfigClient
    from plumpick.gateway.gateway import Gateway
    from plumpick.policy.dynamic_config.subscriber import ConfigSubscriber

    if os.environ.get("WITNESS_PLANT"):
        from benchmarks.configuration.plants import plant

        plant(os.environ["WITNESS_PLANT"])
    file = os.open(os.environ["WITNESS_FILE"], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def write(kind: str, *parts: Any) -> None:
        os.write(file, (json.dumps([kind, time.time() * 1000, os.getpid(), *parts]) + "\n").encode())

    given = [""]
    inner, fetch = Gateway.reconfigure, ConfigClient._fetch
    stage, on_activated = ConfigSubscriber.stage, ConfigSubscriber.on_activated

    def reconfigure(self: Any, config: Any) -> None:
        try:
            inner(self, config)
        finally:
            given[0] = mark_of(replace(self.config, settings=self.controller.settings))

    def stages(self: Any, now_ms: float, version: Any) -> None:
        stage(self, now_ms, version)
        write("took", version.number)

    def activated(self: Any, version: Any) -> None:
        on_activated(self, version)
        write("force", version.number, given[0])

    async def fetches(self: Any, request: Any) -> bytes:
        write("asked", request.address_index)
        return await fetch(self, request)

    Gateway.reconfigure = reconfigure  # type: ignore[method-assign]
    ConfigSubscriber.stage = stages  # type: ignore[method-assign]
    ConfigSubscriber.on_activated = activated  # type: ignore[method-assign]
    ConfigClient._fetch = fetches  # type: ignore[method-assign]
    return daemon.main()


if __name__ == "__main__":
    sys.exit(main())
