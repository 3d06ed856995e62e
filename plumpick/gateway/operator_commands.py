"""Operators' commands, and other settings in service: what the policy decides on is in force before a call
returns.

A command or settings that cannot be carried out raise a GatewayError whose text is the reply; nothing has
changed then."""

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

# Fields of the configuration outside `settings`. A published version replaces settings alone and keeps them;
# the check holds for any other caller. reconfiguration.RESTART_ONLY names the settings that are fixed until a
# restart. The list of workers is discovery's to change.
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

log = logging.getLogger(__name__)


class CommandContext(Protocol):
    """What commands ask of the gateway."""

    participant: ClusterParticipant | None
    settings_source: SettingsSource | None
    sibling: SiblingProcess | None

    def readiness(self) -> str:
        """The reply to READY; raises CommandRejectedError."""


class OperatorCommands:
    """Carries out operators' commands, with the policy where it decides on them."""

    def __init__(self, context: CommandContext, turn: EventTurn) -> None:
        self._context = context
        self._turn = turn
        self._errors: dict[int, str] = {}  # by command, until they are read in the same turn

    def execute(self, name: str, argument: str) -> str:
        """Carry out an operator's command; returns the text of the reply. Raises CommandRejectedError, and
        ValueError for a command that the policy does not know."""
        context = self._context
        if name == "READY":
            return context.readiness()
        if name == "CONFIGURATION":
            if context.settings_source is None:
                raise CommandRejectedError(
                    "settings are those of the file: the operator's names no [configuration]"
                )
            return context.settings_source.status_line()
        if name in ("DUTIES", "BUDGETS") or (name == "DRAIN" and argument):
            return self._execute_cluster_command(name, argument)
        if name == "UNDRAIN" and context.participant is not None:
            context.participant.want_restart_permit(False)
        text = f"{name}{' ' if argument else ''}{argument}"
        try:
            self.apply(name, argument)
        except CommandRejectedError as problem:
            log.info("operator: %s: refused, %s", text, problem)
            raise
        if context.sibling is not None:
            context.sibling.on_operator_command(name, argument)
        log.info("operator: %s: done", text)
        return text

    def _execute_cluster_command(self, name: str, argument: str) -> str:
        """A command that concerns the whole tier; raises CommandRejectedError."""
        participant = self._context.participant
        if participant is None:
            raise CommandRejectedError(
                "nothing is done for the fleet here: the operator's file names no duties"
            )
        if name == "DRAIN":
            return self._drain_in_turn(participant, argument)
        is_rejected, text = (
            participant.tasks_status(argument) if name == "DUTIES" else participant.budgets_status(argument)
        )
        if is_rejected:
            raise CommandRejectedError(text)
        return text

    def _drain_in_turn(self, participant: ClusterParticipant, argument: str) -> str:
        """DRAIN FLEET: this gateway drains when it is its turn; raises CommandRejectedError."""
        if argument.upper() != "FLEET":
            raise CommandRejectedError("DRAIN takes FLEET, or nothing more")
        error = participant.want_restart_permit(True)
        log.info("operator: DRAIN FLEET: %s", f"refused, {error}" if error else "waits for a turn")
        if error:
            raise CommandRejectedError(error)
        return "DRAIN FLEET: when it is our turn"

    def apply(self, name: str, argument: str) -> None:
        """Have the policy carry out a command at once; raises CommandRejectedError, and ValueError for one
        that it does not know."""
        kind = CommandKind(name.lower())
        command_id = self._turn.next_id()
        self._turn.post(OperatorCommand(command_id, kind, argument))
        error = self._run(command_id, "the order failed; see the log")
        if error:
            raise CommandRejectedError(error)

    def change_settings(self, present: Config, config: Config) -> None:
        """Have the policy go on by other settings at once; raises SettingsRejectedError."""
        _check_reconfiguration(present, config)
        command_id = self._turn.next_id()
        self._turn.post(SettingsChanged(command_id, config.settings))
        error = self._run(command_id, "the module failed on them; see the log")
        if error:
            raise SettingsRejectedError(error)

    def _run(self, command_id: int, failure: str) -> str:
        """Run the turn; the policy's error about a command, or `failure` if it gave no answer."""
        self._turn.run()
        return self._errors.pop(command_id, failure)

    def on_completed(self, action: CommandCompleted) -> None:
        """The policy has carried out a command, or rejects it."""
        self._errors[action.id] = action.error


def _check_reconfiguration(present: Config, config: Config) -> None:
    """Whether the gateway's own part of a configuration may follow the present one in service; raises
    SettingsRejectedError."""
    for name in RESTART_ONLY_FIELDS:
        if getattr(config, name) != getattr(present, name):
            raise SettingsRejectedError(f"{name}: it cannot change before a restart")
    for key, value in (("dialTimeoutMs", config.dial_timeout_ms), ("connIdleMs", config.idle_ms)):
        if not 0 < value < math.inf:
            raise SettingsRejectedError(f"settings.limits.{key}: {value!r} is not above 0")
