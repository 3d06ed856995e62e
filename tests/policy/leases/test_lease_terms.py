"""Validation of the lease parameters, and fencing tokens."""

import pytest

from plumpick.policy.leases.terms import (
    LeaseTerms,
    LeaseTermsError,
    fencing_token,
    token_counter,
    token_owner,
)


@pytest.mark.parametrize(
    ("wrong", "key"),
    [
        ({"acceptors": ()}, "voters"),
        ({"acceptors": (1, 1)}, "voters"),
        ({"slots": 0}, "slots"),
        ({"slots": 19, "restart_permits": 2}, "slots"),
        ({"term_ms": 10.0}, "term_ms"),
        ({"drift_ratio": 0.5}, "drift"),
        ({"longest_past_term_ms": 600.0}, "longest_ms"),
    ],
)
def test_invalid_terms_are_rejected_with_the_key_in_the_error(wrong, key):
    with pytest.raises(LeaseTermsError, match=key):
        LeaseTerms(**{"acceptors": (0, 1, 2), **wrong})


def test_tokens_are_ordered_by_counter_and_contain_their_owner():
    assert (
        fencing_token(2, 0, 0) > fencing_token(1, 65535, 2**32 - 1)
        and token_counter(fencing_token(7, 3, 9)) == 7
    )
    assert token_owner(fencing_token(7, 3, 9)) == (3, 9)
