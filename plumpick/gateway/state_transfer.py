"""The policy's state in a hot restart: out of the process before, into the next one."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from plumpick.gateway.errors import StateNotExportedError
from plumpick.gateway.event_turn import EventTurn
from plumpick.policy.actions import StateExported
from plumpick.policy.events import ExportState, ImportState


class StateTransfer:
    """Exports and imports the policy's state, each in a turn of its own."""

    def __init__(self, turn: EventTurn) -> None:
        self._turn = turn
        self._state: Mapping[str, Any] | None = None

    def export_state(self) -> Mapping[str, Any]:
        """The state for the next process, which owns it from now on; raises StateNotExportedError."""
        self._state = None
        self._turn.post(ExportState())
        self._turn.run()
        state = self._exported()  # by a call: the compiler takes the None from above to stand for this too
        if state is None:
            raise StateNotExportedError("the module gave no state")
        return state

    def _exported(self) -> Mapping[str, Any] | None:
        return self._state

    def on_exported(self, action: StateExported) -> None:
        """The policy has given its state."""
        self._state = action.state

    def import_state(self, state: Mapping[str, Any]) -> None:
        """Go on from the state of the process before."""
        self._turn.post(ImportState(state))
        self._turn.run()
