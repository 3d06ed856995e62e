"""A discovery stub: one agent per gateway, which serves the list of workers late and can stop responding.

What a gateway is notified of is recorded when it is written to the connection; the rule on drains counts
from that moment.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from plumpick.rehearsal.records import Record, StatusAvailable, StatusSent
from plumpick.rehearsal.scenario import RosterPart
from plumpick.rehearsal.surroundings import HOST, Surroundings
from plumpick.rehearsal.wire import Message, Reader, WireError, answer_bytes

# Time after a move of an agent for which connections to its old address stay open
OLD_ADDRESS_LINGER_MS = 1500.0
MAX_CHANGES_KEPT = 4096  # Maximum number of changes kept; a watch from an earlier index gets the whole list
MAX_WATCH_MS = 60_000.0  # Maximum duration of a discovery watch


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """A worker's entry in the endpoint list of discovery."""

    name: str
    incarnation: int
    port: int
    zone: str
    group: int
    status: str  # Status of the worker: "ready", "draining" or "gone"
    since_unix: float  # Start of the worker process in Unix time (ms); 0 if it started warm


class _GatewayConnection(asyncio.Protocol):
    """A connection of a gateway to its discovery agent."""

    def __init__(self, agent: DiscoveryAgent) -> None:
        self.agent = agent
        self.transport: Any = None
        self.reader = Reader(answers=False)
        self.watch_timer: asyncio.TimerHandle | None = None
        self.since = -1
        self.lost = False  # Whether requests on this connection are no longer responded to

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.agent.calls[self] = None

    def connection_lost(self, _problem: Exception | None) -> None:
        self.agent.calls.pop(self, None)
        self.stop_waiting()

    def data_received(self, data: bytes) -> None:
        try:
            messages = self.reader.feed(data, self.agent.around.now())
        except WireError:
            self.transport.abort()
            return
        for message in messages:
            self.agent.handle_request(self, message)

    def stop_waiting(self) -> None:
        if self.watch_timer is not None:
            self.watch_timer.cancel()
            self.watch_timer = None


