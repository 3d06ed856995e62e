"""The requesting side of quotas: a gateway charges a request's units to a small local bucket, or to a grant
of the quota owner, or, while the owner is unreachable, to its own part of the quota without a grant
(unconfirmed spend).

An owner counts as unresponsive after GRANT_ATTEMPTS grant requests without a reply."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable

from plumpick.policy.admission import MIN_RETRY_AFTER_MS, target_wait_ms
from plumpick.policy.events import RequestReceived
from plumpick.policy.housekeeping import next_keys
from plumpick.policy.peer_messages import QuotaMessage, QuotaMessageKind, customer_tag, owner_position
from plumpick.policy.quota import hard_limits
from plumpick.policy.quota.context import DEMAND_MEMORY_MS, MS_PER_S, QuotaContext, QuotaMessenger
from plumpick.policy.quota.liveness import PeerLiveness
from plumpick.policy.quota.records import NO_LIMIT, AccountKey, CustomerAccount
from plumpick.policy.request_state import Request
from plumpick.policy.settings import Plan
from plumpick.policy.timers import TimerKind, TimerQueue

# Capacity of all local buckets together as a fraction of the burst; kept low, as the owner may grant it again
LOCAL_BURST_RATIO = 0.03
DEMAND_MAX_AGE_MS = 2 * DEMAND_MEMORY_MS  # age after which the set's demand reported by the owner is ignored
UNCONFIRMED_DEMAND_MAX_AGE_MS = 30_000.0  # maximum age of the set's demand when it limits unconfirmed spend

INITIAL_ROUND_TRIP_MS = 60.0
ROUND_TRIP_GAIN = 0.05  # weight of a new measurement in the average round trip
GRANT_TIMEOUT_RATIO = 2.5  # timeout of a grant request in average round trips
MIN_GRANT_TIMEOUT_MS = 100.0
GRANT_ATTEMPTS = 3
MAX_GRANT_WAIT_RATIO = 0.4  # fraction of the latency objective after which no further grant request is sent
CUSTOMER_INBOX_RATIO = 0.5  # fraction of an owner's inbox that grant requests of one customer may use
CUSTOMER_RATE_RATIO = 2.0  # multiple of its quota that a customer may request even beyond that fraction

UNCONFIRMED_MAX_AGE_MS = 10_000.0  # age up to which unconfirmed spend is reported to an owner that is back
MAX_UNCONFIRMED = 256  # maximum number of unconfirmed spends kept for each owner
USED_MEMORY_MS = 5000.0  # time for which a used grant is remembered to recognize a duplicate grant
MAX_SERIAL = 0xFFFF
IDLE_MS = 8000.0  # time without requests after which an account may be evicted


class QuotaRequester:
    """Accounts of the customers that this gateway serves; accounts without recent requests are evicted."""

    def __init__(
        self,
        context: QuotaContext,
        messenger: QuotaMessenger,
        liveness: PeerLiveness,
        timers: TimerQueue,
        rng: random.Random,
        on_reply: Callable[[Request, bool], None],
        on_denied: Callable[[Request], None],
    ) -> None:
        """`on_reply` is called when the owner has granted (True) or queued (False) a request, `on_denied`
        when the owner cannot grant it in time."""
        self.context = context
        self.messenger = messenger
        self.liveness = liveness
        self.timers = timers
        self.rng = rng
        self.on_reply = on_reply
        self.on_denied = on_denied
        self.round_trip_ms = INITIAL_ROUND_TRIP_MS
        self.serial = 0
        self.accounts: dict[AccountKey, CustomerAccount] = {}
        self.max_accounts = NO_LIMIT  # number of accounts up to which new ones are created
        self.unvisited_accounts: list[AccountKey] = []
        self.pending: dict[int, Request] = {}  # open requests that the owner was sent a message about
        self.used_ms: dict[int, float] = {}  # end times of requests that used their units, by serial number
        # Units spent while an owner was unresponsive, by owner: time of the spend, and LATE message
        self.unconfirmed: dict[int, list[tuple[float, QuotaMessage]]] = {}

    # -- accounts of customers

    def has_room_for(self, received: RequestReceived, plan: Plan) -> bool:
        """Whether the request's customer has an account, or may get one. Above the limit only customers with
        an account are served: none is evicted for another, since that would give units away or take some."""
        return len(self.accounts) < self.max_accounts or account_key(received, plan) in self.accounts

    def account_of(self, now_ms: float, received: RequestReceived, plan: Plan) -> CustomerAccount:
        """The account of a request's customer, with its buckets refilled up to `now_ms`; created if missing.

        The plan and the gateway set that a request states are part of the key, so that a request with wrong
        values does not affect others of the customer."""
        key = account_key(received, plan)
        account = self.accounts.get(key)
        if account is None:
            account = self.accounts[key] = self._new_account(now_ms, received, plan)
        elapsed_s = 0.0 if self.context.has_successor else (now_ms - account.updated_ms) / MS_PER_S
        account.updated_ms = now_ms
        account.demand_units *= math.exp(-elapsed_s * MS_PER_S / DEMAND_MEMORY_MS)
        # If new settings have changed or removed the account's plan, the account has to follow.
        if account.plan is not plan or plan.name not in self.context.plan_index:
            elapsed_s, plan = self.change_plan(now_ms, account, received.first_gateway, elapsed_s)
        self._fill(now_ms, account, plan, elapsed_s)
        return account

    def _new_account(self, now_ms: float, received: RequestReceived, plan: Plan) -> CustomerAccount:
        gateway_count = self.context.settings.gateway_count
        set_size = max(1, min(received.gateway_set_size, gateway_count))
        tag = customer_tag(received.customer)
        owner = (received.first_gateway + owner_position(tag, set_size)) % gateway_count
        account = CustomerAccount(plan, tag, set_size, owner, now_ms)
        account.hard_limit_ratio = self.hard_limit_ratio(account, received.first_gateway)
        return account

    def _fill(self, now_ms: float, account: CustomerAccount, plan: Plan, elapsed_s: float) -> None:
        """Refill the local bucket, in proportion to this gateway's part of the set's demand, and this
        gateway's part of the hard limit."""
        is_unreachable = account.owner in self.liveness.unresponsive_owners and (
            self.liveness.is_unreachable(now_ms, account.owner)
        )
        if is_unreachable or now_ms - account.set_demand_ms > DEMAND_MAX_AGE_MS:
            # Demand of the set is unknown: the bucket refills by the even part.
            account.set_demand_per_s = 0.0
        own_demand_per_s = account.demand_units * MS_PER_S / DEMAND_MEMORY_MS
        if account.set_demand_per_s:
            part = min(1.0, own_demand_per_s / account.set_demand_per_s)
        else:
            part = 1 / account.gateway_set_size
        filled = account.local_units + plan.rate_per_s * part * elapsed_s
        account.local_units = min(plan.burst * LOCAL_BURST_RATIO * part, filled)
        # Parts of the hard limit are static and start empty, so a restart cannot grant spent units again.
        burst = plan.hard_limit_burst * account.hard_limit_ratio
        filled_limit = plan.hard_limit_per_s * account.hard_limit_ratio * elapsed_s
        account.hard_limit_units = min(burst, account.hard_limit_units + filled_limit)

    def hard_limit_ratio(self, account: CustomerAccount, first_gateway: int) -> float:
        """Fraction of a customer's hard limit that this gateway may spend without a grant. `first_gateway`:
        first gateway of the customer's set."""
        settings = self.context.settings
        place_in_set = (settings.gateway_number - first_gateway) % settings.gateway_count
        owner_place = owner_position(account.customer_tag, account.gateway_set_size)
        place = (place_in_set - owner_place) % account.gateway_set_size
        burst = account.plan.hard_limit_burst * hard_limits.SET_RATIO
        return hard_limits.SET_RATIO * hard_limits.set_part(burst, account.gateway_set_size, place)

    def change_plan(
        self, now_ms: float, account: CustomerAccount, first_gateway: int, elapsed_s: float
    ) -> tuple[float, Plan]:
        """Update an account's plan after a change of settings. Returns the time in seconds to refill its
        buckets for (`elapsed_s`, limited to the time since the change), and the plan to refill by."""
        index = self.context.plan_index.get(account.plan.name)
        if index is None:
            return 0.0, account.plan
        before, plan = account.plan, self.context.settings.plans[index]
        if before is plan:
            return elapsed_s, plan
        account.plan = plan
        account.hard_limit_ratio = self.hard_limit_ratio(account, first_gateway)
        if not before.hard_limit_per_s:  # the part of a new hard limit begins empty
            account.hard_limit_units = 0.0
        since_change_s = (now_ms - self.context.plans_changed_ms) / MS_PER_S
        return max(0.0, min(elapsed_s, since_change_s)), plan

    def forget(self, now_ms: float, open_requests: Iterable[Request]) -> None:
        """Visit a part of the accounts, and evict those without requests whose buckets are full: a new
        account holds no more."""
        open_accounts = {id(request.account) for request in open_requests}
        for key in next_keys(self.accounts, self.unvisited_accounts):
            account = self.accounts[key]
            is_open = id(account) in open_accounts or account.requests_in_flight
            if not is_open and self._is_full(now_ms, account):
                del self.accounts[key]

    def _is_full(self, now_ms: float, account: CustomerAccount) -> bool:
        plan = account.plan
        elapsed_s = (now_ms - account.updated_ms) / MS_PER_S
        if not elapsed_s * MS_PER_S > IDLE_MS:
            return False
        if not account.local_units + plan.rate_per_s / account.gateway_set_size * elapsed_s >= 0:
            return False
        filled_limit = plan.hard_limit_per_s * account.hard_limit_ratio * elapsed_s
        burst = plan.hard_limit_burst * account.hard_limit_ratio
        is_limit_full = account.hard_limit_units + filled_limit >= burst
        return is_limit_full or plan.name not in self.context.plan_index

    # -- spending of units

    def request_units(self, now_ms: float, request: Request) -> bool:
        """Charge a request's units to the local bucket, or send a grant request to the owner if the bucket
        lacks units. Returns whether the request may proceed now."""
        account, plan, units = request.account, request.plan, request.received.units
        if not (plan.rate_per_s or plan.max_in_flight or plan.hard_limit_per_s):
            return True  # a plan without limits needs no grant
        is_local = plan.rate_per_s and not plan.max_in_flight and units <= account.local_units
        if is_local and self.spend_local(now_ms, request):
            return True
        if self._may_ask_owner(account, plan):
            self.request_grant(now_ms, request)
        return False

    def _may_ask_owner(self, account: CustomerAccount, plan: Plan) -> bool:
        """Whether a grant request is sent for this request; decided at random for customers of high demand.

        Messages beyond the rate of an owner's inbox are dropped there, along with those of other customers.
        If a customer's demand exceeds both its part of the inbox and CUSTOMER_RATE_RATIO times its rate, only
        the number of grant requests that the owner can receive is sent. The other requests wait and are
        rejected at their first attempt's deadline."""
        settings = self.context.settings
        inbox_per_s = CUSTOMER_INBOX_RATIO * settings.peer_inbox_per_s
        received_per_s = max(inbox_per_s, CUSTOMER_RATE_RATIO * plan.rate_per_s)
        if not settings.peer_inbox_per_s:
            return True
        return self.rng.random() * account.set_demand_per_s <= received_per_s

    def spend_local(self, now_ms: float, request: Request) -> bool:
        """Charge a request's units to the local bucket and notify the owner. Returns False, with nothing
        charged, if this gateway's part of the hard limit lacks units."""
        account, units = request.account, request.received.units
        if request.plan.hard_limit_per_s and units > account.hard_limit_units:
            return False
        account.local_units -= units
        account.hard_limit_units -= units
        request.units_charged = units
        self.notify_owner(now_ms, QuotaMessageKind.SPENT, request)
        return True

    def request_grant(self, now_ms: float, request: Request) -> None:
        """Send a grant request to the owner, and set a timer for its reply."""
        request.grant_requests += 1
        request.grant_requested_ms = now_ms
        is_retry = request.received.is_client_retry
        kind = QuotaMessageKind.RETRY_GRANT_REQUEST if is_retry else QuotaMessageKind.GRANT_REQUEST
        self.notify_owner(now_ms, kind, request)
        if request.owner_has_replied:
            return
        timeout_ms = max(MIN_GRANT_TIMEOUT_MS, GRANT_TIMEOUT_RATIO * self.round_trip_ms)
        if request.account.owner in self.liveness.unresponsive_owners:
            timeout_ms = 0.0
        last_ms = self._last_grant_wait_ms(request)
        at_ms = min(now_ms + timeout_ms, max(now_ms, last_ms))
        self.timers.schedule(at_ms, TimerKind.GRANT_REPLY, request.received.id)

    @staticmethod
    def _last_grant_wait_ms(request: Request) -> float:
        return request.received_ms + MAX_GRANT_WAIT_RATIO * request.request_class.latency_objective_ms

    def on_grant_timeout(self, now_ms: float, request: Request) -> bool:
        """Handle a missing reply of the owner: send another grant request or, after the last one, mark the
        owner unresponsive and spend without a grant while the local bucket is not negative. Returns whether
        the request may proceed."""
        if request.owner_has_replied:
            return False  # the owner has replied that the request is queued
        account = self.account_of(now_ms, request.received, request.plan)
        may_ask_again = request.grant_requests < GRANT_ATTEMPTS and now_ms < self._last_grant_wait_ms(request)
        if may_ask_again and account.owner not in self.liveness.unresponsive_owners:
            self.request_grant(now_ms, request)
            return False
        self.liveness.unresponsive_owners.add(account.owner)
        self.timers.schedule(now_ms + MIN_RETRY_AFTER_MS, TimerKind.GRANT_REPLY, request.received.id)
        if self._exceeds_last_demand(now_ms, account, request.plan):
            return False
        if not account.local_units >= 0:
            return False
        if request.plan.max_in_flight and account.requests_in_flight:
            return False
        return self.spend_local(now_ms, request)

    def _exceeds_last_demand(self, now_ms: float, account: CustomerAccount, plan: Plan) -> bool:
        """Whether a request is held back from unconfirmed spend, since the customer's demand exceeded its
        quota at the owner's last reply; decided at random, so that the fraction quota / demand proceeds."""
        if not now_ms - account.last_set_demand_ms < UNCONFIRMED_DEMAND_MAX_AGE_MS:
            return False
        return self.rng.random() * account.last_set_demand_per_s > (plan.rate_per_s or math.inf)

    def notify_owner(self, now_ms: float, kind: QuotaMessageKind, request: Request) -> None:
        """Send a message about a request to the customer's owner; nothing is sent if its plan was removed
        from the settings, as no gateway has a ledger for it."""
        account, plan_index = request.account, self.context.plan_index.get(request.plan.name)
        if plan_index is None:
            return
        if not request.grant_serial:
            self.serial = request.grant_serial = self.serial % MAX_SERIAL + 1
            self.pending[request.grant_serial] = request
        message = QuotaMessage(
            kind,
            account.customer_tag,
            request.grant_serial,
            request.received.units,
            account.demand_units * MS_PER_S / DEMAND_MEMORY_MS,
            # A class removed from the settings occurs in RETURNED messages only, whose class does not matter
            self.context.class_index.get(request.request_class.name, 0),
            plan_index,
            account.gateway_set_size,
        )
        self.messenger.send(now_ms, account.owner, message)
        if kind is QuotaMessageKind.SPENT and account.owner in self.liveness.unresponsive_owners:
            again = now_ms, message._replace(kind=QuotaMessageKind.LATE)
            waiting = self.unconfirmed.get(account.owner, ())
            self.unconfirmed[account.owner] = [*waiting[1 - MAX_UNCONFIRMED :], again]

    def on_peer_message(self, now_ms: float, owner: int) -> None:
        """Handle a message of any gateway: it is responsive again as an owner, and is sent the units spent
        while it was not (LATE), up to UNCONFIRMED_MAX_AGE_MS."""
        self.liveness.unresponsive_owners.discard(owner)
        for sent_ms, message in self.unconfirmed.pop(owner, ()):
            if now_ms - sent_ms <= UNCONFIRMED_MAX_AGE_MS:
                self.messenger.send(now_ms, owner, message)

    def on_request_end(self, now_ms: float, request: Request) -> None:
        """Handle the end of a request: return units charged but not used, and release its slot."""
        self.pending.pop(request.grant_serial, None)
        if not request.units_charged:
            return
        if request.grant_serial and request.attempt_count and not request.plan.max_in_flight:
            self._remember_used(now_ms, request.grant_serial)
        if not request.attempt_count or request.plan.max_in_flight:
            self.notify_owner(now_ms, QuotaMessageKind.RETURNED, request)

    def _remember_used(self, now_ms: float, serial: int) -> None:
        self.used_ms.pop(serial, None)  # keeps insertion order by time after serial numbers wrap around
        self.used_ms[serial] = now_ms
        while now_ms - next(iter(self.used_ms.values())) > USED_MEMORY_MS:
            del self.used_ms[next(iter(self.used_ms))]

    # -- replies of quota owners

    def on_owner_reply(self, now_ms: float, sender: int, message: QuotaMessage) -> None:
        """Handle a reply of an owner that has granted, queued or denied a request."""
        request = self.pending.get(message.serial)
        if request is None or not self._is_about(request, sender, message):
            # The request has ended. A grant request sent twice is granted twice; if the first grant was used,
            # the second grant must not be returned.
            if message.kind is QuotaMessageKind.GRANT and message.serial not in self.used_ms:
                self.messenger.send(now_ms, sender, message._replace(kind=QuotaMessageKind.RETURNED))
            return
        account = request.account
        account.set_demand_per_s = account.last_set_demand_per_s = message.demand_per_s
        account.set_demand_ms = account.last_set_demand_ms = now_ms
        if request.grant_requests == 1 and not request.owner_has_replied:
            round_trip_ms = now_ms - request.grant_requested_ms
            self.round_trip_ms += (round_trip_ms - self.round_trip_ms) * ROUND_TRIP_GAIN
        request.owner_has_replied = True
        if message.kind is QuotaMessageKind.DENIED:
            self.on_denied(request)
        elif not request.units_charged:
            is_granted = message.kind is QuotaMessageKind.GRANT
            request.units_charged = request.received.units * is_granted
            # A request that the owner has queued is dropped there when its target wait has passed.
            if not request.units_charged:
                expires_ms = request.grant_requested_ms + target_wait_ms(request.request_class)
                self.timers.schedule(expires_ms, TimerKind.GRANT_EXPIRY, request.received.id)
            self.on_reply(request, is_granted)

    @staticmethod
    def _is_about(request: Request, sender: int, message: QuotaMessage) -> bool:
        account = request.account
        return account.customer_tag == message.customer_tag and account.owner == sender


def account_key(received: RequestReceived, plan: Plan) -> AccountKey:
    """Key of the account of a request's customer."""
    return received.customer, plan.name, received.gateway_set_size, received.first_gateway
