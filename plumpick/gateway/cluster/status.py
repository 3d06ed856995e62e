"""Replies to the operators' commands DUTIES and BUDGETS: one line of JSON each, in pages.

The keys and the order of a row's columns are a public interface."""

from __future__ import annotations

import json
import math
from typing import Any

from plumpick.policy.budgets.ledger import BudgetLedger
from plumpick.policy.leases.participant import LeaseParticipant
from plumpick.policy.scheduled_tasks import TaskScheduler, TaskState

PAGE_ROWS = 16
MAX_OUTCOME_CHARACTERS = 60


def page_of(argument: str) -> int:
    """The page number in an operator's command, counted from 0; 0 if the argument is not a number."""
    return int(argument) if argument.isdigit() else 0


def _pages(rows: int) -> int:
    return max(1, math.ceil(rows / PAGE_ROWS))


def _page(rows: list[Any], page: int) -> list[Any]:
    return rows[page * PAGE_ROWS : (page + 1) * PAGE_ROWS]


def _line(reply: dict[str, Any]) -> str:
    return json.dumps(reply, separators=(",", ":"))


def budgets_reply(gateway_name: str, ledger: BudgetLedger, now_ms: float, page: int) -> str:
    """The reply to BUDGETS: one page of the ledger's budgets, as JSON."""
    rows = ledger.status(now_ms)
    reply = {
        "gatekeeper": gateway_name,
        "pages": _pages(len(rows)),
        "budgets": [
            {
                "name": row.name,
                "whole": row.limit,
                "floor": round(row.guaranteed, 6),
                "lent": round(row.granted, 6),
                "until_ms": row.expires_in_ms and round(row.expires_in_ms),
                "left": round(row.available, 3),
                "demand": round(row.demand, 3),
                "unmet": row.rejected,
                "divider": row.allocator,
                "token": f"{row.fencing_token:x}",
                "out": None if row.granted_to_all is None else round(row.granted_to_all, 6),
            }
            for row in _page(rows, page)
        ],
    }
    return _line(reply)


def tasks_reply(
    gateway_name: str, participant: LeaseParticipant, scheduler: TaskScheduler, now_ms: float, page: int
) -> str:
    """The reply to DUTIES: one page of scheduled tasks, as JSON. The first page also lists all leases."""
    terms = participant.terms
    names = sorted(scheduler.tasks)
    leases = range(terms.leases if not page else 0)
    reply = {
        "gatekeeper": gateway_name,
        "voters": list(terms.acceptors),
        "votes": participant.acceptor is not None,
        "slots": terms.slots,
        "pages": _pages(len(names)),
        "leases": [_lease_row(participant, lease, now_ms) for lease in leases],
        "duties": [_task_row(scheduler.tasks[name]) for name in _page(names, page)],
    }
    return _line(reply)


def _task_row(state: TaskState) -> list[Any]:
    """The columns of a task: name, slot, running period or None, last run (period, duration in ms,
    outcome)."""
    last = state.last_run
    last_row = None
    if last is not None:
        last_row = [last.period, round(last.duration_ms, 1), last.outcome[:MAX_OUTCOME_CHARACTERS]]
    return [state.task.name, state.slot, state.running_period, last_row]


def _lease_row(participant: LeaseParticipant, lease: int, now_ms: float) -> list[Any]:
    """The columns of a lease: number, holder, token, time held, time for which it is usable or granted,
    reason why this gateway does not hold it. Times in ms."""
    held = participant.holder.held.get(lease)
    if held is not None:
        usable_ms = participant.holder.usable_until_ms(lease) - now_ms
        held_ms = now_ms - held.acquired_ms
        return [lease, participant.gateway, f"{held.token:x}", round(held_ms), round(usable_ms), ""]
    acceptor = participant.acceptor
    grant = acceptor.active_grant(now_ms, lease) if acceptor is not None else None
    if grant is not None:
        granted_ms = grant.expires_ms - now_ms
        return [lease, grant.owner[0], f"{grant.token:x}", None, round(granted_ms), ""]
    reason: str = participant.not_held_reasons.get(lease, "")
    if acceptor is not None and now_ms < acceptor.startup_wait_until_ms:
        reason = "this voter grants no lease yet after its start"
    return [lease, None, "", None, None, reason]
