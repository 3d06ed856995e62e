"""The event turn: the events of one event loop iteration go to the policy in one call, and the actions that
the policy returns are executed in order.

An exception in the policy must not break open requests. It is logged, the actions of that turn are lost, and
the deadline timer of each affected request gives its final response."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from plumpick.gateway.clock import Clock
from plumpick.policy.actions import Action
from plumpick.policy.events import Event

FAULT_LOG_INTERVAL_MS = 10_000.0

log = logging.getLogger(__name__)


class EventTurn:
    """Queues the events of one event loop iteration and dispatches the resulting actions to `handlers`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, controller: Any) -> None:
        self.handlers: dict[type[Any], Callable[[Any], None]] = {}
        self.started_ms = 0.0  # time that the policy was given in the latest turn
        self._loop = loop
        self._clock = clock
        self._controller = controller
        self._events: list[Event] = []
        self._last_id = 0
        self._next_fault_log_ms = 0.0

    def next_id(self) -> int:
        """Return a new number that identifies one request or command within this process."""
        self._last_id += 1
        return self._last_id

    def post(self, event: Event) -> None:
        """Queue an event for the policy, which handles it at the end of this event loop iteration."""
        if not self._events:
            self._loop.call_soon(self.run)
        self._events.append(event)

    def run(self) -> None:
        """Pass the queued events to the policy now and execute the actions that it returns."""
        if not self._events:  # the events were handled earlier: an operator's command runs the turn at once
            return
        events = self._events
        self._events = []
        actions: list[Action] = []
        try:
            self.started_ms = self._clock.now()
            actions = self._controller.handle(self.started_ms, events)
            faults = self._controller.faults
        except Exception as problem:
            faults = [problem]
        if faults and self._clock.now() >= self._next_fault_log_ms:
            self._next_fault_log_ms = self._clock.now() + FAULT_LOG_INTERVAL_MS
            log.error(
                "policy failed, actions of this turn may be lost: faults=%d events=%d",
                len(faults),
                len(events),
                exc_info=faults[0],
            )
        handlers = self.handlers
        for action in actions:
            handlers[type(action)](action)
