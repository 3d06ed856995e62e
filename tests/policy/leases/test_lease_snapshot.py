"""What one process of a gateway passes to the next."""

import random

import pytest
from support.lease_tier import Rig

from plumpick.policy.leases.codec import Vote
from plumpick.policy.leases.events import (
    ReleaseRequested,
)
from plumpick.policy.leases.participant import LeaseParticipant
from plumpick.policy.leases.terms import (
    LeaseTerms,
)


def test_a_hot_restart_keeps_one_holder_and_never_has_two():
    rig = Rig(9, gateways=3, term_ms=2000)
    rig.run(6000)
    owner = rig.holder(0)
    old = rig.processes[owner]
    state = old.member.capture()
    assert old.member.handle(old.clock(), [ReleaseRequested(0)]) == [] and old.member.closed
    news = LeaseParticipant(rig.terms, owner, 3, 12345, random.Random(3), old.clock(), 0.0)
    news.restore(old.clock(), state)
    old.member = news
    before = len(rig.gained)
    rig.run(10_000)
    assert rig.holder(0) == owner and len(rig.gained) == before and not rig.overlaps
    with pytest.raises(ValueError, match="cannot be used"):
        LeaseParticipant(LeaseTerms((0,)), 0, 1, 1, random.Random(1), 0.0, 0.0).restore(
            0.0, state
        )  # other settings


def test_a_restored_acceptor_keeps_its_grants_and_a_fresh_one_is_silent():
    terms = LeaseTerms((0, 1, 2), term_ms=1000)
    old = LeaseParticipant(terms, 0, 3, 1, random.Random(1), 0.0, 0.0)
    old.acceptor.silent_until_ms = 0.0
    assert old.acceptor.on_request(1.0, 0, (1, 5), 7, 1).vote is Vote.GRANTED
    state = old.capture()
    new = LeaseParticipant(terms, 0, 3, 2, random.Random(1), 10.0, 0.0)
    new.restore(10.0, state)
    assert new.acceptor.on_request(20.0, 0, (2, 6), 9, 1).vote is Vote.HELD_BY_OTHER
    assert (
        LeaseParticipant(terms, 0, 3, 2, random.Random(1), 10.0, 0.0)
        .acceptor.on_request(20.0, 0, (2, 6), 9, 1)
        .vote
        is Vote.SILENT
    )
