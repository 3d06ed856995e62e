"""What one process of a gatekeeper leaves to the next: its state as plain values, and how it is taken over.

No I/O, no clock. The values are JSON's. What is left: the operator's word, the stores and accounts of
customers with their ceilings, who was heard when, the window, usual times, and what is known of each server.
What is not: requests, which stay where they were taken, and numbers of a life (boot, serials), which tell
grants apart.

Nothing may be granted twice: once a process has left its state, its own buckets fill no more, and its
business with its own home goes to the heir (Quota.heir). Times are of one clock: both run on one machine.

Form 1 had tags of 32 bits and no names of classes. It is read: an account's tag comes from its customer's
name, and a store waits under the old one for its customer's first word (stores.old_store_name). Asks that
wait in it are left out, since whoever asked reads no answer of ours; it goes on credit or is refused in
time. A process that reads form 1 alone begins as after a restart."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from plumpick.policy.peer_messages import QuotaMessage, QuotaMessageKind, customer_tag
from plumpick.policy.quota.ledger import moved, renamed
from plumpick.policy.reconfiguration import refigure, renew
from plumpick.policy.settings import Plan
from plumpick.policy.state import Account, Ask, Backend, Store

if TYPE_CHECKING:
    from plumpick.policy.controller import Controller

FORM, OLD_FORM = 2, 1  # of these values; another is not read
_OLD_PLANS = 16  # places of plans in a store's name of form 1
_ACCOUNT = ("tag", "spread", "home", "at_ms", "own", "ceiling", "asked", "total", "total_ms")
_STORE = ("level", "at_ms", "ceiling", "asked", "kept", "born_ms", "before", "begun")
_FIGURES = ("rate_per_s", "burst", "max_in_flight", "hard_limit_per_s", "hard_limit_burst")
_WINDOW = ("peak", "cut", "room", "fleet_room", "well", "full", "ended", "mean_out")
_SERVER = ("slow", "seen_ms", "others", "report_ms")


def _plain(value: float) -> float | None:
    """JSON knows no infinity."""
    return value if math.isfinite(value) else None


def _row(record: Any, names: tuple[str, ...]) -> list[Any]:
    return [_plain(getattr(record, name)) for name in names]


def _fill(record: Any, names: tuple[str, ...], row: list[Any]) -> None:
    """Numbers as they were; raises ValueError where one is none."""
    for name, value in zip(names, row, strict=True):
        before = getattr(record, name)
        if value is None:
            value = -math.inf
        elif isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
            raise ValueError(f"{name}: {value!r} is no number")
        setattr(record, name, int(value) if isinstance(before, int) else float(value))


def _alike(one: Plan, other: Plan) -> bool:
    return all(getattr(one, name) == getattr(other, name) for name in _FIGURES)


def _ask_row(ask: Ask) -> list[Any]:
    return [list(ask.key), list(ask.item), ask.worth, ask.came_ms, ask.until_ms]


def _ask(row: list[Any], places: Mapping[int, int], plan_place: int) -> Ask | None:
    """`places`: of the classes that there are still, by their places before. Its plan is its store's."""
    kind, tag, serial, units, asked_per_s, class_index, _, spread = row[1]
    if class_index not in places:
        return None
    item = QuotaMessage(
        QuotaMessageKind(kind),
        int(tag),
        int(serial),
        float(units),
        float(asked_per_s),
        places[class_index],
        plan_place,
        int(spread),
    )
    return Ask(_key(row[0]), item, float(row[2]), float(row[3]), float(row[4]))


def _key(row: list[Any]) -> tuple[int, int, int]:
    gateway, boot, serial = (int(part) for part in row)
    return gateway, boot, serial


