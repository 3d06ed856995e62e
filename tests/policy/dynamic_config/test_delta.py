"""Deltas and digests of settings: a delta applied to its base must give exactly the published settings."""

import contextlib
import copy
import hashlib
import json

import pytest
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st
from support.dynamic_config import published_settings

from plumpick.policy.dynamic_config.delta import (
    GATEWAY_OWN_KEYS,
    apply_changes,
    canonical_json,
    changes_between,
    settings_digest,
    shared_settings,
)
from plumpick.policy.dynamic_config.errors import DeltaError, InvalidUpdateError
from plumpick.policy.dynamic_config.updates import SettingsVersion, VersionUpdate, resolve_update

SCALARS = st.one_of(st.integers(-9, 9), st.floats(-9, 9), st.booleans(), st.text(max_size=3), st.none())
ROWS = st.lists(
    st.builds(
        lambda name, worth, other_fields: {"name": name, "worth": worth, **other_fields},
        st.sampled_from("abcdefgh"),
        SCALARS,
        st.dictionaries(st.text(max_size=2), SCALARS, max_size=2),
    ),
    max_size=8,
)
LISTS = st.one_of(ROWS, ROWS.map(lambda rows: list({row["name"]: row for row in rows}.values())))
OBJECTS = st.fixed_dictionaries(
    {},
    optional={
        "classes": LISTS,
        "packages": LISTS,
        "limits": st.dictionaries(st.text(max_size=2), SCALARS, max_size=3),
        "myNumber": st.integers(0, 9),
        "locality": st.text(max_size=2),
        "azs": st.lists(SCALARS, max_size=3),
    },
)


@effort(max_examples=300, deadline=None)
@given(OBJECTS, OBJECTS)
def test_delta_applied_to_its_base_gives_the_target_with_order_and_number_types(before, after):
    original = copy.deepcopy(before)
    result = apply_changes(before, json.loads(json.dumps(changes_between(before, after))))
    assert settings_digest(result) == settings_digest(after) and before == original
    assert canonical_json(result) == canonical_json(shared_settings(after))


@effort(max_examples=200, deadline=None)
@given(OBJECTS)
def test_digest_is_sha256_of_canonical_json_without_gateway_specific_keys(value):
    text = json.dumps(
        {key: item for key, item in value.items() if key not in GATEWAY_OWN_KEYS},
        sort_keys=True,
        separators=(",", ":"),
    )
    assert settings_digest(value) == hashlib.sha256(text.encode()).hexdigest()
    assert settings_digest({**value, "myNumber": 7, "locality": "elsewhere"}) == settings_digest(value)


@effort(max_examples=300, deadline=None)
@given(OBJECTS, OBJECTS, OBJECTS)
def test_delta_with_a_wrong_base_is_invalid_or_gives_the_published_settings(base, other, after):
    """A wrong base gives the right result if it differs from the right base only in values that the delta
    replaces."""
    base_version = SettingsVersion(4, settings_digest(other), 0.0, other)
    update = VersionUpdate(
        5, settings_digest(after), 0.0, None, changes_between(base, after), 4, base_version.digest
    )
    try:
        resolved = resolve_update(update, base_version)
    except InvalidUpdateError:
        assert canonical_json(shared_settings(base)) != canonical_json(shared_settings(other))
        return
    assert canonical_json(resolved.settings) == canonical_json(shared_settings(after))


JSON = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(["drop", "set", "rows", "classes", "put", "new", "order", "name"]), inner, max_size=4
    ),
)


@effort(max_examples=300, deadline=None)
@given(JSON)
def test_malformed_changes_raise_only_delta_error_and_do_not_modify_the_base(changes):
    base = published_settings(1)
    original = copy.deepcopy(base)
    with contextlib.suppress(DeltaError):
        apply_changes(base, changes)
    assert base == original


def test_delta_of_few_changed_rows_contains_only_those_rows():
    before = published_settings(0, 1000)
    after = copy.deepcopy(before)
    after["classes"].insert(500, {**before["classes"][0], "name": "new"})
    after["classes"][700]["worth"] = 9.0
    changes = changes_between(before, after)
    assert len(canonical_json(changes)) < 600 < len(canonical_json(after)) / 100
    assert canonical_json(apply_changes(before, changes)) == canonical_json(after)


@pytest.mark.parametrize("value", [float("nan"), float("inf"), {1, 2}])
def test_digest_of_a_value_without_canonical_json_raises_delta_error(value):
    with pytest.raises(DeltaError):
        settings_digest({"limits": value})
