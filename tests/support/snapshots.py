"""Exports a controller's snapshot for its hot-restart successor."""

import json

from support.controllers import actions_of

from plumpick.policy.actions import StateExported
from plumpick.policy.events import (
    ExportState,
)


def export_snapshot(controller, now):
    """Return the state that the controller exports, after a round trip through JSON."""
    (state,) = actions_of(StateExported, controller.handle(now, [ExportState()]))
    return json.loads(json.dumps(state.state, allow_nan=False))
