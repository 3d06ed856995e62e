"""The commands `plumpick rehearse`, `plumpick fleet` and `plumpick audit`: output, files and exit codes."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import uvloop

from plumpick.cli import EXIT_BROKEN, EXIT_HELD, EXIT_INTERRUPTED, EXIT_SLOW, EXIT_USAGE
from plumpick.rehearsal.auditor import RULES, Auditor
from plumpick.rehearsal.fleet import Fleet, percent, seed_of, too_slow
from plumpick.rehearsal.plants import PLANTS
from plumpick.rehearsal.records import HistoryError, read_history
from plumpick.rehearsal.scenario import Scenario, ScenarioError, load, shipped
from plumpick.rehearsal.service import Service
from plumpick.rehearsal.supervisor import StartFailed
from plumpick.rehearsal.surroundings import HOST, Surroundings

LIVE_S = 1.0  # interval between progress lines on a terminal, in seconds
CLEAR = "\r\x1b[K"  # terminal codes that move the cursor to the start of the line and clear the line
FILES = ("report.json", "history.jsonl", "report.html")


def _print_error(text: str = "") -> None:
    print(text, file=sys.stderr, flush=True)


def _loop_run(work: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Run `work` on a new event loop and return its exit code.

    SIGINT and SIGTERM cancel it; the exit code is then EXIT_INTERRUPTED.
    """

    async def guarded() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await work()
        except asyncio.CancelledError:
            return EXIT_INTERRUPTED

    return uvloop.run(guarded())


def _not_started(problem: StartFailed | OSError) -> int:
    """Print why the fleet could not be started and return the exit code."""
    if isinstance(problem, StartFailed):
        _print_error(f"plumpick: {problem}")
        return EXIT_BROKEN
    _print_error(f"plumpick: the fleet could not be started: {problem}")
    return EXIT_USAGE


def _table(rows: list[tuple[str, ...]]) -> str:
    widths = [max(len(row[place]) for row in rows) for place in range(len(rows[0]))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows
    )


def verdict_text(auditor: Auditor, service: Service) -> str:
    """Return the summary that is printed at the end of a rehearsal or an audit."""
    verdicts, counted = auditor.verdicts(), service.as_dict()
    lines = [
        _table(
            [
                ("rule", "verdict", "chances", "breaches"),
                *(
                    (rule, verdicts[rule], str(auditor.chances[rule]), str(auditor.counts[rule]))
                    for rule in RULES
                ),
            ]
        ),
        "",
    ]
    for rule in RULES:
        for breach in [one for one in auditor.breaches if one.rule == rule][:3]:
            lines.append(f"{rule} at {breach.t / 1000:.3f} s, {breach.what}: {breach.text}")
    lines += [
        "",
        f"service {counted['service']:.4f}   whole run {percent(counted['whole'])}   worst 10 s "
        f"{percent(counted['worst_10_s'])} (from {counted['worst_10_s_from']} s)   worst-served plan "
        f"{percent(counted['worst_plan'])}",
    ]
    lines.append(
        "classes  " + "   ".join(f"{name} {percent(share)}" for name, share in counted["classes"].items())
    )
    lines.append(
        "plans    " + "   ".join(f"{name} {percent(share)}" for name, share in counted["plans"].items())
    )
    lines.append("prices   " + "   ".join(f"{name} {cost:.4f}" for name, cost in counted["prices"].items()))
    lines.append("counts   " + "   ".join(f"{name} {count}" for name, count in counted["counts"].items()))
    lines.append(
        f"lag of the stubs' event loop: p99 {auditor.lag_p99_ms:.1f} ms, maximum {auditor.lag_max_ms:.1f} ms"
    )
    return "\n".join(lines)


def report_of(auditor: Auditor, service: Service, terms: dict[str, Any], exit_code: int) -> dict[str, Any]:
    """Return the content of report.json; docs/operators/rehearsal.md describes its keys."""
    return {
        "scenario": terms["scenario"],
        "title": terms["title"],
        "seed": terms["seed"],
        "plant": terms["plant"] or None,
        "seconds": terms["seconds"],
        "exit_code": exit_code,
        "rules": auditor.as_dict(),
        "service": service.as_dict(),
        "lag_ms": {"p99": auditor.lag_p99_ms, "max": auditor.lag_max_ms},
    }


def _exit_code(auditor: Auditor) -> tuple[int, str]:
    slow = too_slow(auditor)
    if slow:
        return EXIT_SLOW, slow
    return (EXIT_BROKEN if any(auditor.counts.values()) else EXIT_HELD), ""


