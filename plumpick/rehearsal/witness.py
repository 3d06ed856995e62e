"""The gateway with a record of the leases and budgets it holds: `python -m plumpick.rehearsal.witness` in
place of `python -m plumpick`.

It appends one line of JSON per record to $WITNESS_FILE: [kind, time, pid, ...], with the time by
CLOCK_BOOTTIME in ms. The kinds are:

- `life` (name): the process has started.
- `held` (lease, token, since, until), whenever this changes, and `lost` (lease, token).
- `effect` (task, period, token), right before the effect of a scheduled task is written.
- `spent` (budget, units, time by the process's clock), for each budget that a request was charged to.
- `lent`, for each accepted grant of a budget, and `figures`, when the limits of the budgets have changed.

Environment variables change how the process behaves:

- $WITNESS_RATE is the rate at which the process's clock runs.
- With $WITNESS_HINT, fencing tokens begin at 10^6 in the first process and at 1 in all later ones, as if the
  time of day had been set back.
- $WITNESS_PLANT names a bug to plant (benchmarks/ownership/plants.py, benchmarks/budgets/plants.py).
- $WITNESS_DEMAND names a file of requests per second by budget, which the process spends by itself, as if
  clients sent requests.

Files trigger faults, once each; the process deletes the file. $WITNESS_FILE.before and .after suspend the
process before or after it checks the clock for an effect; .before-share and .after-share kill it before or
after it sends the next grant of a budget."""

from __future__ import annotations

import importlib
import json
import os
import random
import signal
import sys
import time
from typing import Any

SPEND_INTERVAL_S = 0.02  # Interval at which requests are spent under $WITNESS_DEMAND


