"""Binary encoding of the messages about budgets."""

from hypothesis import given
from hypothesis import strategies as st
from support.ledger_fleet import LedgerFleet

from plumpick.policy.budgets.codec import (
    ALLOCATOR_HINT,
    DEMAND_REPORT,
    GRANT,
    LIMITS,
    LIMITS_QUERY,
    decode,
    encode_allocator_hint,
    encode_demand_reports,
    encode_grants,
    encode_limits,
    is_budget_message,
)
from plumpick.policy.budgets.grant import Grant
from plumpick.policy.budgets.messages import AllocatorHint, DemandReport, GrantRow, LimitsMessage
from plumpick.policy.leases.codec import MAX_PAYLOAD_BYTES

KINDS = (DEMAND_REPORT, GRANT, ALLOCATOR_HINT, LIMITS_QUERY, LIMITS)


def test_every_kind_of_encoded_message_is_recognized_as_a_budget_message():
    """Guards against a kind of message that is encoded and decoded, but dropped by the dispatch of
    payloads."""
    payloads = [
        *encode_demand_reports([DemandReport(0, 1, 0.5, 0.1, 1, 1.0, 7)]),
        *encode_grants(9, 1, [GrantRow(0, Grant(1, 1, 0.1, 1.0, 1.0), 9)]),
        encode_allocator_hint(AllocatorHint(3, 4)),
        encode_limits(LimitsMessage(7, 0.1, 1.0, True)),
        encode_limits(LimitsMessage(7, 0.1, 1.0, False)),
    ]
    assert {payload[0] for payload in payloads} == set(KINDS)
    assert all(is_budget_message(payload) and decode(payload) is not None for payload in payloads)
    assert not is_budget_message(b"") and not is_budget_message(bytes([0x11]))


@given(st.binary(max_size=MAX_PAYLOAD_BYTES))
def test_arbitrary_bytes_raise_no_error(data):
    fleet = LedgerFleet()
    fleet.give_leases_to(0)
    fleet.run(1200)
    for first in (b"", *(bytes([kind]) for kind in KINDS)):
        fleet.deliver(1, 0, (first + data)[:MAX_PAYLOAD_BYTES])
        fleet.deliver(1, 2, (first + data)[:MAX_PAYLOAD_BYTES])


def test_messages_decode_exactly_as_encoded():
    reports = [DemandReport(n, n + 1, 0.5 * n, 0.1 * n, n, 1.0, 7 * n) for n in range(25)]
    payloads = encode_demand_reports(reports)
    assert [report for payload in payloads for report in decode(payload)] == reports
    rows = [GrantRow(n, Grant(n, 1 << 90 | 7, 0.1 * n, 1 / 3, 2 / 3), 9 * n) for n in range(20)]
    messages = [decode(payload) for payload in encode_grants(9, 1 << 90 | 7, rows)]
    assert [row for message in messages for row in message.rows] == rows
    assert {message.incarnation for message in messages} == {9}
    assert all(len(payload) <= MAX_PAYLOAD_BYTES for payload in payloads + encode_grants(9, 1, rows))
    assert decode(encode_allocator_hint(AllocatorHint(3, 4))) == AllocatorHint(3, 4)
    for is_query in (False, True):
        limits = LimitsMessage(7, 0.1, 1 / 3, is_query)
        assert decode(encode_limits(limits)) == limits
    assert decode(encode_limits(LimitsMessage(7, float("nan"), 1.0, True))) is None
