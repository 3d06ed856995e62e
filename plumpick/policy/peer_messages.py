"""The bytes that gateways send each other, at most 256: quota business and sightings of servers.

Version 4. Its head holds a digest of the names of classes and plans in their order: an index means nothing to
a gateway with others, so their messages are dropped, as those of another version are. An index takes as many
bytes as the settings need.

Names travel as tags, which may meet. Of 40,000 customers two share a tag with a chance of 3 in a million;
they are then one to a home that both have, if their plan is the same as well. The tags are no secret: who may
choose names can make two meet. Of 5,900 servers two share one with a chance of 0.4 %; of such a pair no
peer's word is taken (by_tag). A server that the sender knows and we do not yet may share one with ours."""

from __future__ import annotations

import hashlib
import math
import struct
import zlib
from collections import Counter
from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple, TypeVar

from plumpick.policy.settings import Settings

T = TypeVar("T")

MAX_BYTES = 256
VERSION = 4
_HEAD = "<BIHHB"  # version, digest of names, boot number, room of the sender x 64, items
_ITEM = "<BIHHHH"  # kind and set, tag (low, high), serial, units x 16, asked a second x 16; then both indexes
_SIGHTING = "<I"  # server tag; then class and grade
MAX_OUTLIER_REPORTS, MAX_ENCODED_SET_SIZE = 4, 15
_GRADES = 16  # of a sighting
_LOW = 0xFFFFFFFF


class QuotaMessageKind(IntEnum):
    """What an item says."""

    GRANT_REQUEST = 1  # to the home: may so many units go on?
    GRANT = 2  # from the home: they may
    QUEUED = 3  # from the home: heard, but not now
    SPENT = 4  # to the home: they went on without a grant
    RETURNED = 5  # to the home: not needed, or no longer out
    RETRY_GRANT_REQUEST = 6  # an ASK for a client's repeat
    DENIED = 7  # from the home: not in any time that is of use
    LATE = 8  # to the home: a SPENT once more, since it may not have been heard


class QuotaMessage(NamedTuple):
    """One piece of business about one try of a customer."""

    kind: QuotaMessageKind
    customer_tag: int
    serial: int
    units: float
    demand_per_s: float  # of the sender; from a home, of the whole set
    class_index: int
    plan_index: int
    gateway_set_size: int = 1  # gateways of the customer's set; 0 where it is wider than MAX_SPREAD


class OutlierReport(NamedTuple):
    """How one attempt at a server went at the sender."""

    endpoint_tag: int
    class_index: int
    grade: int


class PeerMessage(NamedTuple):
    """One message."""

    incarnation: int
    capacity: float
    quota_messages: tuple[QuotaMessage, ...]
    outlier_reports: tuple[OutlierReport, ...]


_FAILED, _EVEN = 15, 4  # grades: failed; as fast as usual, with two grades for each doubling


def outlier_report(server: str, class_index: int, ratio: float) -> OutlierReport:
    """What was seen of a server: the answer time against the usual, or inf for a failure."""
    grade = _FAILED if ratio == math.inf else _EVEN + round(2 * math.log2(max(0.25, min(32.0, ratio))))
    return OutlierReport(endpoint_tag(server), class_index, grade)


def latency_ratio_of(seen: OutlierReport) -> float:
    """The answer time against the usual that a sighting tells, inf for a failure."""
    return math.inf if seen.grade == _FAILED else 2 ** ((seen.grade - _EVEN) / 2)


def customer_tag(customer: str) -> int:
    """A short stand-in for a customer's name, 48 bits; the same at every gateway. The lower 32 are those of
    version 3, by which homes go (place_of): a roll moves no home, so that no firm has two meanwhile."""
    name = customer.encode()
    return int.from_bytes(hashlib.blake2b(name, digest_size=2).digest(), "little") << 32 | zlib.crc32(name)


def owner_position(tag: int, spread: int) -> int:
    """The place of a customer's home in its set."""
    return (tag & _LOW) % spread


def endpoint_tag(server: str) -> int:
    """A short stand-in for a server's id, 32 bits."""
    return zlib.crc32(server.encode(errors="surrogatepass"))


