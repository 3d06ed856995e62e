"""Encoding of the datagrams about leases, and malformed bytes."""

import random

import pytest

from plumpick.policy.leases.codec import MAX_MESSAGE_BYTES, Message, MessageKind, Vote, decode, encode
from plumpick.policy.leases.events import MessageReceived
from plumpick.policy.leases.participant import LeaseParticipant
from plumpick.policy.leases.terms import LeaseTerms


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
def test_malformed_datagram_is_ignored(data):
    assert decode(data) is None
    participant = LeaseParticipant(LeaseTerms((0, 1, 2)), 0, 3, 1, random.Random(1), 0.0, 0.0)
    participant.handle(0.0, [MessageReceived(1, data), MessageReceived(77, data)])
    assert not participant.holder.pending


def test_message_with_all_leases_fits_in_256_bytes_and_decodes_as_encoded():
    leases = tuple((lease, (1 << 48) - 1 - lease) for lease in range(20))
    request = Message(MessageKind.REQUEST, 65535, 2**32 - 1, 2**32 - 1, 2**32 - 1, 0, leases)
    response = Message(
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
    for message in (request, response):
        assert len(encode(message)) <= MAX_MESSAGE_BYTES and decode(encode(message)) == message
