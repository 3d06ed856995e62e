"""The configuration of a gateway at its start: environment and JSON.

What is malformed raises ConfigError, whose one line names it; a list of workers raises SettingsError, so that
its reader may go on without it."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from plumpick.policy.events import Endpoint, EndpointState
from plumpick.policy.settings import Settings
from plumpick.policy.settings_parser import JsonObject, SettingsError, parse_settings

Address = tuple[str, int]  # host, port
DEFAULT_SOCKETS = 1024.0
DEFAULT_MEMORY_MB = 192.0
DEFAULT_DIAL_TIMEOUT_MS = 250.0
DEFAULT_IDLE_MS = 15_000.0
MAX_PORT = 65535
ENDPOINT_STATES = {
    "ready": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.GONE,
}


class ConfigError(Exception):
    """A configuration that cannot be used; the text names what is wrong."""


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One worker in discovery's list: what the policy sees of it, and where it listens."""

    server: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class WorkerList:
    """One answer of discovery: the complete list, or the entries that changed since an index."""

    index: int
    complete: bool
    entries: tuple[WorkerEntry, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """Everything that a gateway is configured with."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # descriptors that the process may hold
    settings: Settings
    dial_timeout_ms: float
    idle_ms: float  # after which a worker closes an idle connection
    known: WorkerList  # the workers to start with
    peer_listen: Address | None  # where peers' datagrams come
    peers: tuple[Address, ...]  # by gateway number
    peers_all: Address | None  # reaches all peers with one datagram
    memory_mb: float = DEFAULT_MEMORY_MB  # that the process may hold
    management: Address | None = None  # where operators' commands come; None: nowhere


def parse_address(text: Any, path: str) -> Address:
    """Host and port of 'host:port'; raises SettingsError, which names `path`."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f"{path}: {text!r} is no address")
    return host, int(port)


def parse_worker_entry(row: JsonObject) -> WorkerEntry:
    """One entry of a list in discovery's form; raises SettingsError."""
    status = row.text("status")
    if status not in ENDPOINT_STATES:
        raise SettingsError(f"{row.path}.status: {status!r} is no status")
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
    """A list in discovery's form; raises SettingsError where it cannot be read.

    With `skipped`, an entry that cannot be read is passed to it and left out, which ends its worker's use."""
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
    """The configuration in an object of JSON; the environment stands in for what the object lacks. Raises
    SettingsError."""
    top = JsonObject(value, "config")
    settings = top.nested_object("settings")
    limits = settings.nested_object("limits")
    own = parse_settings(settings.value, "config.settings")
    seed = top.text("seed")
    try:
        seed_number = int(seed, 16)
    except ValueError as problem:
        raise SettingsError(f"config.seed: {seed!r} is no hex number") from problem
    peers = tuple(parse_address(peer, "config.peers") for peer in top.strings("peers"))
    if peers and len(peers) != own.gateway_count:
        raise SettingsError(f"config.peers: {len(peers)} for {own.gateway_count} gatekeepers")
    peer_listen, peers_all = top.text("peer_listen", ""), top.text("peers_all", "")
    # The file before the environment, as with the other addresses.
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
        dial_timeout_ms=limits.number("dialTimeoutMs", DEFAULT_DIAL_TIMEOUT_MS),
        idle_ms=limits.number("connIdleMs", DEFAULT_IDLE_MS),
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
    """Read the file that BALANCER_CONFIG names; raises ConfigError."""
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        return parse_config(json.loads(Path(path).read_text(encoding="utf-8")), environment)
    except OSError as problem:
        raise ConfigError(f"cannot read {path}: {problem.strerror}") from problem
    except ValueError as problem:  # no UTF-8, no JSON, or a SettingsError
        raise ConfigError(f"{path}: {problem}") from problem
