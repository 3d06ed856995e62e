"""Codec of the datagrams between gateways, at most 256 bytes each: quota messages and outlier reports.

Protocol version 4. The header holds a digest of the names of classes and plans in order. An index of a class
or plan has no meaning to a gateway with other names, so datagrams with another digest are dropped, as are
those of another version. An index takes as many bytes as the number of classes and plans requires.

Customers and endpoints are sent as tags (hashes of their names), which may collide. Among 40,000 customers
two share a tag with a probability of 3 in a million; a quota owner of both treats them as one customer if
their plan is the same too. Tags are not secret: whoever can choose names can produce a collision. Among 5,900
endpoints two share a tag with a probability of 0.4 %; peers' reports on such a pair are ignored
(endpoints_by_tag). A report on an endpoint that the receiver does not know yet may be attributed to a known
endpoint with the same tag.
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
UNITS_SCALE = 16  # encoded value of one unit, and of one unit per second
CAPACITY_SCALE = 64  # encoded value of a capacity of 1
MAX_NUMBER = 0xFFFF
TAG_LOW_BITS = 32
_TAG_LOW_MASK = 0xFFFFFFFF
# Header of a datagram: version, digest of names, incarnation, capacity, number of quota messages.
_HEAD = "<BIHHB"
# Quota message: kind and set size, tag (low, high), serial, units, demand; then class and plan.
_QUOTA_MESSAGE = "<BIHHHH"
_OUTLIER_REPORT = "<I"  # outlier report: endpoint tag; then class and grade
_KIND_SHIFT = 4
_SET_SIZE_MASK = 15
_GRADES = 16  # number of grades of an outlier report
_FAILED_GRADE = 15
_USUAL_GRADE = 4  # grade of the usual latency
_GRADES_PER_DOUBLING = 2
_MIN_LATENCY_RATIO = 0.25
_MAX_LATENCY_RATIO = 32.0


class QuotaMessageKind(IntEnum):
    """Kind of a quota message, between a requesting gateway and a quota owner."""

    GRANT_REQUEST = 1  # sent to the owner: request to spend units
    GRANT = 2  # sent by the owner: the units are granted
    QUEUED = 3  # sent by the owner: the request waits for units
    SPENT = 4  # sent to the owner: units were spent without a grant
    RETURNED = 5  # sent to the owner: units were not used, or a request is no longer in flight
    RETRY_GRANT_REQUEST = 6  # sent to the owner: a GRANT_REQUEST for a client's retry
    DENIED = 7  # sent by the owner: the units cannot be granted in time
    LATE = 8  # sent to the owner: a SPENT repeated, as the owner was unreachable when it was first sent


_KINDS = frozenset(int(kind) for kind in QuotaMessageKind)


class QuotaMessage(NamedTuple):
    """A quota message about the units of one request."""

    kind: QuotaMessageKind
    customer_tag: int
    serial: int
    units: float
    demand_per_s: float  # customer's demand at the sender; from an owner, at the whole gateway set
    class_index: int
    plan_index: int
    gateway_set_size: int = 1  # size of the customer's gateway set; decoded as 0 above MAX_ENCODED_SET_SIZE


class OutlierReport(NamedTuple):
    """Latency or failure of one attempt at an endpoint, as observed by the sending gateway; `grade` encodes
    the ratio to the usual latency."""

    endpoint_tag: int
    class_index: int
    grade: int


class PeerMessage(NamedTuple):
    """Decoded content of one datagram."""

    incarnation: int
    capacity: float  # capacity of the sender's concurrency limit
    quota_messages: tuple[QuotaMessage, ...]
    outlier_reports: tuple[OutlierReport, ...]


def outlier_report(endpoint_id: str, class_index: int, latency_ratio: float) -> OutlierReport:
    """Report on an attempt at an endpoint. `latency_ratio`: ratio to the usual latency, inf for a failure;
    other values are limited to _MIN_LATENCY_RATIO and _MAX_LATENCY_RATIO and rounded to a grade."""
    if latency_ratio == math.inf:
        return OutlierReport(endpoint_tag(endpoint_id), class_index, _FAILED_GRADE)
    bounded = max(_MIN_LATENCY_RATIO, min(_MAX_LATENCY_RATIO, latency_ratio))
    grade = _USUAL_GRADE + round(_GRADES_PER_DOUBLING * math.log2(bounded))
    return OutlierReport(endpoint_tag(endpoint_id), class_index, grade)


def latency_ratio_of(report: OutlierReport) -> float:
    """Ratio to the usual latency that a report states; inf for a failure."""
    if report.grade == _FAILED_GRADE:
        return math.inf
    return 2 ** ((report.grade - _USUAL_GRADE) / _GRADES_PER_DOUBLING)


def customer_tag(customer: str) -> int:
    """48-bit hash of a customer's name, the same at every gateway.

    The lower 32 bits are the tag of protocol version 3 and determine the quota owner, so that no customer has
    two owners during a rolling upgrade."""
    name = customer.encode()
    high = int.from_bytes(hashlib.blake2b(name, digest_size=2).digest(), "little")
    return high << TAG_LOW_BITS | zlib.crc32(name)


def owner_position(tag: int, set_size: int) -> int:
    """Position of a customer's quota owner in the gateway set, from the customer's tag."""
    return (tag & _TAG_LOW_MASK) % set_size


def endpoint_tag(endpoint_id: str) -> int:
    """32-bit hash of an endpoint's id."""
    return zlib.crc32(endpoint_id.encode(errors="surrogatepass"))


