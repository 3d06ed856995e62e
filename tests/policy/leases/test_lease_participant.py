"""Ownership of leases among several participants in simulated time, with faults in processes and network."""

import random

import pytest
from support.lease_tier import LeaseTier

from plumpick.policy.leases.actions import LeaseAcquired, LeaseLost, SendMessage, WriteLog
from plumpick.policy.leases.codec import Message, MessageKind, Vote, decode, encode
from plumpick.policy.leases.events import LargerTokenSeen, MessageReceived
from plumpick.policy.leases.participant import LeaseParticipant
from plumpick.policy.leases.terms import LeaseTerms, rendezvous_rank, token_owner


@pytest.mark.parametrize("seed", range(24))
def test_no_two_processes_hold_a_lease_under_random_faults(seed):
    tier = LeaseTier(seed, gateways=(3, 5, 7)[seed % 3], drift=0.01, acceptors=(0, 1, 2), term_ms=2000)
    tier.draw_faults(20)
    tier.run(26_000)
    assert not tier.overlaps and tier.acquired
    tokens = {}
    for _, number, lease, token in tier.acquired:
        assert token_owner(token)[0] == number and token not in tokens.setdefault(lease, set())
        tokens[lease].add(token)
    tier.drops, tier.loss, tier.duplication, tier.delay = lambda a, b, data: False, 0.0, 0.0, (1.0, 5.0)
    for number, process in enumerate(tier.processes):
        if process is None:
            tier.start(number)
    assert (
        tier.run_until(lambda: all(tier.holder(lease) is not None for lease in range(3)), 12_000) is not None
    )


def test_lease_of_a_dead_holder_is_reacquired_within_two_terms_and_1_2_terms_in_the_median():
    elapsed_terms = []
    for seed in range(40):
        tier = LeaseTier(seed, gateways=5, term_ms=6000)
        tier.delay, tier.loss = (2.0, 40.0), 0.03
        tier.run(16_000 + tier.rng.uniform(0, 3000), judge=False)
        tier.kill(tier.holder(0))
        elapsed_terms.append(tier.run_until(lambda tier=tier: tier.holder(0) is not None, 30_000) / 6000)
    assert sorted(elapsed_terms)[20] <= 1.2 and max(elapsed_terms) <= 2.0


@pytest.mark.parametrize("lost", range(24))
def test_lease_is_reacquired_if_any_single_message_is_lost(lost):
    tier = LeaseTier(5, gateways=3, term_ms=2000)
    tier.run(6000)
    tier.kill(tier.holder(0))
    count = [0]

    def drops(sender, receiver, data):
        if decode(data).kind is MessageKind.HEARTBEAT:
            return False
        count[0] += 1
        return count[0] == lost + 1

    tier.drops = drops
    assert tier.run_until(lambda: tier.holder(0) is not None, 8000) is not None and not tier.overlaps


def test_holder_without_a_quorum_drops_its_lease_before_expiry_and_reports_the_reason():
    tier = LeaseTier(1, gateways=5, term_ms=2000)
    tier.run(6000)
    owner = tier.holder(0)
    process = tier.processes[owner]
    tier.drops = lambda a, b, data: owner in (a, b)
    end = process.true_time(process.participant.holder.held[0].requested_ms + 2000)
    tier.run(3000)
    t, number, lease, _ = next(row for row in tier.lost if row[1] == owner and row[2] == 0)
    assert t <= end - 0.09 * 2000
    assert any("no majority" in str(row[-1]) for row in tier.log if row[1] == owner and row[2] == "lost")
    assert tier.holder(0) not in (None, owner) and not tier.overlaps


