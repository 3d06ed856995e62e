"""Messages to peers: what waits for whom, and when it may go. What comes faster than an inbox takes is lost,
so messages wait for company while inboxes fill up."""

from __future__ import annotations

import math

from plumpick.policy.concurrency_limit import PERIOD_MS
from plumpick.policy.peer_messages import QuotaMessage
from plumpick.policy.settings import Settings
from plumpick.policy.timers import TimerKind, TimerQueue

MAX_WAITING_PACKETS = 4  # of quota messages, for one gateway
INBOX_RATIO = 0.75  # of an inbox, that all others may fill
MAX_DELAY_MS = 60.0
ACTIVITY_MEMORY_MS = 1000.0  # a gateway heard within so long shares our peers' inboxes with us
MIN_SENT_COUNT = 0.1


class PeerOutbox:
    """Quota messages by receiving gateway. Bound: MAX_WAITING_PACKETS for each."""

    def __init__(self, settings: Settings, timers: TimerQueue) -> None:
        self.settings = settings
        self.timers = timers
        self.waiting: dict[int, list[QuotaMessage]] = {}
        self.sent_ms: dict[int, float] = {}  # when each gateway was last sent something
        self.sent_count: dict[int, float] = {}  # fading
        self.heard_ms: dict[int, float] = {}  # when each gateway last sent us something
        self.heard_count = 0.0  # fading
        self.flush_ms = 0.0

    def add(self, gateway: int, message: QuotaMessage) -> None:
        """A message goes to a gateway, soon."""
        self.waiting.setdefault(gateway, []).append(message)

    def add_heartbeat(self, now_ms: float, gateway: int, interval_ms: float) -> None:
        """A gateway gets a message, if it got none for so long."""
        if now_ms - self.sent_ms.get(gateway, -math.inf) >= interval_ms:
            self.waiting.setdefault(gateway, [])

    def on_heard(self, now_ms: float, gateway: int) -> None:
        """A gateway has sent us something."""
        self.heard_ms[gateway] = now_ms
        self.heard_count += 1

    def on_period(self) -> None:
        """One period has gone by."""
        keep = math.exp(-PERIOD_MS / ACTIVITY_MEMORY_MS)
        self.heard_count *= keep
        self.sent_count = {
            other: count * keep for other, count in self.sent_count.items() if count > MIN_SENT_COUNT
        }

    def take_packets(self, now_ms: float, max_messages: int) -> list[tuple[int, list[QuotaMessage]]]:
        """What each gateway is sent now, so many messages each at most. What has to wait gets a timer."""
        self.heard_ms = {
            other: heard_ms
            for other, heard_ms in self.heard_ms.items()
            if now_ms - heard_ms <= ACTIVITY_MEMORY_MS
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
        """How long after the last message the next one goes. Our own inbox stands in for our peers'; for a
        gateway that says nothing, what we send it."""
        inbox_per_s = INBOX_RATIO * self.settings.peer_inbox_per_s or math.inf
        fullness = min(1.0, max(0.0, 2 * self.heard_count / inbox_per_s - 1))
        if gateway not in self.heard_ms:
            fullness = max(fullness, min(1.0, 4 * self.sent_count.get(gateway, 0.0) / inbox_per_s))
        return min(MAX_DELAY_MS, fullness * max(1, len(self.heard_ms)) * 1000 / inbox_per_s)