def leave(control: Controller) -> dict[str, Any]:
    """The state, as it is now; from here on this process has an heir."""
    quota, servers = control.quota, control.servers
    quota.heir = quota.kin = True
    for (_, plan, _, first), account in quota.accounts.items():
        if account.plan is not control.plans.get(plan):  # for what was before its plan changed nothing fills
            account.at_ms = max(account.at_ms, quota.changed_ms)
            renew(quota, account.at_ms, account, first, 0.0)
    # Of plans that were dropped some stores may not be full yet.
    plans = [
        *control.plans.values(),
        *{store.plan.name: store.plan for store in quota.parted.values()}.values(),
    ]
    at = {plan.name: place for place, plan in enumerate(plans)}
    stores = [*quota.stores.items(), *((key[0], store) for key, store in quota.parted.items())]
    banned, back = servers.bans.state()
    return {
        "form": FORM,
        "number": control.settings.gateway_number,
        "gateways": control.settings.gateway_count,
        "classes": list(control.classes),
        "plans": list(at),
        "figures": {plan.name: _row(plan, _FIGURES) for plan in plans},
        "bans": list(banned),
        "back": [list(row) for row in back],
        "draining": control.draining.since_ms,
        "accounts": [[list(name), _row(account, _ACCOUNT)] for name, account in quota.accounts.items()],
        "stores": [
            [
                name,
                at[store.plan.name],
                _row(store, _STORE),
                list(store.members),
                [[who, ms] for who, ms in store.askers.items()],
                [[list(key), ms] for key, ms in store.done.items()],
                [list(key) for key in store.backs],
                [list(key) for key in store.spent],
                [[list(key), ms] for key, ms in store.leases.items()],
                [_ask_row(ask) for ask in store.queue],
            ]
            for name, store in stores
        ],
        "last_ms": [[other, ms] for other, ms in quota.last_ms.items()],
        "heard_ms": [[other, ms] for other, ms in quota.heard_ms.items()],
        "told_ms": [[other, ms] for other, ms in quota.told_ms.items()],
        "silent": sorted(quota.silent),
        "rtt_ms": quota.rtt_ms,
        "window": _row(control.window, _WINDOW),
        "budget": control.budget,
        "usual": control.usual,
        "timely": control.timely,
        "shares": {name: share.share for name, share in control.shares.items()},
        "servers": [
            [
                name,
                backend.entry.started_ms,
                _row(backend, _SERVER),
                backend.seen,
                backend.bad,
                backend.cold_ms,
            ]
            for name, backend in servers.known.items()
        ],
        "sends": servers.sends,
        "reference": servers.reference,
    }


