"""The bytes that gatekeepers send each other about leases, at most 256.

Each begins with MAGIC, which no version of the quotas' messages does (messages.py), so that a process that
knows nothing of leases throws it away as unreadable."""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

from plumpick.policy.leases.terms import MOST_LEASES

MAGIC = 0xD5
MAX_BYTES = 256
_HEAD = struct.Struct(">BBHIIII")  # magic, kind, digest, life, serial, clock, life of who is answered
_ASKED = struct.Struct(">HHI")  # lease, and the counter in two parts
_ANSWERED = struct.Struct(">HBHIH")  # lease, verdict, the counter in two parts, number of who has it
MAX_NOTE = MAX_BYTES - _HEAD.size
NOBODY = 0xFFFF


class Kind(IntEnum):
    """What a message is for."""

    ASK = 1  # to a voter: I want these leases, or to keep them
    GIVE = 2  # to a voter: I want them no longer
    ANSWER = 3  # from a voter
    CALL = 4  # from a voter: these are free; take them
    HERE = 5  # to a voter: I am there; serial 1: and leaving
    NOTE = 6  # business of a duty: `note`


class Verdict(IntEnum):
    """A voter's word on one lease."""

    YES = 0
    HELD = 1  # another has it
    BEHIND = 2  # the counter is not above the one told
    SILENT = 3  # it may have given its word in a life that it has forgotten


class Word(NamedTuple):
    """One message."""

    kind: Kind
    digest: int
    life: int  # of the sender
    serial: int  # of an asking; an answer has its asking's
    clock: int  # the sender's, in ms, modulo 2^32
    to_life: int = 0  # of who is answered
    asked: tuple[tuple[int, int], ...] = ()  # lease, counter; for CALL the counter is 0
    # Lease, verdict, whether somebody better is there (YES) or the holder is fresh (HELD), counter, holder.
    answered: tuple[tuple[int, Verdict, bool, int, int], ...] = ()
    note: bytes = b""


def encode(word: Word) -> bytes:
    """The message."""
    parts = [
        _HEAD.pack(
            MAGIC, word.kind, word.digest, word.life, word.serial, word.clock & 0xFFFFFFFF, word.to_life
        )
    ]
    parts += [
        _ASKED.pack(lease, counter >> 32, counter & 0xFFFFFFFF) for lease, counter in word.asked[:MOST_LEASES]
    ]
    parts += [
        _ANSWERED.pack(lease, verdict | better << 7, counter >> 32, counter & 0xFFFFFFFF, holder)
        for lease, verdict, better, counter, holder in word.answered[:MOST_LEASES]
    ]
    return b"".join([*parts, word.note])


def decode(data: bytes) -> Word | None:
    """The message in these bytes, or None where they are none."""
    if not _HEAD.size <= len(data) <= MAX_BYTES or data[0] != MAGIC or data[1] not in _KINDS:
        return None
    _, kind, digest, life, serial, clock, to_life = _HEAD.unpack_from(data)
    head = (Kind(kind), digest, life, serial, clock, to_life)
    body = data[_HEAD.size :]
    if kind == Kind.NOTE:
        return Word(*head, note=body)
    if kind == Kind.ANSWER:
        if len(body) % _ANSWERED.size:
            return None
        rows = list(_ANSWERED.iter_unpack(body))
        if any(row[1] & 0x7F not in _VERDICTS for row in rows):
            return None
        return Word(
            *head,
            answered=tuple(
                (lease, Verdict(verdict & 0x7F), bool(verdict >> 7), high << 32 | low, holder)
                for lease, verdict, high, low, holder in rows
            ),
        )
    if len(body) % _ASKED.size:
        return None
    return Word(
        *head, asked=tuple((lease, high << 32 | low) for lease, high, low in _ASKED.iter_unpack(body))
    )


_KINDS = frozenset(int(kind) for kind in Kind)
_VERDICTS = frozenset(int(verdict) for verdict in Verdict)