@pytest.mark.parametrize("acceptors", [(0, 1, 2), (0, 1, 2, 3, 4)])
def test_holders_keep_their_leases_when_a_minority_of_acceptors_dies(acceptors):
    tier = LeaseTier(2, gateways=7, term_ms=2000, acceptors=acceptors)
    tier.run(6000)
    owners = {lease: tier.holder(lease) for lease in range(3)}
    dead = [acceptor for acceptor in acceptors if acceptor not in owners.values()][: len(acceptors) // 2]
    for acceptor in dead:
        tier.kill(acceptor)
    before = len(tier.lost)
    tier.run(10_000)
    assert dead and len(tier.lost) == before and {lease: tier.holder(lease) for lease in range(3)} == owners


def test_stalled_holder_drops_its_lease_before_it_handles_messages():
    tier = LeaseTier(3, gateways=3, term_ms=2000)
    tier.run(6000)
    owner = tier.holder(0)
    process = tier.processes[owner]
    tier.stall(owner, 4000)
    tier.run(3900)
    assert tier.holder(0) not in (None, owner) and process.waiting
    first = process.participant.handle(process.clock() + 200, process.waiting)[0]
    assert isinstance(first, LeaseLost)


def test_token_exceeds_the_receivers_token_after_all_restart_with_counters_at_zero():
    tier = LeaseTier(4, gateways=3, term_ms=2000)
    tier.run(6000)
    known = max(token for _, _, lease, token in tier.acquired if lease == 0)  # known to the receiver
    for number in range(3):
        tier.kill(number)
    tier.run(500)
    for number in range(3):
        tier.start(number).participant.holder.counter = 0
    assert tier.run_until(lambda: tier.holder(0) is not None, 6000) is not None
    process = tier.processes[tier.holder(0)]
    assert process.participant.holder.held[0].token < known
    process.handle([LargerTokenSeen(0, known)])  # the receiver rejects the smaller token
    assert tier.run_until(lambda: tier.holder(0) is not None, 3000) is not None
    assert tier.processes[tier.holder(0)].participant.holder.held[0].token > known and not tier.overlaps


def test_death_moves_only_the_dead_gateways_leases_and_restart_moves_them_back():
    tier = LeaseTier(6, gateways=6, term_ms=2000, slots=12)
    tier.run(14_000)
    before = {lease: tier.holder(lease) for lease in range(12)}
    assert before == {
        lease: min(range(6), key=lambda n, lease=lease: rendezvous_rank(lease, n)) for lease in range(12)
    }
    dead = before[0]
    tier.kill(dead)
    tier.run(8000)
    after = {lease: tier.holder(lease) for lease in range(12)}
    assert None not in after.values()
    assert all(after[lease] == before[lease] for lease in before if before[lease] != dead)
    tier.start(dead)
    tier.run(20_000)
    assert {lease: tier.holder(lease) for lease in range(12)} == before and not tier.overlaps


def test_messages_under_other_terms_are_ignored_and_logged_once():
    participant = LeaseParticipant(LeaseTerms((0, 1, 2)), 0, 3, 1, random.Random(1), 0.0, 0.0)
    other = encode(
        Message(MessageKind.NOMINATE, LeaseTerms((0, 1, 2), slots=3).digest, 9, 0, 0, requested=((0, 0),))
    )
    logged = [
        action
        for _ in range(3)
        for action in participant.handle(10.0, [MessageReceived(1, other)])
        if isinstance(action, WriteLog)
    ]
    assert len(logged) == 1 and "gatekeeper 1" in logged[0].text and not participant.holder.pending


def test_response_to_another_incarnation_is_ignored():
    terms = LeaseTerms((0, 1, 2))
    participant = LeaseParticipant(terms, 0, 3, 1, random.Random(1), 0.0, 0.0, accepts=False)
    actions = participant.handle(
        0.0,
        [
            MessageReceived(
                1, encode(Message(MessageKind.NOMINATE, terms.digest, 9, 0, 0, requested=((0, 0),)))
            )
        ],
    )
    request = decode(
        next(
            action.data
            for action in actions
            if isinstance(action, SendMessage) and decode(action.data).kind is MessageKind.REQUEST
        )
    )
    # First responses to another incarnation, then to the current one.
    for incarnation, acquired in ((2, 0), (1, 1)):
        responses = [
            MessageReceived(
                acceptor,
                encode(
                    Message(
                        MessageKind.RESPONSE,
                        terms.digest,
                        9,
                        request.serial,
                        0,
                        incarnation,
                        votes=((0, Vote.GRANTED, False, request.requested[0][1], 0),),
                    )
                ),
            )
            for acceptor in (1, 2)
        ]
        actions = participant.handle(1.0, responses)
        assert sum(isinstance(action, LeaseAcquired) for action in actions) == acquired


def test_no_lease_is_held_without_a_quorum_and_all_are_after_it_returns():
    tier = LeaseTier(11, gateways=5, term_ms=2000)
    tier.run(6000)
    for number in (0, 1):
        tier.kill(number)
    tier.run(3000)
    for _ in range(55):
        tier.run(1000)
        assert tier.holder(0) is None
    for number in (0, 1):
        tier.start(number)
    elapsed_ms = tier.run_until(lambda: all(tier.holder(lease) is not None for lease in range(3)), 10_000)
    assert elapsed_ms is not None and elapsed_ms <= 2 * 2000 and not tier.overlaps


def test_holders_keep_their_leases_when_an_acceptor_is_partitioned_in_one_direction():
    for direction in (0, 1):  # no messages from the acceptor, then none to it
        tier = LeaseTier(12 + direction, gateways=5, term_ms=2000)
        tier.run(6000)
        owners = {lease: tier.holder(lease) for lease in range(3)}
        acceptor = next(number for number in (0, 1, 2) if number not in owners.values())
        tier.drops = lambda a, b, data, acceptor=acceptor, direction=direction: acceptor == (a, b)[direction]
        before = len(tier.lost)
        tier.run(15_000)
        assert len(tier.lost) == before and not tier.overlaps


def test_renewed_lease_keeps_its_holder_and_token():
    tier = LeaseTier(14, gateways=3, term_ms=2000)
    tier.run(6000)
    owner = tier.holder(0)
    token = tier.processes[owner].participant.holder.held[0].token
    tier.run(20_000)
    assert tier.holder(0) == owner and tier.processes[owner].participant.holder.held[0].token == token
