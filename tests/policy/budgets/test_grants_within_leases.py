"""Grants that expire within the lease under which they are made, so that the next allocator need not wait."""

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


def new_allocator(**arguments):
    return BudgetAllocator(ONE, 3, 0.0, 1, GRANT_TERM_MS, 0.01, **arguments)


def test_grant_that_would_expire_after_the_lease_is_refused():
    allocator, grant_ms = new_allocator(from_ms=0.0), longest_duration_ms(GRANT_TERM_MS, 0.01)
    assert allocator.request_grant(100.0, 0, 7, REPORT, 100.0 + grant_ms - 1) is None
    assert allocator.request_grant(100.0, 0, 7, REPORT, 100.0 + grant_ms) is not None
    assert allocator.last_grant_expires_ms == 100.0 + grant_ms
    # If the end of earlier grants is unknown, a new allocator waits for one grant term.
    assert new_allocator().request_grant(grant_ms - 1, 0, 7, REPORT) is None


@pytest.mark.parametrize(("grant_term_ms", "within"), [(1200.0, True), (1300.0, False)])
def test_grant_term_of_up_to_three_fifths_of_the_lease_term_ends_within_the_lease(grant_term_ms, within):
    assert grants_end_within_lease(grant_term_ms, 2000.0) == within
    ledger = BudgetLedger((ONE,), 0, 3, TERMS, grant_term_ms, random.Random(1), 0.0)
    ledger.on_lease_acquired(10.0, 0, 5)
    assert (ledger.allocators["one"].grants_from_ms == 10.0) == within


def ledger_with_outstanding_grants():
    """The ledger of gateway 0, which allocates the budget and has made a grant to each of two other
    gateways."""
    ledger = BudgetLedger((ONE,), 0, 3, TERMS, GRANT_TERM_MS, random.Random(1), 0.0)
    ledger.on_lease_acquired(0.0, 0, 5)
    for number in (1, 2):
        client = BudgetLedger((ONE,), number, 3, TERMS, GRANT_TERM_MS, random.Random(1), 0.0)
        client.try_spend(100.0, [("one", 99.0)])
        client.on_timer(100.0)
        for _, payload in client.outbox:
            ledger.on_message(
                100.0, number, 40 + number, payload, 40, lambda _slot: None, lambda _slot: 2000.0
            )
    return ledger


def test_lease_is_released_only_after_the_grants_under_it_have_expired():
    ledger = ledger_with_outstanding_grants()
    scheduler = TaskScheduler((ScheduledTask("d", "call", 1000.0, 500.0),), 1, random.Random(1))
    expiry = 100.0 + longest_duration_ms(GRANT_TERM_MS, 0.01)
    assert ledger.slots_with_grants(200.0) == {0} and ledger.slots_with_grants(expiry) == frozenset()
    scheduler.on_slot_acquired(0.0, 0, 5)
    for name in [action.task.name for action in scheduler.handle(1.0, 1000.0)]:
        scheduler.on_run_completed(2.0, name, 1)
    scheduler.yield_all()
    ledger.stop_granting({0})
    scheduler.pinned_slots = ledger.slots_with_grants(200.0)
    assert not [action for action in scheduler.handle(200.0, 1200.0) if isinstance(action, ReleaseSlot)]
    assert ledger.next_timer_ms() <= expiry
    # A task of the slot may still run after the grants have expired. The timer must not fire continuously
    # then.
    ledger.on_timer(expiry)
    assert ledger.next_timer_ms() == float("inf")
    scheduler.pinned_slots = ledger.slots_with_grants(expiry)
    assert [action for action in scheduler.handle(expiry, 2200.0) if isinstance(action, ReleaseSlot)]
    client = BudgetLedger((ONE,), 1, 3, TERMS, GRANT_TERM_MS, random.Random(2), 0.0)
    client.try_spend(300.0, [("one", 99.0)])
    client.on_timer(300.0)
    ledger.outbox.clear()
    for _, payload in client.outbox:
        ledger.on_message(300.0, 1, 99, payload, 40, lambda _slot: None, lambda _slot: 2000.0)
    assert not ledger.outbox  # no grant after `stop_granting`


def test_allocator_of_a_reacquired_lease_waits_until_its_earlier_grants_expire():
    ledger = ledger_with_outstanding_grants()
    ledger.on_lease_lost(0)
    ledger.on_lease_acquired(150.0, 0, 6)
    assert ledger.allocators["one"].grants_from_ms == 100.0 + longest_duration_ms(GRANT_TERM_MS, 0.01)
    state = ledger.export_state(160.0)
    new = BudgetLedger((ONE,), 0, 3, TERMS, GRANT_TERM_MS, random.Random(3), 160.0)
    new.import_state(160.0, state)
    new.on_lease_acquired(160.0, 0, 6)
    assert new.allocators["one"].grants_from_ms == 100.0 + longest_duration_ms(GRANT_TERM_MS, 0.01)
    assert new.slots_with_grants(170.0) == {0}


def test_pinned_lease_is_not_releasable():
    holder = LeaseHolder(TERMS, 0, 7, 1)
    holder.held[0] = HeldLease(9, 0.0, 0.0)
    holder.pinned = frozenset({0})
    holder.release(0)
    assert holder.releasable() == []
    holder.pinned = frozenset()
    assert holder.releasable() == [0]


@pytest.mark.parametrize("seed", range(40))
def test_limit_is_never_exceeded_under_random_lease_faults(seed):
    fleet = LeasedFleet(seed, ONE, (3, 5)[seed % 2])
    assert not fleet.run(30_000) and len(fleet.spent) > 0.25 * 60 * 30


class ReleasesLeaseImmediately(BudgetLedger):
    """Mutant: a lease is released while grants made under it are outstanding."""

    def slots_with_grants(self, now_ms):
        return frozenset()


class GrantsBeyondTheLease(BudgetLedger):
    """Mutant: grants may expire after the lease under which they are made."""

    def on_message(self, now_ms, sender, incarnation, data, own, holder_of, end_of):
        super().on_message(now_ms, sender, incarnation, data, own, holder_of, lambda _slot: float("inf"))


@pytest.mark.parametrize("mutant", [ReleasesLeaseImmediately, GrantsBeyondTheLease])
def test_mutant_exceeds_the_limit(mutant):
    budget = Budget("one", BudgetKind.RATE, 60.0, burst=6.0, guaranteed_ratio=0.0)

    def violations(seed, ledger):
        return LeasedFleet(seed, budget, 3, ledger, moving_demand=True).run(30_000)

    assert any(violations(seed, mutant) for seed in range(60))
    assert not any(violations(seed, BudgetLedger) for seed in range(10))
