"""Gateways as real processes, with a datagram relay between them and a receiver of the effects of their
scheduled tasks, but without workers and clients: for trials of leases, tasks and budgets under faults.

Every process records what it holds (see witness.py) and the receiver records what it accepted, both by the
machine's clock; `judge` reads these records only."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from plumpick.rehearsal.datagrams import Relay
from plumpick.rehearsal.receiver import ReceivedEffect, Receiver, machine_ms
from plumpick.rehearsal.roster import DiscoveryAgent
from plumpick.rehearsal.scenario import FleetPart, PeerPart, Scenario
from plumpick.rehearsal.supervisor import Gatekeeper, Supervisor, free_port
from plumpick.rehearsal.surroundings import HOST, Surroundings

POLL_S = 0.01  # Interval at which `wait_for` checks its condition
MANAGEMENT_PORTS = (30_000, 32_000)  # Range of the gateways' management ports
QUOTA = {"rate": 1.0, "burst": 2.0, "ceiling_rate": 0.0, "ceiling_burst": 0.0, "ceiling_slack": 0.0}


class WaitTimeout(Exception):
    """A condition was not met in time; the message names it."""


@dataclass
class Tier:
    """Several gateways with their relay and receiver. `close` ends all processes and deletes all files.

    `duties` are the `[[fleet.duty]]` tables of the operator's file; `fleet` holds its other keys.
    """

    gatekeepers: int
    seed: int
    fleet: dict[str, Any]
    duties: list[dict[str, Any]]
    plant: str = ""
    rates: list[float] = field(default_factory=list)  # Rate of each gateway's clock; empty if all run at 1
    fenced: bool = True
    management: bool = False
    environment: dict[str, str] = field(default_factory=dict)
    budgets: list[dict[str, Any]] = field(default_factory=list)
    demand: dict[str, float] = field(default_factory=dict)  # Requests per second at each gateway, by budget
    # Keys of the `[fleet]` table that differ by gateway
    fleet_of: Callable[[int], dict[str, Any]] | None = None

    async def start(self) -> None:
        """Start relay, receiver and gateways. Raises StartFailed or OSError."""
        self.around = Surroundings(asyncio.get_running_loop(), self.seed)
        scenario = Scenario(
            fleet=FleetPart(gatekeepers=self.gatekeepers, servers=1),
            peers=PeerPart(delay_ms=[0.3, 5.0], loss=0.01),
        )
        self.folder = Supervisor.make_folder()
        self.chance = random.Random(f"{self.seed}/faults")
        self.receiver = Receiver(random.Random(f"{self.seed}/receiver"), self.folder / "fence", self.fenced)
        await self.receiver.start()
        names = [f"n{number}" for number in range(self.gatekeepers)]
        agents = [DiscoveryAgent(self.around, name, lambda _record: None) for name in names]
        for agent in agents:
            await agent.start()
        self.relay = Relay(self.around, scenario.peers, names, lambda _record: None)
        await self.relay.start()
        self.supervisor = Supervisor(
            self.around,
            scenario,
            self.folder,
            agents,
            self.relay,
            {plan.name: QUOTA for plan in scenario.plans},
            lambda _record: None,
            lambda _gate: None,
        )
        self.supervisor.module = "plumpick.rehearsal.witness"
        self.supervisor.environment_of = self._environment
        self.calls = [0 for _ in agents]
        if self.management:
            self.supervisor.extra_configuration_of = self._extra_configuration
        self._read: dict[int, int] = {}
        self.witnessed: list[list[Any]] = []
        for number in range(self.gatekeepers):
            self._write_settings(number)
            self.set_demand(number, self.demand)
        await asyncio.gather(*(self.supervisor.start(gate) for gate in self.gates))

    @property
    def gates(self) -> list[Gatekeeper]:
        return self.supervisor.gates

    def set_demand(self, number: int, demand: dict[str, float]) -> None:
        """Set the requests per second that a gateway spends of each budget."""
        path = self.folder / f"demand-{number}"
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(demand), encoding="utf-8")
        fresh.rename(path)

    async def change_budgets(self, budgets: list[dict[str, Any]], chance: random.Random) -> None:
        """Change the limits of the budgets at one gateway after another (SIGHUP) until all have them."""
        for number in chance.sample(range(self.gatekeepers), self.gatekeepers):
            await self.change_budgets_at(number, budgets)
            await asyncio.sleep(chance.uniform(0, 0.3))

    async def change_budgets_at(self, number: int, budgets: list[dict[str, Any]]) -> None:
        """Change the limits of the budgets at one gateway (SIGHUP); files written later contain them, too."""
        self.budgets = budgets
        async with self.gates[number].starting:
            self._write_settings(number)
            await self._reload(self.gates[number])

    async def _reload(self, gate: Gatekeeper) -> None:
        """Send SIGHUP to the gateway, if it runs, and wait until it has read its file."""
        process, begin = gate.process, machine_ms()
        if process is None or not gate.running():
            return
        self.supervisor.reload(gate)
        await self.wait_for(
            lambda: not gate.running()
            or any(
                row[0] == "figures" and row[3] == process.pid and row[1] >= begin
                for row in self.read_records()
            ),
            10,
            f"new limits of budgets at {gate.name}",
        )

    def _write_settings(self, number: int) -> None:
        fleet = {**self.fleet, **(self.fleet_of(number) if self.fleet_of is not None else {})}
        rows = ["[fleet]", *(f"{key} = {json.dumps(value)}" for key, value in fleet.items())]
        for duty in self.duties:
            row = {"receiver": f"http://{HOST}:{self.receiver.port}/effects", "fenced": True, **duty}
            rows += ["[[fleet.duty]]", *(f"{key} = {json.dumps(value)}" for key, value in row.items())]
        for budget in self.budgets:
            rows += ["[[fleet.budget]]", *(f"{key} = {json.dumps(value)}" for key, value in budget.items())]
        (self.folder / f"operator-{number}.toml").write_text("\n".join(rows) + "\n", encoding="utf-8")

    def _environment(self, gate: Gatekeeper) -> dict[str, str]:
        rate = self.rates[gate.number] if self.rates else 1.0
        return {
            **self.environment,
            "PLUMPICK_OPERATOR": str(self.folder / f"operator-{gate.number}.toml"),
            "WITNESS_FILE": str(self.witness_file(gate.number)),
            "WITNESS_RATE": repr(rate),
            "WITNESS_PLANT": self.plant,
            **({"WITNESS_DEMAND": str(self.folder / f"demand-{gate.number}")} if self.demand else {}),
        }

    def _extra_configuration(self, gate: Gatekeeper) -> dict[str, Any]:
        if not gate.starts:
            self.calls[gate.number] = free_port(first=MANAGEMENT_PORTS)
        return {"management": f"{HOST}:{self.calls[gate.number]}"}

    def witness_file(self, number: int) -> Path:
        """Return the file to which the processes of a gateway write their records."""
        return self.folder / f"witness-{number}"

    def read_records(self) -> list[list[Any]]:
        """Return all records written up to now, as [kind, t, number, pid, ...], in the order of reading."""
        for number in range(self.gatekeepers):
            path, begin = self.witness_file(number), self._read.get(number, 0)
            if not path.exists():
                continue
            with open(path, "rb") as file:
                file.seek(begin)
                data = file.read()
            whole = data.rfind(b"\n") + 1
            self._read[number] = begin + whole
            for line in data[:whole].splitlines():
                kind, t, pid, *parts = json.loads(line)
                self.witnessed.append([kind, t, number, pid, *parts])
        return self.witnessed

    def owner(self, lease: int) -> int | None:
        """Return the number of the gateway that holds the lease by the latest record, or None."""
        last = max(
            (row for row in self.read_records() if row[0] in ("held", "lost") and row[4] == lease),
            key=lambda row: row[1],
            default=None,
        )
        return None if last is None or last[0] == "lost" or last[7] < machine_ms() else last[2]

    async def wait_for(self, true: Callable[[], Any], limit_s: float, what: str) -> Any:
        """Wait until `true` returns a true value and return it. Raises WaitTimeout after `limit_s`."""
        end = machine_ms() + limit_s * 1000
        while not (value := true()):
            if machine_ms() > end:
                raise WaitTimeout(f"seed {self.seed}: {what}: not seen within {limit_s:g} s")
            await asyncio.sleep(POLL_S)
        return value

    async def wait_for_effects(self, duties: list[str], limit_s: float, since: float | None = None) -> None:
        """Wait until an effect of each of these tasks has been accepted after `since` (default: now).

        Raises WaitTimeout after `limit_s` seconds.
        """
        begin = machine_ms() if since is None else since
        await self.wait_for(
            lambda: set(duties)
            <= {one.duty for one in self.receiver.records if one.t > begin and one.fate == "taken"},
            limit_s,
            f"effects of {duties}",
        )

    async def suspend_during_effect(self, lease: int, when: str, for_s: float) -> int | None:
        """Let the lease's owner suspend itself while it sends an effect, and resume it after `for_s`.

        `when` is "before" or "after": relative to the check of the clock. Returns the owner's number, or None
        if no owner was suspended.
        """
        number = self.owner(lease)
        if number is None:
            return None
        gate, mark = self.gates[number], Path(f"{self.witness_file(number)}.{when}")
        process = gate.process
        mark.touch()
        try:
            await self.wait_for(
                lambda: not mark.exists() or self.owner(lease) != number, 3.0, f"an effect of n{number}"
            )
        finally:
            stood = not mark.exists()
            mark.unlink(missing_ok=True)
        await asyncio.sleep(for_s)
        if process is gate.process:
            self.supervisor.resume(gate)
        return number if stood else None

    async def kill(self, number: int, back_s: float | None = 0.3) -> None:
        """Send SIGKILL to a gateway and start it again after `back_s` seconds (None: not at all)."""
        gate = self.gates[number]
        async with gate.starting:
            if gate.running():
                self.supervisor.kill(gate)
                await gate.watch
            if back_s is not None:
                await asyncio.sleep(back_s)
                await self.supervisor.start(gate)

    async def suspend(self, number: int, for_s: float) -> None:
        """Suspend a gateway's process with SIGSTOP for `for_s` seconds."""
        gate = self.gates[number]
        process = gate.process
        self.supervisor.stop(gate)
        await asyncio.sleep(for_s)
        if process is gate.process:
            self.supervisor.resume(gate)

    async def close(self) -> None:
        try:
            await self.supervisor.close()
        finally:
            self.read_records()
            self.receiver.close()
            self.relay.close()
            for gate in self.gates:
                gate.agent.close()
            self.supervisor.delete_folder()


