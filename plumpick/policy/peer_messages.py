"""The bytes that gateways send each other, at most 256: quota messages and outlier reports.

Version 4. The head holds a digest of the names of classes and plans in their order: an index means nothing to
a gateway with other names, so its messages are dropped, as those of another version are. An index takes as
many bytes as the settings need.

Names travel as tags, which may collide. Of 40,000 customers two share a tag with a chance of 3 in a million;
an owner of both takes them for one, if their plan is the same as well. The tags are no secret: who may choose
names can make two collide. Of 5,900 endpoints two share one with a chance of 0.4 %; of such a pair no peer's
report counts (endpoints_by_tag). An endpoint that the sender knows and we do not yet may share one with ours.
"""

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
MAX_OUTLIER_REPORTS = 4
MAX_ENCODED_SET_SIZE = 15
UNITS_SCALE = 16  # a unit, and one a second, in the numbers sent
CAPACITY_SCALE = 64
MAX_NUMBER = 0xFFFF
TAG_LOW_BITS = 32
_TAG_LOW_MASK = 0xFFFFFFFF
_HEAD = "<BIHHB"  # version, digest of names, incarnation, capacity, number of quota messages
_QUOTA_MESSAGE = "<BIHHHH"  # kind and set size, tag (low, high), serial, units, demand; then both indexes
_OUTLIER_REPORT = "<I"  # endpoint tag; then class and grade
_KIND_SHIFT = 4
_SET_SIZE_MASK = 15
_GRADES = 16  # of an outlier report
_FAILED_GRADE = 15
_USUAL_GRADE = 4  # as fast as usual; two grades for each doubling
_GRADES_PER_DOUBLING = 2
_MIN_LATENCY_RATIO = 0.25
_MAX_LATENCY_RATIO = 32.0


class QuotaMessageKind(IntEnum):
    """What a quota message says."""

    GRANT_REQUEST = 1  # to the owner: may so many units be spent?
    GRANT = 2  # from the owner: they may
    QUEUED = 3  # from the owner: not yet
    SPENT = 4  # to the owner: they were spent without a grant
    RETURNED = 5  # to the owner: not used, or no longer in flight
    RETRY_GRANT_REQUEST = 6  # a GRANT_REQUEST for a client's retry
    DENIED = 7  # from the owner: not in any time that is of use
    LATE = 8  # to the owner: a SPENT once more, since it may not have been heard


_KINDS = frozenset(int(kind) for kind in QuotaMessageKind)


class QuotaMessage(NamedTuple):
    """One message about the units of one request."""

    kind: QuotaMessageKind
    customer_tag: int
    serial: int
    units: float
    demand_per_s: float  # units asked of the sender; from an owner, of the whole set
    class_index: int
    plan_index: int
    gateway_set_size: int = 1  # of the customer; 0 where it is over MAX_ENCODED_SET_SIZE


class OutlierReport(NamedTuple):
    """How one attempt at an endpoint went at the sender."""

    endpoint_tag: int
    class_index: int
    grade: int


class PeerMessage(NamedTuple):
    """All that one datagram holds."""

    incarnation: int
    capacity: float  # of the sender's concurrency limit
    quota_messages: tuple[QuotaMessage, ...]
    outlier_reports: tuple[OutlierReport, ...]


def outlier_report(endpoint_id: str, class_index: int, latency_ratio: float) -> OutlierReport:
    """What was seen of an endpoint: the latency against the usual one, or inf for a failure."""
    if latency_ratio == math.inf:
        return OutlierReport(endpoint_tag(endpoint_id), class_index, _FAILED_GRADE)
    bounded = max(_MIN_LATENCY_RATIO, min(_MAX_LATENCY_RATIO, latency_ratio))
    grade = _USUAL_GRADE + round(_GRADES_PER_DOUBLING * math.log2(bounded))
    return OutlierReport(endpoint_tag(endpoint_id), class_index, grade)


def latency_ratio_of(report: OutlierReport) -> float:
    """The latency against the usual one that a report tells, inf for a failure."""
    if report.grade == _FAILED_GRADE:
        return math.inf
    return 2 ** ((report.grade - _USUAL_GRADE) / _GRADES_PER_DOUBLING)


def customer_tag(customer: str) -> int:
    """A short stand-in for a customer's name, 48 bits; the same at every gateway. The lower 32 are those of
    version 3, by which quota owners go: a rolling upgrade moves no owner, so that no customer has two."""
    name = customer.encode()
    high = int.from_bytes(hashlib.blake2b(name, digest_size=2).digest(), "little")
    return high << TAG_LOW_BITS | zlib.crc32(name)


def owner_position(tag: int, set_size: int) -> int:
    """The place of a customer's quota owner in its set of gateways."""
    return (tag & _TAG_LOW_MASK) % set_size


def endpoint_tag(endpoint_id: str) -> int:
    """A short stand-in for an endpoint's id, 32 bits."""
    return zlib.crc32(endpoint_id.encode(errors="surrogatepass"))


def endpoints_by_tag(tracked: Mapping[str, T]) -> dict[int, T]:
    """The endpoints by their tags, without those that share one: a report on it may be on the other."""
    tags = {name: endpoint_tag(name) for name in tracked}
    holders = Counter(tags.values())
    return {tag: tracked[name] for name, tag in tags.items() if holders[tag] == 1}


