"""State shared by the quota owner and the quota requester: settings, incarnation and message routing."""

from __future__ import annotations

from collections.abc import Callable

from plumpick.policy.peer_messages import QuotaMessage
from plumpick.policy.quota.outbox import PeerOutbox
from plumpick.policy.settings import Settings

DEMAND_MEMORY_MS = 3000.0  # time constant of the exponential average of a customer's demand
MS_PER_S = 1000
ANY_INCARNATION = -1

# Arguments of a handler: current time in ms, sending gateway, incarnation of the sender, message
MessageHandler = Callable[[float, int, int, QuotaMessage], None]


class QuotaContext:
    """Settings, indexes of classes and plans by name, and identity of this process.

    `incarnation` is a random number that distinguishes the grants of this process from those of the previous
    process of the same gateway."""

    def __init__(self, settings: Settings, incarnation: int) -> None:
        self.settings = settings
        self.incarnation = incarnation
        # Whether another process of this gateway exists or existed (hot restart); messages addressed to this
        # gateway's number may belong to it
        self.has_sibling = False
        self.has_successor = False  # whether a hot-restart successor has taken over the ledgers
        self.plans_changed_ms = -float("inf")  # time of the last change, addition or removal of a plan
        self.class_index: dict[str, int] = {}
        self.plan_index: dict[str, int] = {}
        self.top_priority = 1.0
        self.index()

    def index(self) -> None:
        """Rebuild the indexes of classes and plans by name; searching the tuples would compare all fields of
        each record."""
        classes, plans = self.settings.classes, self.settings.plans
        self.class_index = {request_class.name: index for index, request_class in enumerate(classes)}
        self.plan_index = {plan.name: index for index, plan in enumerate(plans)}
        self.top_priority = max([request_class.priority_weight for request_class in classes]) or 1.0


class QuotaMessenger:
    """Routes quota messages: those to this gateway are delivered at once, others are added to the outbox."""

    def __init__(self, context: QuotaContext, outbox: PeerOutbox, deliver: MessageHandler) -> None:
        self.context = context
        self.outbox = outbox
        self.deliver = deliver

    def send(
        self, now_ms: float, gateway: int, message: QuotaMessage, incarnation: int = ANY_INCARNATION
    ) -> None:
        """Send a message to a gateway, possibly this one.

        `incarnation` is that of the receiver: after a hot restart, a message to this gateway's number may be
        meant for its other process. Messages to peers are dropped if the settings disable peer messages."""
        context = self.context
        is_own_number = gateway == context.settings.gateway_number
        is_here = incarnation in (ANY_INCARNATION, context.incarnation)
        if is_own_number and not context.has_successor and is_here:
            self.deliver(now_ms, gateway, context.incarnation, message)
        elif context.settings.can_message_peers or is_own_number:
            self.outbox.add(gateway, message)
