"""The path of the Unix socket on which a running process waits for its hot-restart successor."""

from __future__ import annotations

import contextlib
import os
import re
import socket
import struct
from collections.abc import Iterator
from pathlib import Path

MAX_PATH_BYTES = 100  # maximum length of a Unix socket's address
MAX_NAME_LENGTH = 40  # maximum number of characters of the gateway's name in the path


def socket_path(folder: str, name: str) -> Path:
    """The path of the socket of the gateway with this name, in this folder."""
    return Path(folder, f"plumpick-{re.sub('[^A-Za-z0-9_-]', '_', name)[:MAX_NAME_LENGTH]}.sock")


@contextlib.contextmanager
def short_address(path: Path) -> Iterator[str]:
    """Yield an address of the path that fits into MAX_PATH_BYTES. A path that is too long is addressed
    through /proc, and the address is valid inside the `with` block only. Raises OSError."""
    if len(os.fsencode(path)) <= MAX_PATH_BYTES:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def is_same_user(connection: socket.socket) -> bool:
    """Whether the process at the other end of a Unix socket connection has the same user ID."""
    _, user, _ = struct.unpack("3i", connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return bool(user == os.getuid())
