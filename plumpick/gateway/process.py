"""Lifecycle of one gateway process: `start`, and `shut_down` after SIGTERM.

`start` raises OSError if a socket cannot be opened; errors after the start are logged where they occur."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import logging
import random
import socket
from typing import Any

from plumpick.gateway.config import Config
from plumpick.gateway.discovery import DiscoveryClient
from plumpick.gateway.errors import CommandRejectedError
from plumpick.gateway.gateway import Gateway
from plumpick.gateway.listeners.client_server import ClientServer
from plumpick.gateway.listeners.http.listener import LISTEN_BACKLOG, HttpListener
from plumpick.gateway.management import ManagementPlane
from plumpick.gateway.platform import Platform
from plumpick.gateway.reload import run_reloads
from plumpick.gateway.shutdown import StopRequest, close_listener, shutdown_times
from plumpick.policy.endpoint_watch import EndpointWatch

# Maximum wait at the start for the first complete endpoint list from discovery. The short time applies if the
# configuration contains a list to start with. Without any list every request would be rejected, so the wait
# is longer, but short enough for the process to be ready within 10 s.
FIRST_LIST_TIMEOUT_S = 0.5
ONLY_LIST_TIMEOUT_S = 8.0
MAX_STREAM_S = 600.0  # maximum time for which the shutdown waits for bodies that are still being streamed
POLL_INTERVAL_S = 0.02  # interval at which the shutdown checks for unfinished work

log = logging.getLogger("plumpick")


class GatewayProcess:
    """A gateway together with its listeners, discovery client and background tasks.

    `cluster_settings`: the `fleet` table of the operator's file, or None; `settings_service`: its
    `configuration` table, or None; `reload_requested` is set by SIGHUP."""

    def __init__(
        self,
        config: Config,
        platform: Platform,
        stop: StopRequest,
        reload_requested: asyncio.Event,
        cluster_settings: Any,
        settings_service: Any,
    ) -> None:
        self._config = config
        self._platform = platform
        self._stop = stop
        self._reload_requested = reload_requested
        self._loop = asyncio.get_running_loop()
        self._gateway = Gateway(config, self._loop, platform=platform)
        self._listener = HttpListener(
            self._gateway,
            config.settings,
            config.sockets,
            platform.has_peer_closed,
            platform.has_no_unread_input,
            platform.unacknowledged_bytes,
        )
        self._gateway.add_listener(self._listener)
        self._participant: Any = None
        if cluster_settings is not None:
            self._participant = create_participant(
                cluster_settings, config, self._loop, platform, self._gateway
            )
        self._gateway.set_participant(self._participant)
        self._settings_source: Any = None
        if settings_service is not None:
            self._settings_source = create_settings_source(settings_service, config, self._gateway)
        self._gateway.settings_source = self._settings_source
        self._gateway.on_worker_list(config.known)
        self._management: ManagementPlane | None = None
        if config.management:
            self._management = ManagementPlane(config, self._gateway, self._listener, self._loop)
        self._discovery: Any = None
        self._tasks: list[asyncio.Task[Any]] = []
        self._server: Any = None
        self._listen_socket: socket.socket | None = None

    # -- start of the process

    async def start(self) -> None:
        """Open the sockets, wait for the first endpoint list and settings version, and start serving. Raises
        OSError if a socket cannot be opened."""
        with contextlib.suppress(OSError):  # otherwise a usual value is assumed
            self._gateway.memory_limits.set_baseline(self._platform.resident_bytes())
        if self._management is None:
            self._gateway.peers.open(self._loop)
        else:
            await self._management.open()
        self._start_tasks()
        if self._management is None:
            await self._listen()
        await self._wait_for_first_answers()
        self._platform.freeze_startup_objects()
        log.info("memory: %s", self._gateway.memory_status())
        if self._management is not None and not self._stop.is_requested():
            await self._management.serve()
        self._gateway.start_serving(self._stop.is_requested())
        if self._participant is not None:
            leases = self._management.inherited_leases if self._management is not None else None
            self._participant.start(leases)
        log.info("gatekeeper %s is up", self._config.name)

    def _start_tasks(self) -> None:
        config = self._config
        sharers = config.settings.gateway_count if config.settings.must_request_watch else 0
        rng = random.Random(config.seed)
        self._discovery = DiscoveryClient(
            config.discovery,
            self._gateway.on_worker_list,
            lambda index: EndpointWatch(sharers, index, rng, config.settings.gateway_number),
            self._gateway.clock.now,
            config.known.index if config.known.entries else None,
        )
        reloads = run_reloads(
            config, self._discovery, self._reload_requested, self._platform, self._participant
        )
        self._tasks = [self._loop.create_task(self._discovery.run()), self._loop.create_task(reloads)]
        if self._settings_source is not None:
            self._tasks.append(self._loop.create_task(self._settings_source.run()))

    async def _listen(self) -> None:
        """Open the listener for clients; used only without a management plane, which opens its own."""
        create = self._listener.create_connection
        self._listen_socket = self._platform.create_listener(self._config.listen, LISTEN_BACKLOG)
        if self._listen_socket is not None:
            self._server = ClientServer(self._loop, self._listen_socket, create)
            await self._server.start(LISTEN_BACKLOG)
        else:
            self._server = await self._loop.create_server(
                create, *self._config.listen, backlog=LISTEN_BACKLOG, reuse_address=True
            )

    async def _wait_for_first_answers(self) -> None:
        """Wait for the first responses of discovery and the configuration service, until a timeout or
        SIGTERM."""
        known = self._config.known.entries
        timeout_s = FIRST_LIST_TIMEOUT_S if known else ONLY_LIST_TIMEOUT_S
        # Discovery answers a watch that starts from the index of a known list only after a change.
        is_answer_due = not (self._config.settings.must_request_watch and known)
        if is_answer_due and not await self._stop.wait_for(self._discovery.has_snapshot, timeout_s):
            log.warning("discovery: no complete list received; starting with the list in the configuration")
        source = self._settings_source
        if source is not None and not await self._stop.wait_for(
            source.has_response, source.first_response_timeout_s
        ):
            log.warning("configuration: no service has answered; starting with the settings of the file")

    # -- shutdown of the process

    async def shut_down(self) -> None:
        """Shut down gracefully after SIGTERM: keep accepting for the grace period, complete the accepted
        requests, then close all connections and tasks."""
        loop = self._loop
        stopped_s = self._stop.requested_s
        gateway = self._gateway
        serving_s, answered_s, exit_s = shutdown_times(ms / 1000 for ms in gateway.request_lifetimes_ms())
        gateway.shut_down_within((stopped_s + answered_s - loop.time()) * 1000)
        if self._participant is not None:
            self._participant.begin_shutdown()
        if self._management is None:
            await asyncio.sleep(max(0.0, stopped_s + serving_s - loop.time()))
            await close_listener(loop, self._server, self._listen_socket, self._listener)
        else:
            await self._management.finish(stopped_s + serving_s)
        gateway.start_closing_connections()
        gateway.close_idle()
        while gateway.has_unfinished_work() and loop.time() < stopped_s + MAX_STREAM_S:
            if loop.time() > stopped_s + exit_s and gateway.has_answered_all():
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        gateway.record_unanswered_at_exit()
        await self._close()
        log.info("gatekeeper %s has finished", self._config.name)

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._participant is not None:
            self._participant.close()
        self._gateway.peers.close()
        if self._management is not None:
            self._management.close()


def create_participant(
    settings: Any, config: Config, loop: asyncio.AbstractEventLoop, platform: Platform, gateway: Gateway
) -> Any:
    """Create the gateway's participant in leases, scheduled tasks and budgets. Its modules are imported only
    if the operator's file has a `fleet` table."""
    from plumpick.gateway.cluster.lease_runner import LeaseRunner

    participant = LeaseRunner(
        config, settings, loop, platform, gateway.peers.send, functools.partial(_apply_command, gateway)
    )
    if settings.budgets:
        gateway.controller.limit_by_budgets(participant.budgets.admit)
    return participant


def _apply_command(gateway: Gateway, name: str) -> str:
    """Apply DRAIN or UNDRAIN for the participant. Returns the reason for a rejection; empty on success."""
    try:
        gateway.apply_command(name, "")
    except CommandRejectedError as problem:
        return str(problem)
    return ""


def create_settings_source(settings: Any, config: Config, gateway: Gateway) -> Any:
    """Create the client of the configuration services. Its modules are imported only if the operator's file
    has a `configuration` table."""
    from plumpick.gateway.dynamic_config.client import create_client

    return create_client(config, settings, gateway)
