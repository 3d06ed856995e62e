"""The STATE message of a hot restart: the state with which the successor continues.

It contains the state of the policy, of the cluster participant and of the settings in force. If the policy's
state cannot be exported, or makes the message too long, the other parts are sent without it."""

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
    """The encoded STATE message. `problem` is the reason why it lacks the policy's state, or None."""

    message: bytes
    problem: ValueError | None


def encode_state(context: HotRestartContext, participant_state: Any) -> EncodedState:
    """Export and encode the state of this process, for the successor."""
    others: dict[str, Any] = {PARTICIPANT_KEY: participant_state}
    if context.settings_source is not None:
        others[SETTINGS_KEY] = context.settings_source.export_state()
    try:
        policy_state = context.gateway.export_state()
        return EncodedState(encode(MessageKind.STATE, {**policy_state, **others}), None)
    except ValueError as problem:
        return EncodedState(_encode_or_nothing(others), problem)


def policy_state_of(state: Mapping[str, Any]) -> dict[str, Any]:
    """The policy's part of a received state; empty if the predecessor could not export it."""
    return {key: value for key, value in state.items() if key not in (PARTICIPANT_KEY, SETTINGS_KEY)}


def _encode_or_nothing(value: dict[str, Any]) -> bytes:
    try:
        return encode(MessageKind.STATE, value)
    except ValueError:
        return encode(MessageKind.STATE, None)