def take_over(control: Controller, now: float, left: Mapping[str, Any]) -> None:  # noqa: C901, PLR0915
    """Go on from that state; raises ValueError where it is another gatekeeper's or cannot be read, and
    nothing of it counts then."""
    settings, quota, servers = control.settings, control.quota, control.servers
    if left.get("form") not in (FORM, OLD_FORM):
        raise ValueError(f"a state of form {left.get('form')!r}")
    if left.get("number") != settings.gateway_number or left.get("gateways") != settings.gateway_count:
        raise ValueError("the state of another gatekeeper")
    plans = {plan.name: plan for plan in settings.plans}
    try:
        accounts, stores, parted, backends = {}, {}, {}, {}
        figures = {
            name: Plan(name, **dict(zip(_FIGURES, row, strict=True)))
            for name, row in left.get("figures", {}).items()
        }
        old = left["form"] == OLD_FORM
        now_at = {kind.name: place for place, kind in enumerate(settings.classes)}
        places = {
            place: now_at[name] for place, name in enumerate(() if old else left["classes"]) if name in now_at
        }
        for name, row in left["accounts"]:
            customer, plan, spread, first = name
            if plan in plans:
                account = accounts[customer, plan, spread, first] = Account(plans[plan], 0, 1, 0, now)
                _fill(account, _ACCOUNT, row)
                account.tag = customer_tag(customer)
                account.slice = quota.slice(account, int(first))
                before = figures.get(plan, plans[plan])
                if not _alike(before, plans[plan]):  # its figures are others now
                    account.at_ms, account.ceiling = now, account.ceiling if before.hard_limit_per_s else 0.0
        for name, place, row, members, askers, done, backs, spent, leases, queue in left["stores"]:
            # Its name holds the plan's place, which may be another here.
            plan = left["plans"][place]
            number = renamed(*divmod(int(name), _OLD_PLANS)) if old else int(name)
            plan_place = quota.plan_index.get(plan, 0)
            if plan in plans or plan in figures:
                store = Store(figures.get(plan) or plans[plan], 0.0, now)
                _fill(store, _STORE, row)
                store.members = tuple(int(who) for who in members)
                store.askers = {int(who): float(ms) for who, ms in askers}
                store.done = {_key(key): float(ms) for key, ms in done}
                store.backs, store.spent = {_key(key) for key in backs}, {_key(key) for key in spent}
                store.leases = {_key(key): float(ms) for key, ms in leases}
                if plan not in plans:
                    parted[moved(number, 0), plan] = store
                    continue
                stores[moved(number, plan_place)] = store
                asks = (_ask(row, places, plan_place) for row in queue)
                store.queue = [ask for ask in asks if ask is not None]
                if _alike(store.plan, plans[plan]):
                    store.plan = plans[plan]
                else:
                    refigure(quota, store, plans[plan], now)
        for name, started_ms, row, seen, bad, cold_ms in left["servers"]:
            known = servers.known.get(name)
            if known is not None and known.entry.started_ms == started_ms:  # what restarted has no past
                backend = Backend(known.entry, place=known.place)
                _fill(backend, _SERVER, row)
                backend.seen = {str(kind): float(count) for kind, count in seen.items()}
                backend.bad = {str(kind): float(count) for kind, count in bad.items()}
                backend.cold_ms = [float(ms) for ms in cold_ms]
                backends[name] = backend
        numbers = {
            key: {int(other): float(ms) for other, ms in left[key]}
            for key in ("last_ms", "heard_ms", "told_ms")
        }
        silent, rtt_ms = {int(other) for other in left["silent"]}, float(left["rtt_ms"])
        usual = {str(name): float(ms) for name, ms in left["usual"].items() if name in control.usual}
        timely = {str(name): float(part) for name, part in left["timely"].items() if name in control.timely}
        shares = {str(name): float(part) for name, part in left["shares"].items() if name in control.shares}
        banned = [str(name) for name in left["bans"]]
        back = [(str(name), float(ms)) for name, ms in left["back"]]
        draining = None if left["draining"] is None else float(left["draining"])
        budget, sends, reference = float(left["budget"]), float(left["sends"]), float(left["reference"])
        window = list(left["window"])
        if len(window) != len(_WINDOW):
            raise ValueError("window")
        _fill(control.window, _WINDOW, window)
    except (KeyError, TypeError, AttributeError, IndexError) as problem:
        raise ValueError(f"a state that cannot be read: {problem!r}") from problem
    quota.kin = True
    quota.accounts, quota.stores, quota.parted = accounts, stores, parted
    quota.accounts_left, quota.stores_left, quota.parted_left = [], [], []
    quota.last_ms.update(numbers["last_ms"])
    quota.heard_ms, quota.told_ms = numbers["heard_ms"], numbers["told_ms"]
    quota.silent, quota.rtt_ms = silent, rtt_ms
    control.usual.update(usual)
    control.timely.update(timely)
    for name, part in shares.items():
        control.shares[name].share = part
    control.budget = budget
    servers.sends, servers.reference = sends, max(reference, servers.reference)
    for name, backend in backends.items():
        servers.known[name] = backend
    servers.suspects = [backend for backend in servers.known.values() if backend.bad]
    servers.bans.take_over(banned, back)
    servers.forget()
    servers.sort(now)
    control.draining.since_ms = draining
    for name, store in stores.items():
        if store.queue:
            control.plan_at(now, "store", name)
    for at_ms in control.draining.times():
        control.plan_at(max(now, at_ms), "door")


def resume(control: Controller, now: float) -> None:
    """The heir has died. What it granted is not known here, so nothing counts as having filled since, and
    what may never be passed begins empty, as at a start."""
    quota = control.quota
    quota.heir = False
    for account in quota.accounts.values():
        account.own, account.ceiling, account.at_ms = min(0.0, account.own), 0.0, now
    for name, store in quota.stores.items():
        store.ceiling, store.at_ms = min(0.0, store.ceiling), now
        if store.queue:
            control.plan_at(now, "store", name)
