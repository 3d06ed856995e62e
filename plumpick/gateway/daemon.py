"""Entry point of the gateway daemon: logging, signal handlers and exit codes."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from typing import Any

import uvloop

from plumpick.gateway.config import Config, ConfigError, load_config
from plumpick.gateway.platform import Platform
from plumpick.gateway.process import GatewayProcess
from plumpick.gateway.reload import load_cluster_settings, load_settings_service
from plumpick.gateway.shutdown import StopRequest

EXIT_SOCKET_ERROR = 1
EXIT_CONFIG_ERROR = 2

log = logging.getLogger("plumpick")


async def serve(
    config: Config,
    platform: Platform | None = None,
    cluster_settings: Any = None,
    settings_service: Any = None,
) -> None:
    """Run one gateway until SIGTERM or SIGINT, then shut it down gracefully. Raises OSError if a socket
    cannot be opened at the start.

    `cluster_settings`: the `fleet` table of the operator's file, or None; `settings_service`: its
    `configuration` table, or None."""
    loop = asyncio.get_running_loop()
    stop = StopRequest(loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.request)
    reload_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    process = GatewayProcess(
        config, platform or Platform(), stop, reload_requested, cluster_settings, settings_service
    )
    await process.start()
    await stop.wait()
    await process.shut_down()


def main(decisions: str = "") -> int:
    """Run the gateway that the environment configures; returns the exit code.

    `decisions`: log line that says whether compiled or plain modules are used; empty for none."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    # SIGHUP is ignored until its handler is installed: the start reads the configuration anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load_config(os.environ)
        cluster_settings = load_cluster_settings(config, Platform().operator_config_path())
        settings_service = load_settings_service(config, Platform().operator_config_path())
    except ConfigError as problem:
        print(f"plumpick: {problem}", file=sys.stderr)
        return EXIT_CONFIG_ERROR
    if decisions:
        log.info(decisions)
    try:
        uvloop.run(serve(config, cluster_settings=cluster_settings, settings_service=settings_service))
    except OSError as problem:
        print(f"plumpick: {problem}", file=sys.stderr)
        return EXIT_SOCKET_ERROR
    return 0
