"""Converts events, actions and settings to plain values under short tags, independent of names in the code.

All names of the program that histories.py uses are imported here, so that a rename changes this file and no
recorded one. Fields are written in the order of their definition.
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
    """Returns an object of the type with this tag; `values` are its fields in order."""
    return TAGS[tag](*values)


def controller(settings, seed):
    """Returns a new policy controller with these settings and this random seed."""
    return Controller(settings, seed)


def unresponsive_owners(module):
    """Returns the sorted numbers of the quota owners that the controller regards as unresponsive."""
    return sorted(module.unresponsive_owners())


def plain(value):
    """Converts a value to JSON types; equal values give equal results, unknown types give ["other"]."""
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
