"""Grants and releases of one acceptor."""

from plumpick.policy.leases.acceptor import Acceptor
from plumpick.policy.leases.codec import Vote
from plumpick.policy.leases.terms import LeaseTerms


def test_grant_outlasts_the_slowest_holder_and_startup_wait_covers_the_longest_term():
    terms = LeaseTerms((0,), term_ms=1000, drift_ratio=0.01, longest_past_term_ms=5000)
    # By true time, with a fast clock at the acceptor and a slow one at the holder.
    assert terms.acceptor_hold_ms() / 1.01 >= 1000 / 0.99
    assert terms.startup_wait_ms / 1.01 >= 5000 / 0.99
    acceptor = Acceptor(terms, 0.0)
    assert acceptor.on_request(terms.startup_wait_ms - 1, 0, (1, 1), 1, 1).vote is Vote.STARTING
    assert acceptor.on_request(terms.startup_wait_ms, 0, (1, 1), 1, 1).vote is Vote.GRANTED


def test_release_applies_only_to_requests_sent_before_it():
    acceptor = Acceptor(LeaseTerms((0,), term_ms=1000), -1e6)
    assert acceptor.on_request(0.0, 0, (1, 1), 1, 5).vote is Vote.GRANTED
    assert not acceptor.on_release(0, (1, 1), 4) and acceptor.active_grant(1.0, 0)  # outdated
    assert not acceptor.on_release(0, (2, 1), 9) and acceptor.active_grant(1.0, 0)  # of another owner
    assert acceptor.on_release(0, (1, 1), 6) and acceptor.active_grant(1.0, 0) is None
    assert acceptor.on_request(2.0, 0, (1, 1), 1, 5) is None  # a late duplicate of the request
    # With the same counter, the larger gateway number makes the larger token.
    assert acceptor.on_request(2.0, 0, (2, 1), 1, 1).vote is Vote.GRANTED
