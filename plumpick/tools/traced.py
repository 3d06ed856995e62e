"""The daemon with trace records: `python -m plumpick.tools.traced` in place of `python -m plumpick`.

Each event and action of the policy, each opened connection and each call of discovery is written to standard
error as `@` and a line of JSON; `plumpick counts DIR` aggregates the logs of a whole tier. The decisions are
those of the daemon, compiled if it is compiled. Tracing costs CPU and is not meant for production."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from typing import Any

from plumpick.gateway import compiled
from plumpick.gateway.clock import Clock
from plumpick.policy.actions import FailRequest, RejectRequest, SendPeerMessage, StartAttempt
from plumpick.policy.events import (
    AttemptCompleted,
    ClientDisconnected,
    EndpointsUpdated,
    PeerMessageReceived,
    RequestReceived,
)

BELIEF_INTERVAL_MS = 100.0  # interval of the records of the policy's estimates
MAX_BUFFERED_LINES = 50  # number of buffered lines at which the buffer is written out


class TraceWriter:
    """Writes trace records to standard error: a line of JSON each, with a kind and the Unix time in ms."""

    def __init__(self) -> None:
        self.now = Clock().now
        self._lines: list[str] = []

    def write(self, kind: str, *parts: Any) -> None:
        """Buffer a record; the buffer is written out at MAX_BUFFERED_LINES lines."""
        row = (kind, round(self.now(), 1), *parts)
        self._lines.append("@" + json.dumps(row, separators=(",", ":")) + "\n")
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.flush()

    def flush(self) -> None:
        """Write out the buffered records."""
        sys.stderr.write("".join(self._lines))
        sys.stderr.flush()
        self._lines = []


class TracingController:
    """A proxy of the policy's controller that records its events and actions."""

    def __init__(self, record: TraceWriter, inner: Any) -> None:
        self._record, self._inner, self._decode = record, inner, inner.codec.decode
        self._belief_ms = 0.0
        self._requests: dict[int, Any] = {}  # the controller's state of each open request, by request number

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)

    def handle(self, now_ms: float, events: list[Any]) -> list[Any]:
        """Pass events to the controller; returns its actions, after both were recorded."""
        for event in events:
            self._record_event(event)
        actions: list[Any] = self._inner.handle(now_ms, events)
        for event in events:
            if isinstance(event, RequestReceived):
                self._requests[event.id] = self._inner.requests.get(event.id)
        for action in actions:
            self._record_action(action)
        for one in [*events, *actions]:
            over = isinstance(one, (RejectRequest, FailRequest, ClientDisconnected))
            if over or isinstance(one, AttemptCompleted) and one.is_final:
                self._requests.pop(one.id, None)
        if now_ms >= self._belief_ms:
            self._belief_ms = now_ms + BELIEF_INTERVAL_MS
            self._record_beliefs()
            self._record.flush()
        return actions

    def _record_event(self, event: Any) -> None:
        write = self._record.write
        if isinstance(event, RequestReceived):
            write(
                "arrival",
                event.id,
                event.customer,
                event.plan_name,
                event.class_name,
                event.first_gateway,
                event.gateway_set_size,
                int(event.is_client_retry),
                round(event.deadline_ms - self._record.now()),
            )
        elif isinstance(event, AttemptCompleted):
            write(
                "outcome",
                event.id,
                event.endpoint,
                event.result.value.upper(),
                round(event.latency_ms, 1),
                event.load_report,
            )
        elif isinstance(event, ClientDisconnected):
            write("gone", event.id)
        elif isinstance(event, PeerMessageReceived):
            message = self._decode(event.data)
            write("heard", event.sender, [item.kind for item in message.quota_messages] if message else None)
        elif isinstance(event, EndpointsUpdated):
            write(
                "list",
                int(event.is_snapshot),
                [(server.id, server.state.name, server.started_ms) for server in event.endpoints],
            )

    def _record_action(self, action: Any) -> None:
        write = self._record.write
        if isinstance(action, StartAttempt):
            request = self._inner.requests.get(action.id)
            write(
                "send",
                action.id,
                action.endpoint,
                request.units_charged if request else 0.0,
                int(bool(request and request.owner_has_replied)),
            )
        elif isinstance(action, RejectRequest):
            write("refuse", action.id, round(action.retry_after_ms), self._progress_of(action.id))
        elif isinstance(action, FailRequest):
            write("fail", action.id, self._progress_of(action.id))
        elif isinstance(action, SendPeerMessage):
            message = self._decode(action.data)
            write(
                "tell",
                action.receiver,
                [item.kind for item in message.quota_messages] if message else [],
                len(action.data),
            )

    def _progress_of(self, number: int) -> str:
        """The progress of a request: `sent`, `held` in a queue, `asked`, `unheard` or `unasked` by the state
        of its grant request to the quota's owner, `none` if it is unknown."""
        request = self._requests.get(number)
        if request is None:
            return "none"
        if request.attempt_count:
            return "sent"
        if request.is_queued or not request.awaits_quota:
            return "held"
        if request.owner_has_replied:
            return "asked"
        return "unheard" if request.grant_requests else "unasked"

    def _record_beliefs(self) -> None:
        state = self._inner.state
        limit, endpoints, quota = state.limit, state.endpoints, state.quota
        self._record.write(
            "belief",
            {
                "limit": round(limit.limit, 2),
                "out": round(limit.in_flight, 2),
                "cut": round(limit.backoff_factor, 2),
                "room": round(limit.capacity, 2),
                "fleet_room": round(limit.fleet_capacity, 2),
                "idle": round(limit.idle_ratio, 2),
                "held": len(state.queue.queued),
                "waiting": len(quota.requester.pending),
                "silent": len(quota.liveness.unresponsive_owners),
                "rtt": round(quota.requester.round_trip_ms, 1),
                "warm": len(endpoints.warm),
                "cold": len(endpoints.warming),
                "near": len(endpoints.subset_warm),
                "suspects": len(state.outliers.candidates),
                "budget": round(state.retry_budget.tokens, 1),
            },
        )


