"""Events, actions and settings as plain values under short tags that no rename reaches.

Every name of the program that the histories use stands in this file, so that a rename touches it and leaves
the recorded files alone. Fields go by their order.
"""

import dataclasses
import math
from enum import Enum

from plumpick.policy.controller import Controller
from plumpick.policy.interface import (
    Arrival,
    Call,
    Cancel,
    ClientGone,
    Counted,
    Doors,
    Estate,
    Fail,
    Fleet,
    Heard,
    Inherit,
    Leave,
    Order,
    Outcome,
    Plan,
    Probe,
    Probed,
    Reconfigure,
    Refuse,
    RequestClass,
    Result,
    Resume,
    Said,
    Send,
    Server,
    Settings,
    Started,
    State,
    Subscribe,
    Tell,
    Wake,
    Woken,
)
from plumpick.policy.settings_parser import settings_from

TAGS = {
    "request": Arrival,
    "started": Started,
    "completed": Outcome,
    "client-left": ClientGone,
    "timer-fired": Woken,
    "peer-message": Heard,
    "probed": Probed,
    "counted": Counted,
    "order": Order,
    "reconfigure": Reconfigure,
    "export": Leave,
    "import": Inherit,
    "resume": Resume,
    "endpoint": Server,
    "endpoints": Fleet,
    "settings": Settings,
    "class": RequestClass,
    "plan": Plan,
    "send": Send,
    "refuse": Refuse,
    "fail": Fail,
    "cancel": Cancel,
    "set-timer": Wake,
    "tell": Tell,
    "probe": Probe,
    "watch": Subscribe,
    "order-done": Said,
    "admission": Doors,
    "exported": Estate,
}
TAG_OF = {kind: tag for tag, kind in TAGS.items()}
RESULTS = {result.value: result for result in Result}
STATES = {state.value: state for state in State}
CALLS = {call.value: call for call in Call}
PARSE_SETTINGS = settings_from


def make(tag, *values):
    """A record by its tag; its fields by their order."""
    return TAGS[tag](*values)


def controller(settings, seed):
    """The decision module."""
    return Controller(settings, seed)


def silent_peers(module):
    """The quota owners that do not answer."""
    return sorted(module.silent_homes())


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