def endpoints_by_tag(tracked: Mapping[str, T]) -> dict[int, T]:
    """The tracked endpoints by tag, without those that share a tag: a report on one could be meant for the
    other."""
    tags = {name: endpoint_tag(name) for name in tracked}
    tag_counts = Counter(tags.values())
    return {tag: tracked[name] for name, tag in tags.items() if tag_counts[tag] == 1}


def _to_uint16(value: float) -> int:
    """A scaled value rounded and limited to an unsigned 16-bit integer; 0 for NaN and negative values."""
    if 0 <= value <= MAX_NUMBER:
        return round(value)
    return MAX_NUMBER if value > 0 else 0


def _index_format(count: int) -> str:
    """The struct format character of the smallest unsigned integer with at least `count` distinct values."""
    if count <= 1 << 8:
        return "B"
    return "H" if count <= 1 << 16 else "I"


class PeerMessageCodec:
    """Encodes and decodes datagrams between gateways with the same classes and plans."""

    def __init__(self, settings: Settings) -> None:
        self.class_count = len(settings.classes)
        self.plan_count = len(settings.plans)
        class_names = [request_class.name for request_class in settings.classes]
        names = ascii((class_names, [plan.name for plan in settings.plans]))
        digest = hashlib.blake2b(names.encode(), digest_size=4).digest()
        self.version = VERSION
        self.digest = int.from_bytes(digest, "little")
        self._head = struct.Struct(_HEAD)
        self._quota_message = struct.Struct(
            _QUOTA_MESSAGE + _index_format(self.class_count * self.plan_count)
        )
        self._outlier_report = struct.Struct(_OUTLIER_REPORT + _index_format(self.class_count * _GRADES))
        space = MAX_BYTES - self._head.size - MAX_OUTLIER_REPORTS * self._outlier_report.size
        self.max_quota_messages = space // self._quota_message.size

    def encode(
        self,
        incarnation: int,
        capacity: float,
        quota_messages: list[QuotaMessage],
        outlier_reports: list[OutlierReport],
    ) -> bytes:
        """Encode a datagram; quota messages and outlier reports beyond its size are left out.

        Raises ValueError if an index or a grade is out of range, since the packed value would name another
        class or plan."""
        quota_messages = quota_messages[: self.max_quota_messages]
        number, count = incarnation & MAX_NUMBER, len(quota_messages)
        parts = [
            self._head.pack(self.version, self.digest, number, _to_uint16(capacity * CAPACITY_SCALE), count)
        ]
        parts += map(self._pack_quota_message, quota_messages)
        parts += map(self._pack_outlier_report, outlier_reports[:MAX_OUTLIER_REPORTS])
        return b"".join(parts)

    def _pack_quota_message(self, message: QuotaMessage) -> bytes:
        is_class = 0 <= message.class_index < self.class_count
        if not (is_class and 0 <= message.plan_index < self.plan_count):
            raise ValueError(
                f"class index must be below {self.class_count} and plan index below {self.plan_count}, "
                f"got {message!r}"
            )
        is_small = message.gateway_set_size <= MAX_ENCODED_SET_SIZE
        set_size = message.gateway_set_size if is_small else 0
        return self._quota_message.pack(
            message.kind << _KIND_SHIFT | set_size,
            message.customer_tag & _TAG_LOW_MASK,
            message.customer_tag >> TAG_LOW_BITS,
            message.serial & MAX_NUMBER,
            _to_uint16(message.units * UNITS_SCALE),
            _to_uint16(message.demand_per_s * UNITS_SCALE),
            message.class_index * self.plan_count + message.plan_index,
        )

    def _pack_outlier_report(self, report: OutlierReport) -> bytes:
        if not (0 <= report.class_index < self.class_count and 0 <= report.grade < _GRADES):
            raise ValueError(
                f"class index must be below {self.class_count} and grade below {_GRADES}, got {report!r}"
            )
        return self._outlier_report.pack(report.endpoint_tag, report.class_index * _GRADES + report.grade)

    def decode(self, data: bytes) -> PeerMessage | None:
        """Decode a datagram; None if it is malformed, or if its version or digest of names differs."""
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
