"""Who holds what, over members in modelled time with faults between them."""

import random

import pytest
from ownership_rig import Rig

from plumpick.policy.leases.acceptor import Acceptor
from plumpick.policy.leases.actions import LeaseAcquired, LeaseLost, SendMessage, WriteLog
from plumpick.policy.leases.clock_rates import ClockRateChange, ClockRateMonitor, ClockSample
from plumpick.policy.leases.codec import MAX_MESSAGE_BYTES, Message, MessageKind, Vote, decode, encode
from plumpick.policy.leases.events import (
    LargerTokenSeen,
    MessageReceived,
    ReleaseRequested,
    RestartPermitWanted,
)
from plumpick.policy.leases.nomination import Nominator
from plumpick.policy.leases.participant import LeaseParticipant
from plumpick.policy.leases.rate_limit import (
    BURST_MESSAGES,
    RATE_PER_S,
    RESERVED_FOR_LEASES_MESSAGES,
    PeerRateLimit,
)
from plumpick.policy.leases.terms import (
    LeaseTerms,
    LeaseTermsError,
    fencing_token,
    rendezvous_rank,
    token_counter,
    token_owner,
)


@pytest.mark.parametrize("seed", range(24))
def test_no_two_hold_a_lease_whatever_goes_wrong(seed):
    rig = Rig(seed, gateways=(3, 5, 7)[seed % 3], drift=0.01, acceptors=(0, 1, 2), term_ms=2000)
    rig.faults(20)
    rig.run(26_000)
    assert not rig.overlaps and rig.gained
    tokens = {}
    for _, number, lease, token in rig.gained:
        assert token_owner(token)[0] == number and token not in tokens.setdefault(lease, set())
        tokens[lease].add(token)
    rig.cut, rig.loss, rig.twice, rig.delay = lambda a, b, data: False, 0.0, 0.0, (1.0, 5.0)
    for number, process in enumerate(rig.processes):
        if process is None:
            rig.start(number)
    assert rig.until(lambda: all(rig.holder(lease) is not None for lease in range(3)), 12_000) is not None


def test_a_vacancy_ends_within_two_terms_and_1_2_in_the_median():
    took = []
    for seed in range(40):
        rig = Rig(seed, gateways=5, term_ms=6000)
        rig.delay, rig.loss = (2.0, 40.0), 0.03
        rig.run(16_000 + rig.rng.uniform(0, 3000), judge=False)
        rig.kill(rig.holder(0))
        took.append(rig.until(lambda rig=rig: rig.holder(0) is not None, 30_000) / 6000)
    assert sorted(took)[20] <= 1.2 and max(took) <= 2.0


@pytest.mark.parametrize("lost", range(24))
def test_a_takeover_goes_on_whichever_of_its_messages_is_lost(lost):
    rig = Rig(5, gateways=3, term_ms=2000)
    rig.run(6000)
    rig.kill(rig.holder(0))
    count = [0]

    def cut(sender, receiver, data):
        if decode(data).kind is MessageKind.HEARTBEAT:
            return False
        count[0] += 1
        return count[0] == lost + 1

    rig.cut = cut
    assert rig.until(lambda: rig.holder(0) is not None, 8000) is not None and not rig.overlaps


def test_an_owner_that_cannot_reach_a_majority_ends_before_its_lease_does_and_says_why():
    rig = Rig(1, gateways=5, term_ms=2000)
    rig.run(6000)
    owner = rig.holder(0)
    process = rig.processes[owner]
    rig.cut = lambda a, b, data: owner in (a, b)
    end = process.true(process.member.holder.held[0].requested_ms + 2000)
    rig.run(3000)
    t, number, lease, _ = next(row for row in rig.lost if row[1] == owner and row[2] == 0)
    assert t <= end - 0.09 * 2000
    assert any("no majority" in str(row[-1]) for row in rig.log if row[1] == owner and row[2] == "lost")
    assert rig.holder(0) not in (None, owner) and not rig.overlaps


