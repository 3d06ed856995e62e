"""The state that the decision module keeps between turns.

The controller passes it to the modules that export or import snapshots and that apply new settings.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from plumpick.policy.admission import AdmissionQueue
from plumpick.policy.class_statistics import ClassStatistics
from plumpick.policy.concurrency_limit import ConcurrencyLimit
from plumpick.policy.disabled_workers import DisabledWorkers
from plumpick.policy.draining import Draining
from plumpick.policy.endpoint_table import EndpointTable
from plumpick.policy.load_balancing import LoadBalancer
from plumpick.policy.load_reports import LoadReports
from plumpick.policy.outlier_detection import OutlierDetector
from plumpick.policy.overdue_attempts import OverdueAttempts
from plumpick.policy.peer_messages import PeerMessageCodec
from plumpick.policy.quota.manager import QuotaManager
from plumpick.policy.request_state import Attempt, Request
from plumpick.policy.retry import RetryBudget
from plumpick.policy.settings import Settings
from plumpick.policy.timers import TimerQueue


def top_priority_of(settings: Settings) -> float:
    """The highest priority that a request within its quota can have; 1 if that would be 0."""
    top_weight = max([request_class.priority_weight for request_class in settings.classes])
    top_factor = max([plan.priority_factor for plan in settings.plans])
    return top_weight * top_factor or 1.0


class GatewayState:
    """The components of one gateway's decision module. They share `rng`, so the order in which they draw from
    it has to stay the same for recorded histories to be repeatable."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        on_quota_reply: Callable[[Request, bool], None],
        on_quota_denied: Callable[[Request], None],
    ) -> None:
        names = [request_class.name for request_class in settings.classes]
        self.settings = settings
        self.rng = random.Random(seed)
        self.codec = PeerMessageCodec(settings)
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        self.top_priority = top_priority_of(settings)
        self.timers = TimerQueue()
        self.limit = ConcurrencyLimit(settings.gateway_count)
        self.endpoints = EndpointTable(settings, DisabledWorkers(settings.slow_start_ms))
        self.outliers = OutlierDetector({name: index for index, name in enumerate(names)})
        self.load_balancer = LoadBalancer(self.endpoints, self.outliers, self.rng)
        self.load_reports = LoadReports(settings.load_report_fields)
        self.queue = AdmissionQueue(settings.classes)
        self.statistics = ClassStatistics(settings.classes)
        self.overdue = OverdueAttempts(names)
        self.retry_budget = RetryBudget()
        self.draining = Draining()
        self.quota = QuotaManager(settings, self.rng, self.timers, on_quota_reply, on_quota_denied)
        self.requests: dict[int, Request] = {}  # open requests by id
        self.attempts: dict[tuple[int, int], Attempt] = {}  # attempts in flight by request id and number
