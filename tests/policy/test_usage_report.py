"""The fleet's usage: counting, encoding of messages, and collection."""

import pytest

from plumpick.policy.usage_report import (
    FAILED,
    KIND_REQUEST,
    MAX_ATTEMPTS,
    MAX_PERIODS,
    NOT_COUNTED,
    REJECTED,
    SERVED,
    PeriodUsage,
    UsageCollection,
    UsageCounter,
    UsageSnapshotError,
    decode,
    encode_report,
    encode_request,
)


def test_usage_is_reported_for_past_periods_with_the_start_of_counting():
    counter = UsageCounter(1000.0, 500.0)
    counter.count(600.0, 0, SERVED, 2.5)
    counter.count(700.0, 0, REJECTED, 9.0)
    counter.count(1500.0, 3, FAILED, 1.0)
    assert counter.usage(900.0, 0) == (NOT_COUNTED, {})  # The period is not over.
    assert counter.usage(1600.0, 0) == (500, {0: [1, 1, 0, 2.5]})
    assert counter.usage(2600.0, 1) == (0, {3: [0, 0, 1, 0.0]})
    for period in range(2, 40):
        counter.count(period * 1000.0, 0, SERVED, 1.0)
    assert len(counter.periods) == MAX_PERIODS and counter.usage(39_000.0, 1)[0] == NOT_COUNTED
    other = UsageCounter(1000.0, 30_000.0)
    other.restore(counter.capture())
    assert other.usage(39_000.0, 38) == counter.usage(39_000.0, 38)
    with pytest.raises(UsageSnapshotError):
        other.restore({"born": 1.0, "periods": [[1, [[0, 1]]]]})


# Guards against counts that the next process of a hot restart made before it took in its predecessor's.
def test_restored_usage_is_added_to_what_was_counted_since():
    old, new = UsageCounter(1000.0, 100.0), UsageCounter(1000.0, 1300.0)
    old.count(900.0, 0, SERVED, 2.0)
    old.count(1200.0, 0, SERVED, 2.0)
    new.count(1350.0, 0, SERVED, 1.0)
    new.count(1360.0, 1, REJECTED, 0.0)
    new.restore(old.capture())
    assert new.usage(2100.0, 0) == (100, {0: [1, 0, 0, 2.0]})
    assert new.usage(2100.0, 1) == (0, {0: [2, 0, 0, 3.0], 1: [0, 1, 0, 0.0]})
    new.count(1400.0, 0, SERVED, 1.0)
    with pytest.raises(UsageSnapshotError):
        new.restore({"born": 1.0, "periods": [[1, [[0, 1]]]]})
    assert new.usage(2100.0, 1) == (0, {0: [3, 0, 0, 4.0], 1: [0, 1, 0, 0.0]})
    for period in range(2, 2 + MAX_PERIODS):
        new.count(period * 1000.0, 0, SERVED, 1.0)
    new.restore(old.capture())
    assert len(new.periods) == MAX_PERIODS


# Guards against a record with a hole and no gap, where a process resumes as its successor has died.
def test_usage_from_before_a_new_start_is_reported_as_not_counted():
    counter = UsageCounter(1000.0, 100.0)
    counter.count(900.0, 0, SERVED, 2.0)
    counter.count(1200.0, 0, SERVED, 2.0)
    counter.start_again(1500.0)
    counter.count(1600.0, 0, SERVED, 1.0)
    assert counter.usage(2100.0, 0) == (NOT_COUNTED, {})
    assert counter.usage(2100.0, 1) == (500, {0: [1, 0, 0, 1.0]})


def test_decoded_messages_equal_the_encoded_ones_and_other_bytes_give_none():
    rows = {plan: [plan, 2, 3, 0.5] for plan in range(15)}
    parts = [decode(data) for data in encode_report(9, 77, PeriodUsage(250, rows))]
    assert {plan: row for part in parts for plan, row in part.rows.items()} == rows
    assert all((part.tag, part.period, part.counted_from_ms, part.parts) == (9, 77, 250, 2) for part in parts)
    assert decode(encode_request(9, 77)).kind == KIND_REQUEST
    assert all(
        decode(data) is None
        for data in (b"", b"\x01", b"\x07" * 19, encode_report(9, 7, PeriodUsage(0, rows))[0] + b"x")
    )


def collect(gateways, reports, is_lost=lambda gateway, attempt: False):
    """Collect usage from `gateways` gateways. `reports`: the usage of each gateway, or None if it is dead;
    `is_lost`: whether a gateway's reply to its n-th poll is lost. Returns the result, the number of polls by
    gateway and the times of all polls."""
    collection, t, polls = UsageCollection(gateways, 0.0), 0.0, {}
    times = []
    while not collection.is_over(t):
        for gateway in collection.gateways_to_poll(t):
            polls[gateway] = polls.get(gateway, 0) + 1
            times.append(t)
            if reports[gateway] is not None and not is_lost(gateway, polls[gateway]):
                for data in encode_report(1, 5, PeriodUsage(*reports[gateway])):
                    collection.on_report(gateway, decode(data))
        t += 10.0
    return collection.result(1000.0), polls, times


def test_reports_are_added_up_and_missing_ones_are_gaps():
    reports = [
        (0, {0: [1, 0, 0, 1.0]}),
        None,
        (400, {0: [2, 1, 0, 2.0], 1: [1, 0, 0, 4.0]}),
        (NOT_COUNTED, {}),
    ]
    (totals, gaps), polls, _ = collect(4, reports)
    assert totals == {0: [3, 1, 0, 3.0], 1: [1, 0, 0, 4.0]}
    assert gaps == [(1, 0.0, 1000.0), (2, 0.0, 400.0), (3, 0.0, 1000.0)]
    assert polls == {0: 1, 1: MAX_ATTEMPTS, 2: 1, 3: 1}


def test_lost_report_is_polled_again_and_counted_once():
    reports = [(0, {0: [1, 0, 0, 1.0]}) for _ in range(3)]
    (totals, gaps), polls, _ = collect(3, reports, lambda gateway, attempt: gateway == 1 and attempt < 3)
    assert totals == {0: [3, 0, 0, 3.0]} and not gaps and polls[1] == 3


def test_200_gateways_are_polled_at_20_per_second():
    reports = [(0, {0: [1, 0, 0, 1.0]}) for _ in range(200)]
    (totals, _), _, times = collect(200, reports)
    assert totals[0][0] == 200
    assert max(sum(begin <= t < begin + 1000 for t in times) for begin in times) <= 24