@pytest.mark.parametrize("voters", [(0, 1, 2), (0, 1, 2, 3, 4)])
def test_a_lost_minority_costs_nothing(voters):
    rig = Rig(2, gateways=7, term_ms=2000, acceptors=voters)
    rig.run(6000)
    owners = {lease: rig.holder(lease) for lease in range(3)}
    dead = [voter for voter in voters if voter not in owners.values()][: len(voters) // 2]
    for voter in dead:
        rig.kill(voter)
    before = len(rig.lost)
    rig.run(10_000)
    assert dead and len(rig.lost) == before and {lease: rig.holder(lease) for lease in range(3)} == owners


def test_who_stood_still_lets_go_before_it_reads_what_came():
    rig = Rig(3, gateways=3, term_ms=2000)
    rig.run(6000)
    owner = rig.holder(0)
    process = rig.processes[owner]
    rig.still(owner, 4000)
    rig.run(3900)
    assert rig.holder(0) not in (None, owner) and process.waiting
    first = process.member.handle(process.clock() + 200, process.waiting)[0]
    assert isinstance(first, LeaseLost)


def test_all_die_at_once_and_come_back_with_counters_that_begin_at_nothing():
    rig = Rig(4, gateways=3, term_ms=2000)
    rig.run(6000)
    known = max(token for _, _, lease, token in rig.gained if lease == 0)  # what the receiver knows
    for number in range(3):
        rig.kill(number)
    rig.run(500)
    for number in range(3):
        rig.start(number).member.holder.counter = 0
    assert rig.until(lambda: rig.holder(0) is not None, 6000) is not None
    process = rig.processes[rig.holder(0)]
    assert process.member.holder.held[0].token < known
    process.handle([LargerTokenSeen(0, known)])  # the receiver refuses it and says why
    assert rig.until(lambda: rig.holder(0) is not None, 3000) is not None
    assert rig.processes[rig.holder(0)].member.holder.held[0].token > known and not rig.overlaps


def test_a_return_moves_only_what_hashing_gives_it_and_a_death_only_what_it_had():
    rig = Rig(6, gateways=6, term_ms=2000, slots=12)
    rig.run(14_000)
    before = {lease: rig.holder(lease) for lease in range(12)}
    assert before == {
        lease: min(range(6), key=lambda n, lease=lease: rendezvous_rank(lease, n)) for lease in range(12)
    }
    gone = before[0]
    rig.kill(gone)
    rig.run(8000)
    after = {lease: rig.holder(lease) for lease in range(12)}
    assert None not in after.values()
    assert all(after[lease] == before[lease] for lease in before if before[lease] != gone)
    rig.start(gone)
    rig.run(20_000)
    assert {lease: rig.holder(lease) for lease in range(12)} == before and not rig.overlaps


def test_a_voter_that_knows_a_larger_token_of_nobody_does_not_call_for_ever():
    rig = Rig(10, gateways=6, term_ms=2000)
    rig.run(6000)
    owner = rig.holder(0)
    acceptor = rig.processes[next(number for number in (0, 1, 2) if number != owner)].member.acceptor
    acceptor.grants.pop(0)  # as after another's asking that found no majority and was given back
    acceptor.highest_tokens[0] += 10 << 48
    rig.run(4000)
    calls = []
    rig.cut = lambda a, b, data: calls.append(data) if decode(data).kind is MessageKind.NOMINATE else False
    rig.run(10_000)
    assert not calls and rig.holder(0) is not None and not rig.overlaps


def test_140_of_200_die_at_once_and_all_slots_have_an_owner_within_two_terms():
    rig = Rig(7, gateways=200, term_ms=6000, slots=16, acceptors=(0, 70, 140))
    rig.delay = (2.0, 40.0)
    rig.run(30_000, judge=False)
    dead = rig.rng.sample([number for number in range(200) if number not in (0, 70)], 140)
    for number in dead:
        rig.kill(number)
    took = rig.until(lambda: all(rig.holder(lease) is not None for lease in range(16)), 20_000)
    assert took is not None and took <= 12_000


def test_at_most_so_many_are_out_at_once_and_a_dead_ones_turn_comes_free():
    rig = Rig(8, gateways=5, term_ms=2000, slots=2, restart_permits=2)
    rig.run(5000)
    for process in rig.processes:
        process.handle([RestartPermitWanted(True)])

    def out():
        return [p.number for p in rig.processes if p is not None and p.member.permits.held() is not None]

    for _ in range(200):
        rig.run(50)
        assert len(out()) <= 2
    first = out()
    assert len(first) == 2 and not rig.overlaps
    rig.kill(first[0])
    assert rig.until(lambda: len(out()) == 2, 8000) is not None
    rig.processes[first[1]].handle([RestartPermitWanted(False)])
    assert rig.until(lambda: len(out()) == 2 and first[1] not in out(), 4000) is not None


def test_who_has_other_settings_counts_for_nothing_and_is_named_once():
    member = LeaseParticipant(LeaseTerms((0, 1, 2)), 0, 3, 1, random.Random(1), 0.0, 0.0)
    other = encode(
        Message(MessageKind.NOMINATE, LeaseTerms((0, 1, 2), slots=3).digest, 9, 0, 0, requested=((0, 0),))
    )
    said = [
        action
        for _ in range(3)
        for action in member.handle(10.0, [MessageReceived(1, other)])
        if isinstance(action, WriteLog)
    ]
    assert len(said) == 1 and "gatekeeper 1" in said[0].text and not member.holder.pending


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xd5",
        b"\x03" * 40,
        b"\xd5\x09" + b"\0" * 40,
        b"\xd5\x03" + b"\0" * 19,
        b"\xd5\x01" + b"\0" * 300,
        bytes(range(256)),
    ],
)
def test_bytes_that_are_no_word_change_nothing(data):
    assert decode(data) is None
    member = LeaseParticipant(LeaseTerms((0, 1, 2)), 0, 3, 1, random.Random(1), 0.0, 0.0)
    member.handle(0.0, [MessageReceived(1, data), MessageReceived(77, data)])
    assert not member.holder.pending


