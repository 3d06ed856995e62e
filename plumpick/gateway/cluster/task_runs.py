"""Runs of scheduled tasks: each is an asyncio task that sends an effect to the task's receiver.

A run that raises ends neither the others nor the leases; the end of each run is reported, with an EffectError
where it has failed, unless the run was stopped."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from plumpick.gateway.cluster import fenced_effects
from plumpick.gateway.cluster.fenced_effects import EffectError
from plumpick.gateway.operator_config import USE, ScheduledTaskSettings
from plumpick.policy.scheduled_tasks import StartRun, StopRun

log = logging.getLogger(__name__)


class TaskRuns:
    """Owns one asyncio task for each scheduled task that runs; the scheduler bounds them."""

    def __init__(
        self,
        gateway_name: str,
        settings: tuple[ScheduledTaskSettings, ...],
        loop: asyncio.AbstractEventLoop,
        may_act: Callable[[int, int], bool],
        collect_usage: Callable[[StartRun], Awaitable[dict[str, Any]]],
        on_end: Callable[[StartRun, EffectError | None], None],
    ) -> None:
        """`may_act(slot, token)`: whether an effect may be written now; `on_end`: a run is over."""
        self._gateway_name = gateway_name
        self._receivers = {one.task.name: one.receiver for one in settings}
        self._loop = loop
        self._may_act = may_act
        self._collect_usage = collect_usage
        self._on_end = on_end
        self._runs: dict[str, asyncio.Task[None]] = {}  # by the scheduled task's name

    def start(self, action: StartRun) -> None:
        """Begin a run."""
        self._runs[action.task.name] = self._loop.create_task(self._run(action))

    def stop(self, action: StopRun) -> None:
        """End a run at once; its end is not reported."""
        log.warning("duties: %s, period %d: stopped, %s", action.task.name, action.period, action.reason)
        run = self._runs.pop(action.task.name, None)
        if run is not None:
            run.cancel()

    def cancel_all(self) -> None:
        """End all runs; their ends are not reported."""
        for run in self._runs.values():
            run.cancel()
        self._runs.clear()

    async def _run(self, start: StartRun) -> None:
        name = start.task.name
        error = await self._execute(start)
        if self._runs.get(name) is not asyncio.current_task():
            return  # it was stopped, or another run has begun since
        del self._runs[name]
        if error is not None:
            log.warning("duties: %s, period %d: %s", name, start.period, error)
        else:
            log.debug("duties: %s, period %d: done, token %x", name, start.period, start.token)
        self._on_end(start, error)

    async def _execute(self, start: StartRun) -> EffectError | None:
        name = start.task.name
        try:
            body = await self._collect_usage(start) if start.task.kind == USE else {}
            await fenced_effects.send(
                self._receivers[name],
                name,
                start.period,
                start.token,
                {"duty": name, "period": start.period, "gatekeeper": self._gateway_name, **body},
                lambda: self._may_act(start.slot, start.token),
            )
        except EffectError as problem:
            return problem
        except Exception as problem:  # whatever a run raises, the others and the leases go on
            log.exception("duties: %s, period %d raised", name, start.period)
            return EffectError(f"{type(problem).__name__}: {problem}")
        return None
