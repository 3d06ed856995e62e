"""Binary encoding of the datagrams about leases between gateways, at most 256 bytes each.

Each datagram begins with MAGIC. No quota message begins with this byte (peer_messages.py), so a process
without leases drops lease datagrams as malformed. `decode` returns None for malformed bytes; the caller drops
them."""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

from plumpick.policy.leases.terms import MAX_LEASES

MAGIC = 0xD5
MAX_MESSAGE_BYTES = 256
NO_HOLDER = 0xFFFF  # value in place of a gateway's number if no gateway holds the lease
_HEADER = struct.Struct(">BBHIIII")  # header: magic, kind, digest, incarnation, serial, clock, to_incarnation
_REQUEST = struct.Struct(">HHI")  # row of a request: lease, upper and lower part of the counter
# Row of a response: lease, vote with flag, upper and lower part of the counter, holder.
_VOTE = struct.Struct(">HBHIH")
MAX_PAYLOAD_BYTES = MAX_MESSAGE_BYTES - _HEADER.size
_VOTE_MASK = 0x7F
_FLAG_SHIFT = 7
_UINT32_MASK = 0xFFFFFFFF


class MessageKind(IntEnum):
    """Kind of a message; the values are sent on the wire."""

    REQUEST = 1  # sent to acceptors: request to grant or renew leases
    RELEASE = 2  # sent to acceptors: release of leases
    RESPONSE = 3  # sent by an acceptor: votes on the leases of a request
    NOMINATE = 4  # sent by an acceptor: invitation to request free slots
    HEARTBEAT = 5  # sent to acceptors: the sender is up; serial 1 if it is shutting down
    PAYLOAD = 6  # sent to any gateway: data of a scheduled task or a budget


class Vote(IntEnum):
    """An acceptor's vote on one lease; the values are sent on the wire."""

    GRANTED = 0
    HELD_BY_OTHER = 1
    STALE_COUNTER = 2  # denied: the counter is smaller than that of a token granted earlier
    STARTING = 3  # denied: the acceptor has just started and may have lost grants


class LeaseVote(NamedTuple):
    """An acceptor's vote on one lease, as one row of a response.

    `flag`: for GRANTED, whether a gateway that is preferred to the holder is up; for HELD_BY_OTHER, whether
    the other gateway's grant is recent. `counter`: counter of the acceptor's largest token for the lease.
    `holder`: gateway that holds the acceptor's grant, or NO_HOLDER."""

    lease: int
    vote: Vote
    flag: bool
    counter: int
    holder: int


class Message(NamedTuple):
    """One datagram about leases. `clock_ms`: the sender's clock modulo 2^32."""

    kind: MessageKind
    terms_digest: int
    incarnation: int  # incarnation of the sender
    serial: int  # serial number of a request; a response repeats that of the request
    clock_ms: int
    to_incarnation: int = 0  # incarnation of the receiver of a response
    # Leases with counters; the counter is 0 in RELEASE and NOMINATE.
    requested: tuple[tuple[int, int], ...] = ()
    votes: tuple[LeaseVote, ...] = ()
    payload: bytes = b""


def encode(message: Message) -> bytes:
    """Encode a message; leases beyond the first MAX_LEASES are omitted."""
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
    """Decode a datagram; None if it is malformed."""
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