def machine_ms() -> float:
    """Return the machine's CLOCK_BOOTTIME in ms."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


class WitnessLog:
    """Writes the records; each line is one write to the file, so a killed process leaves no partial line."""

    def __init__(self, path: str, rate: float) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        self._rate = rate
        self._held: dict[int, tuple[int, float]] = {}

    def write(self, kind: str, *parts: Any) -> None:
        os.write(self._file, (json.dumps([kind, machine_ms(), os.getpid(), *parts]) + "\n").encode())

    def machine_time(self, clock_ms: float) -> float:
        """Convert a time of the process's clock to the machine's clock.

        All processes of a gateway must have the same rate, because a hot restart passes on times.
        """
        return clock_ms / self._rate

    def record_leases(self, member: Any) -> None:
        """Record the leases that the participant has acquired, renewed or lost since the last call."""
        held = (
            {}
            if member.closed
            else {lease: (one.token, one.requested_ms) for lease, one in member.holder.held.items()}
        )
        for lease, (token, _) in list(self._held.items()):
            if lease not in held or held[lease][0] != token:
                self.write("lost", lease, token)
                del self._held[lease]
        for lease, (token, asked_ms) in held.items():
            if self._held.get(lease) != (token, asked_ms):
                self._held[lease] = token, asked_ms
                self.write(
                    "held",
                    lease,
                    token,
                    self.machine_time(asked_ms),
                    self.machine_time(asked_ms + member.terms.term_ms),
                )


def trigger_fault(when: str, number: signal.Signals) -> None:
    """If the file $WITNESS_FILE.`when` exists, delete it and send this process the signal `number`."""
    try:
        os.unlink(f"{os.environ['WITNESS_FILE']}.{when}")
    except FileNotFoundError:
        return
    os.kill(os.getpid(), number)


def spending_start(begin: Any) -> Any:
    """Wrap LeaseRunner.start so that the runner also spends budgets at the rates in $WITNESS_DEMAND."""

    def start(part: Any, state: Any = None) -> None:
        begin(part, state)
        chance, rates = random.Random(f"{os.getpid()}"), dict[str, float]()

        def step() -> None:
            try:
                with open(os.environ["WITNESS_DEMAND"], encoding="utf-8") as file:
                    rates.update(json.load(file))
            except (OSError, ValueError):
                pass  # The file of rates is missing or incomplete: the previous rates remain.
            for name, rate in rates.items():
                for _ in range(int(rate * SPEND_INTERVAL_S + chance.random())):
                    part.budgets.spend([(name, 1.0)])
            part._loop.call_later(SPEND_INTERVAL_S, step)

        part._loop.call_soon(step)

    return start


def main() -> int:  # noqa: C901, PLR0915  (to be split by concern)
    """Patch the gateway to write records and apply faults, run it and return its exit code."""
    from plumpick.gateway import daemon
    from plumpick.gateway.cluster import fenced_effects, lease_runner
    from plumpick.gateway.platform import Platform
    from plumpick.policy.budgets import codec as budget_codec
    from plumpick.policy.budgets import ledger, rate_limiter
    from plumpick.policy.leases import codec
    from plumpick.policy.leases.participant import LeaseParticipant

    rate = float(os.environ.get("WITNESS_RATE", "1"))
    if rate != 1:
        Platform.boottime = lambda self: machine_ms() * rate  # type: ignore[method-assign]
    plant = os.environ.get("WITNESS_PLANT", "")
    if plant:
        where, _, name = plant.rpartition("/")
        importlib.import_module(f"benchmarks.{where or 'ownership'}.plants").plant(name)
    if os.environ.get("WITNESS_HINT"):
        first = 1 if os.path.exists(os.environ["WITNESS_FILE"]) else 10**6
        begin = LeaseParticipant.__init__

        def init_with_counter(self: Any, *arguments: Any, **more: Any) -> None:
            begin(self, *arguments, **more)
            self.holder.counter = first

        LeaseParticipant.__init__ = init_with_counter  # type: ignore[method-assign]
    recorder = WitnessLog(os.environ["WITNESS_FILE"], rate)
    inner = LeaseParticipant.handle
    restore = LeaseParticipant.restore
    capture = LeaseParticipant.capture

    def handle(self: Any, now_ms: float, events: Any = ()) -> Any:
        actions = inner(self, now_ms, events)
        recorder.record_leases(self)
        return actions

    def restore_and_record(self: Any, *arguments: Any, **more: Any) -> None:
        restore(self, *arguments, **more)
        recorder.record_leases(self)

    def capture_and_record(self: Any) -> Any:
        state = capture(self)
        recorder.record_leases(self)
        return state

    LeaseParticipant.handle = handle  # type: ignore[method-assign]
    LeaseParticipant.restore = restore_and_record  # type: ignore[method-assign]
    LeaseParticipant.capture = capture_and_record  # type: ignore[method-assign]
    spend = ledger.BudgetLedger.try_spend

    def try_spend_and_record(self: Any, now_ms: float, charges: Any) -> bool:
        met = bool(spend(self, now_ms, charges))
        if met:
            for name, units in charges:
                recorder.write("spent", name, units, recorder.machine_time(now_ms))
        return met

    ledger.BudgetLedger.try_spend = try_spend_and_record  # type: ignore[method-assign]
    accept_grant = rate_limiter.LocalRateLimiter.accept_grant
    set_limits = ledger.BudgetLedger.set_limits

    def accept_grant_and_record(self: Any, now_ms: float, grant: Any, sent_ms: Any) -> bool:
        taken = bool(accept_grant(self, now_ms, grant, sent_ms))
        if taken:
            recorder.write(
                "lent",
                self.budget.name,
                grant.request_id,
                f"{grant.fencing_token:x}",
                grant.amount,
                grant.burst,
                grant.initial_tokens,
                recorder.machine_time(self.granted.expires_ms),
            )
        return taken

    rate_limiter.LocalRateLimiter.accept_grant = accept_grant_and_record  # type: ignore[method-assign]

    def set_limits_and_record(self: Any, now_ms: float, budgets: Any) -> None:
        set_limits(self, now_ms, budgets)
        recorder.write("figures", [[one.name, one.limit, one.burst] for one in budgets])

    ledger.BudgetLedger.set_limits = set_limits_and_record  # type: ignore[method-assign]
    runner = lease_runner.LeaseRunner
    if os.environ.get("WITNESS_DEMAND"):
        runner.start = spending_start(runner.start)  # type: ignore[method-assign]
    send = fenced_effects.send

    async def send_and_record(
        receiver: Any, task: str, period: int, token: int, body: Any, may_write: Any
    ) -> None:
        def may_write_and_record() -> bool:
            trigger_fault("before", signal.SIGSTOP)
            yes = bool(may_write())
            if yes:
                recorder.write("effect", task, period, token)
                trigger_fault("after", signal.SIGSTOP)
            return yes

        await send(receiver, task, period, token, body, may_write_and_record)

    fenced_effects.send = send_and_record
    send_message = runner.send_message

    def send_message_or_die(self: Any, now_ms: float, message: Any, is_lease_message: bool = False) -> None:
        decoded = None if is_lease_message else codec.decode(message.data)
        share = decoded is not None and decoded.payload[:1] == bytes([budget_codec.GRANT])
        if share:
            trigger_fault("before-share", signal.SIGKILL)
        send_message(self, now_ms, message, is_lease_message)
        if share:
            trigger_fault("after-share", signal.SIGKILL)

    runner.send_message = send_message_or_die  # type: ignore[method-assign]
    recorder.write("life", os.environ.get("BALANCER_NAME", ""))
    return daemon.main()


if __name__ == "__main__":
    sys.exit(main())
