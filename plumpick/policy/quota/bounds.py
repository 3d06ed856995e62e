"""Upper bounds on the units granted beyond quotas and hard limits, computed from the settings alone.

Each bound applies to one customer of a plan and one time window: the units that all gateways together can
grant beyond `burst + rate x window`, with burst and rate of the quota or of the hard limit. See
docs/design/quotas.md for the derivation; comments on the terms below name the method that enforces each one.
The bounds assume that all requests of a customer name the same set of gateways, as the protocol requires.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from plumpick.policy.quota.hard_limits import USED_RATIO
from plumpick.policy.quota.liveness import MAX_ALL_TO_ALL, UNREACHABLE_AFTER_HEARTBEATS, heartbeat_ms
from plumpick.policy.quota.requester import LOCAL_BURST_RATIO
from plumpick.policy.settings import Plan, Settings

WINDOWS_S = (1.0, 10.0, 60.0)
DEFAULT_GATEWAY_SET_SIZE = 4  # default size of a customer's gateway set in the protocol
CONNECT_TIMEOUT_S = 0.25  # connect timeout; a first attempt that fails to connect is repeated


class BoundsError(ValueError):
    """An argument of a bound is out of range; the message names the argument."""


class Situation(Enum):
    """Operating condition of the quota system for which a bound holds; values are shown to operators.

    The comment on each member explains the units that `max_excess_over_quota` allows for it."""

    # Units that each gateway may spend without a grant: the local bucket (capped by QuotaRequester._fill) and
    # one request of any size after a grant timeout (on_grant_timeout). The owner is notified (SPENT) and
    # charges its ledger, which may become negative. Units charged before the window may be forwarded in it.
    NORMAL = "in service"
    # QuotaOwner._ledger_for creates a full ledger after a restart of the quota owner.
    OWNER_RESTART = "one home restarts"
    # A customer has a single owner, so a restart of all gateways adds no more than a restart of the owner.
    # Units that other gateways spent while the owner was down are never charged, but the owner granted none
    # in that time.
    ALL_RESTART = "all gateways restart"
    # Gateways on the far side spend from local buckets, which fill at their part of the quota.
    # UNREACHABLE_AFTER_HEARTBEATS after the last message received, that part becomes the even one
    # (QuotaRequester._fill) and the owner withholds as much (QuotaOwner.granted_ratio). The two sides may
    # differ by one heartbeat in the time of their last message, and by two more after lost heartbeats. Before
    # that time, the parts of the far side add up to at most the quota.
    PARTITION = "a split into two sides"
    # Units of a lost SPENT message are never charged. Affected are all units spent from local buckets: their
    # content at the start of the window and their refill, at the quota's rate in total.
    MESSAGE_LOSS = "messages are lost"


@dataclass(frozen=True, slots=True)
class Bound:
    """Maximum units beyond the quota and the hard limit of one plan, for one window and situation."""

    plan: str
    situation: Situation
    window_s: float
    quota_units: float  # units allowed by the quota within the window
    max_excess_over_quota: float  # maximum units granted beyond the quota
    hard_limit_units: float  # units allowed by the hard limit within the window; 0 without a hard limit
    max_excess_over_hard_limit: float  # maximum units forwarded to endpoints beyond the hard limit

    @property
    def hard_limit_excess_ratio(self) -> float:
        """Units beyond the hard limit as a fraction of the units it allows; 0 without a hard limit."""
        return self.max_excess_over_hard_limit / self.hard_limit_units if self.hard_limit_units else 0.0


def max_forwarding_delay_s(settings: Settings) -> float:
    """Maximum time in seconds from charging a request's units to forwarding its first attempt completely.

    `RequestLifecycle._set_deadlines` sets a FIRST_ATTEMPT timer, which fires before the latency objective
    (before the deadline for classes whose late responses have value); the request is forwarded or rejected by
    then. The timer runs from the arrival of the request, before its units are charged, so the result is an
    overestimate. Connect timeouts of failed attempts are added."""
    longest_ms = max(
        request_class.deadline_ms
        if request_class.late_priority_weight > 0
        else min(request_class.deadline_ms, request_class.latency_objective_ms)
        for request_class in settings.classes
    )
    return longest_ms / 1000 + CONNECT_TIMEOUT_S * settings.max_attempts


def gateway_set_size(settings: Settings, set_size: int | None) -> int:
    """Size of a customer's gateway set for the bounds: `set_size`, or DEFAULT_GATEWAY_SET_SIZE if None, at
    most the number of gateways. Raises BoundsError if `set_size` is below 1."""
    if set_size is not None and set_size < 1:
        raise BoundsError(f"spread must be at least 1 gateway, got {set_size}")
    return min(settings.gateway_count, DEFAULT_GATEWAY_SET_SIZE if set_size is None else set_size)


def max_excess_over_quota(
    plan: Plan,
    settings: Settings,
    situation: Situation,
    window_s: float,
    *,
    set_size: int | None = None,
    loss: float = 0.0,
    restarts: int = 1,
    partitioned_gateways: int | None = None,
) -> float:
    """Maximum units granted beyond the quota of a plan in one situation and window.

    `restarts`: restarts of the quota owner within the window. `partitioned_gateways`: number of gateways in
    the set that are partitioned from the quota owner (default: all but one). `loss`: fraction of messages
    lost, 0 to 1. Raises BoundsError for an argument out of range."""
    count = gateway_set_size(settings, set_size)
    if not 0 <= loss <= 1:
        raise BoundsError(f"loss must be from 0 to 1, got {loss}")
    if restarts < 0 or window_s <= 0:
        raise BoundsError(
            f"restarts must not be negative and window_s must be positive, got {restarts} and {window_s}"
        )
    if not plan.rate_per_s:
        return 0.0
    # Each term is derived at the members of Situation.
    ungranted = count * (
        LOCAL_BURST_RATIO * plan.burst + settings.max_units
    ) + plan.rate_per_s * max_forwarding_delay_s(settings)
    if situation is Situation.NORMAL:
        return ungranted
    if situation is Situation.MESSAGE_LOSS:
        return ungranted + loss * (ungranted + plan.rate_per_s * window_s)
    if situation in (Situation.OWNER_RESTART, Situation.ALL_RESTART):
        return ungranted + restarts * plan.burst
    partitioned = count - 1 if partitioned_gateways is None else partitioned_gateways
    if not 0 <= partitioned < max(2, count):
        raise BoundsError(f"partitioned_gateways must be from 0 to {max(2, count) - 1}, got {partitioned}")
    if not partitioned:
        return ungranted
    undetected_s = min(window_s, (UNREACHABLE_AFTER_HEARTBEATS + 3) * heartbeat_ms(settings) / 1000)
    # With more gateways than MAX_ALL_TO_ALL, an owner receives heartbeats only from gateways that requested
    # grants recently. A customer's first requests at another gateway get that gateway's even part, which the
    # owner does not withhold.
    unwithheld_s = (
        0.0
        if settings.gateway_count - 1 <= MAX_ALL_TO_ALL
        else (window_s - undetected_s) * partitioned / count
    )
    return ungranted + plan.rate_per_s * (undetected_s + unwithheld_s)


def max_combined_excess(
    plan: Plan,
    settings: Settings,
    window_s: float,
    *,
    set_size: int | None = None,
    loss: float,
    restarts: int,
    has_partition: bool,
) -> float:
    """Maximum units granted beyond the quota if all situations coincide: the sum of their increments.

    `has_partition` includes a partition; the other arguments are those of `max_excess_over_quota`."""

    def excess(situation: Situation) -> float:
        return max_excess_over_quota(
            plan, settings, situation, window_s, set_size=set_size, loss=loss, restarts=restarts
        )

    baseline = excess(Situation.NORMAL)
    increments = [Situation.MESSAGE_LOSS, Situation.ALL_RESTART] + [Situation.PARTITION] * has_partition
    return baseline + sum(excess(situation) - baseline for situation in increments)


def max_excess_over_hard_limit(plan: Plan, settings: Settings, window_s: float) -> float:
    """Maximum units forwarded to endpoints beyond the hard limit of a plan, in any situation.

    The hard limit is divided statically: OWNER_RATIO for the quota owner, SET_RATIO over the gateway set.
    Each part (`hard_limit_units` of ledgers and accounts) starts empty in a new process and units are never
    returned to it, so message loss, a partition or a restart grants no more. Units charged before the window
    may be forwarded in it, in addition to the window's ungranted refill; therefore the parts add up to only
    USED_RATIO of the hard limit. Raises BoundsError if `window_s` is not positive."""
    if window_s <= 0:
        raise BoundsError(f"window_s must be positive, got {window_s}")
    allowed = plan.hard_limit_burst + plan.hard_limit_per_s * window_s
    charged = plan.hard_limit_burst + plan.hard_limit_per_s * (window_s + max_forwarding_delay_s(settings))
    return max(0.0, USED_RATIO * charged - allowed)


def compute_bounds(
    settings: Settings,
    *,
    set_size: int | None = None,
    loss: float = 0.08,
    restarts: int = 1,
    windows_s: tuple[float, ...] = WINDOWS_S,
) -> list[Bound]:
    """Bounds for each combination of plan, situation and window; arguments as in `max_excess_over_quota`.
    Raises BoundsError."""
    rows = []
    for plan in settings.plans:
        for situation in Situation:
            for window_s in windows_s:
                hard_limit_units = (
                    (plan.hard_limit_burst + plan.hard_limit_per_s * window_s)
                    if plan.hard_limit_per_s
                    else 0.0
                )
                rows.append(
                    Bound(
                        plan.name,
                        situation,
                        window_s,
                        plan.burst + plan.rate_per_s * window_s,
                        max_excess_over_quota(
                            plan,
                            settings,
                            situation,
                            window_s,
                            set_size=set_size,
                            loss=loss,
                            restarts=restarts,
                        ),
                        hard_limit_units,
                        max_excess_over_hard_limit(plan, settings, window_s) if hard_limit_units else 0.0,
                    )
                )
    return rows
