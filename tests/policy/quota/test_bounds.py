"""Bounds of quotas and hard limits: their values, and simulated runs that must stay within them."""

import json
from dataclasses import replace

import pytest

from benchmarks.quota_ways import WAYS, way
from benchmarks.quota_windows import case_of_splits, play
from benchmarks.simulation.plants import planted
from plumpick import cli
from plumpick.policy.actions import SendPeerMessage
from plumpick.policy.controller import Controller
from plumpick.policy.events import PeerMessageReceived
from plumpick.policy.peer_messages import QuotaMessage, QuotaMessageKind
from plumpick.policy.quota import hard_limits, requester
from plumpick.policy.quota.bounds import (
    BoundsError,
    Situation,
    compute_bounds,
    max_excess_over_hard_limit,
    max_excess_over_quota,
    max_forwarding_delay_s,
)
from plumpick.policy.quota.owner import QuotaOwner
from plumpick.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

CLASSES = (
    RequestClass("seat-check", 750, 2000, 3, Idempotency.IDEMPOTENT),
    RequestClass(
        "seat-checkout",
        2000,
        7500,
        3,
        Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window_ms=15_000,
    ),
    RequestClass("hours-debit", 2000, 7500, 2, Idempotency.NON_IDEMPOTENT),
)


def settings_with(rate=8.0, burst_s=2.0, hard_limit_ratio=2.0, **more):
    """Settings with a plan without hard limit, and one with a hard limit of `hard_limit_ratio` quotas."""
    plan = Plan(
        "amplio",
        rate,
        rate * burst_s,
        hard_limit_per_s=rate * hard_limit_ratio,
        hard_limit_burst=rate * burst_s * hard_limit_ratio,
        hard_limit_slack=1.0,
    )
    values = dict(
        gateway_count=3,
        gateway_number=0,
        zone="a",
        classes=CLASSES,
        plans=(Plan("basico", 0.8, 3.5), plan),
        slow_start_ms=17_000,
        slow_start_initial_ratio=0.25,
        overload_multiple=2.5,
        overload_window_ms=1000,
        max_attempts=5,
    )
    return Settings(**(values | more))


@pytest.mark.parametrize("rate", [6.1, 11.0])
@pytest.mark.parametrize("burst_s", [1.0, 2.9])
@pytest.mark.parametrize("hard_limit_ratio", [1.7, 2.3])
def test_bound_beyond_the_hard_limit_is_at_most_two_percent_of_a_minute(rate, burst_s, hard_limit_ratio):
    for settings in (
        settings_with(rate, burst_s, hard_limit_ratio),
        settings_with(rate, burst_s, hard_limit_ratio, gateway_count=4),
    ):
        rows = [row for row in compute_bounds(settings) if row.plan == "amplio" and row.window_s == 60]
        assert {row.situation for row in rows} == set(Situation)
        assert all(row.hard_limit_excess_ratio <= 0.02 for row in rows)


def test_each_situation_adds_its_increment_to_the_bound():
    settings = settings_with()
    plan = settings.plans[0]

    def excess(situation, window_s=60.0, **more):
        return max_excess_over_quota(plan, settings, situation, window_s, **more)

    baseline = excess(Situation.NORMAL)
    assert 0 < baseline < plan.burst * 2 + 3 * settings.max_units
    assert excess(Situation.OWNER_RESTART, restarts=2) == pytest.approx(baseline + 2 * plan.burst)
    assert excess(Situation.MESSAGE_LOSS, loss=0.0) == baseline < excess(Situation.MESSAGE_LOSS, loss=0.08)
    assert excess(Situation.PARTITION, partitioned_gateways=0) == baseline
    # Until the partition is detected (3.5 s), both sides may spend the quota; after that each has its even
    # parts. In a large tier, a customer may use a gateway that has sent its owner nothing, so that the owner
    # withholds no part for it.
    assert excess(Situation.PARTITION) == pytest.approx(baseline + 0.8 * 3.5)
    large = settings_with(gateway_count=30)
    baseline = max_excess_over_quota(plan, large, Situation.NORMAL, 60.0)
    not_withheld = 0.8 * 56.5 * 3 / 4
    assert max_excess_over_quota(plan, large, Situation.PARTITION, 60.0) == pytest.approx(
        baseline + 0.8 * 3.5 + not_withheld
    )
    assert excess(Situation.PARTITION, set_size=1) == excess(Situation.NORMAL, set_size=1)
    assert max_excess_over_quota(Plan("free"), settings, Situation.PARTITION, 60.0) == 0
    assert max_forwarding_delay_s(settings) == pytest.approx(2.0 + 5 * 0.25)
    amplio = settings.plans[1]
    assert max_excess_over_hard_limit(amplio, settings, 1.0) > max_excess_over_hard_limit(
        amplio, settings, 60.0
    )


@pytest.mark.parametrize(
    "invalid", [{"loss": 1.5}, {"loss": -0.1}, {"restarts": -1}, {"set_size": 0}, {"partitioned_gateways": 7}]
)
def test_argument_out_of_range_raises_bounds_error(invalid):
    settings = settings_with()
    with pytest.raises(BoundsError):
        max_excess_over_quota(settings.plans[0], settings, Situation.PARTITION, 60.0, **invalid)
    with pytest.raises(BoundsError):
        max_excess_over_quota(settings.plans[0], settings, Situation.NORMAL, 0.0)


def test_worst_window_of_simulated_runs_stays_within_the_bounds():
    """The runs have partitions, message loss, kills, and a customer with all requests on one side."""
    for seed in range(1, 7):
        result, rows = play(replace(case_of_splits(seed), seconds=20.0))
        assert not result.failed, result.text
        assert all(row.quota <= row.quota_bound and row.ceiling <= row.ceiling_bound for row in rows), rows
        assert any(row.quota > 0 for row in rows)


