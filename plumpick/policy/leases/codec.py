"""The datagrams that gateways send each other about leases, at most 256 bytes each.

Each begins with MAGIC, with which no message about quotas begins (peer_messages.py), so that a process
without leases drops it as unreadable. `decode` returns None for bytes that are no such message; the caller
drops them."""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

from plumpick.policy.leases.terms import MAX_LEASES

MAGIC = 0xD5
MAX_MESSAGE_BYTES = 256
NO_HOLDER = 0xFFFF  # in place of a gateway's number
_HEADER = struct.Struct(">BBHIIII")  # magic, kind, digest, incarnation, serial, clock, to_incarnation
_REQUEST = struct.Struct(">HHI")  # lease, and the counter in two parts
_VOTE = struct.Struct(">HBHIH")  # lease, vote and flag, the counter in two parts, holder
MAX_PAYLOAD_BYTES = MAX_MESSAGE_BYTES - _HEADER.size
_VOTE_MASK = 0x7F
_FLAG_SHIFT = 7
_UINT32_MASK = 0xFFFFFFFF


class MessageKind(IntEnum):
    """What a message is for; the values are on the wire."""

    REQUEST = 1  # to an acceptor: grant me these leases, or renew them
    RELEASE = 2  # to an acceptor: I no longer want them
    RESPONSE = 3  # from an acceptor
    NOMINATE = 4  # from an acceptor: these slots are free; request them
    HEARTBEAT = 5  # to an acceptor: I am up; serial 1: and shutting down
    PAYLOAD = 6  # data of a scheduled task or a budget


class Vote(IntEnum):
    """An acceptor's vote on one lease; the values are on the wire."""

    GRANTED = 0
    HELD_BY_OTHER = 1
    STALE_COUNTER = 2  # the counter is below that of a token granted before
    SILENT = 3  # it has just started, and may have forgotten a grant


class LeaseVote(NamedTuple):
    """One row of a response.

    `flag`: for GRANTED, whether a preferred gateway is up; for HELD_BY_OTHER, whether the grant is recent."""

    lease: int
    vote: Vote
    flag: bool
    counter: int
    holder: int


class Message(NamedTuple):
    """One message. `clock_ms` is the sender's clock modulo 2^32."""

    kind: MessageKind
    terms_digest: int
    incarnation: int  # the sender's
    serial: int  # of a request; a response repeats its request's
    clock_ms: int
    to_incarnation: int = 0  # of a response's receiver
    requested: tuple[tuple[int, int], ...] = ()  # lease, counter; 0 in a RELEASE or a NOMINATE
    votes: tuple[LeaseVote, ...] = ()
    payload: bytes = b""


def encode(message: Message) -> bytes:
    """The message's bytes; leases over MAX_LEASES are left out."""
    header = _HEADER.pack(
        MAGIC,
        message.kind,
        message.terms_digest,
        message.incarnation,
        message.serial,
        message.clock_ms & _UINT32_MASK,
        message.to_incarnation,
    )
    requested = [
        _REQUEST.pack(lease, counter >> 32, counter & _UINT32_MASK)
        for lease, counter in message.requested[:MAX_LEASES]
    ]
    votes = [
        _VOTE.pack(lease, vote | flag << _FLAG_SHIFT, counter >> 32, counter & _UINT32_MASK, holder)
        for lease, vote, flag, counter, holder in message.votes[:MAX_LEASES]
    ]
    return b"".join([header, *requested, *votes, message.payload])


def decode(data: bytes) -> Message | None:
    """The message in these bytes, or None when they hold none."""
    if not _HEADER.size <= len(data) <= MAX_MESSAGE_BYTES:
        return None
    if data[0] != MAGIC or data[1] not in _KINDS:
        return None
    _, kind, digest, incarnation, serial, clock_ms, to_incarnation = _HEADER.unpack_from(data)
    message = Message(MessageKind(kind), digest, incarnation, serial, clock_ms, to_incarnation)
    body = data[_HEADER.size :]
    if kind == MessageKind.PAYLOAD:
        return message._replace(payload=body)
    if kind == MessageKind.RESPONSE:
        votes = _decode_votes(body)
        return None if votes is None else message._replace(votes=votes)
    if len(body) % _REQUEST.size:
        return None
    requested = tuple((lease, high << 32 | low) for lease, high, low in _REQUEST.iter_unpack(body))
    return message._replace(requested=requested)


def _decode_votes(body: bytes) -> tuple[LeaseVote, ...] | None:
    if len(body) % _VOTE.size:
        return None
    rows = list(_VOTE.iter_unpack(body))
    if any(row[1] & _VOTE_MASK not in _VOTES for row in rows):
        return None
    return tuple(
        LeaseVote(lease, Vote(vote & _VOTE_MASK), bool(vote >> _FLAG_SHIFT), high << 32 | low, holder)
        for lease, vote, high, low, holder in rows
    )


_KINDS = frozenset(int(kind) for kind in MessageKind)
_VOTES = frozenset(int(vote) for vote in Vote)
