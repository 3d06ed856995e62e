"""Execution of operators' commands and of settings changes. Both are in force when the call returns.

A command or settings change that is rejected raises a GatewayError whose text is the reply, and leaves the
state unchanged."""

from __future__ import annotations

import logging
import math
from typing import Protocol

from plumpick.gateway.config import Config
from plumpick.gateway.errors import CommandRejectedError, SettingsRejectedError
from plumpick.gateway.event_turn import EventTurn
from plumpick.gateway.listeners.interface import ClusterParticipant, SettingsSource, SiblingProcess
from plumpick.policy.actions import CommandCompleted
from plumpick.policy.events import CommandKind, OperatorCommand, SettingsChanged

# Fields of the configuration outside `settings` that only a restart can change. A version published by the
# settings service never differs in them; the check protects against other callers. The settings that only a
# restart can change are listed in reconfiguration.FIXED. The list of workers is updated by discovery.
RESTART_ONLY_FIELDS = (
    "name",
    "listen",
    "sockets",
    "peer_listen",
    "peers",
    "peers_all",
    "memory_mb",
    "management",
)

MAX_REPEATED = 1024  # maximum number of commands that are repeated after a takeover

log = logging.getLogger(__name__)


class CommandContext(Protocol):
    """What operators' commands need of the gateway."""

    participant: ClusterParticipant | None
    settings_source: SettingsSource | None
    sibling: SiblingProcess | None

    def readiness(self) -> str:
        """Return the reply to READY; raises CommandRejectedError."""

    def memory_status(self) -> str:
        """Return the reply to MEMORY: what is held by whom."""


class OperatorCommands:
    """Executes operators' commands, passing to the policy those that it decides on."""

    def __init__(self, context: CommandContext, turn: EventTurn) -> None:
        self._context = context
        self._turn = turn
        # The policy's replies by command id, read at once; empty if the command succeeded.
        self._errors: dict[int, str] = {}
        # While this process may take over from a hot-restart predecessor: the last command for each worker,
        # and the last one of DRAIN and UNDRAIN, in order. None at any other time.
        self._before_takeover: dict[str, tuple[str, str]] | None = None

    def begin_takeover(self) -> None:
        """Keep the commands that are executed from now on, for `end_takeover`."""
        self._before_takeover = {}

    def end_takeover(self) -> None:
        """Repeat the commands kept since `begin_takeover`. They have been answered, but the state of the
        hot-restart predecessor may have undone them, and the predecessor does not know of them."""
        kept = self._before_takeover or {}
        self._before_takeover = None
        for name, argument in kept.values():
            try:
                self._apply_everywhere(name, argument)
            except CommandRejectedError as problem:
                log.warning("operator: %s %s: not in force after the handover: %s", name, argument, problem)

    def execute(self, name: str, argument: str) -> str:
        """Execute an operator's command and return the text of the reply. Raises CommandRejectedError, and
        ValueError for a command that the policy does not know."""
        context = self._context
        if name == "READY":
            return context.readiness()
        if name == "MEMORY":
            return context.memory_status()
        if name == "CONFIGURATION":
            if context.settings_source is None:
                raise CommandRejectedError(
                    "no settings service is configured: the operator's file has no [configuration] table"
                )
            return context.settings_source.status_line()
        if name in ("DUTIES", "BUDGETS") or (name == "DRAIN" and argument):
            return self._execute_cluster_command(name, argument)
        if name == "UNDRAIN" and context.participant is not None:
            context.participant.request_restart_permit(False)
        text = f"{name}{' ' if argument else ''}{argument}"
        try:
            self._apply_everywhere(name, argument)
        except CommandRejectedError as problem:
            log.info("operator: %s: rejected: %s", text, problem)
            raise
        self._keep_until_takeover(name, argument)
        log.info("operator: %s: done", text)
        return text

    def _apply_everywhere(self, name: str, argument: str) -> None:
        """Apply a command here and in the sibling process, if there is one. Raises the errors of `apply`."""
        self.apply(name, argument)
        sibling = self._context.sibling
        if sibling is not None:
            sibling.on_operator_command(name, argument)

    def _keep_until_takeover(self, name: str, argument: str) -> None:
        kept = self._before_takeover
        if kept is None:
            return
        kept.pop(argument, None)
        kept[argument] = name, argument
        if len(kept) > MAX_REPEATED:
            del kept[next(iter(kept))]

    def _execute_cluster_command(self, name: str, argument: str) -> str:
        """Execute a command that concerns all gateways; raises CommandRejectedError."""
        participant = self._context.participant
        if participant is None:
            raise CommandRejectedError("no fleet tasks are configured: the operator's file has no duties")
        if name == "DRAIN":
            return self._request_fleet_drain(participant, argument)
        is_rejected, text = (
            participant.tasks_status(argument) if name == "DUTIES" else participant.budgets_status(argument)
        )
        if is_rejected:
            raise CommandRejectedError(text)
        return text

    def _request_fleet_drain(self, participant: ClusterParticipant, argument: str) -> str:
        """Execute DRAIN FLEET: this gateway drains once it holds the fleet's restart permit. Raises
        CommandRejectedError."""
        if argument.upper() != "FLEET":
            raise CommandRejectedError(f"DRAIN: expected FLEET or no argument, got {argument!r}")
        error = participant.request_restart_permit(True)
        log.info(
            "operator: DRAIN FLEET: %s", f"rejected: {error}" if error else "waiting for a restart permit"
        )
        if error:
            raise CommandRejectedError(error)
        return "DRAIN FLEET: this gateway drains once it is granted the restart permit"

    def apply(self, name: str, argument: str) -> None:
        """Have the policy execute a command now. Raises CommandRejectedError, and ValueError for a command
        that the policy does not know."""
        kind = CommandKind(name.lower())
        command_id = self._turn.next_id()
        self._turn.post(OperatorCommand(command_id, kind, argument))
        error = self._run(command_id, "the policy failed to execute the command; see the log")
        if error:
            raise CommandRejectedError(error)

    def change_settings(self, current: Config, config: Config) -> None:
        """Have the policy put new settings in force now; raises SettingsRejectedError."""
        _check_reconfiguration(current, config)
        command_id = self._turn.next_id()
        self._turn.post(SettingsChanged(command_id, config.settings))
        error = self._run(command_id, "the policy failed to apply the settings; see the log")
        if error:
            raise SettingsRejectedError(error)

    def _run(self, command_id: int, failure: str) -> str:
        """Run the event turn and return the policy's error about a command, empty if it succeeded, or
        `failure` if the policy did not complete the command."""
        self._turn.run()
        return self._errors.pop(command_id, failure)

    def on_completed(self, action: CommandCompleted) -> None:
        """Record the policy's result of a command: an error text, empty if it succeeded."""
        self._errors[action.id] = action.error


def _check_reconfiguration(current: Config, config: Config) -> None:
    """Check that `config` can replace `current` without a restart, as far as the gateway itself is concerned;
    raises SettingsRejectedError."""
    for name in RESTART_ONLY_FIELDS:
        if getattr(config, name) != getattr(current, name):
            raise SettingsRejectedError(f"{name}: cannot change without a restart")
    for key, value in (
        ("dialTimeoutMs", config.connect_timeout_ms),
        ("connIdleMs", config.worker_idle_timeout_ms),
    ):
        if not 0 < value < math.inf:
            raise SettingsRejectedError(
                f"settings.limits.{key}: expected a finite number above 0, got {value!r}"
            )
