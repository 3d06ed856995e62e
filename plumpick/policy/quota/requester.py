"""A gateway that spends customers' units: from its own small bucket, by grants of the quota owner, or, while
the owner is unreachable, without a grant from its own part (unconfirmed spend).

When an owner does not answer, GRANT_ATTEMPTS requests go out before its customers live by this gateway's
parts."""

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
from plumpick.policy.quota.records import AccountKey, CustomerAccount
from plumpick.policy.request_state import Request
from plumpick.policy.settings import Plan
from plumpick.policy.timers import TimerKind, TimerQueue

LOCAL_BURST_RATIO = 0.03  # of the burst, that all own buckets hold together: the owner may grant it as well
DEMAND_MAX_AGE_MS = 2 * DEMAND_MEMORY_MS  # after which nothing counts as heard of a set's demand
UNCONFIRMED_DEMAND_MAX_AGE_MS = 30_000.0  # the same for units spent without a grant

INITIAL_ROUND_TRIP_MS = 60.0
ROUND_TRIP_GAIN = 0.05
GRANT_TIMEOUT_RATIO = 2.5  # times the usual round trip
MIN_GRANT_TIMEOUT_MS = 100.0
GRANT_ATTEMPTS = 3
MAX_GRANT_WAIT_RATIO = 0.4  # of the objective, after which an owner that has not answered is unresponsive
CUSTOMER_INBOX_RATIO = 0.5  # of an owner's inbox, that one customer's requests may fill;
CUSTOMER_RATE_RATIO = 2.0  # or so many times its quota

# for so long an owner is told again what was spent while it was unreachable
UNCONFIRMED_MAX_AGE_MS = 10_000.0
MAX_UNCONFIRMED = 256  # messages for each owner
USED_MEMORY_MS = 5000.0  # for which a used grant is remembered against its repetition
MAX_SERIAL = 0xFFFF
IDLE_MS = 8000.0  # after which an account may be forgotten


