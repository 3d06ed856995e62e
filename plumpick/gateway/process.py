"""The process of one gateway from its start to its exit: `start`, then `shut_down` once SIGTERM has come.

Errors of its sockets at the start are raised (OSError); everything later is logged where it happens."""

from __future__ import annotations

import asyncio
import functools
import logging
import random
import socket
from typing import Any

from plumpick.gateway.config import Config
from plumpick.gateway.discovery import DiscoveryClient
from plumpick.gateway.errors import CommandRejectedError
from plumpick.gateway.gateway import Gateway
from plumpick.gateway.listeners.http.listener import HttpListener
from plumpick.gateway.management import ManagementPlane
from plumpick.gateway.platform import Platform
from plumpick.gateway.reload import run_reloads
from plumpick.gateway.shutdown import StopRequest, close_listener, shutdown_times
from plumpick.policy.endpoint_watch import EndpointWatch

# How long the first complete list is waited for. Where a list is known it serves after that; without any each
# request would be rejected. The process is ready within 10 s still.
FIRST_LIST_TIMEOUT_S = 0.5
ONLY_LIST_TIMEOUT_S = 8.0
MAX_STREAM_S = 600.0  # no body is streamed for longer
POLL_INTERVAL_S = 0.02
LISTEN_BACKLOG = 512

log = logging.getLogger("plumpick")


class GatewayProcess:
    """A gateway with its listeners, discovery and tasks.

    `cluster_settings`: the operator's settings of the work for the whole tier, or None; `settings_service`:
    of where versions of the settings come from, or None; `reload_requested` is set by SIGHUP."""

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

    # -- start

    async def start(self) -> None:
        """Open the sockets, wait for the first list and settings, and be ready; raises OSError."""
        if self._management is None:
            self._gateway.peers.open(self._loop)
        else:
            await self._management.open()
        self._start_tasks()
        if self._management is None:
            await self._listen()
        await self._wait_for_first_answers()
        self._platform.freeze_startup_objects()
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
        """Accept clients, where no management plane does that."""
        create = self._listener.create_connection
        self._listen_socket = self._platform.create_listener(self._config.listen, LISTEN_BACKLOG)
        if self._listen_socket is not None:
            self._server = await self._loop.create_server(
                create, sock=self._listen_socket, backlog=LISTEN_BACKLOG
            )
        else:
            self._server = await self._loop.create_server(
                create, *self._config.listen, backlog=LISTEN_BACKLOG, reuse_address=True
            )

    async def _wait_for_first_answers(self) -> None:
        """Wait for discovery and the source of settings, for a limited time; SIGTERM ends the wait."""
        known = self._config.known.entries
        timeout_s = FIRST_LIST_TIMEOUT_S if known else ONLY_LIST_TIMEOUT_S
        # A watch from a known list on is answered only once something has changed.
        is_answer_due = not (self._config.settings.must_request_watch and known)
        if is_answer_due and not await self._stop.wait_for(self._discovery.has_snapshot, timeout_s):
            log.warning("discovery is silent; starting with the known list")
        source = self._settings_source
        if source is not None and not await self._stop.wait_for(
            source.has_response, source.first_response_timeout_s
        ):
            log.warning("no service of settings answers; starting with the file's")

    # -- end

    async def shut_down(self) -> None:
        """Serve on for a while after SIGTERM, finish what has been accepted, and close everything."""
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
    """The gateway's part in the work for the whole tier; imported only where the operator names some."""
    from plumpick.gateway.cluster.lease_runner import LeaseRunner

    participant = LeaseRunner(
        config, settings, loop, platform, gateway.peers.send, functools.partial(_apply_command, gateway)
    )
    if settings.budgets:
        gateway.controller.limit_by_budgets(participant.budgets.admit)
    return participant


def _apply_command(gateway: Gateway, name: str) -> str:
    """DRAIN or UNDRAIN for the participant; the reason against it, or nothing."""
    try:
        gateway.apply_command(name, "")
    except CommandRejectedError as problem:
        return str(problem)
    return ""


def create_settings_source(settings: Any, config: Config, gateway: Gateway) -> Any:
    """The client of the services of settings; imported only where the operator names one."""
    from plumpick.gateway.dynamic_config.client import client_for

    return client_for(config, settings, gateway)
