"""`plumpick call ADDRESS CALL [ID]`: sends an operator's command to a gateway's management address."""

from __future__ import annotations

import argparse
import json
import socket
import sys
from typing import Any

TIMEOUT_S = 5.0  # timeout in seconds of the connect, and of each read of the reply
MAX_REPLY_BYTES = 4096  # maximum length of a reply in bytes


def send_command(address: tuple[str, int], line: str) -> str:
    """Send a command line; returns the reply without its line end. Raises OSError, also for an empty
    reply."""
    with socket.create_connection(address, TIMEOUT_S) as connection:
        connection.sendall(line.encode() + b"\n")
        response = b""
        while b"\n" not in response and len(response) < MAX_REPLY_BYTES:
            data = connection.recv(MAX_REPLY_BYTES)
            if not data:
                break
            response += data
    text = response.partition(b"\n")[0].decode(errors="replace")
    if not text:
        raise ConnectionError("connection closed without a reply")
    return text


def fetch_pages(address: tuple[str, int], line: str, key: str) -> dict[str, Any]:
    """Fetch all pages of a JSON reply; returns the first page with the rows of all pages under `key`. Raises
    OSError, or ValueError with the reply if it is an error."""
    reply: dict[str, Any] = {}
    page = 0
    while page < reply.get("pages", 1):
        response = send_command(address, f"{line} {page}")
        if not response.startswith("+OK "):
            raise ValueError(response)
        page_reply = json.loads(response.removeprefix("+OK "))
        if page == 0:
            reply = page_reply
        else:
            reply[key] += page_reply[key]
        page += 1
    return reply


def address_of(text: str) -> tuple[str, int]:
    """Parse 'host:port'; returns host and port. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"expected an address host:port, got {text!r}")
    return host, int(port)


def call(arguments: argparse.Namespace) -> int:
    """Run the command. Returns exit code 0 if the reply begins with +OK, 1 if it does not, and 2 if there is
    no reply or an argument is invalid."""
    try:
        address = address_of(arguments.address)
    except ValueError as problem:
        print(f"plumpick call: {problem}", file=sys.stderr)
        return 2
    line = " ".join(arguments.call)
    if "\n" in line or "\r" in line:
        print("plumpick call: the command contains a line break", file=sys.stderr)
        return 2
    try:
        response = send_command(address, line)
    except OSError as problem:
        print(f"plumpick call: {arguments.address}: {problem}", file=sys.stderr)
        return 2
    print(response)
    return 0 if response.startswith("+OK") else 1
