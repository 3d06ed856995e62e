"""The STATE message of a hot restart: all that the next process goes on from.

Its parts are those of the policy, of the cluster participant and of the settings in force. A policy whose
state cannot be exported or is too long does not keep the other parts from being passed on."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from plumpick.gateway.hot_restart.message import MessageKind, encode
from plumpick.gateway.hot_restart.sibling import HotRestartContext

PARTICIPANT_KEY = "fleet"
SETTINGS_KEY = "configuration"


@dataclass(frozen=True, slots=True)
class EncodedState:
    """The bytes of the message; `problem` is why the policy's state is not in it, None where it is."""

    message: bytes
    problem: ValueError | None


def encode_state(context: HotRestartContext, participant_state: Any) -> EncodedState:
    """Export the state of this process, which the next one owns from now on."""
    others: dict[str, Any] = {PARTICIPANT_KEY: participant_state}
    if context.settings_source is not None:
        others[SETTINGS_KEY] = context.settings_source.export_state()
    try:
        policy_state = context.gateway.export_state()
        return EncodedState(encode(MessageKind.STATE, {**policy_state, **others}), None)
    except ValueError as problem:
        return EncodedState(_encode_or_nothing(others), problem)


def policy_state_of(state: Mapping[str, Any]) -> dict[str, Any]:
    """The policy's part of a state that has come; empty where the other process could not pass it on."""
    return {key: value for key, value in state.items() if key not in (PARTICIPANT_KEY, SETTINGS_KEY)}


def _encode_or_nothing(value: dict[str, Any]) -> bytes:
    try:
        return encode(MessageKind.STATE, value)
    except ValueError:
        return encode(MessageKind.STATE, None)
