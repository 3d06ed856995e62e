"""The quota owner: the gateway that keeps a customer's ledger and grants units to requesting gateways, by
priority.

Requests that cannot be granted in time are denied at once instead of waiting until they expire. The parts of
unreachable members of the gateway set are withheld, since these gateways may be spending them."""

from __future__ import annotations

import math

from plumpick.policy.admission import target_wait_ms
from plumpick.policy.concurrency_limit import PERIOD_MS
from plumpick.policy.housekeeping import next_keys
from plumpick.policy.peer_messages import QuotaMessage, QuotaMessageKind, owner_position
from plumpick.policy.quota import hard_limits
from plumpick.policy.quota.context import DEMAND_MEMORY_MS, MS_PER_S, QuotaContext, QuotaMessenger
from plumpick.policy.quota.ledger import (
    is_full,
    ledger_key,
    old_ledger_key,
    record_initial_demand,
    reserved_units,
)
from plumpick.policy.quota.liveness import PeerLiveness, sends_heartbeats_to_all
from plumpick.policy.quota.records import NO_LIMIT, GrantKey, PendingGrant, QuotaLedger
from plumpick.policy.settings import Plan, RequestClass
from plumpick.policy.timers import TimerKind, TimerQueue

WITHHELD_MEMORY_MS = 1000.0  # time constant of the decay of withheld units while all members are reachable
SETTLED_MEMORY_MS = 5000.0  # time for which settled requests are kept to recognize duplicate messages
# Time by which the oldest one outlives that before all are looked at, so that few requests look at many.
SETTLED_SWEEP_MS = SETTLED_MEMORY_MS / 4
MIN_SETTLED = 64  # number of settled requests of a ledger up to which none is dropped
SLOT_OBJECTIVES = 1.5  # latency objectives after which a slot without a RETURNED message is released
IDLE_MS = 8000.0  # time without messages after which a full ledger is evicted

GRANT_REQUESTS = (QuotaMessageKind.GRANT_REQUEST, QuotaMessageKind.RETRY_GRANT_REQUEST)
SPEND_REPORTS = (QuotaMessageKind.SPENT, QuotaMessageKind.LATE)


