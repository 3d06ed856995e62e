"""One acceptor's grants and releases."""

from plumpick.policy.leases.acceptor import Acceptor
from plumpick.policy.leases.codec import Vote
from plumpick.policy.leases.terms import LeaseTerms


def test_grants_outlast_the_slowest_holder_and_silence_covers_the_longest_term():
    terms = LeaseTerms((0,), term_ms=1000, drift_ratio=0.01, longest_past_term_ms=5000)
    assert (
        terms.acceptor_hold_ms() / 1.01 >= 1000 / 0.99
    )  # by true time: a fast acceptor against a slow holder
    assert terms.startup_wait_ms / 1.01 >= 5000 / 0.99
    acceptor = Acceptor(terms, 0.0)
    assert acceptor.on_request(terms.startup_wait_ms - 1, 0, (1, 1), 1, 1).vote is Vote.STARTING
    assert acceptor.on_request(terms.startup_wait_ms, 0, (1, 1), 1, 1).vote is Vote.GRANTED


def test_a_release_covers_only_requests_sent_before_it():
    acceptor = Acceptor(LeaseTerms((0,), term_ms=1000), -1e6)
    assert acceptor.on_request(0.0, 0, (1, 1), 1, 5).vote is Vote.GRANTED
    assert not acceptor.on_release(0, (1, 1), 4) and acceptor.active_grant(1.0, 0)  # an old one
    assert not acceptor.on_release(0, (2, 1), 9) and acceptor.active_grant(1.0, 0)  # another's
    assert acceptor.on_release(0, (1, 1), 6) and acceptor.active_grant(1.0, 0) is None
    assert acceptor.on_request(2.0, 0, (1, 1), 1, 5) is None  # its asking once more, late
    assert acceptor.on_request(2.0, 0, (2, 1), 1, 1).vote is Vote.GRANTED  # the token is larger by its number
