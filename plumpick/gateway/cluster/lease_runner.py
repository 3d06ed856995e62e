"""Runs leases and scheduled tasks on the daemon's event loop, sockets and clock. It makes no decisions.

Each step passes the time and the received events to `LeaseParticipant` (ownership of leases) and to
`TaskScheduler` (start and stop of runs), and executes the actions that they return. The clock includes the
time for which the process or the machine is suspended. It is checked again directly before an effect is
written; as the process may be suspended between the check and the write, the fence of the receiver must
reject late effects."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from random import Random
from typing import Any

from plumpick.gateway.cluster import status
from plumpick.gateway.cluster.budget_spending import BudgetSpending
from plumpick.gateway.cluster.fenced_effects import EffectError, StaleTokenError
from plumpick.gateway.cluster.planned_restart import PlannedRestart
from plumpick.gateway.cluster.process_guard import ProcessGuard
from plumpick.gateway.cluster.task_runs import TaskRuns
from plumpick.gateway.cluster.usage_collector import UsageCollector
from plumpick.gateway.config import Config
from plumpick.gateway.operator_config import FleetSettings
from plumpick.gateway.platform import Platform
from plumpick.policy.budgets.codec import is_budget_message
from plumpick.policy.leases.actions import (
    Action,
    DeliverPayload,
    LeaseAcquired,
    LeaseChange,
    LeaseDenied,
    LeaseLost,
    LeaseYieldRequested,
    LossReason,
    SendMessage,
    WriteLog,
)
from plumpick.policy.leases.events import (
    Event,
    LargerTokenSeen,
    MessageReceived,
    ReleaseRequested,
    RestartPermitWanted,
    ShutdownStarted,
)
from plumpick.policy.leases.participant import LeaseParticipant
from plumpick.policy.leases.rate_limit import PeerRateLimit
from plumpick.policy.scheduled_tasks import ReleaseSlot, ReportMissedRun, StartRun, StopRun, TaskScheduler

STALL_MS = 1000.0  # minimum delay of a step that is logged as a stall
MIN_TIMER_MS = 1.0
MAX_TIMER_MS = 60_000.0
MAX_LOGGED_TASKS = 8
SEED_MASK = 0xD5
OTHER_PROCESS_HAS_TASKS = "another process of this gateway has the duties"

log = logging.getLogger(__name__)


class LeaseRunner:
    """Leases, scheduled tasks and budgets of one gateway process.

    `participant` is None before `start`. After `capture` or `close` it is closed, and all events are
    ignored."""

    def __init__(
        self,
        config: Config,
        settings: FleetSettings,
        loop: asyncio.AbstractEventLoop,
        system: Platform,
        send_datagram: Callable[[int, bytes], None],
        command: Callable[[str], str],
    ) -> None:
        """`send_datagram(gateway, data)` sends a datagram; `command(name)` executes an operator's DRAIN or
        UNDRAIN, and returns the error text or an empty string."""
        self._config = config
        self._settings = settings
        self._loop = loop
        self._system = system
        self._send_datagram = send_datagram
        self._chance = Random(config.seed ^ SEED_MASK)
        self._rate_limit = PeerRateLimit()
        self._scheduler = self._new_scheduler()
        self.participant: LeaseParticipant | None = None
        self.usage = UsageCollector(config, settings, system, self._send_payload)
        self.budgets = BudgetSpending(config, settings, system.boottime, self._wake, self._send_payload)
        self._runs = TaskRuns(
            config.name, settings.scheduled_tasks, loop, self._may_act, self.usage.collect, self._on_run_end
        )
        self._restart = PlannedRestart(command)
        self._guard = ProcessGuard(
            loop, lambda: system.lock_peer_address(config.peer_listen), self._on_guard_acquired
        )
        self._timer: asyncio.TimerHandle | None = None
        self._due_ms = math.inf
        self._is_stepping = False
        # An operator's request for a restart permit, or its withdrawal, from before `start`; None without one
        self._early_permit_request: RestartPermitWanted | None = None
        system.on_participant_created(self)

    def _new_scheduler(self) -> TaskScheduler:
        tasks = tuple(one.task for one in self._settings.scheduled_tasks)
        return TaskScheduler(tasks, self._settings.terms.slots, self._chance)

    # -- start and end of the participation

    def start(self, state: dict[str, Any] | None = None) -> None:
        """Join the fleet, with the state of the hot-restart predecessor if one is given."""
        now_ms = self._system.boottime()
        participant = self.participant = LeaseParticipant(
            self._settings.terms,
            self._config.settings.gateway_number,
            self._config.settings.gateway_count,
            self._system.incarnation(),
            self._chance,
            now_ms,
            self._system.unix_ms(),
            accepts=False,
        )
        self.budgets.start(now_ms, participant, self._chance)
        if state is not None:
            self.budgets.restore(now_ms, state)
        self._acquire_guard(participant)
        if state is not None:
            self._restore(now_ms, participant, state)
        early_request, self._early_permit_request = self._early_permit_request, None
        self._step([early_request] if early_request is not None else None)

    def _restore(self, now_ms: float, participant: LeaseParticipant, state: dict[str, Any]) -> None:
        """Import the state of the hot-restart predecessor up to the first malformed part, which is logged."""
        try:
            participant.restore(now_ms, state["leases"], accepts=self._guard.is_held)
            self.usage.restore(state["use"])
            for lease, held in participant.holder.held.items():
                self._on_slot_acquired(now_ms, lease, held.token)
            self._restart.drained = bool(state["drained"])
            log.info("duties: %d leases taken over from the previous process", len(participant.holder.held))
        except (ValueError, KeyError, TypeError) as problem:
            self.usage.start_again()
            log.warning("duties: %s; this process starts without the previous process's state", problem)

    def _acquire_guard(self, participant: LeaseParticipant) -> None:
        is_acceptor = participant.gateway in participant.terms.acceptors
        if not is_acceptor and self.budgets.ledger is None:
            return
        if self._guard.acquire():
            self._on_sole_process(participant)
            return
        log.warning(
            "duties: another process of this gateway %s; this one waits until that process has ended",
            "votes on leases" if is_acceptor else "spends the floors of its budgets",
        )

    def _on_guard_acquired(self) -> None:
        if self.participant is not None and not self.participant.closed:
            self._on_sole_process(self.participant)
            self._step()

    def _on_sole_process(self, participant: LeaseParticipant) -> None:
        now_ms = self._system.boottime()
        participant.become_acceptor(now_ms)
        self.budgets.resume_guaranteed(now_ms)

    def begin_shutdown(self) -> None:
        """Release each lease once no run depends on it, because the process will end. The restart permit is
        kept, as this gateway is the one that restarts."""
        self._scheduler.yield_all()
        self.budgets.yield_slots(set(range(self._settings.terms.slots)))
        self._step([ShutdownStarted()])

    def capture(self) -> dict[str, Any]:
        """The state for the hot-restart successor; closes this runner."""
        assert self.participant is not None
        state = {
            "leases": self.participant.capture(),
            "drained": self._restart.drained,
            "use": self.usage.capture(),
        }
        if self.budgets.ledger is not None:
            state["budgets"] = self.budgets.ledger.export_state(self._system.boottime())
        self.close()
        return state

    def close(self) -> None:
        """Cancel the timer and all runs, release the process guard, and ignore all later events."""
        if self.participant is not None:
            self.participant.closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._runs.cancel_all()
        self._guard.release()

    def resume_after_failed_handover(self) -> None:
        """Start without state after the hot-restart successor has died. The leases that were passed on to it
        expire by themselves.

        Once the restart permit among them has expired another gateway may get it. So this gateway accepts
        clients again until it has acquired a permit of its own."""
        assert self.participant is not None
        permit_wanted = self.participant.permits.wanted
        self.usage.forward = None
        self.usage.start_again()
        self._scheduler = self._new_scheduler()
        self._restart.on_permit_lost(LossReason.SUCCESSOR_ENDED)
        self.start()
        if permit_wanted:
            self._step([RestartPermitWanted(True)])

    def reconfigure(self, settings: FleetSettings) -> None:
        """Apply the settings of an operator's file that was reloaded."""
        if self.budgets.reconfigure(settings):
            self._step()

    # -- events for the participant

    def on_datagram(self, sender: int, data: bytes) -> None:
        """Handle a datagram of the lease protocol from the gateway with the number `sender`."""
        self._step([MessageReceived(sender, data)])

    def request_restart_permit(self, wanted: bool) -> str:
        """Request a restart permit, under which this gateway is drained, or give it up (`wanted` false).
        Returns the error text, or an empty string."""
        if not self._settings.terms.restart_permits:
            return "restart permits are disabled: fleet.turns in the operator's file is 0"
        request = RestartPermitWanted(wanted)
        if self.participant is None:
            self._early_permit_request = request
            return ""
        if self.participant.closed:
            return OTHER_PROCESS_HAS_TASKS
        self._step([request])
        return ""

    def _on_run_end(self, start: StartRun, error: EffectError | None) -> None:
        now_ms = self._system.boottime()
        name = start.task.name
        if error is None:
            self._scheduler.on_run_completed(now_ms, name, start.period)
        else:
            self._scheduler.on_run_failed(now_ms, name, start.period, str(error))
        events: list[Event] = []
        if isinstance(error, StaleTokenError):
            events.append(LargerTokenSeen(start.slot, error.token))
        self._step(events)

    # -- execution of a step

    def _step(self, events: list[Event] | None = None) -> None:
        """Pass the time and the events to the participant and the scheduler, and execute their actions."""
        participant = self.participant
        if participant is None or participant.closed:
            return
        # A step is already running if one of its actions led to an operator's command or the end of a run.
        if self._is_stepping:
            self._loop.call_soon(self._step, events)
            return
        self._is_stepping = True
        try:
            now_ms = self._system.boottime()
            participant.holder.pinned = self.budgets.pinned_slots(now_ms)
            if now_ms - self._due_ms > STALL_MS:
                log.warning("duties: this process stalled for %.1f s", (now_ms - self._due_ms) / 1000)
            self._decide(now_ms, participant, events or [])
            self.budgets.on_timer(now_ms)
        finally:
            self._is_stepping = False
        self._set_timer(now_ms, participant)

    def _decide(self, now_ms: float, participant: LeaseParticipant, events: list[Event]) -> None:
        """Run the participant and the scheduler in turns, until the scheduler releases no more slots."""
        while True:
            for action in participant.handle(now_ms, events):
                self._carry_out(now_ms, action)
            self._scheduler.pinned_slots = self.budgets.pinned_slots(now_ms)
            events = self._schedule(now_ms)
            if not events:
                return

    def _schedule(self, now_ms: float) -> list[Event]:
        """Start and stop the runs that are due; returns the release events for the participant."""
        releases: list[Event] = []
        for action in self._scheduler.handle(now_ms, self._system.unix_ms()):
            match action:
                case ReleaseSlot():
                    releases.append(ReleaseRequested(action.slot))
                case StartRun():
                    self._runs.start(action)
                case StopRun():
                    self._runs.stop(action)
                case ReportMissedRun():
                    missed = "duties: %s, period %d: not run by this gateway (%s)"
                    log.warning(missed, action.task.name, action.period, action.reason)
        return releases

    def _set_timer(self, now_ms: float, participant: LeaseParticipant) -> None:
        due_ms = min(participant.due_ms, self._scheduler.next_due_ms(), self.budgets.next_due_ms())
        self._due_ms = self.budgets.timer_ms = due_ms
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        if due_ms < math.inf:
            delay_ms = math.ceil(min(MAX_TIMER_MS, max(MIN_TIMER_MS, due_ms - now_ms)))
            self._timer = self._loop.call_later(delay_ms / 1000, self._step)

    def _wake(self, due_ms: float) -> None:
        """Schedule a step at once, because a timer of a budget is due before the timer that is set."""
        if self.participant is None or self.participant.closed:
            return
        self._due_ms = self.budgets.timer_ms = due_ms
        self._loop.call_soon(self._step)

    # -- execution of the participant's actions

    def _carry_out(self, now_ms: float, action: Action) -> None:
        match action:
            case SendMessage():
                self.send_message(now_ms, action, is_lease_message=True)
            case DeliverPayload():
                self._on_payload(now_ms, action)
            case WriteLog():
                log.log(logging.WARNING if action.is_warning else logging.INFO, action.text)
            case _:
                self._on_lease_change(now_ms, action)

    def _on_payload(self, now_ms: float, payload: DeliverPayload) -> None:
        if is_budget_message(payload.data):
            self.budgets.on_payload(now_ms, payload)
        else:
            self.usage.on_payload(now_ms, payload)

    def _on_lease_change(self, now_ms: float, change: LeaseChange) -> None:
        is_slot = change.lease < self._settings.terms.slots
        match change:
            case LeaseAcquired() if is_slot:
                self._log_acquired(change)
                self._on_slot_acquired(now_ms, change.lease, change.token)
            case LeaseAcquired():
                self._restart.on_permit_acquired(change.token)
            case LeaseLost():
                self._on_lease_lost(now_ms, change, is_slot)
            case LeaseYieldRequested() if is_slot:
                self._scheduler.yield_slot(change.lease)
                self.budgets.yield_slots({change.lease})
            case LeaseDenied():
                log.debug("duties: the lease of slot %d was denied: %s", change.lease, change.reason)

    def _on_slot_acquired(self, now_ms: float, slot: int, token: int) -> None:
        self._scheduler.on_slot_acquired(now_ms, slot, token)
        self.budgets.on_slot_acquired(now_ms, slot, token)

    def _log_acquired(self, change: LeaseAcquired) -> None:
        names = [name for name, state in self._scheduler.tasks.items() if state.slot == change.lease]
        shown = ", ".join(names[:MAX_LOGGED_TASKS]) or "no duty"
        log.info("duties: acquired the lease of slot %d, token %x: %s", change.lease, change.token, shown)

    def _on_lease_lost(self, now_ms: float, change: LeaseLost, is_slot: bool) -> None:
        lease = change.lease
        reason = change.reason
        log.info("duties: lost the lease of slot %d, token %x: %s", lease, change.token, reason)
        if not is_slot:
            self._restart.on_permit_lost(reason)
            return
        self.budgets.on_slot_lost(lease)
        self._scheduler.on_slot_lost(now_ms, lease, reason)

    def send_message(self, now_ms: float, message: SendMessage, is_lease_message: bool = False) -> None:
        """Send a message to a gateway; it is dropped if that gateway's rate limit is exceeded."""
        if self._rate_limit.allow(now_ms, message.receiver, is_lease_message):
            self._send_datagram(message.receiver, message.data)

    def _send_payload(self, now_ms: float, receiver: int, payload: bytes) -> None:
        if self.participant is not None:
            self.send_message(now_ms, self.participant.payload_message(now_ms, receiver, payload))

    def _may_act(self, slot: int, token: int) -> bool:
        """Whether this process still holds the slot's lease under this token, by the current clock."""
        participant = self.participant
        if participant is None or participant.closed:
            return False
        held = participant.holder.held.get(slot)
        if held is None or held.token != token:
            return False
        return self._system.boottime() < participant.holder.usable_until_ms(slot)

    # -- status for operators

    def tasks_status(self, argument: str) -> tuple[bool, str]:
        """The reply to DUTIES [PAGE]: whether the command is rejected, and the line to answer."""
        if self.participant is None or self.participant.closed:
            return True, OTHER_PROCESS_HAS_TASKS
        now_ms = self._system.boottime()
        page = status.page_of(argument)
        return False, status.tasks_reply(self._config.name, self.participant, self._scheduler, now_ms, page)

    def budgets_status(self, argument: str) -> tuple[bool, str]:
        """The reply to BUDGETS [PAGE]: whether the command is rejected, and the line to answer."""
        ledger = self.budgets.ledger
        if ledger is None:
            return True, "no budgets are configured for this gateway"
        if self.participant is None or self.participant.closed:
            return True, "another process of this gateway has the budgets"
        page = status.page_of(argument)
        return False, status.budgets_reply(self._config.name, ledger, self._system.boottime(), page)
