"""The state that a controller leaves to the next process."""

import json

from support.controllers import actions_of

from plumpick.policy.actions import StateExported
from plumpick.policy.events import (
    ExportState,
)


def left_by(control, now):
    (state,) = actions_of(StateExported, control.handle(now, [ExportState()]))
    return json.loads(json.dumps(state.state, allow_nan=False))