def test_injected_fault_in_the_ledger_exceeds_the_bound():
    with planted("forgets-bookings"):
        _, rows = play(replace(case_of_splits(2), seconds=20.0), judge=False)
    assert any(row.quota > row.quota_bound for row in rows)


def quota_code():
    """Methods of owner and requester, and the constants that the alternatives replace."""
    ratios = hard_limits.OWNER_RATIO, hard_limits.SET_RATIO, requester.LOCAL_BURST_RATIO
    return dict(vars(QuotaOwner)), dict(vars(requester.QuotaRequester)), ratios


def test_alternative_methods_differ_in_bounds_and_service_and_are_undone_afterwards():
    """A shared counter that admits requests while it is unreachable exceeds the bounds. An even division of
    the quota keeps them, but serves fewer requests."""
    before = quota_code()
    case = case_of_splits(3)
    runs = {}
    for name in WAYS:
        with way(name):
            runs[name] = play(case, judge=False)
    exceeds = {name: any(row.quota > row.quota_bound for row in rows) for name, (_, rows) in runs.items()}
    assert exceeds == {
        "plumpick": False,
        "even split": False,
        "one counter, open": True,
        "handed over, at best": False,
    }
    assert runs["even split"][0].service < runs["plumpick"][0].service
    assert before == quota_code()


def test_bounds_command_prints_the_table_and_reports_invalid_arguments_in_one_line(tmp_path, capsys):
    settings = {
        "balancers": 3,
        "myNumber": 0,
        "classes": [{"name": "seat-check", "aimMs": 750, "deadlineMs": 2000, "repeat": "retryable"}],
        "packages": [{"name": "amplio", "perSecond": 8, "storeSize": 16, "hardRate": 16, "hardBurst": 32}],
        "rules": {"warmUpMs": 1, "coldFrom": 0.25, "fallMultiple": 2.5, "tipAfterMs": 1000},
        "limits": {"maxAttempts": 5},
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"settings": settings}))
    assert cli.main(["bounds", str(path)]) == 0
    printed = capsys.readouterr().out
    assert "amplio" in printed and "a split into two sides" in printed
    assert cli.main(["bounds", str(path), "--json"]) == 0
    rows = json.loads(capsys.readouterr().out)["bounds"]
    assert len(rows) == len(Situation) * 3
    assert all(row["ceiling_share"] <= 0.02 for row in rows if row["window_s"] == 60)
    for arguments in (["bounds", "/nowhere.json"], ["bounds", str(path), "--loss", "2"]):
        assert cli.main(arguments) == 2
        assert capsys.readouterr().err.count("\n") == 1


@pytest.mark.parametrize("demand_per_s, is_granted", [(0.33, True), (1.0, True), (8.0, False)])
def test_restarted_owner_grants_no_burst_to_a_customer_whose_demand_exceeds_its_quota(
    demand_per_s, is_granted
):
    """A ledger that is full after each restart of the owner gave the customers with the highest demand
    another burst for each restart."""
    plan = Plan("basico", 2.0, 8.0)
    owner = Controller(settings_with(plans=(plan,), can_message_peers=True), 1)
    owner.handle(1000.0, [])
    request = QuotaMessage(QuotaMessageKind.GRANT_REQUEST, 7, 1, 1.0, demand_per_s, 1, 0)
    datagram = owner.codec.encode(5, 1.0, [request], [])
    replies = [
        action
        for action in owner.handle(1001.0, [PeerMessageReceived(1, datagram)])
        if isinstance(action, SendPeerMessage)
    ]
    kinds = {message.kind for reply in replies for message in owner.codec.decode(reply.data).quota_messages}
    assert (QuotaMessageKind.GRANT in kinds) is is_granted


@pytest.mark.parametrize(
    "kinds, units_left",
    [
        # units spent without a grant; the grant arrives afterwards and is returned
        ((QuotaMessageKind.GRANT_REQUEST, QuotaMessageKind.SPENT, QuotaMessageKind.RETURNED), 7),
        # two grants that arrive too late
        ((QuotaMessageKind.GRANT_REQUEST, QuotaMessageKind.RETURNED, QuotaMessageKind.RETURNED), 8),
        # the messages of the first case in another order
        ((QuotaMessageKind.GRANT_REQUEST, QuotaMessageKind.RETURNED, QuotaMessageKind.SPENT), 7),
        ((QuotaMessageKind.SPENT, QuotaMessageKind.RETURNED, QuotaMessageKind.RETURNED), 8),
        ((QuotaMessageKind.SPENT, QuotaMessageKind.GRANT_REQUEST, QuotaMessageKind.SPENT), 7),
    ],
)
def test_delayed_duplicate_or_reordered_messages_are_charged_and_credited_once(kinds, units_left):
    """With messages delayed by up to 200 ms, seed 90 of the quota windows benchmark forwarded 21 units beyond
    a quota."""
    owner = Controller(settings_with(plans=(Plan("basico", 1e-9, 8.0),), can_message_peers=True), 1)
    owner.handle(1000.0, [])
    for place, kind in enumerate(kinds):
        datagram = owner.codec.encode(5, 1.0, [QuotaMessage(kind, 7, 1, 1.0, 0.0, 1, 0)], [])
        owner.handle(1001.0 + place, [PeerMessageReceived(1, datagram)])
    (ledger,) = owner.state.quota.owner.ledgers.values()
    assert ledger.units == pytest.approx(units_left, abs=1e-6)
