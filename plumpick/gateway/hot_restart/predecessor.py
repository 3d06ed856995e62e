"""The predecessor's side of a hot restart: the running process waits for a successor and hands over to it.

The predecessor listens on a Unix socket in $TMPDIR. A successor connects and sends HELLO; the predecessor
answers with an OFFER of its listening socket and its datagram socket. When the successor is ready to serve,
it sends TAKE_OVER: in one step the predecessor stops accepting clients and receiving from peers, and answers
with its STATE. After the successor has sent SERVING, it receives the idle connections of clients. While the
predecessor finishes its requests, the two processes forward messages to each other (sibling.py). If the
successor dies first, the predecessor resumes its work.

No step opens a new descriptor, because clients may hold all others. If the socket cannot be created, this is
logged, and a restart is an ordinary one."""

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

REOPEN_INTERVAL_S = 0.2  # interval of checks whether the socket's path is that of a successor that has died
MAX_REOPEN_ATTEMPTS = 20
LISTEN_BACKLOG = 4
# Time after which a successor counts as serving that sends no SERVING, as older versions do.
SERVING_TIMEOUT_S = 2.0
TRANSFER_RETRY_S = 0.01  # interval of attempts to transfer the remaining idle connections

log = logging.getLogger(__name__)


class Predecessor:
    """Waits for a successor on the gateway's Unix socket, and hands over to it.

    `on_change(True)` is called when this process has handed over, `on_change(False)` when it resumes its work
    because the successor has died."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, context: HotRestartContext, on_change: Callable[[bool], None]
    ) -> None:
        self._loop = loop
        self._context = context
        self._on_change = on_change
        self._socket: socket.socket | None = None
        self._path: Path | None = None
        self._inode = 0  # inode of the socket file that this process created
        self._channel: Channel | None = None
        self._reserve = _open_reserve()
        self.is_stopping = False

    # -- socket on which the predecessor listens

    def open(self, path: Path) -> None:
        """Listen for a successor at this path; a failure is logged."""
        listening: socket.socket | None = None
        try:
            listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            temporary_path = path.with_name(f"{path.name}.{os.getpid()}")
            with short_address(temporary_path) as address:
                listening.bind(address)
            listening.listen(LISTEN_BACKLOG)
            os.rename(temporary_path, path)  # replaces the predecessor's socket atomically
            self._inode = os.stat(path).st_ino
        except OSError as problem:
            log.warning("handover: no socket at %s: %s; no process can take over", path, problem.strerror)
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
            connection.close()  # only one successor at a time, and only of the same user
            return
        self._channel = Channel(self._loop, connection, self._on_message, self._on_closed)

    def _accept_with_reserve(self, listening: socket.socket) -> socket.socket:
        """Accept a connection, with the reserved descriptor if clients hold all others. Raises OSError."""
        if self._reserve is not None:
            os.close(self._reserve)
            self._reserve = None
        try:
            return listening.accept()[0]
        finally:
            self._reserve = _open_reserve()

    def _reopen(self, attempts_left: int) -> None:
        """Listen at the path again after the successor has died.

        The dead successor had replaced this process's socket by its own. Without a new socket, the next
        successor would find no predecessor and start beside this process. The dead process may take some time
        to release its socket, so the attempt is repeated; a live process keeps the path."""
        if self.is_stopping or self._channel is not None or self._path is None or self._socket is None:
            return
        with contextlib.suppress(FileNotFoundError):
            if os.stat(self._path).st_ino == self._inode:
                return
        if self._is_abandoned(self._path):
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self.open(self._path)
            log.info("handover: listening for a next process again")
        elif attempts_left:
            self._loop.call_later(REOPEN_INTERVAL_S, self._reopen, attempts_left - 1)

    @staticmethod
    def _is_abandoned(path: Path) -> bool:
        """Whether no process listens at the path. A process with a full backlog counts as listening."""
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
        """Stop listening, and remove the socket file if this process created it."""
        self.is_stopping = True
        if self._socket is not None and self._path is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            with contextlib.suppress(OSError):  # the file was removed, or belongs to another user
                if os.stat(self._path).st_ino == self._inode:
                    os.unlink(self._path)
        if self._channel is not None:
            self._channel.close()
        if self._reserve is not None:
            os.close(self._reserve)
            self._reserve = None

    # -- connection to the successor

    def _on_message(self, kind: str, value: Any, descriptors: list[int]) -> None:
        for descriptor in descriptors:  # descriptors are not expected from a successor
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
            log.warning("handover: message of the unknown kind %r ignored", kind)

    def _offer(self, channel: Channel, name: Any) -> None:
        """Send the sockets to a successor with the same gateway name; close the channel of any other one."""
        context = self._context
        if name != context.name or context.listen_socket is None:
            log.warning("handover: a process of %r was rejected: this gateway is %r", name, context.name)
            channel.close()
            return
        sockets = (context.listen_socket, context.gateway.peers.bound_socket)
        descriptors = [one.fileno() for one in sockets if one is not None]
        if not channel.send_descriptors(MessageKind.OFFER, descriptors):
            channel.close()

    def _hand_over(self, channel: Channel) -> None:
        """Stop accepting clients and receiving from peers, then send the state. Even if the state cannot be
        exported, this process keeps serving no socket that the successor serves."""
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
        """The state of the cluster participant, which is closed in this process; None without a
        participant."""
        participant = self._context.participant
        if participant is None:
            return None
        state = participant.capture()
        participant.usage.forward = lambda row: channel.send(MessageKind.USAGE_ROW, row)
        return state

    def _transfer_idle_connections(self, channel: Channel) -> None:
        """Transfer the idle connections of clients, again after TRANSFER_RETRY_S until none is left. It
        begins only when the successor serves: if it died before, the connections would be lost."""
        if channel is not self._channel or channel.is_closed or not self._context.gateway.has_handed_over:
            return

        def send_descriptor(descriptor: int) -> bool:
            return channel.send_descriptors(MessageKind.CLIENT_CONNECTION, [descriptor])

        if not self._context.listener.transfer_idle_connections(send_descriptor):
            self._loop.call_later(TRANSFER_RETRY_S, self._transfer_idle_connections, channel)

    def send_descriptor_count(self) -> None:
        """Send the number of descriptors that this process holds; the successor may use the remaining
        ones."""
        gateway = self._context.gateway
        if self._channel is not None and gateway.has_handed_over:
            self._channel.send(MessageKind.DESCRIPTOR_COUNT, gateway.descriptor_count())

    def _on_closed(self) -> None:
        """Resume work if the successor disconnected after it took over; otherwise wait for another one."""
        self._channel = None
        gateway = self._context.gateway
        if not gateway.has_handed_over or self.is_stopping:
            return
        log.warning("handover: the next process has ended; this one resumes its work")
        gateway.peers.start_receiving()
        gateway.resume_after_failed_handover()
        if self._context.participant is not None:
            self._context.participant.resume_after_failed_handover()
        self._on_change(False)
        self._reopen(MAX_REOPEN_ATTEMPTS)


def _open_reserve() -> int | None:
    """Open a descriptor that is closed when another one is needed; None if no descriptor is available."""
    try:
        return os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return None
