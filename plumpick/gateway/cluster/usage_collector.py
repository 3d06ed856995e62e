"""Usage of the fleet: counts requests, answers polls of other gateways, collects a period's usage of all.

A malformed snapshot of the hot-restart predecessor's counts raises UsageSnapshotError. A period for which a
gateway does not report in time is listed as a gap in the result."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from typing import Any

from plumpick.gateway.config import Config
from plumpick.gateway.operator_config import USE, FleetSettings
from plumpick.gateway.platform import Platform
from plumpick.policy import usage_report
from plumpick.policy.leases.actions import DeliverPayload
from plumpick.policy.scheduled_tasks import StartRun
from plumpick.policy.usage_report import FleetUsage, UsageCollection, UsageCounter, UsageMessage

POLL_STEP_S = 0.02
OTHER_PLAN = 255  # index under which plans that are not configured are counted
OUTCOMES = (usage_report.SERVED, usage_report.REJECTED, usage_report.FAILED)


class UsageCollector:
    """Owns one counter for each task of the kind `use`, and one collection for each running one."""

    def __init__(
        self,
        config: Config,
        settings: FleetSettings,
        system: Platform,
        send_payload: Callable[[float, int, bytes], None],
    ) -> None:
        """`send_payload(now_ms, receiver, payload)` sends a message to the gateway with number `receiver`."""
        self._config = config
        self._system = system
        self._send_payload = send_payload
        self._plans = [plan.name for plan in config.settings.plans]
        self._counters = {
            one.task.name: UsageCounter(one.task.period_ms, system.unix_ms())
            for one in settings.scheduled_tasks
            if one.task.kind == USE
        }
        self._names_by_tag = {_tag(name): name for name in self._counters}
        self._collections: dict[str, tuple[int, UsageCollection]] = {}  # period and collection by task name
        # Sends a row of counts to the hot-restart successor, if there is one.
        self.forward: Callable[[list[Any]], None] | None = None

    # -- counting of requests

    def count(self, plan: str, outcome: int, units: float) -> None:
        """Count a request with its final outcome, one of OUTCOMES, or forward it to the successor."""
        if self.forward is not None:
            self.forward([plan, outcome, units])
            return
        number = self._plans.index(plan) if plan in self._plans else OTHER_PLAN
        for counter in self._counters.values():
            counter.count(self._system.unix_ms(), number, outcome, units)

    def count_forwarded(self, value: Any) -> None:
        """Count a request that the hot-restart predecessor forwarded, [plan, outcome, units]. Raises
        ValueError or TypeError if it is malformed."""
        plan, outcome, units = value
        if outcome not in OUTCOMES:
            raise ValueError(f"unknown outcome {outcome!r}, expected one of {OUTCOMES}")
        self.count(str(plan), outcome, float(units))

    def capture(self) -> dict[str, Any]:
        """The counts for the hot-restart successor, by task name."""
        return {name: counter.capture() for name, counter in self._counters.items()}

    def start_again(self) -> None:
        """Begin to count anew, because another process of this gateway had counts that are not known here."""
        for counter in self._counters.values():
            counter.start_again(self._system.unix_ms())

    def restore(self, state: dict[str, Any]) -> None:
        """Add the counts of the hot-restart predecessor; raises UsageSnapshotError if malformed."""
        for name, rows in state.items():
            if name in self._counters:
                self._counters[name].restore(rows)

    # -- polls of other gateways

    def on_payload(self, now_ms: float, payload: DeliverPayload) -> None:
        """Answer a poll, or add a report to its collection; any other payload is dropped."""
        message = usage_report.decode(payload.data)
        name = self._names_by_tag.get(message.tag) if message is not None else None
        if message is None or name is None:
            return
        if message.kind == usage_report.KIND_REQUEST:
            for data in self._report(name, message.period):
                self._send_payload(now_ms, payload.sender, data)
            return
        self._on_report(name, payload.sender, message)

    def _on_report(self, name: str, sender: int, message: UsageMessage) -> None:
        period, collection = self._collections.get(name, (-1, None))
        if collection is not None and period == message.period:
            collection.on_report(sender, message)

    def _report(self, name: str, period: int) -> list[bytes]:
        usage = self._counters[name].usage(self._system.unix_ms(), period)
        return usage_report.encode_report(_tag(name), period, usage)

    # -- collection of the fleet's usage

    async def collect(self, start: StartRun) -> dict[str, Any]:
        """Poll all gateways for their usage in the run's period; returns the effect's body: usage by plan,
        and the gaps for which no report was received."""
        name = start.task.name
        collection = UsageCollection(self._config.settings.gateway_count, self._system.boottime())
        self._collections[name] = start.period, collection
        try:
            while not collection.is_over(now_ms := self._system.boottime()):
                for gateway in collection.gateways_to_poll(now_ms):
                    self._poll(now_ms, name, start.period, gateway, collection)
                await asyncio.sleep(POLL_STEP_S)
        finally:
            self._collections.pop(name, None)
        return self._body(start, collection.result(start.task.period_ms))

    def _poll(self, now_ms: float, name: str, period: int, gateway: int, collection: UsageCollection) -> None:
        if gateway != self._config.settings.gateway_number:
            self._send_payload(now_ms, gateway, usage_report.encode_request(_tag(name), period))
            return
        for data in self._report(name, period):
            message = usage_report.decode(data)
            assert message is not None
            collection.on_report(gateway, message)

    def _body(self, start: StartRun, usage: FleetUsage) -> dict[str, Any]:
        period_ms = start.task.period_ms
        return {
            "from_ms": start.period * period_ms,
            "until_ms": (start.period + 1) * period_ms,
            "plans": [
                {
                    "plan": self._plans[plan] if plan < len(self._plans) else "other",
                    "served": int(served),
                    "refused": int(rejected),
                    "failed": int(failed),
                    "units": units,
                }
                for plan, (served, rejected, failed, units) in sorted(usage.totals.items())
            ],
            "gaps": [
                {"gatekeeper": gap.gateway, "from_ms": gap.from_ms, "until_ms": gap.until_ms}
                for gap in usage.gaps
            ],
        }


def _tag(name: str) -> int:
    """The identifier of a task in usage messages: a CRC-32 of its name."""
    return zlib.crc32(name.encode())
