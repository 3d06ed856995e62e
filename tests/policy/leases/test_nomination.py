"""Nomination of gateways for free slots by acceptors."""

from support.lease_tier import LeaseTier

from plumpick.policy.leases.codec import MessageKind, decode
from plumpick.policy.leases.nomination import Nominator
from plumpick.policy.leases.terms import LeaseTerms


def test_acceptor_with_a_larger_token_without_holder_stops_nominating():
    """Guards against endless nominations for a held lease. An acceptor that has granted a larger token, in a
    request that found no quorum and was released, rejects the holder's renewals and treats the lease as
    free."""
    tier = LeaseTier(10, gateways=6, term_ms=2000)
    tier.run(6000)
    owner = tier.holder(0)
    acceptor = tier.processes[next(number for number in (0, 1, 2) if number != owner)].participant.acceptor
    acceptor.grants.pop(0)  # the state after the release of another gateway's request without a quorum
    acceptor.highest_tokens[0] += 10 << 48
    tier.run(4000)
    nominations = []
    tier.drops = lambda a, b, data: (
        nominations.append(data) if decode(data).kind is MessageKind.NOMINATE else False
    )
    tier.run(10_000)
    assert not nominations and tier.holder(0) is not None and not tier.overlaps


def test_all_slots_have_a_holder_within_two_terms_after_140_of_200_gateways_die_at_once():
    tier = LeaseTier(7, gateways=200, term_ms=6000, slots=16, acceptors=(0, 70, 140))
    tier.delay = (2.0, 40.0)
    tier.run(30_000, judge=False)
    dead = tier.rng.sample([number for number in range(200) if number not in (0, 70)], 140)
    for number in dead:
        tier.kill(number)
    elapsed_ms = tier.run_until(lambda: all(tier.holder(lease) is not None for lease in range(16)), 20_000)
    assert elapsed_ms is not None and elapsed_ms <= 12_000


def test_gateway_that_let_a_lease_expire_is_nominated_last_until_its_next_heartbeat():
    nominator = Nominator(LeaseTerms((0,), slots=1), 4, 0.0)
    for number in range(4):
        nominator.on_heartbeat(0.0, number, 1, False)
    first = nominator.candidates(1.0, 0)[0]
    nominator.on_grant_expired(first, 1)
    assert nominator.candidates(1.0, 0)[-1] == first
    nominator.on_heartbeat(2.0, first, 2, False)
    assert nominator.candidates(3.0, 0)[0] == first
