"""Management plane of a gateway with a management address: the admin listener and hot restart.

The modules for both are imported only if the configuration has a management address. Socket errors are raised
as OSError during the start and logged afterwards."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from plumpick.gateway.config import Config
from plumpick.gateway.gateway import Gateway
from plumpick.gateway.listeners.http.listener import LISTEN_BACKLOG, HttpListener
from plumpick.gateway.shutdown import close_listener

# Number of descriptors reserved for the event loop, the listeners, discovery and operators' connections.
OWN_DESCRIPTORS = 24
POLL_INTERVAL_S = 0.02  # interval at which the shutdown checks whether the gateway is idle
LISTEN_RETRY_S = 0.2  # time between attempts to open the listener again after a failed hot restart

log = logging.getLogger(__name__)


class ManagementPlane:
    """Owns the admin listener and both sides of a hot restart: this process takes over from its predecessor
    at the start, and hands over to a successor later."""

    def __init__(
        self, config: Config, gateway: Gateway, listener: HttpListener, loop: asyncio.AbstractEventLoop
    ) -> None:
        from plumpick.gateway.hot_restart.predecessor import Predecessor
        from plumpick.gateway.hot_restart.sibling import HotRestartContext
        from plumpick.gateway.listeners.admin import AdminListener

        self.inherited_leases: Any = None  # lease state from the hot-restart predecessor, or None
        self._config = config
        self._gateway = gateway
        self._loop = loop
        self._admin = AdminListener(gateway)
        gateway.sweeps.append(self._admin.sweep)
        self._context = HotRestartContext(config.name, config.settings.gateway_number, gateway, listener)
        self._context.participant = gateway.participant
        self._context.settings_source = gateway.settings_source
        self._predecessor = Predecessor(loop, self._context, self._on_handover_change)
        gateway.sweeps.append(lambda _now: self._predecessor.send_descriptor_count())
        self._successor: Any = None
        self._server: Any = None
        self._path: Path | None = None

    # -- start of the management plane

    async def open(self) -> None:
        """Start the admin listener and connect to the hot-restart predecessor, if a process of this gateway
        is running; the peers' socket is then taken over from it. Raises OSError."""
        from plumpick.gateway.hot_restart.socket_path import socket_path
        from plumpick.gateway.hot_restart.successor import Successor
        from plumpick.gateway.listeners.admin import start_server

        assert self._config.management is not None
        self._gateway.begin_takeover()
        self._server = await start_server(self._admin, self._config.management, self._loop)
        folder = os.environ.get("TMPDIR")
        if folder:
            self._path = socket_path(folder, self._config.name)
            self._successor = await Successor.connect(self._loop, self._path, self._config.name)
        peers = self._gateway.peers
        if self._successor is not None:
            self._successor.on_predecessor_exit = self._on_alone
            self._successor.on_descriptor_count = self._on_descriptor_count
            self._gateway.set_descriptor_limit(self._config.sockets // 2)
            self._gateway.memory_limits.set_process_count(2)
            if self._successor.datagram_socket is not None:
                peers.open(self._loop, self._successor.datagram_socket)
                return
        peers.open(self._loop, shared=True)
        if self._successor is None:
            self._gateway.end_takeover()
            self._context.listen_socket = open_shared_listener(self._config.listen)
            await self._context.listen(self._loop)

    async def serve(self) -> None:
        """Take over the clients of the hot-restart predecessor, if there is one, and then wait for a
        successor to connect."""
        if self._successor is not None:
            await self._take_over()
        if self._path is not None:
            self._predecessor.open(self._path)

    async def _take_over(self) -> None:
        context = self._context
        context.listen_socket = self._successor.listen_socket
        state = await self._successor.take_over()
        if state is None:
            self._log_no_policy_state()
        else:
            await self._import_state(state)
        if self.inherited_leases is None and context.participant is not None:
            context.participant.usage.start_again()  # what the predecessor has counted did not come
        self._gateway.peers.start_receiving()
        await context.listen(self._loop)
        self._successor.complete(context)
        self._gateway.end_takeover()

    async def _import_state(self, state: Mapping[str, Any]) -> None:
        from plumpick.gateway.hot_restart.exported_state import (
            PARTICIPANT_KEY,
            SETTINGS_KEY,
            policy_state_of,
            request_ids_of,
        )

        self._gateway.requests.ids.inherit(request_ids_of(state))
        self.inherited_leases = state.get(PARTICIPANT_KEY)
        source = self._context.settings_source
        if source is not None and state.get(SETTINGS_KEY) is not None:
            # The settings come first because the policy state below belongs to them.
            await source.import_state(state[SETTINGS_KEY])
        policy_state = policy_state_of(state)
        if policy_state:
            self._gateway.import_state(policy_state)
        else:
            self._log_no_policy_state()

    @staticmethod
    def _log_no_policy_state() -> None:
        log.warning("handover: the predecessor sent no policy state; starting without it")

    # -- changes of the other process of a hot restart

    def _on_handover_change(self, handed_over: bool) -> None:
        """Handle a handover to the successor or, with `handed_over` False, the exit of a successor that had
        taken over: this process then accepts clients again."""
        if not handed_over:
            task = self._loop.create_task(self._listen_again())
            task.add_done_callback(lambda done: done.exception() and log.error("%s", done.exception()))

    async def _listen_again(self) -> None:
        """Open the listener for clients again; retries while no descriptor is available."""
        while not self._gateway.has_handed_over:
            try:
                await self._context.listen(self._loop)
                return
            except OSError as problem:
                log.warning(
                    "handover: cannot listen for clients again, retrying in %.1f s: %s",
                    LISTEN_RETRY_S,
                    problem.strerror,
                )
            await asyncio.sleep(LISTEN_RETRY_S)

    def _on_descriptor_count(self, count: int) -> None:
        """Limit this process's descriptors to those that the predecessor, which reports `count` open ones,
        leaves free; at least a third of the configured number."""
        sockets = self._config.sockets
        self._gateway.set_descriptor_limit(max(sockets // 3, sockets - count - OWN_DESCRIPTORS))

    def _on_alone(self) -> None:
        """The predecessor has exited: this process may use all configured descriptors, and the ids of the
        predecessor's requests are no longer in use."""
        self._gateway.set_descriptor_limit(self._config.sockets)
        self._gateway.memory_limits.set_process_count(1)
        self._gateway.requests.ids.release_inherited()

    # -- end of the management plane

    async def finish(self, until_s: float) -> None:
        """Serve until `until_s` of the event loop's clock, or until a successor has taken over and no work is
        left; then stop accepting clients."""
        self._predecessor.is_stopping = True
        gateway = self._gateway
        while self._loop.time() < until_s and not (gateway.has_handed_over and gateway.is_idle()):
            await asyncio.sleep(POLL_INTERVAL_S)
        context = self._context
        # Without a successor, this process has to accept the rest of the listener's backlog.
        if not gateway.has_handed_over and context.server is not None:
            await close_listener(self._loop, context.server, context.listen_socket, context.listener)
            if context.listen_socket is not None:
                context.listen_socket.close()
        context.close()

    def close(self) -> None:
        """Close the hot-restart connections, the admin connections and the admin listener immediately."""
        self._predecessor.close()
        if self._successor is not None:
            self._successor.close()
        self._admin.close()
        if self._server is not None:
            self._server.close()


def open_shared_listener(address: tuple[str, int]) -> socket.socket:
    """A socket that listens at an address where another process may listen too (SO_REUSEPORT). Raises
    OSError."""
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listening.bind(address)
        listening.listen(LISTEN_BACKLOG)
        listening.setblocking(False)
    except OSError:
        listening.close()
        raise
    return listening
