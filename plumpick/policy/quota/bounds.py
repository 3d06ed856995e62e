"""How far quotas and hard limits can be passed, from the settings alone.

Every figure is an upper bound on the units that all gateways together grant one customer of a plan within a
window, beyond `burst + rate x window` (its quota) or the same of its hard limit. The derivation stands in
docs/design/quotas.md; each term here names the method that keeps it. A customer is taken to name one set of
gateways, as the protocol has it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from plumpick.policy.quota.hard_limits import USED_RATIO
from plumpick.policy.quota.liveness import MAX_ALL_TO_ALL, SILENCE_HEARTBEATS, heartbeat_ms
from plumpick.policy.quota.requester import LOCAL_BURST_RATIO
from plumpick.policy.settings import Plan, Settings

WINDOWS_S = (1.0, 10.0, 60.0)
MOST_SPREAD = 4  # gateways of a customer's set, as the protocol has it at this site
DIAL_S = 0.25  # for which a connection is waited for at most; a first attempt that found none is made again


class BoundsError(ValueError):
    """An argument that makes no sense; the text names it."""


class Situation(Enum):
    """What has become of the shared count."""

    SERVICE = "in service"
    ONE_HOME = "one home restarts"
    ALL_HOMES = "all gateways restart"
    SPLIT = "a split into two sides"
    LOSS = "messages are lost"


@dataclass(frozen=True, slots=True)
class Bound:
    """The most units beyond, for one plan, window and situation."""

    plan: str
    situation: Situation
    window_s: float
    quota: float  # units that the quota allows in the window
    beyond_quota: float
    ceiling: float  # units that the ceiling allows; 0: the plan has none
    beyond_ceiling: float  # as sent on to servers

    @property
    def ceiling_share(self) -> float:
        """Units beyond the ceiling as a share of what it allows."""
        return self.beyond_ceiling / self.ceiling if self.ceiling else 0.0


def held_s(settings: Settings) -> float:
    """For how long at most after its units are drawn a try comes whole to its first server, in seconds.

    `RequestLifecycle._set_deadlines` sets a FIRST_ATTEMPT timer: by then it is forwarded or rejected, and
    that is before the objective (the deadline, where late answers have value). Its time counts from the
    request's arrival and units are charged later, so this is more than can be. On top come attempts that
    found no connection."""
    longest_ms = max(
        kind.deadline_ms
        if kind.late_priority_weight > 0
        else min(kind.deadline_ms, kind.latency_objective_ms)
        for kind in settings.classes
    )
    return longest_ms / 1000 + DIAL_S * settings.max_attempts


def spread_of(settings: Settings, spread: int | None) -> int:
    """The size of a customer's set that is reckoned with."""
    if spread is not None and spread < 1:
        raise BoundsError(f"spread: {spread} is no number of gateways")
    return min(settings.gateway_count, MOST_SPREAD if spread is None else spread)