class QuotaRequester:
    """Accounts of the customers that this gateway serves. Bound: those with requests of late."""

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
        """`on_reply`: the owner has granted a request, or queued it; `on_denied`: it will not be granted in
        time."""
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
        self.unvisited_accounts: list[AccountKey] = []
        self.pending: dict[int, Request] = {}  # by serial number
        self.used_ms: dict[int, float] = {}  # requests that ended having used their units, by serial number
        self.unconfirmed: dict[
            int, list[tuple[float, QuotaMessage]]
        ] = {}  # spent while an owner was unreachable

    # -- accounts

    def account_of(self, now_ms: float, received: RequestReceived, plan: Plan) -> CustomerAccount:
        """The customer's account, its buckets filled for the time gone by.

        What a request says of its customer's plan and set is part of the key: one that says otherwise must
        not bind the others."""
        key = received.customer, plan.name, received.gateway_set_size, received.first_gateway
        account = self.accounts.get(key)
        if account is None:
            account = self.accounts[key] = self._new_account(now_ms, received, plan)
        elapsed_s = 0.0 if self.context.has_successor else (now_ms - account.updated_ms) / MS_PER_S
        account.updated_ms = now_ms
        account.demand_units *= math.exp(-elapsed_s * MS_PER_S / DEMAND_MEMORY_MS)
        if account.plan is not plan or plan.name not in self.context.plan_index:  # the settings have changed
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
        """Fill the own bucket by this gateway's part of the set's demand, and the part of the hard limit."""
        is_unreachable = account.owner in self.liveness.unresponsive_owners and (
            self.liveness.is_unreachable(now_ms, account.owner)
        )
        if is_unreachable or now_ms - account.set_demand_ms > DEMAND_MAX_AGE_MS:
            account.set_demand_per_s = 0.0  # nothing is heard: the even part serves
        own_demand_per_s = account.demand_units * MS_PER_S / DEMAND_MEMORY_MS
        if account.set_demand_per_s:
            part = min(1.0, own_demand_per_s / account.set_demand_per_s)
        else:
            part = 1 / account.gateway_set_size
        filled = account.local_units + plan.rate_per_s * part * elapsed_s
        account.local_units = min(plan.burst * LOCAL_BURST_RATIO * part, filled)
        # Divided for good, and empty at first: a restart cannot grant again what was spent.
        burst = plan.hard_limit_burst * account.hard_limit_ratio
        filled_limit = plan.hard_limit_per_s * account.hard_limit_ratio * elapsed_s
        account.hard_limit_units = min(burst, account.hard_limit_units + filled_limit)

    def hard_limit_ratio(self, account: CustomerAccount, first_gateway: int) -> float:
        """This gateway's part of a customer's hard limit, without the owner. `first_gateway`: of its set."""
        settings = self.context.settings
        place_in_set = (settings.gateway_number - first_gateway) % settings.gateway_count
        owner_place = owner_position(account.customer_tag, account.gateway_set_size)
        place = (place_in_set - owner_place) % account.gateway_set_size
        burst = account.plan.hard_limit_burst * hard_limits.SET_RATIO
        return hard_limits.SET_RATIO * hard_limits.set_part(burst, account.gateway_set_size, place)

    def change_plan(
        self, now_ms: float, account: CustomerAccount, first_gateway: int, elapsed_s: float
    ) -> tuple[float, Plan]:
        """For how long an account's buckets fill now and by which plan, where the settings may have changed
        since its customer asked last."""
        index = self.context.plan_index.get(account.plan.name)
        if index is None:
            return 0.0, account.plan
        before, plan = account.plan, self.context.settings.plans[index]
        if before is plan:
            return elapsed_s, plan
        account.plan = plan
        account.hard_limit_ratio = self.hard_limit_ratio(account, first_gateway)
        if not before.hard_limit_per_s:  # a new hard limit begins empty
            account.hard_limit_units = 0.0
        since_change_s = (now_ms - self.context.plans_changed_ms) / MS_PER_S
        return max(0.0, min(elapsed_s, since_change_s)), plan

    def forget(self, now_ms: float, open_requests: Iterable[Request]) -> None:
        """Forget a part of the accounts without requests whose buckets are full: made anew they hold no
        more."""
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

    # -- spending

    def request_units(self, now_ms: float, request: Request) -> bool:
        """Whether a request may go on now. Where the bucket here lacks units, its owner is asked."""
        account, plan, units = request.account, request.plan, request.received.units
        if not (plan.rate_per_s or plan.max_in_flight or plan.hard_limit_per_s):
            return True  # nothing is counted
        is_local = plan.rate_per_s and not plan.max_in_flight and units <= account.local_units
        if is_local and self.spend_local(now_ms, request):
            return True
        if self._may_ask_owner(account, plan):
            self.request_grant(now_ms, request)
        return False

    def _may_ask_owner(self, account: CustomerAccount, plan: Plan) -> bool:
        """Whether this request is among those that the owner is asked for.

        Requests that an owner's inbox cannot take are lost there with everyone else's. Of a customer that
        asks for more than its part of the inbox and than its rate, only so many are sent, chosen at random,
        as the owner can receive; the others wait and are rejected at their first attempt's deadline."""
        settings = self.context.settings
        inbox_per_s = CUSTOMER_INBOX_RATIO * settings.peer_inbox_per_s
        received_per_s = max(inbox_per_s, CUSTOMER_RATE_RATIO * plan.rate_per_s)
        if not settings.peer_inbox_per_s:
            return True
        return self.rng.random() * account.set_demand_per_s <= received_per_s

    def spend_local(self, now_ms: float, request: Request) -> bool:
        """Spend from the buckets here, where this gateway's part of the hard limit allows; the owner is
        told."""
        account, units = request.account, request.received.units
        if request.plan.hard_limit_per_s and units > account.hard_limit_units:
            return False
        account.local_units -= units
        account.hard_limit_units -= units
        request.units_charged = units
        self.notify_owner(now_ms, QuotaMessageKind.SPENT, request)
        return True

    def request_grant(self, now_ms: float, request: Request) -> None:
        """Ask the owner, and look again if it does not answer."""
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
        """The owner has not answered: ask again, then spend without a grant, one request of a customer at a
        time. Returns whether the request may go on."""
        if request.owner_has_replied:
            return False  # it is queued there
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
        """Of a customer that asked for more than its quota when its owner was heard, only so many go on as
        its quota is of that."""
        if not now_ms - account.last_set_demand_ms < UNCONFIRMED_DEMAND_MAX_AGE_MS:
            return False
        return self.rng.random() * account.last_set_demand_per_s > (plan.rate_per_s or math.inf)

    def notify_owner(self, now_ms: float, kind: QuotaMessageKind, request: Request) -> None:
        """Send a message about a request to its owner. Of a plan that was dropped nobody has a ledger."""
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
            self.context.class_index.get(request.request_class.name, 0),  # what is returned is of any class
            plan_index,
            account.gateway_set_size,
        )
        self.messenger.send(now_ms, account.owner, message)
        if kind is QuotaMessageKind.SPENT and account.owner in self.liveness.unresponsive_owners:
            again = now_ms, message._replace(kind=QuotaMessageKind.LATE)
            waiting = self.unconfirmed.get(account.owner, ())
            self.unconfirmed[account.owner] = [*waiting[1 - MAX_UNCONFIRMED :], again]

    def on_owner_heard(self, now_ms: float, owner: int) -> None:
        """A gateway has sent us something: it is told again what was spent while it was unreachable."""
        self.liveness.unresponsive_owners.discard(owner)
        for sent_ms, message in self.unconfirmed.pop(owner, ()):
            if now_ms - sent_ms <= UNCONFIRMED_MAX_AGE_MS:
                self.messenger.send(now_ms, owner, message)

    def on_request_end(self, now_ms: float, request: Request) -> None:
        """A request has ended: what it was charged and did not use is returned, and its slot is free."""
        self.pending.pop(request.grant_serial, None)
        if not request.units_charged:
            return
        if request.grant_serial and request.attempt_count and not request.plan.max_in_flight:
            self._remember_used(now_ms, request.grant_serial)
        if not request.attempt_count or request.plan.max_in_flight:
            self.notify_owner(now_ms, QuotaMessageKind.RETURNED, request)

    def _remember_used(self, now_ms: float, serial: int) -> None:
        self.used_ms.pop(serial, None)  # the newest last, also when the numbers have come round
        self.used_ms[serial] = now_ms
        while now_ms - next(iter(self.used_ms.values())) > USED_MEMORY_MS:
            del self.used_ms[next(iter(self.used_ms))]

    # -- replies

    def on_owner_reply(self, now_ms: float, sender: int, message: QuotaMessage) -> None:
        """The owner has granted, queued or denied a request."""
        request = self.pending.get(message.serial)
        if request is None or not self._is_about(request, sender, message):
            # It has ended meanwhile. A request sent twice is granted twice; where the first grant was used,
            # the second is no unit to return.
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
            if not request.units_charged:  # the owner drops it then, so nothing is waited for any longer
                expires_ms = request.grant_requested_ms + target_wait_ms(request.request_class)
                self.timers.schedule(expires_ms, TimerKind.GRANT_EXPIRY, request.received.id)
            self.on_reply(request, is_granted)

    @staticmethod
    def _is_about(request: Request, sender: int, message: QuotaMessage) -> bool:
        account = request.account
        return account.customer_tag == message.customer_tag and account.owner == sender
