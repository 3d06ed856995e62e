"""The running process of a hot restart: it waits for the next one and hands over to it.

It listens at a Unix socket in $TMPDIR. A new process connects and says HELLO; this one offers its listening
socket and its datagram socket. When the new one is ready to serve it says TAKE_OVER: in one step this process
stops accepting clients and receiving from peers, and answers with its state. Once the new one says SERVING it
gets the idle connections of clients. Then both live: this one finishes its requests, and each tells the other
what it needs (sibling.py). Should the new one die first, this one goes on as before. No step needs a
descriptor that is not open yet: clients may hold all others. Where the socket cannot be had, the log says so
and a restart is an ordinary one."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from plumpick.gateway.hot_restart.channel import Channel
from plumpick.gateway.hot_restart.exported_state import encode_state
from plumpick.gateway.hot_restart.message import MessageKind
from plumpick.gateway.hot_restart.sibling import HotRestartContext, SiblingChannel, handle_sibling_message
from plumpick.gateway.hot_restart.socket_path import is_same_user, short_address

# How often it is checked whether a dead process's socket is in the place of ours.
REOPEN_INTERVAL_S = 0.2
MAX_REOPEN_ATTEMPTS = 20
LISTEN_BACKLOG = 4
SERVING_TIMEOUT_S = 2.0  # for a next process of an older version, which does not say that it serves
TRANSFER_RETRY_S = 0.01

log = logging.getLogger(__name__)


class Predecessor:
    """`on_change(True)` is called when this process has handed over, `on_change(False)` when it goes on
    because the next one has died."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, context: HotRestartContext, on_change: Callable[[bool], None]
    ) -> None:
        self._loop = loop
        self._context = context
        self._on_change = on_change
        self._socket: socket.socket | None = None
        self._path: Path | None = None
        self._inode = 0  # of the socket's file, as long as it is ours
        self._channel: Channel | None = None
        self._reserve = _open_reserve()
        self.is_stopping = False

    # -- the socket

    def open(self, path: Path) -> None:
        """Wait for the next process at that path."""
        listening: socket.socket | None = None
        try:
            listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            fresh = path.with_name(f"{path.name}.{os.getpid()}")
            with short_address(fresh) as address:
                listening.bind(address)
            listening.listen(LISTEN_BACKLOG)
            os.rename(fresh, path)  # replaces the socket of the process before in one step
            self._inode = os.stat(path).st_ino
        except OSError as problem:
            log.warning("handover: no socket at %s: %s", path, problem.strerror)
            if listening is not None:
                listening.close()
            return
        listening.setblocking(False)
        self._socket = listening
        self._path = path
        self._loop.add_reader(listening, self._accept)

    def _accept(self) -> None:
        assert self._socket is not None
        try:
            connection = self._accept_with_reserve(self._socket)
        except OSError:
            return
        if self._channel is not None or not is_same_user(connection):
            connection.close()  # one at a time
            return
        self._channel = Channel(self._loop, connection, self._on_message, self._on_closed)

    def _accept_with_reserve(self, listening: socket.socket) -> socket.socket:
        """The next connection, also where clients hold all other descriptors; raises OSError."""
        if self._reserve is not None:
            os.close(self._reserve)
            self._reserve = None
        try:
            return listening.accept()[0]
        finally:
            self._reserve = _open_reserve()

    def _reopen(self, attempts_left: int) -> None:
        """Wait at our path again. The process that died put its own socket in place of ours: the next one
        would find nobody there and start beside this one. It may take a moment to be gone; a process that is
        alive there keeps the path."""
        if self.is_stopping or self._channel is not None or self._path is None or self._socket is None:
            return
        with contextlib.suppress(FileNotFoundError):
            if os.stat(self._path).st_ino == self._inode:
                return
        if self._is_abandoned(self._path):
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self.open(self._path)
            log.info("handover: the next process may come here again")
        elif attempts_left:
            self._loop.call_later(REOPEN_INTERVAL_S, self._reopen, attempts_left - 1)

    @staticmethod
    def _is_abandoned(path: Path) -> bool:
        """Whether no process listens at the path; one that is busy does."""
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe, short_address(path) as address:
                probe.setblocking(False)
                probe.connect(address)
        except (ConnectionRefusedError, FileNotFoundError):
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Wait no longer; the path goes if it is still ours."""
        self.is_stopping = True
        if self._socket is not None and self._path is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            with contextlib.suppress(OSError):  # it has gone, or is another's
                if os.stat(self._path).st_ino == self._inode:
                    os.unlink(self._path)
        if self._channel is not None:
            self._channel.close()
        if self._reserve is not None:
            os.close(self._reserve)
            self._reserve = None

    # -- the next process

    def _on_message(self, kind: str, value: Any, descriptors: list[int]) -> None:
        for descriptor in descriptors:  # none are due
            os.close(descriptor)
        channel = self._channel
        if channel is None:
            return
        if kind == MessageKind.HELLO:
            self._offer(channel, value)
        elif kind == MessageKind.TAKE_OVER:
            self._hand_over(channel)
        elif kind == MessageKind.SERVING:
            self._transfer_idle_connections(channel)
        elif not handle_sibling_message(self._context, kind, value):
            log.warning("handover: %r is unknown", kind)

    def _offer(self, channel: Channel, name: Any) -> None:
        """Offer the sockets to a process of the same gateway."""
        context = self._context
        if name != context.name or context.listen_socket is None:
            log.warning("handover: %r has asked %r", name, context.name)
            channel.close()
            return
        sockets = (context.listen_socket, context.gateway.peers.bound_socket)
        descriptors = [one.fileno() for one in sockets if one is not None]
        if not channel.send_descriptors(MessageKind.OFFER, descriptors):
            channel.close()

    def _hand_over(self, channel: Channel) -> None:
        """Stop accepting clients and receiving from peers, then pass on the state: whatever becomes of the
        state, this process keeps no socket that the next one serves."""
        context = self._context
        gateway = context.gateway
        if gateway.has_handed_over:
            return
        state = encode_state(context, self._capture_participant(channel))
        context.close()
        gateway.peers.stop_receiving()
        gateway.start_handover(SiblingChannel(channel))
        channel.send_encoded(state.message)
        if state.problem is None:
            log.info("handed over to the next process")
        else:
            log.error("handed over to the next process without the state of the policy: %s", state.problem)
        self._loop.call_later(SERVING_TIMEOUT_S, self._transfer_idle_connections, channel)
        gateway.close_idle_upstream_connections()
        self.send_descriptor_count()
        self._on_change(True)

    def _capture_participant(self, channel: Channel) -> Any:
        """The state of the cluster participant, which takes no part here from now on; None without one."""
        participant = self._context.participant
        if participant is None:
            return None
        state = participant.capture()
        participant.usage.forward = lambda row: channel.send(MessageKind.USAGE_ROW, row)
        return state

    def _transfer_idle_connections(self, channel: Channel) -> None:
        """Pass on the connections of clients that are idle. Only a process that is known to serve gets them:
        with one that dies before, they would be lost."""
        if channel is not self._channel or channel.is_closed or not self._context.gateway.has_handed_over:
            return

        def pass_on(descriptor: int) -> bool:
            return channel.send_descriptors(MessageKind.CLIENT_CONNECTION, [descriptor])

        if not self._context.listener.transfer_idle_connections(pass_on):
            self._loop.call_later(TRANSFER_RETRY_S, self._transfer_idle_connections, channel)

    def send_descriptor_count(self) -> None:
        """Tell the next process how many descriptors this one still holds: the rest is the next one's."""
        gateway = self._context.gateway
        if self._channel is not None and gateway.has_handed_over:
            self._channel.send(MessageKind.DESCRIPTOR_COUNT, gateway.descriptor_count())

    def _on_closed(self) -> None:
        """The next process has gone, before it took over or after."""
        self._channel = None
        gateway = self._context.gateway
        if not gateway.has_handed_over or self.is_stopping:
            return
        log.warning("handover: the next process has gone; this one goes on")
        gateway.peers.start_receiving()
        gateway.resume_after_failed_handover()
        if self._context.participant is not None:
            self._context.participant.resume_after_failed_handover()
        self._on_change(False)
        self._reopen(MAX_REOPEN_ATTEMPTS)


def _open_reserve() -> int | None:
    """A descriptor that can be closed when another one is needed; None where there is none."""
    try:
        return os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return None
