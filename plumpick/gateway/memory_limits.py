"""Derives the total of the memory budget from the process's limits: memory, descriptors, and the number of
processes of this gateway."""

from __future__ import annotations

from typing import Any

from plumpick.gateway.memory_budget import (
    BYTES_PER_MB,
    RESPONSE_RATIO,
    SMALL_REQUEST_BYTES,
    SMALL_REQUEST_CEILING_RATIO,
    MemoryBudget,
)

# Shares of the descriptor limit that connections to workers, to clients (HARD_MAX_CONNECTIONS_RATIO in
# listeners/http/connection_admission.py), and to both together may use. The remainder (30
# descriptors at the smallest limit of 256) is for discovery, peers and the event loop.
UPSTREAM_DESCRIPTOR_RATIO = 0.42
CLIENT_DESCRIPTOR_RATIO = 0.46
CONNECTION_DESCRIPTOR_RATIO = UPSTREAM_DESCRIPTOR_RATIO + CLIENT_DESCRIPTOR_RATIO
# Memory of one connection to a client or a worker beside what the budget counts: objects, transport, parser,
# and the one read, or small request, that it may keep while the memory is exhausted.
CONNECTION_BYTES = 8 * 1024
# Memory of one response beside what the budget counts: the share of a streamed one, and one read.
RESPONSE_BYTES = 8 * 1024
# Growth of the process itself after its start: code that is used for the first time, customers' accounts, ids
# of requests, timers.
OWN_GROWTH_BYTES = 3 * BYTES_PER_MB
CUSTOMER_GROWTH_BYTES = int(1.5 * BYTES_PER_MB)  # part of OWN_GROWTH_BYTES for the state of customers
# Memory of a customer's account, and of its ledger at its quota owner, with their places in the tables.
ACCOUNT_BYTES = 512
LEDGER_BYTES = 1536
CUSTOMER_RATIO = 0.6  # share of the total that the state of customers may use
# Share of the memory for the allocator: free blocks between those in use, and the size classes of objects.
ALLOCATOR_RATIO = 0.2
# Share of the total up to which requests and responses together may use it.
MAX_USED_RATIO = SMALL_REQUEST_CEILING_RATIO + RESPONSE_RATIO
MIN_TOTAL_BYTES = 2 * BYTES_PER_MB  # total with which a process still serves whose limit leaves nothing
DEFAULT_BASELINE_BYTES = 30 * BYTES_PER_MB  # resident memory at the start, until it has been measured


def total_bytes_within(limit_bytes: int, baseline_bytes: int, descriptors: int) -> int:
    """Return the total of a process with these limits, whose resident memory was `baseline_bytes` at its
    start."""
    connection_bytes = int(descriptors * CONNECTION_DESCRIPTOR_RATIO) * CONNECTION_BYTES
    response_bytes = int(descriptors * UPSTREAM_DESCRIPTOR_RATIO) * RESPONSE_BYTES
    own_bytes = baseline_bytes + OWN_GROWTH_BYTES + connection_bytes + response_bytes
    usable_bytes = (limit_bytes - own_bytes) * (1 - ALLOCATOR_RATIO)
    return max(MIN_TOTAL_BYTES, int(usable_bytes / MAX_USED_RATIO))


class MemoryLimits:
    """The limits of this process, and the budget whose total follows them."""

    def __init__(self, memory_mb: float, descriptors: int) -> None:
        self.memory_mb = memory_mb
        self._descriptors = descriptors
        self._baseline_bytes = DEFAULT_BASELINE_BYTES
        self._process_count = 1
        self._total_bytes = MIN_TOTAL_BYTES  # for customers' state and what the budget counts together
        self.customer_bytes = 0  # memory of the state of customers
        self.budget = MemoryBudget(MIN_TOTAL_BYTES)
        self._update_total()

    def _update_total(self) -> None:
        limit_bytes = int(self.memory_mb * BYTES_PER_MB) // self._process_count
        self._total_bytes = total_bytes_within(limit_bytes, self._baseline_bytes, self._descriptors)
        clients = int(self._descriptors * CLIENT_DESCRIPTOR_RATIO)
        customer_bytes = max(0, self.customer_bytes - CUSTOMER_GROWTH_BYTES)
        customer_bytes = min(customer_bytes, int(self._total_bytes * CUSTOMER_RATIO))
        self.budget.set_total(self._total_bytes - customer_bytes, clients * SMALL_REQUEST_BYTES)

    def set_baseline(self, baseline_bytes: int) -> None:
        """Set the resident memory of this process at its start, which requests can't use."""
        self._baseline_bytes = baseline_bytes
        self._update_total()

    def limit_customers(self, controller: Any) -> None:
        """Count the memory of the policy's state of customers, which requests can't use, and bound their
        number by what the limits leave. `controller`: the policy's Controller."""
        accounts, ledgers = controller.customer_counts()
        self._set_customers(accounts, ledgers)
        controller.limit_customers(self.max_customers())

    def _set_customers(self, accounts: int, ledgers: int) -> None:
        customer_bytes = accounts * ACCOUNT_BYTES + ledgers * LEDGER_BYTES
        if customer_bytes != self.customer_bytes:
            self.customer_bytes = customer_bytes
            self._update_total()

    def max_customers(self) -> int:
        """Return the number of customers up to which there is memory for an account and a ledger of each."""
        usable_bytes = self._total_bytes * CUSTOMER_RATIO + CUSTOMER_GROWTH_BYTES
        return int(usable_bytes / (ACCOUNT_BYTES + LEDGER_BYTES))

    def set_process_count(self, process_count: int) -> None:
        """Divide the memory limit by the number of processes of this gateway: two during a hot restart."""
        self._process_count = process_count
        self._update_total()

    def set_descriptors(self, descriptors: int) -> None:
        """Adapt to the process's new descriptor limit."""
        self._descriptors = descriptors
        self._update_total()