class _Live:
    """Prints the progress of a rehearsal: events of the script, and a progress line.

    The progress line is printed each second on a terminal and every five seconds elsewhere.
    """

    def __init__(self, fleet: Fleet, quiet: bool) -> None:
        self.fleet, self.quiet, self.shown, self.tries, self.count = fleet, quiet, 0, 0, 0
        self.terminal = sys.stderr.isatty()

    async def run(self) -> None:
        while True:
            await asyncio.sleep(LIVE_S)
            self.step()

    def step(self) -> None:
        if self.quiet:
            return
        fleet, self.count = self.fleet, self.count + 1
        t = fleet.around.now()
        for at, text in fleet.marks[self.shown :]:
            _print_error(f"{CLEAR if self.terminal else ''}  {at / 1000:7.2f} s  {text}")
        self.shown = len(fleet.marks)
        if not self.terminal and self.count % 5:
            return
        rate, self.tries = (
            (fleet.service.tries - self.tries) / (1 if self.terminal else 5),
            fleet.service.tries,
        )
        rules = " ".join(f"{rule}:{'BROKEN' if fleet.auditor.counts[rule] else 'ok'}" for rule in RULES)
        line = f"{t / 1000:6.1f} s  {rate:6.1f} tries/s  service {percent(fleet.service.so_far(t))}  {rules}"
        if self.terminal:
            print(f"{CLEAR}{line}", end="", file=sys.stderr, flush=True)
        else:
            _print_error(line)


def _folder(given: str) -> Path | None:
    """Create the report folder and return its path; if it is not writable, print why and return None."""
    folder = Path(given)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        (folder / FILES[1]).open("w", encoding="utf-8").close()
    except OSError as problem:
        _print_error(f"plumpick: {given}: no report can be written there: {problem.strerror}")
        return None
    return folder


def rehearse(given: argparse.Namespace) -> int:
    """Run `plumpick rehearse`: play a scenario, audit it and return the exit code."""
    if given.list:
        print(_table([("scenario", "what it plays"), *shipped().items()]) + "\n")
        print(
            _table(
                [
                    ("plant", "what it does"),
                    *((name, (kind.__doc__ or "").splitlines()[0]) for name, kind in PLANTS.items()),
                ]
            )
        )
        return EXIT_HELD
    try:
        scenario = load(given.scenario)
        if given.plant is not None and given.plant not in PLANTS:
            raise ScenarioError(f"--plant: unknown plant {given.plant!r}; available: {', '.join(PLANTS)}")
    except ScenarioError as problem:
        _print_error(f"plumpick: {problem}")
        return EXIT_USAGE
    scenario = scenario.brief() if given.brief else scenario
    seed = seed_of(given.seed)
    return _loop_run(lambda: _rehearse(scenario, given, seed))


async def _rehearse(scenario: Scenario, given: argparse.Namespace, seed: int) -> int:
    around = Surroundings(asyncio.get_running_loop(), seed)
    fleet = Fleet(around, scenario, given.scenario, given.plant or "")
    live = _Live(fleet, given.quiet)
    folder = _folder(given.report) if given.report else None
    watch = None
    try:
        if folder is not None:
            fleet.recorder.write_to((folder / FILES[1]).open("w", encoding="utf-8"))
        if not given.quiet:
            _print_error(
                f"{given.scenario}, seed {seed}{f', planted: {given.plant}' if given.plant else ''}: "
                f"{scenario.fleet.gatekeepers} gatekeepers, {scenario.fleet.servers} servers, "
                f"{len(fleet.front.customers)} firms, {scenario.seconds:g} s"
            )
        await fleet.start()
        watch = asyncio.create_task(live.run())
        await fleet.play()
        live.step()
    except (StartFailed, OSError) as problem:
        return _not_started(problem)
    finally:
        if watch is not None:
            watch.cancel()
        await asyncio.shield(fleet.close())
    code, slow = _exit_code(fleet.auditor)
    print(("\n" if live.terminal else "") + verdict_text(fleet.auditor, fleet.service))
    for problem in [fleet.recorder.problem, *fleet.failed]:
        if problem:
            _print_error(f"plumpick: {problem}")
    if slow:
        _print_error(f"plumpick: the verdict is invalid: {slow}")
    if folder is not None:
        terms = scenario.terms(seed, given.plant or "", given.scenario)
        _write_report(folder, report_of(fleet.auditor, fleet.service, terms, code), fleet)
    return code


def _write_report(folder: Path, report: dict[str, Any], fleet: Fleet) -> None:
    """Write report.json and report.html; a write error is printed and does not change the exit code."""
    try:
        (folder / FILES[0]).write_text(json.dumps(report, indent=1) + "\n", encoding="utf-8")
        if fleet.recorder.problem:
            return  # without a complete history there are no plots, which are drawn from it
        from plumpick.rehearsal.page import page_of  # imported only here because matplotlib is slow to import

        (folder / FILES[2]).write_text(page_of(folder / FILES[1], report), encoding="utf-8")
    except (OSError, HistoryError) as problem:
        _print_error(f"plumpick: the report could not be written: {problem}")
        return
    _print_error(f"report written to {folder}")