def test_words_hold_all_leases_in_256_bytes_and_are_read_as_written():
    leases = tuple((lease, (1 << 48) - 1 - lease) for lease in range(20))
    asked = Message(MessageKind.REQUEST, 65535, 2**32 - 1, 2**32 - 1, 2**32 - 1, 0, leases)
    answered = Message(
        MessageKind.RESPONSE,
        1,
        2,
        3,
        4,
        5,
        votes=tuple(
            (lease, Vote.HELD_BY_OTHER, bool(lease % 2), counter, 65535) for lease, counter in leases
        ),
    )
    for word in (asked, answered):
        assert len(encode(word)) <= MAX_MESSAGE_BYTES and decode(encode(word)) == word


def test_a_vote_that_comes_after_its_askers_life_is_none():
    terms = LeaseTerms((0, 1, 2))
    member = LeaseParticipant(terms, 0, 3, 1, random.Random(1), 0.0, 0.0, accepts=False)
    tells = member.handle(
        0.0,
        [
            MessageReceived(
                1, encode(Message(MessageKind.NOMINATE, terms.digest, 9, 0, 0, requested=((0, 0),)))
            )
        ],
    )
    asked = decode(
        next(
            one.data
            for one in tells
            if isinstance(one, SendMessage) and decode(one.data).kind is MessageKind.REQUEST
        )
    )
    for life, gains in ((2, 0), (1, 1)):  # of a life before, then of this one
        words = [
            MessageReceived(
                voter,
                encode(
                    Message(
                        MessageKind.RESPONSE,
                        terms.digest,
                        9,
                        asked.serial,
                        0,
                        life,
                        votes=((0, Vote.GRANTED, False, asked.requested[0][1], 0),),
                    )
                ),
            )
            for voter in (1, 2)
        ]
        assert sum(isinstance(one, LeaseAcquired) for one in member.handle(1.0, words)) == gains


def test_an_upgrade_is_one_owner_and_never_two():
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


def test_a_voter_that_took_over_keeps_its_word_and_one_that_did_not_is_silent():
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


def test_clocks_that_run_too_far_apart_are_told_and_others_are_not():
    for rate, off in ((1.02, None), (0.985, None), (1.05, True), (0.95, True)):
        monitor = ClockRateMonitor(0.01)
        said = [monitor.observe(1, ClockSample(1, t - 5, t, round(t * rate))) for t in range(0, 30_000, 1000)]
        assert (ClockRateChange.DIVERGED in said) is bool(off), rate
    assert (
        monitor.observe(1, ClockSample(2, 31_000, 31_005, 7)) is None
    )  # another life's clock is another clock


def test_a_voter_keeps_its_word_longer_than_the_slowest_holder_and_silence_covers_the_longest_term():
    terms = LeaseTerms((0,), term_ms=1000, drift_ratio=0.01, longest_past_term_ms=5000)
    assert terms.acceptor_hold_ms() / 1.01 >= 1000 / 0.99  # by true time: a fast voter against a slow holder
    assert terms.silence_ms / 1.01 >= 5000 / 0.99
    acceptor = Acceptor(terms, 0.0)
    assert acceptor.on_request(terms.silence_ms - 1, 0, (1, 1), 1, 1).vote is Vote.SILENT
    assert acceptor.on_request(terms.silence_ms, 0, (1, 1), 1, 1).vote is Vote.GRANTED


