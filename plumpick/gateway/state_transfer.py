"""Export and import of the policy's state, from the predecessor to the successor of a hot restart."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from plumpick.gateway.errors import StateNotExportedError
from plumpick.gateway.event_turn import EventTurn
from plumpick.policy.actions import StateExported
from plumpick.policy.events import ExportState, ImportState


class StateTransfer:
    """Exports and imports the policy's state; each call runs one event turn at once."""

    def __init__(self, turn: EventTurn) -> None:
        self._turn = turn
        self._state: Mapping[str, Any] | None = None

    def export_state(self) -> Mapping[str, Any]:
        """Return the state for the successor process, which owns it from then on; raises
        StateNotExportedError."""
        self._state = None
        self._turn.post(ExportState())
        self._turn.run()
        state = self._exported()  # a method, since the compiler assumes that `_state` is still None here
        if state is None:
            raise StateNotExportedError("the policy failed to export its state; see the log")
        return state

    def _exported(self) -> Mapping[str, Any] | None:
        return self._state

    def on_exported(self, action: StateExported) -> None:
        """Keep the state that the policy has exported, for `export_state` to return."""
        self._state = action.state

    def import_state(self, state: Mapping[str, Any]) -> None:
        """Have the policy restore the state that the predecessor process exported."""
        self._turn.post(ImportState(state))
        self._turn.run()
