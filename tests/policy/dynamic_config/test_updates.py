"""Validation of updates that a service sends."""

import pytest
from support.dynamic_config import document

from plumpick.policy.dynamic_config.errors import InvalidUpdateError
from plumpick.policy.dynamic_config.updates import parse_update


@pytest.mark.parametrize(
    "value",
    [
        None,
        [],
        7,
        {},
        {"version": 1},
        {**document(1, {}), "version": 0},
        {**document(1, {}), "version": True},
        {**document(1, {}), "version": 2.0},
        {**document(1, {}), "version": 2**60},
        {**document(1, {}), "digest": "X" * 64},
        {**document(1, {}), "digest": 7},
        {**document(1, {}), "in_force_ms": float("nan")},
        {**document(1, {}), "in_force_ms": "now"},
        {**document(1, {}), "in_force_ms": True},
        {**document(1, {}), "settings": [1]},
        {**document(1, {}), "settings": None, "changes": {}},
    ],
)
def test_malformed_update_raises_invalid_update_error(value):
    with pytest.raises(InvalidUpdateError):
        parse_update(value)
