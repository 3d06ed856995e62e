"""The lease state that a process passes to the next one in a hot restart."""

import random

import pytest
from support.lease_tier import LeaseTier

from plumpick.policy.leases.codec import Vote
from plumpick.policy.leases.events import ReleaseRequested
from plumpick.policy.leases.participant import LeaseParticipant
from plumpick.policy.leases.snapshot import LeaseSnapshotError
from plumpick.policy.leases.terms import LeaseTerms


def test_hot_restart_keeps_the_lease_at_a_single_holder():
    tier = LeaseTier(9, gateways=3, term_ms=2000)
    tier.run(6000)
    owner = tier.holder(0)
    old = tier.processes[owner]
    state = old.participant.capture()
    assert old.participant.handle(old.clock(), [ReleaseRequested(0)]) == [] and old.participant.closed
    new = LeaseParticipant(tier.terms, owner, 3, 12345, random.Random(3), old.clock(), 0.0)
    new.restore(old.clock(), state)
    old.participant = new
    before = len(tier.acquired)
    tier.run(10_000)
    assert tier.holder(0) == owner and len(tier.acquired) == before and not tier.overlaps
    with_other_terms = LeaseParticipant(LeaseTerms((0,)), 0, 1, 1, random.Random(1), 0.0, 0.0)
    with pytest.raises(LeaseSnapshotError, match="cannot be used"):
        with_other_terms.restore(0.0, state)


def test_restored_acceptor_keeps_its_grants_and_new_one_grants_nothing():
    terms = LeaseTerms((0, 1, 2), term_ms=1000)
    old = LeaseParticipant(terms, 0, 3, 1, random.Random(1), 0.0, 0.0)
    old.acceptor.startup_wait_until_ms = 0.0
    assert old.acceptor.on_request(1.0, 0, (1, 5), 7, 1).vote is Vote.GRANTED
    state = old.capture()
    new = LeaseParticipant(terms, 0, 3, 2, random.Random(1), 10.0, 0.0)
    new.restore(10.0, state)
    assert new.acceptor.on_request(20.0, 0, (2, 6), 9, 1).vote is Vote.HELD_BY_OTHER
    assert (
        LeaseParticipant(terms, 0, 3, 2, random.Random(1), 10.0, 0.0)
        .acceptor.on_request(20.0, 0, (2, 6), 9, 1)
        .vote
        is Vote.STARTING
    )
