"""Export and import of quota state for a snapshot, as rows of accounts and ledgers.

Snapshot format 1 had 32-bit customer tags and no class names, and can still be imported: an account's tag is
computed from the customer's name, and a ledger is kept under its old key until the customer's first message.
Requests queued in such a ledger are dropped, since their senders cannot decode a reply of this version; they
are sent again or rejected in time."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from plumpick.policy import snapshot_rows
from plumpick.policy.peer_messages import QuotaMessage, QuotaMessageKind, customer_tag
from plumpick.policy.quota.ledger import old_key_of, with_plan_index
from plumpick.policy.quota.manager import QuotaManager
from plumpick.policy.quota.reconfiguration import change_ledger_plan
from plumpick.policy.quota.records import (
    ACCOUNT_SNAPSHOT_FIELDS,
    LEDGER_SNAPSHOT_FIELDS,
    AccountKey,
    CustomerAccount,
    GrantKey,
    PendingGrant,
    QuotaLedger,
)
from plumpick.policy.settings import Plan

PLAN_SNAPSHOT_FIELDS = ("rate_per_s", "burst", "max_in_flight", "hard_limit_per_s", "hard_limit_burst")
OLD_PLAN_INDEXES = 16  # number of plan indexes in a ledger key of snapshot format 1
# Keys of the tables with a time for each gateway: last message in this incarnation (PeerLiveness), last
# packet received recently and last packet sent (PeerOutbox)
GATEWAY_TIMES = ("last_ms", "heard_ms", "told_ms")


def prepare_export(quota: QuotaManager, plans: Mapping[str, Plan]) -> None:
    """Hand over the ledgers to a hot-restart successor: this process no longer modifies them, and accounts of
    changed plans adopt the new plan, without a refill for the time before the change."""
    quota.context.has_successor = True
    quota.context.has_sibling = True
    changed_ms = quota.context.plans_changed_ms
    for (_, plan_name, _, first_gateway), account in quota.requester.accounts.items():
        if account.plan is not plans.get(plan_name):
            account.updated_ms = max(account.updated_ms, changed_ms)
            quota.requester.change_plan(account.updated_ms, account, first_gateway, 0.0)


def exported_plans(quota: QuotaManager, plans: Mapping[str, Plan]) -> list[Plan]:
    """Plans to export: those of the settings, and removed ones that still have ledgers."""
    dropped = {ledger.plan.name: ledger.plan for ledger in quota.owner.detached.values()}
    return [*plans.values(), *dropped.values()]


def plan_values(plan: Plan) -> list[Any]:
    """The values of a plan whose change affects quota state, in the order of PLAN_SNAPSHOT_FIELDS."""
    return snapshot_rows.row_of(plan, PLAN_SNAPSHOT_FIELDS)


def export_accounts(quota: QuotaManager) -> list[list[Any]]:
    """One row for each account: its key, and its values in the order of ACCOUNT_SNAPSHOT_FIELDS."""
    return [
        [list(key), snapshot_rows.row_of(account, ACCOUNT_SNAPSHOT_FIELDS)]
        for key, account in quota.requester.accounts.items()
    ]


def export_ledgers(quota: QuotaManager, plan_index: Mapping[str, int]) -> list[list[Any]]:
    """One row for each ledger. `plan_index`: index of each exported plan, by its name."""
    owner = quota.owner
    ledgers = [*owner.ledgers.items(), *((key[0], ledger) for key, ledger in owner.detached.items())]
    return [_ledger_row(key, ledger, plan_index[ledger.plan.name]) for key, ledger in ledgers]


def _ledger_row(key: int, ledger: QuotaLedger, plan_index: int) -> list[Any]:
    return [
        key,
        plan_index,
        snapshot_rows.row_of(ledger, LEDGER_SNAPSHOT_FIELDS),
        list(ledger.members),
        [[gateway, asked_ms] for gateway, asked_ms in ledger.requesters.items()],
        [[list(grant), settled_ms] for grant, settled_ms in ledger.settled.items()],
        [list(grant) for grant in ledger.returned],
        [list(grant) for grant in ledger.spent],
        [[list(grant), until_ms] for grant, until_ms in ledger.slots.items()],
        [_pending_row(pending) for pending in ledger.queue],
    ]


def _pending_row(pending: PendingGrant) -> list[Any]:
    message = list(pending.message)
    return [list(pending.key), message, pending.priority, pending.received_ms, pending.expires_ms]


def export_times(quota: QuotaManager) -> dict[str, list[list[Any]]]:
    """Times of the last messages from and to each gateway, as pairs of gateway and time in ms; keys are
    GATEWAY_TIMES."""
    tables = quota.liveness.last_received_ms, quota.outbox.received_ms, quota.outbox.sent_ms
    return {
        name: [[gateway, ms] for gateway, ms in table.items()]
        for name, table in zip(GATEWAY_TIMES, tables, strict=True)
    }


# -- import of quota state


@dataclass(slots=True)
class QuotaState:
    """Quota state parsed from a snapshot, not yet applied; see `import_state`."""

    accounts: dict[AccountKey, CustomerAccount]
    ledgers: dict[int, QuotaLedger]
    detached: dict[tuple[int, str], QuotaLedger]
    times: dict[str, dict[int, float]]
    unresponsive_owners: set[int]
    round_trip_ms: float


def read_state(
    quota: QuotaManager, now_ms: float, snapshot: Mapping[str, Any], is_format_1: bool
) -> QuotaState:
    """Parse the quota rows of a snapshot. Raises LookupError, TypeError or ValueError if they are malformed.

    `is_format_1`: the snapshot has format 1."""
    settings = quota.context.settings
    plans = {plan.name: plan for plan in settings.plans}
    snapshot_plans = {
        name: Plan(name, **dict(zip(PLAN_SNAPSHOT_FIELDS, row, strict=True)))
        for name, row in snapshot.get("figures", {}).items()
    }
    current = {request_class.name: index for index, request_class in enumerate(settings.classes)}
    class_names = () if is_format_1 else snapshot["classes"]
    class_indexes = {index: current[name] for index, name in enumerate(class_names) if name in current}
    accounts = _read_accounts(quota, now_ms, snapshot["accounts"], plans, snapshot_plans)
    reader = _LedgerReader(quota, now_ms, plans, snapshot_plans, class_indexes, is_format_1)
    for row in snapshot["stores"]:
        reader.read(row, snapshot["plans"])
    return QuotaState(
        accounts,
        reader.ledgers,
        reader.detached,
        {name: {int(other): float(ms) for other, ms in snapshot[name]} for name in GATEWAY_TIMES},
        {int(other) for other in snapshot["silent"]},
        float(snapshot["rtt_ms"]),
    )


def _read_accounts(
    quota: QuotaManager,
    now_ms: float,
    rows: list[Any],
    plans: Mapping[str, Plan],
    snapshot_plans: Mapping[str, Plan],
) -> dict[AccountKey, CustomerAccount]:
    accounts: dict[AccountKey, CustomerAccount] = {}
    for key, row in rows:
        customer, plan_name, set_size, first_gateway = key
        if plan_name not in plans:
            continue
        plan = plans[plan_name]
        account = CustomerAccount(plan, 0, 1, 0, now_ms)
        accounts[customer, plan_name, set_size, first_gateway] = account
        snapshot_rows.set_fields(account, ACCOUNT_SNAPSHOT_FIELDS, row)
        account.customer_tag = customer_tag(customer)
        account.hard_limit_ratio = quota.requester.hard_limit_ratio(account, int(first_gateway))
        before = snapshot_plans.get(plan_name, plan)
        if plan_values(before) != plan_values(plan):
            account.updated_ms = now_ms
            if not before.hard_limit_per_s:
                account.hard_limit_units = 0.0
    return accounts


class _LedgerReader:
    """Parses the ledger rows of a snapshot into `ledgers` and, for plans not in the settings, `detached`.

    `plans`: plans of the settings; `snapshot_plans`: plans with the values of the snapshot; `class_indexes`:
    current index by index in the snapshot, for classes that still exist; `is_format_1`: the snapshot has
    format 1."""

    def __init__(
        self,
        quota: QuotaManager,
        now_ms: float,
        plans: Mapping[str, Plan],
        snapshot_plans: Mapping[str, Plan],
        class_indexes: Mapping[int, int],
        is_format_1: bool,
    ) -> None:
        self.quota = quota
        self.now_ms = now_ms
        self.plans = plans
        self.snapshot_plans = snapshot_plans
        self.class_indexes = class_indexes
        self.is_format_1 = is_format_1
        self.ledgers: dict[int, QuotaLedger] = {}
        self.detached: dict[tuple[int, str], QuotaLedger] = {}

    def read(self, row: list[Any], plan_names: list[str]) -> None:
        """Parse one ledger row; a ledger whose plan neither the settings nor the snapshot define is
        dropped."""
        key, plan_position, values, members, requesters, settled, returned, spent, slots, queue = row
        plan_name = plan_names[plan_position]
        key = old_key_of(*divmod(int(key), OLD_PLAN_INDEXES)) if self.is_format_1 else int(key)
        plan_index = self.quota.context.plan_index.get(plan_name, 0)
        if plan_name not in self.plans and plan_name not in self.snapshot_plans:
            return
        ledger = QuotaLedger(self.snapshot_plans.get(plan_name) or self.plans[plan_name], 0.0, self.now_ms)
        snapshot_rows.set_fields(ledger, LEDGER_SNAPSHOT_FIELDS, values)
        ledger.members = tuple(int(member) for member in members)
        ledger.requesters = {int(gateway): float(ms) for gateway, ms in requesters}
        ledger.settled = {_grant_key(grant): float(ms) for grant, ms in settled}
        ledger.returned = {_grant_key(grant) for grant in returned}
        ledger.spent = {_grant_key(grant) for grant in spent}
        ledger.slots = {_grant_key(grant): float(ms) for grant, ms in slots}
        if plan_name not in self.plans:
            self.detached[with_plan_index(key, 0), plan_name] = ledger
            return
        self.ledgers[with_plan_index(key, plan_index)] = ledger
        waiting = (self._pending(pending, plan_index) for pending in queue)
        ledger.queue = [pending for pending in waiting if pending is not None]
        plan = self.plans[plan_name]
        if plan_values(ledger.plan) == plan_values(plan):
            ledger.plan = plan
        else:
            change_ledger_plan(self.quota.owner, ledger, plan, self.now_ms)

    def _pending(self, row: list[Any], plan_index: int) -> PendingGrant | None:
        """Parse a queued grant request; None if its class no longer exists. Its plan is that of the
        ledger."""
        kind, tag, serial, units, demand_per_s, class_index, _, set_size = row[1]
        if class_index not in self.class_indexes:
            return None
        message = QuotaMessage(
            QuotaMessageKind(kind),
            int(tag),
            int(serial),
            float(units),
            float(demand_per_s),
            self.class_indexes[class_index],
            plan_index,
            int(set_size),
        )
        return PendingGrant(_grant_key(row[0]), message, float(row[2]), float(row[3]), float(row[4]))


def _grant_key(row: list[Any]) -> GrantKey:
    gateway, incarnation, serial = (int(part) for part in row)
    return gateway, incarnation, serial


def import_state(quota: QuotaManager, state: QuotaState) -> None:
    """Replace a gateway's quota state by the state parsed from its predecessor's snapshot."""
    quota.context.has_sibling = True
    quota.requester.accounts = state.accounts
    quota.owner.ledgers = state.ledgers
    quota.owner.detached = state.detached
    quota.requester.unvisited_accounts = []
    quota.owner.unvisited_ledgers = []
    quota.owner.unvisited_detached = []
    quota.liveness.last_received_ms.update(state.times["last_ms"])
    quota.outbox.received_ms = state.times["heard_ms"]
    quota.outbox.sent_ms = state.times["told_ms"]
    quota.liveness.unresponsive_owners = state.unresponsive_owners
    quota.requester.round_trip_ms = state.round_trip_ms


def resume(quota: QuotaManager, now_ms: float) -> list[int]:
    """Take the ledgers back after the hot-restart successor has died.

    The successor's grants are unknown, so nothing refills for the time it was running, and the parts of hard
    limits start empty, as in a new process. Returns the keys of ledgers with waiting requests."""
    quota.context.has_successor = False
    for account in quota.requester.accounts.values():
        account.local_units = min(0.0, account.local_units)
        account.hard_limit_units = 0.0
        account.updated_ms = now_ms
    waiting = []
    for key, ledger in quota.owner.ledgers.items():
        ledger.hard_limit_units = min(0.0, ledger.hard_limit_units)
        ledger.updated_ms = now_ms
        if ledger.queue:
            waiting.append(key)
    return waiting