def main() -> int:
    """Run the daemon with trace records; returns its exit code."""
    description = compiled.use_compiled_files()
    import uvloop  # imported late, as in the daemon: the following imports load the policy

    from plumpick.gateway import daemon, discovery, process
    from plumpick.policy.controller import Controller

    record, create_gateway = TraceWriter(), process.Gateway

    class Loop(uvloop.Loop):  # type: ignore[misc]
        async def create_connection(self, factory: Any, host: str, port: int) -> Any:
            started_ms = record.now()
            try:
                connection = await super().create_connection(factory, host, port)
            # the exception may be a cancellation; it is recorded and raised again
            except BaseException as problem:
                record.write("dial", host, type(problem).__name__, round(record.now() - started_ms, 1))
                raise
            record.write("dial", host, "up", round(record.now() - started_ms, 1))
            return connection

    class AddressWatch(discovery.AddressWatch):
        async def _fetch(self, target: str, timeout_s: float) -> Any:
            started_ms = record.now()
            try:
                response = await super()._fetch(target, timeout_s)
            except BaseException as problem:
                record.write(
                    "call", target, str(problem) or type(problem).__name__, round(record.now() - started_ms)
                )
                raise
            record.write("call", target, "ok", round(record.now() - started_ms), len(response.entries))
            return response

    def gateway(config: Any, loop: Any, platform: Any) -> Any:
        with open(os.environ["BALANCER_CONFIG"], encoding="utf-8") as file:
            for key, value in json.load(file)["settings"].items():
                record.write("settings", key, value)
        return create_gateway(
            config, loop, TracingController(record, Controller(config.settings, config.seed)), platform
        )

    def run(serving: Any) -> None:
        with asyncio.Runner(loop_factory=Loop) as runner:
            runner.run(serving)
        record.flush()

    discovery.AddressWatch = AddressWatch  # type: ignore[misc]
    process.Gateway = gateway  # type: ignore[assignment,misc]
    daemon.uvloop = type("Uvloop", (), {"run": staticmethod(run)})  # type: ignore[assignment]
    return daemon.main(description)


if __name__ == "__main__":
    sys.exit(main())
