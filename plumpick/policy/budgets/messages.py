"""Messages between gateways about budgets.

A budget is identified by its position in the list of configured budgets. The list is identical at all
gateways that communicate, because a gateway ignores messages whose digest of the lease settings differs from
its own."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from plumpick.policy.budgets.grant import Grant


@dataclass(frozen=True, slots=True)
class DemandReport:
    """A request for a grant, sent to the budget's allocator or, if that is unknown, to an acceptor of the
    leases.

    `demand` and `granted`: units per second (units of a concurrency budget). `last_grant_id`: id of the
    request that the last accepted grant answered. `largest_request`: maximum units that one request takes.
    `fingerprint`: checksum of the limits configured at the sender."""

    budget_index: int
    request_id: int
    demand: float
    granted: float
    last_grant_id: int
    largest_request: float
    fingerprint: int


class GrantRow(NamedTuple):
    """A grant of one budget, with the fingerprint of the limits under which it was made."""

    budget_index: int
    grant: Grant
    fingerprint: int


@dataclass(frozen=True, slots=True)
class GrantMessage:
    """An allocator's answer to demand reports. `incarnation`: the incarnation of the reporting gateway that
    the grants are valid for."""

    incarnation: int
    rows: list[GrantRow]


@dataclass(frozen=True, slots=True)
class AllocatorHint:
    """An acceptor's answer to a demand report on a budget that is allocated elsewhere: the gateway that owns
    the budget's slot."""

    slot: int
    gateway: int


@dataclass(frozen=True, slots=True)
class LimitsMessage:
    """If `is_query`, the limits configured at the sender, which it asks the allocator to take into account;
    otherwise the allocator's answer, the limits that it uses. Limit in units per second, burst in units."""

    budget_index: int
    limit: float
    burst: float
    is_query: bool


Message = list[DemandReport] | GrantMessage | AllocatorHint | LimitsMessage
