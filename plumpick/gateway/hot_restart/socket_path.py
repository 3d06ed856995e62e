"""The Unix socket at which a running process waits for the next one."""

from __future__ import annotations

import contextlib
import os
import re
import socket
import struct
from collections.abc import Iterator
from pathlib import Path

MAX_PATH_BYTES = 100  # that the address of a Unix socket may have
MAX_NAME_LENGTH = 40


def socket_path(folder: str, name: str) -> Path:
    """Where the socket of a gateway is, by the gateway's name."""
    return Path(folder, f"plumpick-{re.sub('[^A-Za-z0-9_-]', '_', name)[:MAX_NAME_LENGTH]}.sock")


@contextlib.contextmanager
def short_address(path: Path) -> Iterator[str]:
    """An address of the same file that is short enough, valid inside the `with`; raises OSError."""
    if len(os.fsencode(path)) <= MAX_PATH_BYTES:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def is_same_user(connection: socket.socket) -> bool:
    """Whether the other side is a process of the same user."""
    _, user, _ = struct.unpack("3i", connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return bool(user == os.getuid())