class DiscoveryAgent:
    """The discovery agent of one gateway: its list of workers, and the watches that wait for a change."""

    def __init__(self, around: Surroundings, gate: str, record: Callable[[Record], None]) -> None:
        self.around, self.gate, self._record = around, gate, record
        self.view: dict[str, ListedWorker] = {}
        self.index = 1
        self.silent = False
        self.port = 0
        # Open connections to the agent, in the order of their arrival
        self.calls: dict[_GatewayConnection, None] = {}
        self.address_of: Callable[[ListedWorker], str] = lambda entry: f"{HOST}:{entry.port}"
        self._changes: list[tuple[int, ListedWorker]] = []
        self._held: list[
            tuple[_GatewayConnection, Message]
        ] = []  # Requests received while the agent is unreachable
        self._notified: dict[
            str, tuple[int, str]
        ] = {}  # Last (incarnation, status) sent to the gateway, by worker
        # Changes received while the agent is unreachable
        self._changes_while_silent: dict[str, ListedWorker] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a new port; an agent that listens already moves to the new port."""
        old, old_calls = self._server, list(self.calls)
        self._server = await self.around.loop.create_server(lambda: _GatewayConnection(self), HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        if old is not None:
            old.close()
            self.around.later(OLD_ADDRESS_LINGER_MS, lambda: [call.transport.abort() for call in old_calls])

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for call in list(self.calls):
            call.transport.abort()

    def change(self, entry: ListedWorker) -> None:
        """Apply a change of one worker to the list, and respond to waiting watches."""
        self.index += 1
        if entry.status == "gone":
            self.view.pop(entry.name, None)
        else:
            self.view[entry.name] = entry
        self._changes = [*self._changes[1 - MAX_CHANGES_KEPT :], (self.index, entry)]
        if self.silent:
            self._changes_while_silent[entry.name] = entry
            return
        self._record_received(entry)
        for call in [call for call in self.calls if call.watch_timer is not None]:
            self._answer_watch(call)

    def _record_received(self, entry: ListedWorker) -> None:
        self._record(
            StatusAvailable(self.around.now(), self.gate, entry.name, entry.incarnation, entry.status)
        )

    def drop_watches(self) -> None:
        """Stop responding on the connections of all open watches; the connections stay open."""
        for call in [call for call in self.calls if call.watch_timer is not None]:
            call.stop_waiting()
            call.lost = True

    def end_silence(self) -> None:
        """Make the agent reachable: respond to the requests held back, and to watches with changes."""
        self.silent = False
        changes, self._changes_while_silent = self._changes_while_silent, {}
        for entry in changes.values():
            self._record_received(entry)
        held, self._held = self._held, []
        for call, message in held:
            if call in self.calls:
                self.handle_request(call, message)
        for call in [call for call in self.calls if call.watch_timer is not None and call.since < self.index]:
            self._answer_watch(call)

    def full_list(self) -> dict[str, Any]:
        """Return the whole list of workers in the form of a response."""
        return {
            "index": self.index,
            "snapshot": True,
            "endpoints": [self._row(entry) for entry in self.view.values()],
        }

    def _row(self, entry: ListedWorker) -> dict[str, Any]:
        return {
            "name": entry.name,
            "address": self.address_of(entry),
            "zone": entry.zone,
            "type": "std-2c",
            "group": entry.group,
            "status": entry.status,
            "weight": 1.0,
            "since_ms": entry.since_unix,
        }

    def handle_request(self, call: _GatewayConnection, message: Message) -> None:
        """Handle one request for the list or for a watch; an unreachable agent holds it back."""
        if call.lost:
            return
        if self.silent:
            self._held.append((call, message))
            return
        target = urlsplit(message.start[1].decode("latin-1"))
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        if target.path != "/discovery/hosts":
            call.transport.write(answer_bytes(404))
        elif "since" not in query:
            self._answer_whole(call)
        else:
            call.since = int(query["since"])
            wait_ms = min(MAX_WATCH_MS, float(query.get("timeout_ms", "0")))
            if call.since < self.index:
                self._answer_watch(call)
            else:
                call.watch_timer = self.around.later(wait_ms, self._answer_watch, call)

    def _answer_whole(self, call: _GatewayConnection) -> None:
        call.transport.write(answer_bytes(200, json.dumps(self.full_list()).encode()))
        self.record_notified([*self.view.values()], whole=True)

    def _answer_watch(self, call: _GatewayConnection) -> None:
        call.stop_waiting()
        if self.silent:
            return
        if self._changes and call.since < self._changes[0][0] - 1:
            self._answer_whole(call)
            return
        changes = [entry for index, entry in self._changes if index > call.since]
        body = {"index": self.index, "snapshot": False, "endpoints": [self._row(entry) for entry in changes]}
        call.transport.write(answer_bytes(200, json.dumps(body).encode()))
        self.record_notified(changes, whole=False)

    def record_notified(self, entries: list[ListedWorker], whole: bool) -> None:
        """Record each change of incarnation or status that the gateway is notified of."""
        t = self.around.now()
        for entry in entries:
            if self._notified.get(entry.name) != (entry.incarnation, entry.status):
                self._notified[entry.name] = (entry.incarnation, entry.status)
                self._record(StatusSent(t, self.gate, entry.name, entry.incarnation, entry.status))
        if whole:
            names = {entry.name for entry in entries}
            for name, (incarnation, status) in list(self._notified.items()):
                if name not in names:
                    del self._notified[name]
                    if status != "gone":
                        self._record(StatusSent(t, self.gate, name, incarnation, "gone"))


class DiscoveryStub:
    """Sends changes of workers to all discovery agents, with delays."""

    def __init__(self, around: Surroundings, part: RosterPart, agents: list[DiscoveryAgent]) -> None:
        self._around, self._part, self.agents = around, part, agents
        self._rng = around.chance("roster")
        self._last: dict[tuple[int, str], float] = {}  # Due time of the last change, by agent and worker

    def set_initial_list(self, entries: list[ListedWorker]) -> None:
        """Set the list of workers that all agents have at the start."""
        for agent in self.agents:
            agent.view = {entry.name: entry for entry in entries}

    def publish(self, entry: ListedWorker) -> None:
        """Send a change to each agent after a random delay; changes of one worker arrive in order."""
        late = {"ready": self._part.add_s, "draining": self._part.drain_s, "gone": self._part.gone_s}
        notice_ms = self._rng.uniform(*late[entry.status]) * 1000
        for number, agent in enumerate(self.agents):
            due = self._around.now() + notice_ms + self._rng.uniform(*self._part.spread_ms)
            due = self._last[number, entry.name] = max(due, self._last.get((number, entry.name), 0.0) + 1.0)
            self._around.later(due - self._around.now(), agent.change, entry)

    def silence(self, for_ms: float) -> None:
        """Make all agents unreachable for `for_ms`: they hold back their responses."""
        for agent in self.agents:
            agent.silent = True
            self._around.later(for_ms, agent.end_silence)
