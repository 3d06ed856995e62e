"""Events, actions and settings as plain values under short tags that no rename reaches.

Every name of the program that the histories use stands in this file, so that a rename touches it and leaves
the recorded files alone. Fields go by their order.
"""

import dataclasses
import math
from enum import Enum

from plumpick.policy.actions import (
    CancelAttempt,
    CommandCompleted,
    FailRequest,
    ProbeEndpoint,
    RejectRequest,
    SendPeerMessage,
    SetAdmissionState,
    SetTimer,
    StartAttempt,
    StateExported,
    WatchEndpoints,
)
from plumpick.policy.controller import Controller
from plumpick.policy.events import (
    AttemptCompleted,
    AttemptResult,
    ClientDisconnected,
    CommandKind,
    CounterReplied,
    Endpoint,
    EndpointState,
    EndpointsUpdated,
    ExportState,
    ImportState,
    OperatorCommand,
    PeerMessageReceived,
    ProbeCompleted,
    RequestReceived,
    ResponseStarted,
    ResumeAfterFailedHandover,
    SettingsChanged,
    TimerFired,
)
from plumpick.policy.settings import Plan, RequestClass, Settings
from plumpick.policy.settings_parser import parse_settings

TAGS = {
    "request": RequestReceived,
    "started": ResponseStarted,
    "completed": AttemptCompleted,
    "client-left": ClientDisconnected,
    "timer-fired": TimerFired,
    "peer-message": PeerMessageReceived,
    "probed": ProbeCompleted,
    "counted": CounterReplied,
    "order": OperatorCommand,
    "reconfigure": SettingsChanged,
    "export": ExportState,
    "import": ImportState,
    "resume": ResumeAfterFailedHandover,
    "endpoint": Endpoint,
    "endpoints": EndpointsUpdated,
    "settings": Settings,
    "class": RequestClass,
    "plan": Plan,
    "send": StartAttempt,
    "refuse": RejectRequest,
    "fail": FailRequest,
    "cancel": CancelAttempt,
    "set-timer": SetTimer,
    "tell": SendPeerMessage,
    "probe": ProbeEndpoint,
    "watch": WatchEndpoints,
    "order-done": CommandCompleted,
    "admission": SetAdmissionState,
    "exported": StateExported,
}
TAG_OF = {kind: tag for tag, kind in TAGS.items()}
RESULTS = {result.value: result for result in AttemptResult}
STATES = {state.value: state for state in EndpointState}
CALLS = {call.value: call for call in CommandKind}
PARSE_SETTINGS = parse_settings


def make(tag, *values):
    """A record by its tag; its fields by their order."""
    return TAGS[tag](*values)


def controller(settings, seed):
    """The decision module."""
    return Controller(settings, seed)


def silent_peers(module):
    """The quota owners that do not answer."""
    return sorted(module.unresponsive_owners())


def plain(value):
    """Any value as JSON's, the same for the same value and no other."""
    if isinstance(value, bool) or value is None or isinstance(value, str):
        return value
    if isinstance(value, int):
        return int(value)
    if isinstance(value, Enum):
        return ["enum", value.value]
    if isinstance(value, float):
        return value if math.isfinite(value) else repr(value)
    if isinstance(value, bytes):
        return ["bytes", value.hex()]
    if dataclasses.is_dataclass(value) and type(value) in TAG_OF:
        fields = [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
        return [TAG_OF[type(value)], *fields]
    if isinstance(value, list | tuple):
        return [plain(part) for part in value]
    if isinstance(value, dict):
        return ["map", *([plain(key), plain(part)] for key, part in value.items())]
    return ["other"]
