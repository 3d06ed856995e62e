"""Quotas of all customers at one gateway, in its two roles: requester of units, and owner of some ledgers.

The manager starts incarnations, sends heartbeats and dispatches quota messages to the requester or the owner.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from plumpick.policy.peer_messages import QuotaMessage, QuotaMessageKind
from plumpick.policy.quota.context import QuotaContext, QuotaMessenger
from plumpick.policy.quota.liveness import PeerLiveness, heartbeat_ms, sends_heartbeats_to_all
from plumpick.policy.quota.outbox import PeerOutbox
from plumpick.policy.quota.owner import QuotaOwner
from plumpick.policy.quota.requester import QuotaRequester
from plumpick.policy.request_state import Request
from plumpick.policy.settings import Settings
from plumpick.policy.timers import TimerQueue

INCARNATIONS = 1 << 16  # number of distinct incarnations
REPLIES = (QuotaMessageKind.GRANT, QuotaMessageKind.QUEUED, QuotaMessageKind.DENIED)


class QuotaManager:
    """The quota requester and the quota owner of one gateway; QuotaRequester documents `on_reply` and
    `on_denied`."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        timers: TimerQueue,
        on_reply: Callable[[Request, bool], None],
        on_denied: Callable[[Request], None],
    ) -> None:
        self.context = QuotaContext(settings, rng.randrange(INCARNATIONS))
        self.liveness = PeerLiveness()
        self.outbox = PeerOutbox(settings, timers)
        messenger = QuotaMessenger(self.context, self.outbox, self.on_message)
        self.requester = QuotaRequester(
            self.context, messenger, self.liveness, timers, rng, on_reply, on_denied
        )
        self.owner = QuotaOwner(self.context, messenger, self.liveness, timers)

    def begin(self, now_ms: float) -> None:
        """Start an incarnation with a random incarnation number and serial number.

        If a process reused the numbers of its predecessor, grants to the predecessor would be taken as its
        own, and its requests as repetitions of requests already granted."""
        self.context.index()
        self.liveness.reconfigure(self.context.settings)
        chance = random.Random(f"{self.context.incarnation}/{now_ms}")
        self.context.incarnation, self.requester.serial = chance.choices(range(INCARNATIONS), k=2)
        self.liveness.begin(now_ms, self.context.settings)

    def replace_settings(self, settings: Settings) -> None:
        """Adopt changed settings; reconfiguration.py moves the state that depends on names of plans and
        classes."""
        self.context.settings = settings
        self.outbox.settings = settings
        self.context.index()
        self.liveness.reconfigure(settings)

    def limit_customers(self, max_customers: int) -> None:
        """Create no accounts beyond so many, and no ledgers; existing ones stay."""
        self.requester.max_accounts = max_customers
        self.owner.max_ledgers = max_customers

    def on_period(self, now_ms: float) -> None:
        """Periodic work: decay of the outbox's counts, and heartbeats."""
        self.outbox.on_period()
        self._send_heartbeats(now_ms)

    def _send_heartbeats(self, now_ms: float) -> None:
        """Queue heartbeats to all gateways (in a large tier: to the owners of this gateway's customers) that
        were sent nothing within the heartbeat interval."""
        settings = self.context.settings
        if not settings.can_message_peers or self.context.has_successor:
            return
        receivers: Iterable[int]
        if sends_heartbeats_to_all(settings):
            receivers = range(settings.gateway_count)
        else:
            receivers = {account.owner for account in self.requester.accounts.values()}
        interval_ms = heartbeat_ms(settings)
        for gateway in receivers:
            if gateway != settings.gateway_number:
                self.outbox.add_heartbeat(now_ms, gateway, interval_ms)

    def on_datagram_received(self, now_ms: float, gateway: int) -> None:
        """Record that a datagram of another gateway was received."""
        self.outbox.on_packet_received(now_ms, gateway)
        self.liveness.last_received_ms[gateway] = now_ms
        self.requester.on_peer_message(now_ms, gateway)

    def on_message(self, now_ms: float, sender: int, incarnation: int, message: QuotaMessage) -> None:
        """Dispatch a quota message of any gateway, including this one, to the requester or the owner."""
        if message.kind in REPLIES:
            self.requester.on_owner_reply(now_ms, sender, message)
        elif not self.context.has_successor:
            self.owner.on_message(now_ms, (sender, incarnation, message.serial), message)

    def forget(self, now_ms: float, open_requests: Iterable[Request]) -> None:
        """Visit a part of the accounts and ledgers, and evict those that hold no more than a new one."""
        self.requester.forget(now_ms, open_requests)
        self.owner.forget(now_ms)