def audit(given: argparse.Namespace) -> int:
    """Run `plumpick audit`: audit a stored history, with the same verdict as in its rehearsal."""
    auditor, service = Auditor(), Service()
    terms: dict[str, Any] = {}
    try:
        with open(given.history, encoding="utf-8") as lines:
            for record in read_history(lines):
                terms = terms or record.terms  # type: ignore[union-attr]
                auditor.feed(record)
                service.feed(record)
    except (OSError, UnicodeDecodeError) as problem:
        _print_error(f"plumpick: {given.history}: {problem}")
        return EXIT_USAGE
    except HistoryError as problem:
        _print_error(f"plumpick: {given.history}: {problem}")
        return EXIT_USAGE
    if not terms:
        _print_error(f"plumpick: {given.history}: the history is empty")
        return EXIT_USAGE
    if not auditor.over:
        _print_error("plumpick: the history has no end record; auditing the records up to its last line")
    code, slow = _exit_code(auditor)
    if given.json:
        print(json.dumps(report_of(auditor, service, terms, code), indent=1))
    else:
        print(verdict_text(auditor, service))
    if slow:
        _print_error(f"plumpick: the verdict is invalid: {slow}")
    return code


def fleet(given: argparse.Namespace) -> int:
    """Run `plumpick fleet`: start a fleet and keep it running until interrupted."""
    try:
        scenario = load(given.scenario)
    except ScenarioError as problem:
        _print_error(f"plumpick: {problem}")
        return EXIT_USAGE
    return _loop_run(lambda: _fleet(scenario, given, seed_of(given.seed)))


def curl_of(one: Fleet) -> str:
    """Return a curl command that is answered 200 while the fleet is running."""
    scenario, gate = one.scenario, one.supervisor.gates[0]
    kind = min(scenario.classes, key=lambda kind: kind.repeats != "safe")
    firm = one.front.customers[0]
    method, key = ("GET", "") if kind.repeats == "safe" else ("POST", "")
    if kind.repeats == "keyed":
        key = " -H \"Idempotency-Key: $(od -An -N16 -tx1 /dev/urandom | tr -d ' \\n')\""
    return (
        f"curl -i -X {method} http://{HOST}:{gate.port}/{kind.name} "
        "-H \"X-Request-Id: $(od -An -N8 -tx1 /dev/urandom | tr -d ' \\n')\""
        f"{key} -H 'X-Tier: {firm.plan.name}' -H 'X-Api-Key: {firm.name}' "
        f"-H 'X-Deadline-Ms: {int(kind.deadline_ms)}' "
        f"-H 'X-Call-Terms: units=1,spread={firm.spread},first={firm.first}'"
    )


def description_of(one: Fleet) -> dict[str, Any]:
    """Return the addresses of the fleet and its customers as a JSON object; callers may add keys."""
    return {
        "gatekeepers": [
            {
                "name": gate.name,
                "http": f"{HOST}:{gate.port}",
                "pid": gate.pid,
                "peers": f"{HOST}:{gate.peer_port}",
            }
            for gate in one.supervisor.gates
        ],
        "roster": [f"{HOST}:{agent.port}" for agent in one.agents],
        "servers": [
            {"name": server.name, "address": f"{HOST}:{server.port}", "hall": server.zone}
            for server in one.servers.values()
        ],
        "firms": [
            {"name": firm.name, "plan": firm.plan.name, "spread": firm.spread, "first": firm.first}
            for firm in one.front.customers
        ],
        "curl": curl_of(one),
    }


async def _fleet(scenario: Scenario, given: argparse.Namespace, seed: int) -> int:
    one = Fleet(Surroundings(asyncio.get_running_loop(), seed), scenario, given.scenario)
    one.recorder.listeners.clear()  # the command `fleet` audits nothing, so no records are kept
    try:
        await one.start()
        about = description_of(one)
        if given.json:
            print(json.dumps(about), flush=True)
        else:
            rows = [("gatekeeper", "address", "pid")]
            rows += [(row["name"], row["http"], str(row["pid"])) for row in about["gatekeepers"]]
            print(
                _table(rows) + f"\n\nroster   {' '.join(about['roster'])}\nservers  "
                f"{' '.join(row['address'] for row in about['servers'])}\n\n{about['curl']}\n\n"
                "Press Ctrl-C to stop the fleet.",
                flush=True,
            )
        await asyncio.Event().wait()
    except (StartFailed, OSError) as problem:
        return _not_started(problem)
    finally:
        await asyncio.shield(one.close())
    return EXIT_HELD
