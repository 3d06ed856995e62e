"""Watches the memory budget: logs when pressure begins and ends, tells what is held, and returns freed
memory to the system.

The allocator keeps freed blocks for later requests. After a peak they are returned to the system, since other
kinds of objects could not use them and would need as much again."""

from __future__ import annotations

import logging
from collections.abc import Callable

from plumpick.gateway.memory_budget import BYTES_PER_MB, MemoryHolder, MemoryLevel
from plumpick.gateway.memory_limits import MemoryLimits

MIN_PRESSURE_MS = 5000.0  # time without pressure after which it counts as ended
TRIM_INTERVAL_MS = 1000.0  # minimum time between two returns of freed memory
# Decrease of the bytes in use, as a share of the total, after which freed memory is returned.
TRIM_RATIO = 0.25

log = logging.getLogger(__name__)


class MemoryMonitor:
    """Reports the state of the memory budget. `return_freed_memory` gives free blocks back to the system,
    `resident_bytes` returns the memory that the process has."""

    def __init__(
        self,
        limits: MemoryLimits,
        return_freed_memory: Callable[[], None],
        resident_bytes: Callable[[], int],
    ) -> None:
        self._limits = limits
        self._memory = limits.budget
        self._return_freed_memory = return_freed_memory
        self._resident_bytes = resident_bytes
        self._last_pressure_ms = 0.0  # latest time under pressure; 0.0 if there is none
        self._refused_before = 0
        self._used_since_trim = 0  # most bytes in use since freed memory was returned
        self._next_trim_ms = 0.0

    def sweep(self, now: float) -> None:
        """Look at the budget; to be called every 100 ms."""
        self._report_pressure(now)
        self._trim(now)

    def _report_pressure(self, now: float) -> None:
        refused = sum(self._memory.refused_counts)
        reason = ""
        if refused > self._refused_before:
            reason = "requests are refused"
        elif self._memory.level == MemoryLevel.EXHAUSTED:
            reason = "buffers are small, and clients that have stopped are closed sooner"
        self._refused_before = refused
        if reason:
            if not self._last_pressure_ms:
                log.warning("memory pressure has begun: %s: %s", reason, self.status_line())
            self._last_pressure_ms = now
        elif self._last_pressure_ms and now - self._last_pressure_ms > MIN_PRESSURE_MS:
            self._last_pressure_ms = 0.0
            log.info("memory pressure has ended: %s", self.status_line())

    def _trim(self, now: float) -> None:
        memory = self._memory
        used_bytes = memory.used_bytes + self._limits.customer_bytes
        self._used_since_trim = max(self._used_since_trim, used_bytes)
        decrease = self._used_since_trim - used_bytes
        if decrease > memory.total_bytes * TRIM_RATIO and now >= self._next_trim_ms:
            self._next_trim_ms = now + TRIM_INTERVAL_MS
            self._used_since_trim = used_bytes
            self._return_freed_memory()

    def _resident_mb(self) -> str:
        try:
            return f"{self._resident_bytes() / BYTES_PER_MB:.1f}"
        except OSError:  # for example because no descriptor is free
            return "unknown"

    def status_line(self) -> str:
        """Return what is held by whom, in one line of `key=value`."""
        memory = self._memory
        fields = [
            f"limit_mb={self._limits.memory_mb:g}",
            f"resident_mb={self._resident_mb()}",
            f"level={memory.level.name.lower()}",
            f"total_kb={memory.total_bytes // 1024}",
            f"used_kb={memory.used_bytes // 1024}",
            f"used_peak_kb={memory.peak_bytes // 1024}",
        ]
        for holder in MemoryHolder:
            name = holder.name.lower()
            fields.append(f"{name}_kb={memory.held_bytes[holder] // 1024}")
            fields.append(f"{name}_peak_kb={memory.peak_held_bytes[holder] // 1024}")
            fields.append(f"{name}_refused={memory.refused_counts[holder]}")
        fields.append(f"customers_kb={self._limits.customer_bytes // 1024}")
        fields.append(f"max_customers={self._limits.max_customers()}")
        return " ".join(fields)