def _clip(value: float) -> int:
    """A number as it is sent: rounded, and cut to what two bytes hold."""
    if 0 <= value <= MAX_NUMBER:
        return round(value)
    return MAX_NUMBER if value > 0 else 0


def _width(count: int) -> str:
    """The struct letter of the smallest unsigned number that tells so many apart."""
    if count <= 1 << 8:
        return "B"
    return "H" if count <= 1 << 16 else "I"


class PeerMessageCodec:
    """Messages to bytes and back, between gateways of the same classes and plans."""

    def __init__(self, settings: Settings) -> None:
        self.class_count = len(settings.classes)
        self.plan_count = len(settings.plans)
        class_names = [request_class.name for request_class in settings.classes]
        names = ascii((class_names, [plan.name for plan in settings.plans]))
        digest = hashlib.blake2b(names.encode(), digest_size=4).digest()
        self.version = VERSION
        self.digest = int.from_bytes(digest, "little")
        self._head = struct.Struct(_HEAD)
        self._quota_message = struct.Struct(_QUOTA_MESSAGE + _width(self.class_count * self.plan_count))
        self._outlier_report = struct.Struct(_OUTLIER_REPORT + _width(self.class_count * _GRADES))
        space = MAX_BYTES - self._head.size - MAX_OUTLIER_REPORTS * self._outlier_report.size
        self.max_quota_messages = space // self._quota_message.size

    def encode(
        self,
        incarnation: int,
        capacity: float,
        quota_messages: list[QuotaMessage],
        outlier_reports: list[OutlierReport],
    ) -> bytes:
        """The bytes of a message; what it has no space for is left out. Raises ValueError where an index is
        none of the settings': packed all the same, it would be another class's."""
        quota_messages = quota_messages[: self.max_quota_messages]
        number, count = incarnation & MAX_NUMBER, len(quota_messages)
        parts = [self._head.pack(self.version, self.digest, number, _clip(capacity * CAPACITY_SCALE), count)]
        parts += map(self._pack_quota_message, quota_messages)
        parts += map(self._pack_outlier_report, outlier_reports[:MAX_OUTLIER_REPORTS])
        return b"".join(parts)

    def _pack_quota_message(self, message: QuotaMessage) -> bytes:
        is_class = 0 <= message.class_index < self.class_count
        if not (is_class and 0 <= message.plan_index < self.plan_count):
            raise ValueError(f"no index of class and plan: {message!r}")
        is_small = message.gateway_set_size <= MAX_ENCODED_SET_SIZE
        set_size = message.gateway_set_size if is_small else 0
        return self._quota_message.pack(
            message.kind << _KIND_SHIFT | set_size,
            message.customer_tag & _TAG_LOW_MASK,
            message.customer_tag >> TAG_LOW_BITS,
            message.serial & MAX_NUMBER,
            _clip(message.units * UNITS_SCALE),
            _clip(message.demand_per_s * UNITS_SCALE),
            message.class_index * self.plan_count + message.plan_index,
        )

    def _pack_outlier_report(self, report: OutlierReport) -> bytes:
        if not (0 <= report.class_index < self.class_count and 0 <= report.grade < _GRADES):
            raise ValueError(f"no index of a class, or no grade: {report!r}")
        return self._outlier_report.pack(report.endpoint_tag, report.class_index * _GRADES + report.grade)

    def decode(self, data: bytes) -> PeerMessage | None:
        """The message in these bytes, or None where they cannot be read."""
        if len(data) < self._head.size or len(data) > MAX_BYTES:
            return None
        version, digest, incarnation, capacity, count = self._head.unpack_from(data)
        if version != self.version or digest != self.digest:
            return None
        reports_at = self._head.size + count * self._quota_message.size
        if len(data) < reports_at or (len(data) - reports_at) % self._outlier_report.size:
            return None
        message_rows = list(self._quota_message.iter_unpack(data[self._head.size : reports_at]))
        report_rows = list(self._outlier_report.iter_unpack(data[reports_at:]))
        indexes = self.class_count * self.plan_count
        if any(row[0] >> _KIND_SHIFT not in _KINDS or row[6] >= indexes for row in message_rows):
            return None
        if any(packed >= self.class_count * _GRADES for _, packed in report_rows):
            return None
        messages = tuple(self._unpacked_message(row) for row in message_rows)
        reports = tuple(
            OutlierReport(tag, packed // _GRADES, packed % _GRADES) for tag, packed in report_rows
        )
        return PeerMessage(incarnation, capacity / CAPACITY_SCALE, messages, reports)

    def _unpacked_message(self, row: tuple[int, ...]) -> QuotaMessage:
        kind_and_size, tag_low, tag_high, serial, units, demand, index = row
        return QuotaMessage(
            QuotaMessageKind(kind_and_size >> _KIND_SHIFT),
            tag_high << TAG_LOW_BITS | tag_low,
            serial,
            units / UNITS_SCALE,
            demand / UNITS_SCALE,
            index // self.plan_count,
            index % self.plan_count,
            kind_and_size & _SET_SIZE_MASK,
        )
