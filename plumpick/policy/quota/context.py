"""What the parts of quota keeping share: the settings, this incarnation, and the way messages take."""

from __future__ import annotations

from collections.abc import Callable

from plumpick.policy.peer_messages import QuotaMessage
from plumpick.policy.quota.outbox import PeerOutbox
from plumpick.policy.settings import Settings

DEMAND_MEMORY_MS = 3000.0  # over which a customer's demand is averaged
MS_PER_S = 1000
ANY_INCARNATION = -1

MessageHandler = Callable[[float, int, int, QuotaMessage], None]  # now, sender, its incarnation, message


class QuotaContext:
    """Settings by name, and which process this is. `incarnation`: a number that tells this process's grants
    from those of the one before it."""

    def __init__(self, settings: Settings, incarnation: int) -> None:
        self.settings = settings
        self.incarnation = incarnation
        # there is, or was, another process of this gateway: messages to our number are its
        self.has_sibling = False
        self.has_successor = False  # and that process keeps the ledgers now
        self.plans_changed_ms = -float("inf")  # when a plan's figures changed last, or a plan came or went
        self.class_index: dict[str, int] = {}
        self.plan_index: dict[str, int] = {}
        self.top_priority = 1.0
        self.index()

    def index(self) -> None:
        """Classes and plans by their names: to search the records for one compares all their fields."""
        classes, plans = self.settings.classes, self.settings.plans
        self.class_index = {request_class.name: index for index, request_class in enumerate(classes)}
        self.plan_index = {plan.name: index for index, plan in enumerate(plans)}
        self.top_priority = max([request_class.priority_weight for request_class in classes]) or 1.0


class QuotaMessenger:
    """Sends quota messages: to this gateway's own owner or requester at once, to others by the outbox."""

    def __init__(self, context: QuotaContext, outbox: PeerOutbox, deliver: MessageHandler) -> None:
        self.context = context
        self.outbox = outbox
        self.deliver = deliver

    def send(
        self, now_ms: float, gateway: int, message: QuotaMessage, incarnation: int = ANY_INCARNATION
    ) -> None:
        """`incarnation`: of the receiver; under our own number another process may live."""
        context = self.context
        is_own_number = gateway == context.settings.gateway_number
        is_here = incarnation in (ANY_INCARNATION, context.incarnation)
        if is_own_number and not context.has_successor and is_here:
            self.deliver(now_ms, gateway, context.incarnation, message)
        elif context.settings.can_message_peers or is_own_number:
            self.outbox.add(gateway, message)