@dataclass
class OwnershipReport:
    """Breaches of lease ownership, one text each, and counts of effects that the records show."""

    overlaps: list[str] = field(default_factory=list)  # Breaches: a lease had two owners at one time
    out_of_order: list[str] = field(
        default_factory=list
    )  # Breaches: an effect was admitted after one with a larger token
    doubles: list[str] = field(default_factory=list)  # Breaches: an effect of one period was accepted twice
    late: list[str] = field(default_factory=list)  # Breaches: an effect was begun after its lease had ended
    taken: int = 0
    fenced: int = 0
    again: int = 0
    owners: int = 0  # Number of pairs of lease and fencing token that were held

    @property
    def broken(self) -> list[str]:
        return self.overlaps + self.out_of_order + self.doubles + self.late


def judge(  # noqa: C901  (to be split by concern)
    witnessed: list[list[Any]], received: list[ReceivedEffect]
) -> OwnershipReport:
    """Check the invariants of leases: at most one owner per lease at a time, effects admitted in the order
    of their fencing tokens, each effect accepted once, and no effect begun after the end of its lease.

    A lease lasts from the moment at which its holder knew of it until its expiry by the machine's clock, or
    until it was released; the death of the holder's process does not end it."""
    result = OwnershipReport(
        taken=sum(one.fate == "taken" for one in received),
        fenced=sum(one.fate == "fenced" for one in received),
        again=sum(one.fate == "again" for one in received),
    )
    # [begin, end] of each ownership, by lease and fencing token
    spans: dict[tuple[int, int], list[float]] = {}
    ends: dict[int, tuple[float, float]] = {}  # (begin, end) of each ownership of any lease, by fencing token
    order = sorted(witnessed, key=lambda row: row[1])
    for kind, t, _number, _pid, *parts in order:
        if kind == "held":
            lease, token, _asked, until = parts
            span = spans.setdefault((lease, token), [t, until])
            span[1] = max(span[1], until)
        elif kind == "lost" and (parts[0], parts[1]) in spans:
            span = spans[parts[0], parts[1]]
            span[1] = min(span[1], t)
    for (_, token), (begin, until) in spans.items():
        ends[token] = begin, until
    result.owners = len(spans)
    by_lease: dict[int, list[tuple[float, float, int]]] = {}
    for (lease, token), (begin, until) in spans.items():
        by_lease.setdefault(lease, []).append((begin, until, token))
    for lease, rows in by_lease.items():
        rows.sort()
        last: tuple[float, float, int] | None = None
        for row in rows:
            if last is not None and row[0] < last[1]:
                result.overlaps.append(
                    f"lease {lease}: {last[2]:x} until {last[1]:.1f}, {row[2]:x} from "
                    f"{row[0]:.1f}: {last[1] - row[0]:.1f} ms"
                )
            if last is None or row[1] > last[1]:
                last = row
    for kind, t, _number, _pid, *parts in order:
        if kind == "effect" and not (parts[2] in ends and t <= ends[parts[2]][1]):
            result.late.append(
                f"{parts[0]} {parts[1]} under {parts[2]:x} begun at {t:.1f}, after its lease ended"
            )
    highest: dict[str, int] = {}
    keys: set[tuple[str, int]] = set()
    for one in received:
        if one.fate == "fenced":
            continue
        if one.token < highest.get(one.duty, 0):
            result.out_of_order.append(
                f"{one.duty} {one.period} under {one.token:x} after {highest[one.duty]:x}, {one.fate}"
            )
        highest[one.duty] = max(highest.get(one.duty, 0), one.token)
        if one.fate == "taken":
            if (one.duty, one.period) in keys:
                result.doubles.append(f"{one.duty} {one.period} taken twice")
            keys.add((one.duty, one.period))
    return result
