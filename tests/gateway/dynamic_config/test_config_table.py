"""The table [configuration] of the operator's file: checks of its keys and its parsed values."""

import pytest

from plumpick.gateway.config import ConfigError
from plumpick.gateway.operator_config import parse_operator_config


@pytest.mark.parametrize(
    "table, key",
    [
        ({}, "configuration.addresses"),
        ({"addresses": []}, "configuration.addresses"),
        ({"addresses": ["127.0.0.1:1"] * 9}, "configuration.addresses: expected 1 to 8 addresses, got 9"),
        ({"addresses": ["127.0.0.1:1", "127.0.0.1:1"]}, r"addresses\[1\].*occurs more than once"),
        ({"addresses": ["here"]}, r"addresses\[0\]"),
        ({"addresses": [7]}, r"addresses\[0\]"),
        ({"addresses": ["127.0.0.1:1"], "silent_s": 0}, "configuration.silent_s"),
        ({"addresses": ["127.0.0.1:1"], "silent": 9}, "configuration.silent: no such key"),
    ],
)
def test_invalid_configuration_table_is_rejected_with_the_name_of_the_key(table, key):
    with pytest.raises(ConfigError, match=key):
        parse_operator_config({"configuration": table}, 3)


def test_configuration_table_is_accepted_without_a_fleet_table():
    parsed = parse_operator_config({"configuration": {"addresses": ["127.0.0.1:1"], "silent_s": 9}}, 3)
    assert parsed.fleet is None and parsed.configuration.silent_ms == 9000.0
