"""The STATE message of a hot restart: the state with which the successor continues.

It contains the state of the policy, of the cluster participant and of the settings in force, and the request
ids in use. If the policy's state cannot be exported, or makes the message too long, the other parts are sent
without it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from plumpick.gateway.hot_restart.message import MessageKind, encode
from plumpick.gateway.hot_restart.sibling import HotRestartContext

PARTICIPANT_KEY = "fleet"
SETTINGS_KEY = "configuration"
REQUEST_IDS_KEY = "ids"
NOT_POLICY_KEYS = (PARTICIPANT_KEY, SETTINGS_KEY, REQUEST_IDS_KEY)
MAX_REQUEST_IDS = 20_000  # maximum number of request ids that are passed on


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
    reserved_ids = context.gateway.requests.ids.export_reserved(MAX_REQUEST_IDS)
    others[REQUEST_IDS_KEY] = [client_id.decode("latin-1") for client_id in reserved_ids]
    try:
        policy_state = context.gateway.export_state()
        return EncodedState(encode(MessageKind.STATE, {**policy_state, **others}), None)
    except ValueError as problem:
        return EncodedState(_encode_or_nothing(others), problem)


def policy_state_of(state: Mapping[str, Any]) -> dict[str, Any]:
    """The policy's part of a received state; empty if the predecessor could not export it."""
    return {key: value for key, value in state.items() if key not in NOT_POLICY_KEYS}


def request_ids_of(state: Mapping[str, Any]) -> list[bytes]:
    """The request ids in use in a received state; none if they are missing or malformed."""
    client_ids = state.get(REQUEST_IDS_KEY)
    if not isinstance(client_ids, list):
        return []
    return [client_id.encode("latin-1", "replace") for client_id in client_ids if isinstance(client_id, str)]


def _encode_or_nothing(value: dict[str, Any]) -> bytes:
    try:
        return encode(MessageKind.STATE, value)
    except ValueError:
        return encode(MessageKind.STATE, None)
