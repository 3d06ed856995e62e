"""Grants that end within the lease under which they are made: the next allocator has nothing to wait for."""

import random

import pytest
from support.leased_fleet import GRANT_TERM_MS, TERMS, LeasedFleet

from plumpick.policy.budgets.allocator import BudgetAllocator
from plumpick.policy.budgets.budget import Budget, BudgetKind, grants_end_within_lease, longest_duration_ms
from plumpick.policy.budgets.ledger import BudgetLedger
from plumpick.policy.budgets.messages import DemandReport
from plumpick.policy.leases.lease_holder import HeldLease, LeaseHolder
from plumpick.policy.scheduled_tasks import ReleaseSlot, ScheduledTask, TaskScheduler

ONE = Budget("one", BudgetKind.RATE, 60.0, burst=12.0, guaranteed_ratio=0.2)
REPORT = DemandReport(0, 1, 50.0, 0.0, 0, 1.0, 0)


def allocator(**more):
    return BudgetAllocator(ONE, 3, 0.0, 1, GRANT_TERM_MS, 0.01, **more)


def test_nothing_is_granted_that_would_end_after_the_lease():
    one, grant_ms = allocator(from_ms=0.0), longest_duration_ms(GRANT_TERM_MS, 0.01)
    assert one.request_grant(100.0, 0, 7, REPORT, 100.0 + grant_ms - 1) is None
    assert one.request_grant(100.0, 0, 7, REPORT, 100.0 + grant_ms) is not None
    assert one.last_grant_expires_ms == 100.0 + grant_ms
    assert (
        allocator().request_grant(grant_ms - 1, 0, 7, REPORT) is None
    )  # without a lease's end it waits a term


@pytest.mark.parametrize(("grant_term_ms", "within"), [(1200.0, True), (1300.0, False)])
def test_grant_of_up_to_three_fifths_of_a_lease_ends_within_it(grant_term_ms, within):
    assert grants_end_within_lease(grant_term_ms, 2000.0) == within
    ledger = BudgetLedger((ONE,), 0, 3, TERMS, grant_term_ms, random.Random(1), 0.0)
    ledger.on_lease_acquired(10.0, 0, 5)
    assert (ledger.allocators["one"].grants_from_ms == 10.0) == within


def owner_with_grants():
    ledger = BudgetLedger((ONE,), 0, 3, TERMS, GRANT_TERM_MS, random.Random(1), 0.0)
    ledger.on_lease_acquired(0.0, 0, 5)
    for number in (1, 2):
        client = BudgetLedger((ONE,), number, 3, TERMS, GRANT_TERM_MS, random.Random(1), 0.0)
        client.try_spend(100.0, [("one", 99.0)])
        client.on_timer(100.0)
        for _, note in client.outbox:
            ledger.on_message(100.0, number, 40 + number, note, 40, lambda _slot: None, lambda _slot: 2000.0)
    return ledger


def test_lease_is_given_back_only_when_the_grants_under_it_have_ended():
    ledger = owner_with_grants()
    work = TaskScheduler((ScheduledTask("d", "call", 1000.0, 500.0),), 1, random.Random(1))
    until = 100.0 + longest_duration_ms(GRANT_TERM_MS, 0.01)
    assert ledger.slots_with_grants(200.0) == {0} and ledger.slots_with_grants(until) == frozenset()
    work.on_slot_acquired(0.0, 0, 5)
    for name in [act.task.name for act in work.handle(1.0, 1000.0)]:
        work.on_run_completed(2.0, name, 1)
    work.yield_all()
    ledger.stop_granting({0})
    work.pinned_slots = ledger.slots_with_grants(200.0)
    assert not [act for act in work.handle(200.0, 1200.0) if isinstance(act, ReleaseSlot)]
    assert ledger.next_timer_ms() <= until
    ledger.on_timer(
        until
    )  # a task of the slot may run longer: no reason for the timer to fire again and again
    assert ledger.next_timer_ms() == float("inf")
    work.pinned_slots = ledger.slots_with_grants(until)
    assert [act for act in work.handle(until, 2200.0) if isinstance(act, ReleaseSlot)]
    client = BudgetLedger((ONE,), 1, 3, TERMS, GRANT_TERM_MS, random.Random(2), 0.0)
    client.try_spend(300.0, [("one", 99.0)])
    client.on_timer(300.0)
    ledger.outbox.clear()
    for _, note in client.outbox:
        ledger.on_message(300.0, 1, 99, note, 40, lambda _slot: None, lambda _slot: 2000.0)
    assert not ledger.outbox  # nothing is granted any more


def test_allocator_of_a_reacquired_lease_waits_for_its_earlier_grants():
    ledger = owner_with_grants()
    ledger.on_lease_lost(0)
    ledger.on_lease_acquired(150.0, 0, 6)
    assert ledger.allocators["one"].grants_from_ms == 100.0 + longest_duration_ms(GRANT_TERM_MS, 0.01)
    state = ledger.export_state(160.0)
    new = BudgetLedger((ONE,), 0, 3, TERMS, GRANT_TERM_MS, random.Random(3), 160.0)
    new.import_state(160.0, state)
    new.on_lease_acquired(160.0, 0, 6)
    assert new.allocators["one"].grants_from_ms == 100.0 + longest_duration_ms(GRANT_TERM_MS, 0.01)
    assert new.slots_with_grants(170.0) == {0}


def test_lease_with_grants_under_it_is_left_out_of_releases():
    holder = LeaseHolder(TERMS, 0, 7, 1)
    holder.held[0] = HeldLease(9, 0.0, 0.0)
    holder.pinned = frozenset({0})
    holder.release(0)
    assert holder.releasable() == []
    holder.pinned = frozenset()
    assert holder.releasable() == [0]


@pytest.mark.parametrize("seed", range(40))
def test_limit_is_never_passed_whatever_happens_to_leases(seed):
    fleet = LeasedFleet(seed, ONE, (3, 5)[seed % 2])
    assert not fleet.run(30_000) and len(fleet.spent) > 0.25 * 60 * 30


class GivesLeaseBackAtOnce(BudgetLedger):
    """A lease is given back while grants that rely on it are outstanding."""

    def slots_with_grants(self, now_ms):
        return frozenset()


class GrantsPastTheLease(BudgetLedger):
    """Grants that end after the lease."""

    def on_message(self, now_ms, sender, incarnation, data, own, holder_of, end_of):
        super().on_message(now_ms, sender, incarnation, data, own, holder_of, lambda _slot: float("inf"))


@pytest.mark.parametrize("mutant", [GivesLeaseBackAtOnce, GrantsPastTheLease])
def test_mutant_passes_the_limit(mutant):
    budget = Budget("one", BudgetKind.RATE, 60.0, burst=6.0, guaranteed_ratio=0.0)

    def passes(seed, ledger):
        return LeasedFleet(seed, budget, 3, ledger, moves=True).run(30_000)

    assert any(passes(seed, mutant) for seed in range(60))
    assert not any(passes(seed, BudgetLedger) for seed in range(10))
