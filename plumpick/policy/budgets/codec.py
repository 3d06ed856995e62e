"""Binary encoding of the messages about budgets.

They are payloads of lease messages (plumpick/policy/leases/codec.py) of at most `MAX_PAYLOAD_BYTES` each;
longer lists are split into several payloads.

Amounts are encoded as 64-bit floats: sender and receiver must count a grant with exactly the same value, or
the rounding errors of many grants could add up to more than the limit. Malformed bytes decode to None, and
the caller drops them."""

from __future__ import annotations

import math
import struct
from collections.abc import Callable

from plumpick.policy.budgets.grant import Grant
from plumpick.policy.budgets.messages import (
    AllocatorHint,
    DemandReport,
    GrantMessage,
    GrantRow,
    LimitsMessage,
    Message,
)
from plumpick.policy.leases.codec import MAX_PAYLOAD_BYTES

# Kinds of messages, in the first byte of the payload. Usage reports use other values (usage_report.py).
DEMAND_REPORT = 0x21
GRANT = 0x22
ALLOCATOR_HINT = 0x23
LIMITS_QUERY = 0x24
LIMITS = 0x25

# Fields of a demand report: budget, request id, demand, granted, last grant id, largest request, fingerprint.
_REPORT_ROW = struct.Struct(">HIfdIfI")
_GRANT_HEADER = struct.Struct(">BI16s")  # header of grants: kind, incarnation of the receiver, fencing token
# Fields of a grant: budget, request id, amount, burst, initial tokens, fingerprint.
_GRANT_ROW = struct.Struct(">HIdddI")
_HINT = struct.Struct(">BHH")  # allocator hint: kind, slot, gateway
_LIMITS = struct.Struct(">BHdd")  # message about limits: kind, budget, limit, burst
_TOKEN_BYTES = 16
_MAX_FLOAT32 = 3e38

REPORTS_PER_MESSAGE = (MAX_PAYLOAD_BYTES - 1) // _REPORT_ROW.size
GRANTS_PER_MESSAGE = (MAX_PAYLOAD_BYTES - _GRANT_HEADER.size) // _GRANT_ROW.size


def encode_demand_reports(reports: list[DemandReport]) -> list[bytes]:
    """Encode demand reports into as many payloads as they need."""
    return [
        bytes([DEMAND_REPORT]) + b"".join(map(_report_row, reports[begin : begin + REPORTS_PER_MESSAGE]))
        for begin in range(0, len(reports), REPORTS_PER_MESSAGE)
    ]


def encode_grants(incarnation: int, fencing_token: int, rows: list[GrantRow]) -> list[bytes]:
    """Encode grants that were made under one fencing token to one incarnation of a gateway, into as many
    payloads as they need."""
    header = _GRANT_HEADER.pack(GRANT, incarnation, fencing_token.to_bytes(_TOKEN_BYTES, "big"))
    return [
        header + b"".join(map(_grant_row, rows[begin : begin + GRANTS_PER_MESSAGE]))
        for begin in range(0, len(rows), GRANTS_PER_MESSAGE)
    ]


def encode_allocator_hint(hint: AllocatorHint) -> bytes:
    """Encode an allocator hint into one payload."""
    return _HINT.pack(ALLOCATOR_HINT, hint.slot, hint.gateway)


def encode_limits(message: LimitsMessage) -> bytes:
    """Encode a limits message into one payload."""
    kind = LIMITS_QUERY if message.is_query else LIMITS
    return _LIMITS.pack(kind, message.budget_index, message.limit, message.burst)


def is_budget_message(data: bytes) -> bool:
    """Whether the first byte of a payload is that of a budget message; the rest may still be malformed."""
    return data[:1] in _KINDS


def decode(data: bytes) -> Message | None:
    """Decode a payload; None if it is malformed or contains values that no gateway sends, such as NaN."""
    kind = data[0] if data else 0
    decoder = _DECODERS.get(kind)
    return None if decoder is None else decoder(data)


def _report_row(report: DemandReport) -> bytes:
    return _REPORT_ROW.pack(
        report.budget_index,
        report.request_id,
        min(report.demand, _MAX_FLOAT32),
        report.granted,
        report.last_grant_id,
        min(report.largest_request, _MAX_FLOAT32),
        report.fingerprint,
    )


def _grant_row(row: GrantRow) -> bytes:
    grant = row.grant
    return _GRANT_ROW.pack(
        row.budget_index, grant.request_id, grant.amount, grant.burst, grant.initial_tokens, row.fingerprint
    )


def _decode_demand_reports(data: bytes) -> list[DemandReport] | None:
    if (len(data) - 1) % _REPORT_ROW.size:
        return None
    reports = [DemandReport(*row) for row in _REPORT_ROW.iter_unpack(data[1:])]
    if not all(_are_valid(one.demand, one.granted, one.largest_request) for one in reports):
        return None
    return reports


def _decode_grants(data: bytes) -> GrantMessage | None:
    size = len(data) - _GRANT_HEADER.size
    if size < 0 or size % _GRANT_ROW.size:
        return None
    _, incarnation, token = _GRANT_HEADER.unpack_from(data)
    fencing_token = int.from_bytes(token, "big")
    rows = []
    for budget_index, request_id, *amounts, fingerprint in _GRANT_ROW.iter_unpack(data[_GRANT_HEADER.size :]):
        if not _are_valid(*amounts):
            return None
        rows.append(GrantRow(budget_index, Grant(request_id, fencing_token, *amounts), fingerprint))
    return GrantMessage(incarnation, rows)


def _decode_allocator_hint(data: bytes) -> AllocatorHint | None:
    return AllocatorHint(*_HINT.unpack(data)[1:]) if len(data) == _HINT.size else None


def _decode_limits(data: bytes) -> LimitsMessage | None:
    if len(data) != _LIMITS.size:
        return None
    kind, budget_index, limit, burst = _LIMITS.unpack(data)
    if not _are_valid(limit, burst):
        return None
    return LimitsMessage(budget_index, limit, burst, kind == LIMITS_QUERY)


def _are_valid(*values: float) -> bool:
    return all(math.isfinite(value) and value >= 0 for value in values)


_DECODERS: dict[int, Callable[[bytes], Message | None]] = {
    DEMAND_REPORT: _decode_demand_reports,
    GRANT: _decode_grants,
    ALLOCATOR_HINT: _decode_allocator_hint,
    LIMITS_QUERY: _decode_limits,
    LIMITS: _decode_limits,
}
_KINDS = frozenset(bytes([kind]) for kind in _DECODERS)
