"""The event turn: all that happens in one turn of the loop goes to the policy in one call, and the actions
that it returns are carried out in their order.

A policy that raises must not end all requests: the fault is logged, the actions of that turn are lost, and
each request's deadline timer gives its final response."""

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
    """The events of this turn of the loop, and the handler of each type of action."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, controller: Any) -> None:
        self.handlers: dict[type[Any], Callable[[Any], None]] = {}
        self.started_ms = 0.0  # the policy's time of the last turn
        self._loop = loop
        self._clock = clock
        self._controller = controller
        self._events: list[Event] = []
        self._last_id = 0
        self._next_fault_log_ms = 0.0

    def next_id(self) -> int:
        """A number for a request or a command that no other one has."""
        self._last_id += 1
        return self._last_id

    def post(self, event: Event) -> None:
        """Add an event to the policy's next turn, at the end of this turn of the loop."""
        if not self._events:
            self._loop.call_soon(self.run)
        self._events.append(event)

    def run(self) -> None:
        """Have the policy decide on what has been posted, at once."""
        if not self._events:  # a command did not wait for the end of the loop's turn
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
            log.error("policy failed: faults=%d events=%d", len(faults), len(events), exc_info=faults[0])
        handlers = self.handlers
        for action in actions:
            handlers[type(action)](action)
