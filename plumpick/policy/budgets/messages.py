"""What gateways tell each other about budgets. A budget is named by its place among the configured ones,
which all gateways have alike (the digest of the leases' settings makes sure of that)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from plumpick.policy.budgets.grant import Grant


@dataclass(frozen=True, slots=True)
class DemandReport:
    """A request for a grant, sent to the allocator or, where it is not known, to an acceptor. `demand` and
    `granted` are in units a second; `last_grant_id` is the request that the last accepted grant answered; one
    request takes up to `largest_request` units; `fingerprint` is that of the sender's own limits."""

    budget_index: int
    request_id: int
    demand: float
    granted: float
    last_grant_id: int
    largest_request: float
    fingerprint: int


class GrantRow(NamedTuple):
    """A grant of one budget, and the fingerprint of the limits that it is granted by."""

    budget_index: int
    grant: Grant
    fingerprint: int


@dataclass(frozen=True, slots=True)
class GrantMessage:
    """An allocator's answer to demand reports, for one incarnation of their sender."""

    incarnation: int
    rows: list[GrantRow]


@dataclass(frozen=True, slots=True)
class AllocatorHint:
    """An acceptor's answer to a demand report that should have gone to another: who owns the slot."""

    slot: int
    gateway: int


@dataclass(frozen=True, slots=True)
class LimitsMessage:
    """The limits that the sender has configured, which `is_query` asks the allocator to take into account; or
    the allocator's answer, the limits that it goes by. Limit in units a second, burst in units."""

    budget_index: int
    limit: float
    burst: float
    is_query: bool


Message = list[DemandReport] | GrantMessage | AllocatorHint | LimitsMessage
