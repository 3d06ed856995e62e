"""Quotas of all customers at one gateway: as one that spends units, and as the owner of some ledgers.

The manager begins an incarnation, sends heartbeats, and hands each message to the part that it is for.
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

INCARNATIONS = 1 << 16  # so many can be told apart
REPLIES = (QuotaMessageKind.GRANT, QuotaMessageKind.QUEUED, QuotaMessageKind.DENIED)


class QuotaManager:
    """All of quota keeping; see requester.py for `on_reply` and `on_denied`."""

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
        """An incarnation of its own: with the numbers of the last one its grants would pass for ours, and
        what we ask for what was granted before."""
        self.context.index()
        self.liveness.reconfigure(self.context.settings)
        chance = random.Random(f"{self.context.incarnation}/{now_ms}")
        self.context.incarnation, self.requester.serial = chance.choices(range(INCARNATIONS), k=2)
        self.liveness.begin(now_ms, self.context.settings)

    def replace_settings(self, settings: Settings) -> None:
        """Other settings from now on; reconfiguration.py moves what goes by their names."""
        self.context.settings = settings
        self.outbox.settings = settings
        self.context.index()
        self.liveness.reconfigure(settings)

    def on_period(self, now_ms: float) -> None:
        """One period has gone by."""
        self.outbox.on_period()
        self._send_heartbeats(now_ms)

    def _send_heartbeats(self, now_ms: float) -> None:
        """To the owners of our customers, or to all gateways in a small tier, where nothing was sent of
        late."""
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

    def on_peer_heard(self, now_ms: float, gateway: int) -> None:
        """Another gateway has sent us something."""
        self.outbox.on_heard(now_ms, gateway)
        self.liveness.last_heard_ms[gateway] = now_ms
        self.requester.on_owner_heard(now_ms, gateway)

    def on_message(self, now_ms: float, sender: int, incarnation: int, message: QuotaMessage) -> None:
        """A quota message, also from this gateway to itself."""
        if message.kind in REPLIES:
            self.requester.on_owner_reply(now_ms, sender, message)
        elif not self.context.has_successor:
            self.owner.on_message(now_ms, (sender, incarnation, message.serial), message)

    def forget(self, now_ms: float, open_requests: Iterable[Request]) -> None:
        """Forget a part of the accounts and ledgers that hold nothing."""
        self.requester.forget(now_ms, open_requests)
        self.owner.forget(now_ms)
