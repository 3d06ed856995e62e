"""A connection between the two processes of a hot restart, which carries messages and file descriptors.

A connection error or a malformed message closes the channel; the owner is notified through `on_closed`."""

from __future__ import annotations

import array
import asyncio
import errno
import logging
import os
import socket
from collections.abc import Callable
from typing import Any

from plumpick.gateway.hot_restart.message import MessageDecoder, MessageFormatError, encode

READ_BYTES = 256 * 1024
MAX_UNSENT_BYTES = 32 * 1024 * 1024  # size of the send buffer above which the channel is closed
MAX_DESCRIPTORS_PER_READ = 8

log = logging.getLogger(__name__)


class Channel:
    """One end of the connection between the two processes of a hot restart.

    `on_message(kind, value, descriptors)` is called for each received message, and must close or keep the
    descriptors. `on_closed()` is called once, after the channel was closed: by its owner, because the other
    process disconnected, or because of a malformed message."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connection: socket.socket,
        on_message: Callable[[str, Any, list[int]], None],
        on_closed: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._socket = connection
        self._on_message = on_message
        self._on_closed = on_closed
        self._decoder = MessageDecoder()
        self._unsent = bytearray()
        self._unassigned: list[int] = []  # descriptors whose message is not complete yet
        self.is_closed = False
        connection.setblocking(False)
        loop.add_reader(connection, self._read)

    def send(self, kind: str, value: Any = None) -> None:
        """Send a message. Raises ValueError if the value cannot be encoded."""
        self.send_encoded(encode(kind, value))

    def send_encoded(self, data: bytes) -> None:
        """Send an encoded message, or buffer it. Closes the channel if the buffer exceeds
        MAX_UNSENT_BYTES."""
        if self.is_closed:
            return
        self._unsent += data
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self.close()
        elif len(self._unsent) == len(data):
            self._write()

    def send_descriptors(self, kind: str, descriptors: list[int]) -> bool:
        """Send a message with descriptors if it can be sent without buffering; returns whether it was sent.
        The descriptors stay open in this process, and no new descriptor is opened."""
        if self.is_closed or self._unsent:
            return False
        data = encode(kind, {"descriptors": len(descriptors)})
        rights = (socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))
        sent = self._send([data], [rights])
        if sent:
            self.send_encoded(data[sent:])
        return sent > 0

    def _write(self) -> None:
        while self._unsent and not self.is_closed:
            sent = self._send([self._unsent], [])
            if not sent:
                break
            del self._unsent[:sent]
        if self.is_closed:
            return
        if self._unsent:
            self._loop.add_writer(self._socket, self._write)
        else:
            self._loop.remove_writer(self._socket)

    def _send(self, data: list[Any], rights: list[Any]) -> int:
        """The number of bytes sent: 0 if the socket's buffer is full, or if the connection failed."""
        try:
            return self._socket.sendmsg(data, rights)
        except BlockingIOError:
            return 0
        except OSError as problem:
            if problem.errno != errno.ETOOMANYREFS:  # limit of descriptors in flight, which is temporary
                self.close()
            return 0

    def _read(self) -> None:
        size = array.array("i").itemsize
        try:
            data, rights, _, _ = self._socket.recvmsg(
                READ_BYTES, socket.CMSG_LEN(MAX_DESCRIPTORS_PER_READ * size)
            )
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        descriptors = array.array("i")
        for level, kind, content in rights:
            if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
                descriptors.frombytes(content[: len(content) - len(content) % size])
        self._unassigned += descriptors
        try:
            messages = self._decoder.feed(data)
        except MessageFormatError as problem:
            log.warning("handover: connection to the other process closed: %s", problem)
            self.close()
            return
        for kind, value in messages:
            self._deliver(kind, value)
        if not data:
            self.close()

    def _deliver(self, kind: str, value: Any) -> None:
        """Pass a message and its descriptors to `on_message`. Descriptors are received in the order of their
        messages, with the first byte of each message."""
        count = value.get("descriptors", 0) if isinstance(value, dict) else 0
        count = max(0, count) if isinstance(count, int) else 0
        descriptors = self._unassigned[:count]
        self._unassigned = self._unassigned[count:]
        if self.is_closed:  # the handler of the previous message has closed the channel
            _close_all(descriptors)
        else:
            self._on_message(kind, value, descriptors)

    def close(self) -> None:
        """Close the connection and schedule `on_closed`. Later calls do nothing."""
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.remove_reader(self._socket)
        self._loop.remove_writer(self._socket)
        self._socket.close()
        _close_all(self._unassigned)
        self._unassigned = []
        self._unsent.clear()
        self._loop.call_soon(self._on_closed)


def _close_all(descriptors: list[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)