def test_a_word_that_gives_back_counts_only_for_what_was_asked_before_it():
    acceptor = Acceptor(LeaseTerms((0,), term_ms=1000), -1e6)
    assert acceptor.on_request(0.0, 0, (1, 1), 1, 5).vote is Vote.GRANTED
    assert not acceptor.on_release(0, (1, 1), 4) and acceptor.active_grant(1.0, 0)  # an old one
    assert not acceptor.on_release(0, (2, 1), 9) and acceptor.active_grant(1.0, 0)  # another's
    assert acceptor.on_release(0, (1, 1), 6) and acceptor.active_grant(1.0, 0) is None
    assert acceptor.on_request(2.0, 0, (1, 1), 1, 5) is None  # its asking once more, late
    assert acceptor.on_request(2.0, 0, (2, 1), 1, 1).vote is Vote.GRANTED  # the token is larger by its number


def test_who_let_a_lease_end_without_a_word_is_called_last():
    nominator = Nominator(LeaseTerms((0,), slots=1), 4, 0.0)
    for number in range(4):
        nominator.on_heartbeat(0.0, number, 1, False)
    first = nominator.candidates(1.0, 0)[0]
    nominator.on_grant_expired(first, 1)
    assert nominator.candidates(1.0, 0)[-1] == first
    nominator.on_heartbeat(2.0, first, 2, False)
    assert nominator.candidates(3.0, 0)[0] == first


def test_words_to_one_gatekeeper_keep_to_a_part_of_what_it_takes_in():
    rate_limit = PeerRateLimit()
    sent = sum(rate_limit.allow(float(t), 1) for t in range(10_000))
    assert sent <= BURST_MESSAGES + RATE_PER_S * 10 + 1 and rate_limit.allow(10_000.0, 2)


def test_words_about_shares_leave_room_for_those_that_renew_leases():
    rate_limit = PeerRateLimit()
    assert (
        sum(rate_limit.allow(0.0, 1, is_lease_message=False) for _ in range(100))
        == BURST_MESSAGES - RESERVED_FOR_LEASES_MESSAGES
    )
    assert sum(rate_limit.allow(0.0, 1) for _ in range(100)) == RESERVED_FOR_LEASES_MESSAGES


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
def test_terms_that_contradict_each_other_name_the_operators_key(wrong, key):
    with pytest.raises(LeaseTermsError, match=key):
        LeaseTerms(**{"acceptors": (0, 1, 2), **wrong})


def test_tokens_are_ordered_by_counter_and_name_their_owner():
    assert (
        fencing_token(2, 0, 0) > fencing_token(1, 65535, 2**32 - 1)
        and token_counter(fencing_token(7, 3, 9)) == 7
    )
    assert token_owner(fencing_token(7, 3, 9)) == (3, 9)


def test_a_majority_that_is_gone_for_a_minute_leaves_no_owner_and_all_is_well_when_it_is_back():
    rig = Rig(11, gateways=5, term_ms=2000)
    rig.run(6000)
    for number in (0, 1):
        rig.kill(number)
    rig.run(3000)
    for _ in range(55):
        rig.run(1000)
        assert rig.holder(0) is None
    for number in (0, 1):
        rig.start(number)
    took = rig.until(lambda: all(rig.holder(lease) is not None for lease in range(3)), 10_000)
    assert took is not None and took <= 2 * 2000 and not rig.overlaps


def test_a_voter_that_is_deaf_or_dumb_costs_nothing():
    for way in (0, 1):
        rig = Rig(12 + way, gateways=5, term_ms=2000)
        rig.run(6000)
        owners = {lease: rig.holder(lease) for lease in range(3)}
        voter = next(number for number in (0, 1, 2) if number not in owners.values())
        rig.cut = lambda a, b, data, voter=voter, way=way: voter == (a, b)[way]
        before = len(rig.lost)
        rig.run(15_000)
        assert len(rig.lost) == before and not rig.overlaps


def test_a_duty_that_takes_longer_than_its_lease_keeps_it_by_renewals():
    rig = Rig(14, gateways=3, term_ms=2000)
    rig.run(6000)
    owner = rig.holder(0)
    token = rig.processes[owner].member.holder.held[0].token
    rig.run(20_000)
    assert rig.holder(0) == owner and rig.processes[owner].member.holder.held[0].token == token
