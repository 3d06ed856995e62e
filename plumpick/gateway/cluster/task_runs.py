"""Runs of scheduled tasks: each run is an asyncio task that sends an effect to the task's receiver.

An exception in a run affects neither other runs nor the leases. The end of each run that was not stopped is
reported, with an EffectError if the run failed."""

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
    """Owns one asyncio task for each running scheduled task; the scheduler bounds their number."""

    def __init__(
        self,
        gateway_name: str,
        settings: tuple[ScheduledTaskSettings, ...],
        loop: asyncio.AbstractEventLoop,
        may_act: Callable[[int, int], bool],
        collect_usage: Callable[[StartRun], Awaitable[dict[str, Any]]],
        on_end: Callable[[StartRun, EffectError | None], None],
    ) -> None:
        """`may_act(slot, token)` returns whether an effect may be written now. `on_end(start, error)` is
        called when a run ends; `error` is None if it succeeded."""
        self._gateway_name = gateway_name
        self._receivers = {one.task.name: one.receiver for one in settings}
        self._loop = loop
        self._may_act = may_act
        self._collect_usage = collect_usage
        self._on_end = on_end
        self._runs: dict[str, asyncio.Task[None]] = {}  # running asyncio tasks by the scheduled task's name

    def start(self, action: StartRun) -> None:
        """Start a run of a scheduled task."""
        self._runs[action.task.name] = self._loop.create_task(self._run(action))

    def stop(self, action: StopRun) -> None:
        """Cancel the run of a scheduled task, without a call of `on_end`."""
        log.warning("duties: %s, period %d: run stopped: %s", action.task.name, action.period, action.reason)
        run = self._runs.pop(action.task.name, None)
        if run is not None:
            run.cancel()

    def cancel_all(self) -> None:
        """Cancel all runs, without calls of `on_end`."""
        for run in self._runs.values():
            run.cancel()
        self._runs.clear()

    async def _run(self, start: StartRun) -> None:
        name = start.task.name
        error = await self._execute(start)
        if self._runs.get(name) is not asyncio.current_task():
            return  # this run was stopped, or a newer run has replaced it
        del self._runs[name]
        if error is not None:
            log.warning("duties: %s, period %d: run failed: %s", name, start.period, error)
        else:
            log.debug("duties: %s, period %d: run done, token %x", name, start.period, start.token)
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
        except Exception as problem:  # a failed run must not affect other runs or the leases
            log.exception("duties: %s, period %d: the run raised an exception", name, start.period)
            return EffectError(f"{type(problem).__name__}: {problem}")
        return None