class QuotaOwner:
    """The ledgers that this gateway owns: those of customers with recent messages, and those that have not
    refilled; others are evicted."""

    def __init__(
        self, context: QuotaContext, messenger: QuotaMessenger, liveness: PeerLiveness, timers: TimerQueue
    ) -> None:
        self.context = context
        self.messenger = messenger
        self.liveness = liveness
        self.timers = timers
        self.ledgers: dict[int, QuotaLedger] = {}  # ledgers of customers by ledger_key
        # Ledgers of plans removed from the settings, by ledger key with plan index 0, and by name of the plan
        self.detached: dict[tuple[int, str], QuotaLedger] = {}
        self.max_ledgers = NO_LIMIT  # number of ledgers up to which new ones are created
        self.unvisited_ledgers: list[int] = []
        self.unvisited_detached: list[tuple[int, str]] = []

    # -- messages of requesting gateways

    def on_message(self, now_ms: float, key: GrantKey, message: QuotaMessage) -> None:
        """Handle a message of a requesting gateway: a grant request, units spent without a grant, or units
        returned."""
        if not self._has_room_for(message):
            if message.kind in GRANT_REQUESTS:
                denial = message._replace(kind=QuotaMessageKind.DENIED, demand_per_s=0.0)
                self.messenger.send(now_ms, key[0], denial, key[1])
            return
        plan = self.context.settings.plans[message.plan_index]
        request_class = self.context.settings.classes[message.class_index]
        ledger = self._ledger_for(now_ms, message, plan)
        if message.kind in GRANT_REQUESTS:
            self._on_grant_request(now_ms, ledger, key, message, request_class)
        elif message.kind in SPEND_REPORTS:
            self._on_spent(now_ms, ledger, key, message, plan)
        elif message.kind is QuotaMessageKind.RETURNED:
            self._on_returned(now_ms, ledger, key, message, plan)

    def _has_room_for(self, message: QuotaMessage) -> bool:
        """Whether a message's customer has a ledger, or may get one. Without a ledger nothing is granted, so
        that nobody gets units by being forgotten."""
        if len(self.ledgers) < self.max_ledgers or ledger_key(message) in self.ledgers:
            return True
        return old_ledger_key(message) in self.ledgers

    def _ledger_for(self, now_ms: float, message: QuotaMessage, plan: Plan) -> QuotaLedger:
        """Ledger of a message's customer and plan; created full if there is none."""
        name = ledger_key(message)
        ledger = self.ledgers.get(name) or self.ledgers.pop(old_ledger_key(message), None)
        if ledger is None:
            ledger = QuotaLedger(plan, plan.burst, now_ms, withheld_units=plan.burst, created_ms=now_ms)
        self.ledgers[name] = ledger
        if not ledger.members and message.gateway_set_size > 1:
            ledger.members = self._members_of(message)
        return ledger

    def _members_of(self, message: QuotaMessage) -> tuple[int, ...]:
        """The other gateways in the gateway set of a message's customer, whose quota owner is this
        gateway."""
        settings = self.context.settings
        set_size = message.gateway_set_size
        first = settings.gateway_number - owner_position(message.customer_tag, set_size)
        members = {(first + place) % settings.gateway_count for place in range(set_size)}
        return tuple(members - {settings.gateway_number})

    def _on_grant_request(
        self,
        now_ms: float,
        ledger: QuotaLedger,
        key: GrantKey,
        message: QuotaMessage,
        request_class: RequestClass,
    ) -> None:
        is_queued = any(pending.key == key for pending in ledger.queue)
        self._record_requester(now_ms, ledger, key[0], message)
        if key in ledger.settled:
            if key in ledger.spent:
                # The request's units were spent without a grant: the requester will return this late grant
                ledger.returned.add(key)
            # The first grant reply was lost.
            self._reply(now_ms, QuotaMessageKind.GRANT, key, message, ledger)
        elif not is_queued:
            ledger.demand_units += message.units
            is_first = message.kind is QuotaMessageKind.GRANT_REQUEST
            priority = request_class.priority_weight if is_first else 0.0
            pending = PendingGrant(key, message, priority, now_ms, now_ms + target_wait_ms(request_class))
            ledger.queue.append(pending)
            self.serve(now_ms, ledger_key(message))
            if pending in ledger.queue:
                self._reply(now_ms, QuotaMessageKind.QUEUED, key, message, ledger)

    @staticmethod
    def _record_requester(now_ms: float, ledger: QuotaLedger, gateway: int, message: QuotaMessage) -> None:
        if gateway not in ledger.requesters and now_ms - ledger.created_ms <= DEMAND_MEMORY_MS:
            before_per_s = message.demand_per_s - message.units * MS_PER_S / DEMAND_MEMORY_MS
            record_initial_demand(ledger, before_per_s)
        ledger.requesters[gateway] = now_ms

    def _on_spent(
        self, now_ms: float, ledger: QuotaLedger, key: GrantKey, message: QuotaMessage, plan: Plan
    ) -> None:
        """Charge units that a gateway spent without a grant; a duplicate message changes nothing."""
        if key in ledger.spent:
            return
        if key not in ledger.settled:
            self._settle_spent(now_ms, ledger, key, message)
            ledger.spent.add(key)
            return
        ledger.spent.add(key)
        # The request was granted as well, but the grant arrived after its units were spent, so the requester
        # returns it. A return already credited is charged again; one still to come is not credited.
        if key in ledger.returned and not plan.max_in_flight:
            ledger.units = max(min(-plan.burst, ledger.units), ledger.units - message.units)
        ledger.returned.add(key)

    def _settle_spent(self, now_ms: float, ledger: QuotaLedger, key: GrantKey, message: QuotaMessage) -> None:
        is_queued = any(pending.key == key for pending in ledger.queue)
        ledger.queue = [pending for pending in ledger.queue if pending.key != key]
        ledger.demand_units += 0.0 if is_queued else message.units
        is_late = message.kind is QuotaMessageKind.LATE
        # Units withheld for an unreachable member cover what it spent
        released = min(ledger.withheld_units, message.units) if is_late else 0.0
        ledger.withheld_units -= released
        ledger.units += released
        units = ledger.units
        self._settle(now_ms, ledger, key, message, 0.0)
        # Units spent beyond the quota during a partition are not charged to the quota afterwards; the
        # customer would be rejected because of this debt with its quota unused.
        if is_late and units < message.units:
            ledger.units = units

    def _on_returned(
        self, now_ms: float, ledger: QuotaLedger, key: GrantKey, message: QuotaMessage, plan: Plan
    ) -> None:
        """Handle a RETURNED message: release the request's slot or credit its unused units, once only."""
        had_slot = ledger.slots.pop(key, None) is not None
        is_settled = key in ledger.settled and not plan.max_in_flight
        # A request that was granted twice is returned twice, but credited once
        if not had_slot and is_settled and key not in ledger.returned:
            ledger.returned.add(key)
            ledger.units = min(plan.burst, ledger.units + message.units)
        self.serve(now_ms, ledger_key(message))

    # -- granting of units

    def serve(self, now_ms: float, name: int) -> None:
        """Grant a ledger's units to waiting requests, in order of priority and, for equal priority, newest
        first. `name` is the ledger's key."""
        ledger = self.ledgers[name]
        plan = ledger.plan
        ratio = self._refill(now_ms, ledger)
        while ledger.queue:
            pending = ledger.queue[-1]
            wait_s = self._wait_s(now_ms, ledger, pending, ratio)
            if wait_s > 0:
                if plan.rate_per_s and not plan.max_in_flight:
                    self._deny_unservable(now_ms, ledger, plan.rate_per_s * ratio)
                self._schedule(now_ms, name, ledger, wait_s)
                return
            ledger.queue.pop()
            self._settle(now_ms, ledger, pending.key, pending.message, pending.message.units)
            self._reply(now_ms, QuotaMessageKind.GRANT, pending.key, pending.message, ledger)

    def _refill(self, now_ms: float, ledger: QuotaLedger) -> float:
        """Refill a ledger for the time since its last update, and drop expired requests and slots. Returns
        the fraction of the rate that the owner grants (`granted_ratio`)."""
        plan = ledger.plan
        elapsed_s = (now_ms - ledger.updated_ms) / MS_PER_S
        ledger.updated_ms = now_ms
        ledger.demand_units *= math.exp(-elapsed_s * MS_PER_S / DEMAND_MEMORY_MS)
        ratio = self.granted_ratio(now_ms, ledger)
        withheld = ledger.withheld_units + plan.rate_per_s * (1 - ratio) * elapsed_s
        decay = 1.0 if ratio < 1 else math.exp(-elapsed_s * MS_PER_S / WITHHELD_MEMORY_MS)
        ledger.withheld_units = min(plan.burst, withheld) * decay
        ledger.units = min(plan.burst, ledger.units + plan.rate_per_s * ratio * elapsed_s)
        filled_limit = plan.hard_limit_per_s * hard_limits.OWNER_RATIO * elapsed_s
        limit_burst = plan.hard_limit_burst * hard_limits.OWNER_RATIO
        ledger.hard_limit_units = min(limit_burst, ledger.hard_limit_units + filled_limit)
        waiting = (pending for pending in ledger.queue if pending.expires_ms > now_ms)
        ledger.queue = sorted(waiting, key=lambda pending: (pending.priority, pending.received_ms))
        if plan.max_in_flight:
            ledger.slots = {key: until_ms for key, until_ms in ledger.slots.items() if until_ms > now_ms}
        return ratio

    def _wait_s(self, now_ms: float, ledger: QuotaLedger, pending: PendingGrant, ratio: float) -> float:
        """Time in seconds until a request can be granted; 0 or less if it can be granted now."""
        plan, units = ledger.plan, pending.message.units
        wait_s = 0.0
        if plan.rate_per_s:
            reserved = reserved_units(ledger, pending, self.context.top_priority)
            wait_s = (units + reserved - ledger.units) / (plan.rate_per_s * ratio)
        if plan.hard_limit_per_s:
            limit_per_s = plan.hard_limit_per_s * hard_limits.OWNER_RATIO
            wait_s = max(wait_s, (units - ledger.hard_limit_units) / limit_per_s)
        if plan.max_in_flight and len(ledger.slots) >= plan.max_in_flight:
            wait_s = max(wait_s, (min(ledger.slots.values()) - now_ms) / MS_PER_S)
        return wait_s

    def _schedule(self, now_ms: float, name: int, ledger: QuotaLedger, wait_s: float) -> None:
        """Set a timer to serve a ledger when its next request can be granted, in `wait_s` seconds, unless an
        earlier one, or one at most a period later, is set."""
        at_ms = now_ms + wait_s * MS_PER_S
        if not ledger.queue or now_ms < ledger.next_serve_ms <= at_ms + PERIOD_MS:
            return
        ledger.next_serve_ms = at_ms + self.context.settings.tick_ms
        self.timers.schedule(ledger.next_serve_ms, TimerKind.LEDGER, name)

    def on_timer(self, now_ms: float, name: int) -> None:
        """Handle a LEDGER timer: serve the ledger with key `name`."""
        self.ledgers[name].next_serve_ms = math.inf
        self.serve(now_ms, name)

    def _deny_unservable(self, now_ms: float, ledger: QuotaLedger, rate_per_s: float) -> None:
        """Deny the waiting requests that would expire before the ledger refills for them and for the requests
        ahead of them. `rate_per_s`: refill rate in units per second."""
        ahead = 0.0
        kept: list[PendingGrant] = []
        for pending in reversed(ledger.queue):
            units = pending.message.units
            reserved = reserved_units(ledger, pending, self.context.top_priority)
            wait_s = (ahead + units + reserved - ledger.units) / rate_per_s
            if now_ms + wait_s * MS_PER_S > pending.expires_ms:
                self._reply(now_ms, QuotaMessageKind.DENIED, pending.key, pending.message, ledger)
            else:
                kept.append(pending)
                ahead += units
        ledger.queue = kept[::-1]

    def deny(self, now_ms: float, pending: PendingGrant, ledger: QuotaLedger) -> None:
        """Send the requesting gateway a DENIED reply to a waiting request."""
        self._reply(now_ms, QuotaMessageKind.DENIED, pending.key, pending.message, ledger)

    def granted_ratio(self, now_ms: float, ledger: QuotaLedger) -> float:
        """Fraction of a plan's rate that the owner grants: all but the even parts of unreachable members,
        which may be alive on the other side of a partition and spend these parts."""
        sends_to_all = sends_heartbeats_to_all(self.context.settings)
        unreachable = 0
        for member in ledger.members:
            if not self.liveness.is_unreachable(now_ms, member):
                continue
            received_ms = self.liveness.last_received_ms[member]
            asked_ms = ledger.requesters.get(member, -math.inf)
            unreachable += sends_to_all or received_ms - asked_ms <= 2 * DEMAND_MEMORY_MS
        return 1 - unreachable / (1 + len(ledger.members))

    def _settle(
        self, now_ms: float, ledger: QuotaLedger, key: GrantKey, message: QuotaMessage, limit_units: float
    ) -> None:
        """Charge a request's units and occupy its slot. `limit_units`: units to charge to the owner's part of
        the hard limit."""
        self._forget_settled(now_ms, ledger)
        ledger.settled[key] = now_ms
        # Debt is limited to the burst; it may be higher already if the plan's burst has been reduced
        floor = min(-ledger.plan.burst, ledger.units)
        ledger.units = max(floor, ledger.units - message.units)
        ledger.hard_limit_units -= limit_units
        if ledger.plan.max_in_flight:
            request_class = self.context.settings.classes[message.class_index]
            ledger.slots[key] = now_ms + SLOT_OBJECTIVES * request_class.latency_objective_ms

    @staticmethod
    def _forget_settled(now_ms: float, ledger: QuotaLedger) -> None:
        if len(ledger.settled) <= MIN_SETTLED:
            return
        if now_ms - next(iter(ledger.settled.values())) <= SETTLED_MEMORY_MS + SETTLED_SWEEP_MS:
            return
        ledger.settled = {
            key: settled_ms
            for key, settled_ms in ledger.settled.items()
            if now_ms - settled_ms <= SETTLED_MEMORY_MS
        }
        ledger.returned &= ledger.settled.keys()
        ledger.spent &= ledger.settled.keys()

    def _reply(
        self,
        now_ms: float,
        kind: QuotaMessageKind,
        key: GrantKey,
        message: QuotaMessage,
        ledger: QuotaLedger,
    ) -> None:
        demand_per_s = ledger.demand_units * MS_PER_S / DEMAND_MEMORY_MS
        reply = message._replace(kind=kind, demand_per_s=demand_per_s)
        self.messenger.send(now_ms, key[0], reply, key[1])

    # -- eviction of ledgers

    def forget(self, now_ms: float) -> None:
        """Visit a part of the ledgers, and evict those that are idle and full."""
        for name in next_keys(self.ledgers, self.unvisited_ledgers):
            ledger = self.ledgers[name]
            if now_ms - ledger.updated_ms > IDLE_MS and is_full(ledger, now_ms, hard_limits.OWNER_RATIO):
                del self.ledgers[name]

    def forget_detached(self, now_ms: float) -> None:
        """Visit a part of the ledgers of plans removed from the settings, and evict those that are full."""
        for key in next_keys(self.detached, self.unvisited_detached):
            if is_full(self.detached[key], now_ms, hard_limits.OWNER_RATIO):
                del self.detached[key]