def endpoints_by_tag(known: Mapping[str, T]) -> dict[int, T]:
    """The servers by their tags. Two that share one are left out: a word on it may be on the other."""
    tags = {name: endpoint_tag(name) for name in known}
    holders = Counter(tags.values())
    return {tag: known[name] for name, tag in tags.items() if holders[tag] == 1}


def _clip(value: float) -> int:
    return round(value) if 0 <= value <= 0xFFFF else 0xFFFF if value > 0 else 0


def _width(count: int) -> str:
    """The struct letter of the least unsigned number that tells so many apart."""
    return "B" if count <= 1 << 8 else "H" if count <= 1 << 16 else "I"


class PeerMessageCodec:
    """Messages to bytes and back, between gateways of the same classes and plans."""

    def __init__(self, settings: Settings) -> None:
        self.classes, self.plans = len(settings.classes), len(settings.plans)
        names = ascii(([kind.name for kind in settings.classes], [plan.name for plan in settings.plans]))
        digest = hashlib.blake2b(names.encode(), digest_size=4).digest()
        self.version, self.digest = VERSION, int.from_bytes(digest, "little")
        self._head = struct.Struct(_HEAD)
        self._item = struct.Struct(_ITEM + _width(self.classes * self.plans))
        self._sighting = struct.Struct(_SIGHTING + _width(self.classes * _GRADES))
        room = MAX_BYTES - self._head.size - MAX_OUTLIER_REPORTS * self._sighting.size
        self.max_quota_messages = room // self._item.size

    def encode(
        self, boot: int, room: float, items: list[QuotaMessage], sightings: list[OutlierReport]
    ) -> bytes:
        """The message; items and sightings beyond what it holds are left out. Raises ValueError where an
        index is none of the settings': packed all the same, it would be another class's."""
        items, sightings = items[: self.max_quota_messages], sightings[:MAX_OUTLIER_REPORTS]
        parts = [self._head.pack(self.version, self.digest, boot & 0xFFFF, _clip(room * 64), len(items))]
        for item in items:
            if not (0 <= item.class_index < self.classes and 0 <= item.plan_index < self.plans):
                raise ValueError(f"no index of class and plan: {item!r}")
            kind = item.kind << 4 | (
                item.gateway_set_size if item.gateway_set_size <= MAX_ENCODED_SET_SIZE else 0
            )
            parts.append(
                self._item.pack(
                    kind,
                    item.customer_tag & _LOW,
                    item.customer_tag >> 32,
                    item.serial & 0xFFFF,
                    _clip(item.units * 16),
                    _clip(item.demand_per_s * 16),
                    item.class_index * self.plans + item.plan_index,
                )
            )
        for seen in sightings:
            if not (0 <= seen.class_index < self.classes and 0 <= seen.grade < _GRADES):
                raise ValueError(f"no index of a class, or no grade: {seen!r}")
            parts.append(self._sighting.pack(seen.endpoint_tag, seen.class_index * _GRADES + seen.grade))
        return b"".join(parts)

    def decode(self, data: bytes) -> PeerMessage | None:
        """The message in these bytes, or None where they cannot be read."""
        if len(data) < self._head.size or len(data) > MAX_BYTES:
            return None
        version, digest, boot, room, count = self._head.unpack_from(data)
        body = self._head.size + count * self._item.size
        if version != self.version or digest != self.digest:
            return None
        if len(data) < body or (len(data) - body) % self._sighting.size:
            return None
        rows = list(self._item.iter_unpack(data[self._head.size : body]))
        seen = list(self._sighting.iter_unpack(data[body:]))
        if any(row[0] >> 4 not in _KINDS or row[6] >= self.classes * self.plans for row in rows):
            return None
        if any(packed >= self.classes * _GRADES for _, packed in seen):
            return None
        return PeerMessage(
            boot,
            room / 64,
            tuple(
                QuotaMessage(
                    QuotaMessageKind(kind >> 4),
                    high << 32 | low,
                    serial,
                    units / 16,
                    asked / 16,
                    index // self.plans,
                    index % self.plans,
                    kind & 15,
                )
                for kind, low, high, serial, units, asked, index in rows
            ),
            tuple(OutlierReport(server, packed // _GRADES, packed % _GRADES) for server, packed in seen),
        )


_KINDS = frozenset(int(kind) for kind in QuotaMessageKind)
