"""A connection between two processes of one gatekeeper: messages, and descriptors that go with them."""

from __future__ import annotations

import array
import asyncio
import logging
import os
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from plumpick.gateway.hot_restart.message import MessageDecoder, MessageFormatError, encode

READ_BYTES = 256 * 1024
MAX_UNSENT_BYTES = 32 * 1024 * 1024  # bytes to be written; the other side reads nothing then, and is given up
MAX_DESCRIPTORS_PER_READ = 8  # that come with one read

log = logging.getLogger(__name__)


class Channel:
    """`heard(kind, value, descriptors)` gets each message; `ended()` comes once, when the other side has gone
    or has sent what cannot be read. A descriptor that is passed on is closed here, one that comes belongs to
    whom it is told."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        plug: socket.socket,
        heard: Callable[[str, Any, list[int]], None],
        ended: Callable[[], None],
    ) -> None:
        self._loop, self._plug, self._heard, self._ended = loop, plug, heard, ended
        self._reader, self._waiting = MessageDecoder(), deque[tuple[bytes, list[int]]]()
        self._waits = 0
        self._loose: list[int] = []  # descriptors whose message is not whole yet
        self.closed = False
        plug.setblocking(False)
        loop.add_reader(plug, self._read)

    def tell(self, kind: str, value: Any = None, descriptors: list[int] | None = None) -> None:
        """Send a message, with descriptors; they are this channel's from now on."""
        if self.closed:
            _close_all(descriptors or [])
            return
        data = encode(kind, value)
        self._waiting.append((data, descriptors or []))
        self._waits += len(data)
        if self._waits > MAX_UNSENT_BYTES:
            self.close()
        elif len(self._waiting) == 1:
            self._write()

    def _write(self) -> None:
        while self._waiting:
            data, descriptors = self._waiting[0]
            rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))]
            try:
                sent = self._plug.sendmsg([data], rights if descriptors else [])
            except BlockingIOError:
                self._loop.add_writer(self._plug, self._write)
                return
            except OSError:
                self.close()
                return
            _close_all(descriptors)
            self._waits -= sent
            if sent < len(data):
                self._waiting[0] = data[sent:], []
            else:
                self._waiting.popleft()
        if not self.closed:
            self._loop.remove_writer(self._plug)

    def _read(self) -> None:
        size = array.array("i").itemsize
        try:
            data, rights, _, _ = self._plug.recvmsg(
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
        self._loose += descriptors
        try:
            messages = self._reader.feed(data)
        except MessageFormatError as problem:
            log.warning("handover: %s", problem)
            self.close()
            return
        for kind, value in messages:
            # They come in the order of their messages, with the first byte of each.
            count = value.get("descriptors", 0) if isinstance(value, dict) else 0
            count = max(0, count) if isinstance(count, int) else 0
            mine, self._loose = self._loose[:count], self._loose[count:]
            if self.closed:  # by what was told just before
                _close_all(mine)
            else:
                self._heard(kind, value, mine)
        if not data:
            self.close()

    def close(self) -> None:
        """Hang up; told to `ended`, unless it was before."""
        if self.closed:
            return
        self.closed = True
        self._loop.remove_reader(self._plug)
        self._loop.remove_writer(self._plug)
        self._plug.close()
        _close_all(self._loose)
        self._loose = []
        for _, descriptors in self._waiting:
            _close_all(descriptors)
        self._waiting.clear()
        self._loop.call_soon(self._ended)


def _close_all(descriptors: list[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)
