"""Tests of the service score on hand-made records: offered worth, served worth and prices."""

import pytest
from test_auditor import QUOTAS, attempt_received, request_sent

from plumpick.rehearsal.records import (
    AttemptAnswered,
    DatagramHandled,
    RequestAbandoned,
    ResponseReceived,
    RunEnded,
    RunStarted,
    WorkerStarted,
    WorkWasted,
)
from plumpick.rehearsal.scenario import Scenario
from plumpick.rehearsal.service import Service


def count(*records, end=20_000.0):
    service = Service()
    service.feed(RunStarted(0.0, Scenario().terms(1, "", "by hand") | {"quotas": QUOTAS}))
    service.feed(WorkerStarted(0.0, "a1", 1, "hall-a", 2.0, 1.0, 9000.0))
    service.feed(WorkerStarted(0.0, "b1", 1, "hall-b", 2.0, 1.0, 9000.0))
    for record in [*sorted(records, key=lambda record: record.t), RunEnded(end, 1.0, 1.0)]:
        service.feed(record)
    return service, service.as_dict()


def served(number, t=100.0, after=100.0, op=None, turn=0, kind="hours-debit", plan="basico", server="a1"):
    name = f"r{number}"
    return [
        request_sent(t=t, name=name, op=op or number, turn=turn, kind=kind, plan=plan),
        attempt_received(t + 1, number, name, server),
        AttemptAnswered(t + after - 1, number, 200, False, 225.0),
        ResponseReceived(t + after, name, 200, number, name, 0.0),
    ]


def refused(number, t=100.0, op=None, turn=0):
    name = f"r{number}"
    return [
        request_sent(t=t, name=name, op=op or number, turn=turn),
        ResponseReceived(t + 10, name, 503, -1, "", 0.0),
    ]


def test_service_is_1_if_all_requests_are_served_in_time():
    _, counted = count(*served(1), *served(2, t=200))
    assert counted["whole"] == counted["worst_10_s"] == counted["worst_plan"] == 1.0
    assert counted["service"] == pytest.approx(1.0)


def test_response_after_the_target_time_is_worth_0_and_has_a_price():
    _, counted = count(*served(1, after=1999), *served(2, t=200, after=2001))
    assert counted["whole"] == pytest.approx(0.5)
    assert counted["prices"]["late_fail"] == pytest.approx(0.03 * 0.5) and counted["counts"]["late"] == 1


def test_retry_counts_for_the_first_try_and_its_target_time():
    _, counted = count(*refused(1), *served(2, t=1000, op=1, turn=1))
    assert (
        counted["whole"] == 1.0 and counted["counts"]["first_tries"] == 1 and counted["counts"]["tries"] == 2
    )
    _, counted = count(
        *refused(1), *served(2, t=2050, op=1, turn=1)
    )  # in time for the retry, late for the first try
    assert counted["whole"] == 0.0


def test_requests_beyond_the_quota_are_not_offered_and_have_a_price():
    one = [record for number in range(1, 9) for record in served(number, t=100.0 + number)]  # the burst is 5
    _, counted = count(*one)
    assert counted["whole"] == 1.0 and counted["counts"]["sent_on"] == 8
    assert counted["over_quota_share"] == pytest.approx(3 / 8)
    assert counted["prices"]["over_quota"] == pytest.approx(0.6 * 3 / 5)


def test_classes_and_plans_are_weighted_by_worth():
    service, counted = count(*served(1, kind="seat-check", plan="amplio"), *refused(2, t=200))
    assert service.total.offered == pytest.approx(3 * 1.8 + 2 * 1.0)
    assert counted["whole"] == pytest.approx(5.4 / 7.4, abs=1e-6)
    assert counted["worst_plan"] == 0.0 and counted["classes"] == {"hours-debit": 0.0, "seat-check": 1.0}
    assert counted["service"] < 0.65 * 5.4 / 7.4 + 0.2 * 5.4 / 7.4 + 0.001


def test_worst_ten_seconds_contain_the_rejected_request():
    good = [record for number in range(1, 21) for record in served(number, t=number * 1900.0)]
    bad = refused(50, t=21_500.0)
    service, counted = count(*good, *bad, end=42_000.0)
    share, start = service.worst_window()
    assert 12 <= start <= 21 and counted["worst_10_s"] < counted["whole"] < 1.0


def test_prices_of_waste_zone_crossings_and_datagrams_are_subtracted():
    _, counted = count(
        *served(1),
        *served(2, t=200, server="b1"),
        WorkWasted(300, 9, 450.0),
        DatagramHandled(300, "n0", "n1", 256, "delivered"),
        DatagramHandled(300, "n0", "n1", 256, "lost"),
    )
    prices = counted["prices"]
    assert prices["waste"] == pytest.approx(0.05 * 450 / 450)
    assert prices["cross_hall"] == pytest.approx(0.01 / 2) and prices["peer"] == pytest.approx(0.02 / 2)
    assert counted["service"] == pytest.approx(1 - sum(prices.values()), abs=1e-5)


def test_missing_response_counts_as_failed():
    _, counted = count(request_sent(), RequestAbandoned(1170, "r1", "overdue"))
    assert counted["whole"] == 0.0 and counted["counts"]["failed"] == 1


def test_service_removes_old_operations_and_tries():
    service = Service()
    service.feed(RunStarted(0.0, Scenario().terms(1, "", "by hand") | {"quotas": QUOTAS}))
    for number in range(1, 4000):
        for record in served(number, t=number * 100.0, after=50.0):
            service.feed(record)
    assert len(service._ops) < 1300 and len(service._tries) < 1300 and len(service._took) < 1300
