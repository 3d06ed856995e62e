"""What a gateway with a management address has beside the rest: the operators' listener, and hot restart.

What it is made of is imported only where there is such an address. Errors of sockets at the start are raised
(OSError); later ones are logged by the parts."""

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
from plumpick.gateway.listeners.http.listener import HttpListener
from plumpick.gateway.shutdown import close_listener

OWN_DESCRIPTORS = 24  # of the program itself: the loop's, listeners, discovery, operators
LISTEN_BACKLOG = 512
POLL_INTERVAL_S = 0.02
LISTEN_RETRY_S = 0.2

log = logging.getLogger(__name__)


class ManagementPlane:
    """The operators' listener, and the way to the next process and from the one before."""

    def __init__(
        self, config: Config, gateway: Gateway, listener: HttpListener, loop: asyncio.AbstractEventLoop
    ) -> None:
        from plumpick.gateway.hot_restart.predecessor import Predecessor
        from plumpick.gateway.hot_restart.sibling import HotRestartContext
        from plumpick.gateway.listeners.admin import AdminListener

        self.inherited_leases: Any = None  # what the process before left of its part in the tier's work
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

    # -- start

    async def open(self) -> None:
        """Listen for operators, and find out whether a process of this gateway runs already; the peers'
        socket is its, if one does."""
        from plumpick.gateway.hot_restart.socket_path import socket_path
        from plumpick.gateway.hot_restart.successor import Successor
        from plumpick.gateway.listeners.admin import start_server

        assert self._config.management is not None
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
            if self._successor.datagram_socket is not None:
                peers.open(self._loop, self._successor.datagram_socket)
                return
        peers.open(self._loop, shared=True)
        if self._successor is None:
            self._context.listen_socket = open_shared_listener(self._config.listen)
            await self._context.listen(self._loop)

    async def serve(self) -> None:
        """Take clients over from the process before, if there is one; and wait for the next."""
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
        self._gateway.peers.start_receiving()
        await context.listen(self._loop)
        self._successor.complete(context)

    async def _import_state(self, state: Mapping[str, Any]) -> None:
        from plumpick.gateway.hot_restart.exported_state import PARTICIPANT_KEY, SETTINGS_KEY, policy_state_of

        self.inherited_leases = state.get(PARTICIPANT_KEY)
        source = self._context.settings_source
        if source is not None and state.get(SETTINGS_KEY) is not None:
            await source.import_state(state[SETTINGS_KEY])  # the rest of the state is of these settings
        policy_state = policy_state_of(state)
        if policy_state:
            self._gateway.import_state(policy_state)
        else:
            self._log_no_policy_state()

    @staticmethod
    def _log_no_policy_state() -> None:
        log.warning("handover: the process before left no state of the policy: this one begins without")

    # -- the other process

    def _on_handover_change(self, handed_over: bool) -> None:
        """The next process has taken over, or has died and this one goes on."""
        if not handed_over:
            task = self._loop.create_task(self._listen_again())
            task.add_done_callback(lambda done: done.exception() and log.error("%s", done.exception()))

    async def _listen_again(self) -> None:
        """Accept clients again; tried until there is a descriptor for it."""
        while not self._gateway.has_handed_over:
            try:
                await self._context.listen(self._loop)
                return
            except OSError as problem:
                log.warning("handover: no client is accepted: %s", problem.strerror)
            await asyncio.sleep(LISTEN_RETRY_S)

    def _on_descriptor_count(self, count: int) -> None:
        """What the process before still holds is not ours, and it has some of its own."""
        sockets = self._config.sockets
        self._gateway.set_descriptor_limit(max(sockets // 3, sockets - count - OWN_DESCRIPTORS))

    def _on_alone(self) -> None:
        """The process before has gone: its share of the descriptors is free."""
        self._gateway.set_descriptor_limit(self._config.sockets)

    # -- end

    async def finish(self, until_s: float) -> None:
        """Serve until then by the loop's clock, or until another process has everything; then accept no
        more."""
        self._predecessor.is_stopping = True
        gateway = self._gateway
        while self._loop.time() < until_s and not (gateway.has_handed_over and gateway.is_idle()):
            await asyncio.sleep(POLL_INTERVAL_S)
        context = self._context
        if (
            not gateway.has_handed_over and context.server is not None
        ):  # no other process empties the listener
            await close_listener(self._loop, context.server, context.listen_socket, context.listener)
            if context.listen_socket is not None:
                context.listen_socket.close()
        context.close()

    def close(self) -> None:
        """Close everything at once."""
        self._predecessor.close()
        if self._successor is not None:
            self._successor.close()
        self._admin.close()
        if self._server is not None:
            self._server.close()


def open_shared_listener(address: tuple[str, int]) -> socket.socket:
    """A listening socket at an address where another process may listen, too; raises OSError."""
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