def beyond_quota(
    plan: Plan,
    settings: Settings,
    situation: Situation,
    window_s: float,
    *,
    spread: int | None = None,
    loss: float = 0.0,
    restarts: int = 1,
    far: int | None = None,
) -> float:
    """Units beyond the quota. `restarts`: of the home within the window; `far`: gateways of the set that are
    cut off from the home (all but one, by default); `loss`: share of messages lost, from 0 to 1."""
    count = spread_of(settings, spread)
    if not 0 <= loss <= 1:
        raise BoundsError(f"loss: {loss} is no share")
    if restarts < 0 or window_s <= 0:
        raise BoundsError("restarts and windows are not below nothing")
    if not plan.rate_per_s:
        return 0.0
    # What each gateway may spend without asking (QuotaRequester._fill: local_units never holds more;
    # on_grant_timeout: one request of any size without a grant). The owner hears of it (SPENT) and its ledger
    # goes below 0 for it. What was spent before the window may be forwarded in it.
    own = count * (LOCAL_BURST_RATIO * plan.burst + settings.max_units) + plan.rate_per_s * held_s(settings)
    if situation is Situation.SERVICE:
        return own
    if situation is Situation.LOSS:
        # A SPENT that is lost is charged nowhere: of what all own buckets spend, which fill at the quota's
        # rate in sum, and of what they held.
        return own + loss * (own + plan.rate_per_s * window_s)
    if situation in (Situation.ONE_HOME, Situation.ALL_HOMES):
        # QuotaOwner._ledger_for: a new ledger is full. A customer has one owner, so all restarting is one for
        # it. What its gateways spent while it was away is charged nowhere, but nor did the owner grant then.
        return own + restarts * plan.burst
    # A split: the far side lives on own buckets, which fill at their part of the quota. From
    # SILENCE_HEARTBEATS after the last message on that is the even part (QuotaRequester._fill), and the owner
    # withholds as much (QuotaOwner.granted_ratio); their last messages may lie one apart, and two more where
    # heartbeats were lost. Before that, the far side's parts make the quota at most.
    cut_off = count - 1 if far is None else far
    if not 0 <= cut_off < max(2, count):
        raise BoundsError(f"far: {cut_off} of {count} gateways")
    if not cut_off:
        return own
    unsure_s = min(window_s, (SILENCE_HEARTBEATS + 3) * heartbeat_ms(settings) / 1000)
    # Among many gateways only those that asked an owner of late send it heartbeats, so a customer that goes
    # to a gateway new to it has its even part there besides.
    new = 0.0 if settings.gateway_count - 1 <= MAX_ALL_TO_ALL else (window_s - unsure_s) * cut_off / count
    return own + plan.rate_per_s * (unsure_s + new)


def together(
    plan: Plan,
    settings: Settings,
    window_s: float,
    *,
    spread: int | None = None,
    loss: float,
    restarts: int,
    split: bool,
) -> float:
    """Units beyond the quota where all of it comes at once: the sum of what each situation adds."""

    def of(situation: Situation) -> float:
        return beyond_quota(plan, settings, situation, window_s, spread=spread, loss=loss, restarts=restarts)

    plain = of(Situation.SERVICE)
    kinds = [Situation.LOSS, Situation.ALL_HOMES] + [Situation.SPLIT] * split
    return plain + sum(of(kind) - plain for kind in kinds)


def beyond_ceiling(plan: Plan, settings: Settings, window_s: float) -> float:
    """Units sent on beyond the ceiling, in any situation.

    Its parts are divided for good (OWNER_RATIO at the owner, SET_RATIO evenly over the set), begin empty with
    every process (`hard_limit_units` of ledgers and accounts) and are never given back, so no loss, split or
    restart grants more. What was drawn may be sent on later, and comes on top of what the window itself
    fills, so the parts make only USED_RATIO of the hard limit together."""
    if window_s <= 0:
        raise BoundsError("windows are not below nothing")
    allowed = plan.hard_limit_burst + plan.hard_limit_per_s * window_s
    drawn = plan.hard_limit_burst + plan.hard_limit_per_s * (window_s + held_s(settings))
    return max(0.0, USED_RATIO * drawn - allowed)


def table(
    settings: Settings,
    *,
    spread: int | None = None,
    loss: float = 0.08,
    restarts: int = 1,
    windows_s: tuple[float, ...] = WINDOWS_S,
) -> list[Bound]:
    """All bounds, for each plan, situation and window. Raises BoundsError."""
    rows = []
    for plan in settings.plans:
        for situation in Situation:
            for window_s in windows_s:
                ceiling = (
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
                        beyond_quota(
                            plan, settings, situation, window_s, spread=spread, loss=loss, restarts=restarts
                        ),
                        ceiling,
                        beyond_ceiling(plan, settings, window_s) if ceiling else 0.0,
                    )
                )
    return rows
