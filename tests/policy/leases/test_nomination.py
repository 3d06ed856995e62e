"""Whom acceptors nominate for free slots."""

from support.lease_tier import LeaseTier

from plumpick.policy.leases.codec import MessageKind, decode
from plumpick.policy.leases.nomination import Nominator
from plumpick.policy.leases.terms import LeaseTerms


def test_an_acceptor_with_a_larger_token_of_nobody_stops_nominating():
    tier = LeaseTier(10, gateways=6, term_ms=2000)
    tier.run(6000)
    owner = tier.holder(0)
    acceptor = tier.processes[next(number for number in (0, 1, 2) if number != owner)].participant.acceptor
    acceptor.grants.pop(0)  # as after another's asking that found no majority and was given back
    acceptor.highest_tokens[0] += 10 << 48
    tier.run(4000)
    calls = []
    tier.drops = lambda a, b, data: calls.append(data) if decode(data).kind is MessageKind.NOMINATE else False
    tier.run(10_000)
    assert not calls and tier.holder(0) is not None and not tier.overlaps


def test_all_slots_have_a_holder_within_two_terms_when_140_of_200_die_at_once():
    tier = LeaseTier(7, gateways=200, term_ms=6000, slots=16, acceptors=(0, 70, 140))
    tier.delay = (2.0, 40.0)
    tier.run(30_000, judge=False)
    dead = tier.rng.sample([number for number in range(200) if number not in (0, 70)], 140)
    for number in dead:
        tier.kill(number)
    took = tier.run_until(lambda: all(tier.holder(lease) is not None for lease in range(16)), 20_000)
    assert took is not None and took <= 12_000


def test_a_gateway_that_let_a_lease_expire_is_nominated_last():
    nominator = Nominator(LeaseTerms((0,), slots=1), 4, 0.0)
    for number in range(4):
        nominator.on_heartbeat(0.0, number, 1, False)
    first = nominator.candidates(1.0, 0)[0]
    nominator.on_grant_expired(first, 1)
    assert nominator.candidates(1.0, 0)[-1] == first
    nominator.on_heartbeat(2.0, first, 2, False)
    assert nominator.candidates(3.0, 0)[0] == first
