"""Outgoing quota messages: a queue for each gateway, and the time at which its next packet may be sent.

A gateway's inbox has a limited rate and drops packets beyond it, so messages are delayed and batched while
inboxes fill up."""

from __future__ import annotations

import math

from plumpick.policy.concurrency_limit import PERIOD_MS
from plumpick.policy.peer_messages import QuotaMessage
from plumpick.policy.settings import Settings
from plumpick.policy.timers import TimerKind, TimerQueue

MAX_WAITING_PACKETS = 4  # maximum packets of quota messages queued for one gateway
INBOX_RATIO = 0.75  # maximum fraction of an inbox's rate used by all other gateways together
MAX_DELAY_MS = 60.0
# Time constant of packet counts; gateways that sent a packet within this time count as senders to each peer
ACTIVITY_MEMORY_MS = 1000.0
MIN_SENT_COUNT = 0.1  # decayed packet count below which the count of a gateway is dropped


class PeerOutbox:
    """Queued quota messages by receiving gateway; at most MAX_WAITING_PACKETS packets each after a flush."""

    def __init__(self, settings: Settings, timers: TimerQueue) -> None:
        self.settings = settings
        self.timers = timers
        self.waiting: dict[int, list[QuotaMessage]] = {}
        self.sent_ms: dict[int, float] = {}  # time of the last packet sent to each gateway
        self.sent_count: dict[int, float] = {}  # packets sent to each gateway, exponentially decayed
        self.received_ms: dict[int, float] = {}  # time of the last packet received from each gateway
        self.received_count = 0.0  # packets received from all gateways, exponentially decayed
        self.flush_ms = 0.0  # time of the scheduled flush timer

    def add(self, gateway: int, message: QuotaMessage) -> None:
        """Queue a message to a gateway; `take_packets` returns it when its packet may be sent."""
        self.waiting.setdefault(gateway, []).append(message)

    def add_heartbeat(self, now_ms: float, gateway: int, interval_ms: float) -> None:
        """Queue an empty packet to a gateway if none was sent to it for `interval_ms`."""
        if now_ms - self.sent_ms.get(gateway, -math.inf) >= interval_ms:
            self.waiting.setdefault(gateway, [])

    def on_packet_received(self, now_ms: float, gateway: int) -> None:
        """Record that a packet of another gateway was received."""
        self.received_ms[gateway] = now_ms
        self.received_count += 1

    def on_period(self) -> None:
        """Decay the packet counts by one period (PERIOD_MS)."""
        decay = math.exp(-PERIOD_MS / ACTIVITY_MEMORY_MS)
        self.received_count *= decay
        self.sent_count = {
            other: count * decay for other, count in self.sent_count.items() if count > MIN_SENT_COUNT
        }

    def take_packets(self, now_ms: float, max_messages: int) -> list[tuple[int, list[QuotaMessage]]]:
        """Remove and return the packets that may be sent now, as pairs of gateway and at most `max_messages`
        messages. Schedules an OUTBOX timer if messages remain."""
        self.received_ms = {
            other: received_ms
            for other, received_ms in self.received_ms.items()
            if now_ms - received_ms <= ACTIVITY_MEMORY_MS
        }
        ready = [other for other in self.waiting if now_ms > self._ready_ms(other)]
        packets = [(other, self.waiting.pop(other)) for other in ready]
        for other, messages in packets:
            self.sent_ms[other] = now_ms
            self.sent_count[other] = self.sent_count.get(other, 0.0) + 1
            if len(messages) > max_messages:
                self.waiting[other] = messages[max_messages : MAX_WAITING_PACKETS * max_messages]
        if self.waiting and now_ms >= self.flush_ms:
            delay_ms = min(map(self._delay_ms, self.waiting))
            self.flush_ms = now_ms + max(self.settings.tick_ms, delay_ms / 2)
            self.timers.schedule(self.flush_ms, TimerKind.OUTBOX)
        return [(other, messages[:max_messages]) for other, messages in packets]

    def _ready_ms(self, gateway: int) -> float:
        return self.sent_ms.get(gateway, -math.inf) + self._delay_ms(gateway)

    def _delay_ms(self, gateway: int) -> float:
        """Minimum interval in ms between packets to a gateway, from the estimated fill of its inbox.

        The fill of this gateway's own inbox serves as the estimate; for a gateway that sends nothing, the
        number of packets sent to it counts as well."""
        inbox_per_s = INBOX_RATIO * self.settings.peer_inbox_per_s or math.inf
        fullness = min(1.0, max(0.0, 2 * self.received_count / inbox_per_s - 1))
        if gateway not in self.received_ms:
            fullness = max(fullness, min(1.0, 4 * self.sent_count.get(gateway, 0.0) / inbox_per_s))
        return min(MAX_DELAY_MS, fullness * max(1, len(self.received_ms)) * 1000 / inbox_per_s)
