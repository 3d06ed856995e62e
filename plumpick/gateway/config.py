"""Configuration of a gateway at its start, from a JSON file and the environment.

Reading the file raises ConfigError with a one-line message that names the invalid key. Parsing a list of
workers raises SettingsError, so that the discovery client can log it and keep the previous list."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from plumpick.policy.events import Endpoint, EndpointState
from plumpick.policy.settings import Settings
from plumpick.policy.settings_parser import JsonObject, SettingsError, parse_settings

Address = tuple[str, int]  # host and port
# Values for keys that the file does not contain.
DEFAULT_SOCKETS = 1024.0
DEFAULT_MEMORY_MB = 192.0
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_WORKER_IDLE_TIMEOUT_MS = 15_000.0
MAX_PORT = 65535
ENDPOINT_STATES = {
    "ready": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.GONE,
}


class ConfigError(Exception):
    """The configuration is invalid; the message is one line that names the file or key."""


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One worker in discovery's list: the endpoint that the policy uses, and the address it listens at."""

    server: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class WorkerList:
    """One response of discovery: the complete list, or only the entries that changed since an index."""

    index: int
    complete: bool
    entries: tuple[WorkerEntry, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of one gateway: its addresses, its limits and the settings of the policy."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # maximum number of open descriptors of the process
    settings: Settings
    connect_timeout_ms: float
    worker_idle_timeout_ms: float  # time after which a worker closes an idle connection
    known: WorkerList  # workers used until discovery sends its first list
    peer_listen: Address | None  # address at which datagrams of peers are received
    peers: tuple[Address, ...]  # peer addresses of all gateways, indexed by gateway number
    peers_all: Address | None  # address that reaches all peers with one datagram
    memory_mb: float = DEFAULT_MEMORY_MB  # maximum memory of the process, in MB
    management: Address | None = None  # address for operators' commands; None without a management plane


def parse_address(text: Any, path: str) -> Address:
    """Parse 'host:port'; raises SettingsError whose message begins with `path`."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f"{path}: expected host:port with a port from 1 to {MAX_PORT}, got {text!r}")
    return host, int(port)


def parse_worker_entry(row: JsonObject) -> WorkerEntry:
    """Parse one entry of a worker list in discovery's JSON format; raises SettingsError."""
    status = row.text("status")
    if status not in ENDPOINT_STATES:
        raise SettingsError(
            f"{row.path}.status: expected one of {', '.join(ENDPOINT_STATES)}, got {status!r}"
        )
    server = Endpoint(
        row.text("name"),
        row.text("zone", ""),
        int(row.number("group", 0.0)),
        ENDPOINT_STATES[status],
        row.number("weight", 1.0),
        row.number("since_ms", 0.0),
    )
    return WorkerEntry(server, parse_address(row.text("address"), f"{row.path}.address"))


def parse_worker_list(
    value: Any, path: str, skipped: Callable[[SettingsError], None] | None = None
) -> WorkerList:
    """Parse a worker list in discovery's JSON format; raises SettingsError if it is invalid.

    With `skipped`, an invalid entry does not raise: its error is passed to `skipped` and the entry is
    omitted. A worker omitted from a complete list is no longer used."""
    top = JsonObject(value, path)
    entries = []
    for number, row in enumerate(top.array("endpoints")):
        try:
            entries.append(parse_worker_entry(JsonObject(row, f"{path}.endpoints[{number}]")))
        except SettingsError as problem:
            if skipped is None:
                raise
            skipped(problem)
    return WorkerList(int(top.number("index")), top.flag("snapshot", False), tuple(entries))


def parse_config(value: Any, environment: Mapping[str, str]) -> Config:
    """Build the configuration from a parsed JSON object; addresses and the name that it lacks are taken from
    the environment. Raises SettingsError."""
    top = JsonObject(value, "config")
    settings = top.nested_object("settings")
    limits = settings.nested_object("limits")
    own = parse_settings(settings.value, "config.settings")
    seed = top.text("seed")
    try:
        seed_number = int(seed, 16)
    except ValueError as problem:
        raise SettingsError(f"config.seed: expected a hexadecimal number, got {seed!r}") from problem
    peers = tuple(parse_address(peer, "config.peers") for peer in top.strings("peers"))
    if peers and len(peers) != own.gateway_count:
        raise SettingsError(
            f"config.peers: expected {own.gateway_count} addresses, one for each gatekeeper, got {len(peers)}"
        )
    peer_listen, peers_all = top.text("peer_listen", ""), top.text("peers_all", "")
    # As for the other addresses, the file takes precedence over the environment.
    management = top.text("management", environment.get("BALANCER_MANAGEMENT", ""))
    return Config(
        name=top.text("name", environment.get("BALANCER_NAME")),
        listen=parse_address(top.text("listen", environment.get("BALANCER_LISTEN")), "config.listen"),
        discovery=parse_address(
            top.text("discovery", environment.get("BALANCER_DISCOVERY")), "config.discovery"
        ),
        seed=seed_number,
        sockets=int(top.nested_object("limits", {}).number("sockets", DEFAULT_SOCKETS)),
        settings=own,
        connect_timeout_ms=limits.number("dialTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS),
        worker_idle_timeout_ms=limits.number("connIdleMs", DEFAULT_WORKER_IDLE_TIMEOUT_MS),
        known=parse_worker_list(
            top.nested_object("known", {"index": 0, "endpoints": []}).value, "config.known"
        ),
        peer_listen=parse_address(peer_listen, "config.peer_listen") if peer_listen else None,
        peers=peers,
        peers_all=parse_address(peers_all, "config.peers_all") if peers_all else None,
        memory_mb=top.nested_object("limits", {}).number("memory_mb", DEFAULT_MEMORY_MB),
        management=parse_address(management, "config.management") if management else None,
    )


def load_config(environment: Mapping[str, str]) -> Config:
    """Read the configuration file named by BALANCER_CONFIG; raises ConfigError if it is missing or
    invalid."""
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        return parse_config(json.loads(Path(path).read_text(encoding="utf-8")), environment)
    except OSError as problem:
        raise ConfigError(f"cannot read {path}: {problem.strerror}") from problem
    except ValueError as problem:  # invalid UTF-8, invalid JSON or a SettingsError
        raise ConfigError(f"{path}: {problem}") from problem
