"""The command line: `plumpick NAME` runs a tool. The daemon, `python -m plumpick`, does not import this
module.

Each tool is imported only when it is called.
"""

from __future__ import annotations

import argparse
import os
import sys
from importlib import metadata

EXIT_HELD, EXIT_BROKEN, EXIT_USAGE, EXIT_SLOW, EXIT_INTERRUPTED = 0, 1, 2, 3, 130


class Parser(argparse.ArgumentParser):
    """An argument parser that reports errors in one line, without the usage, and exits with EXIT_USAGE."""

    def error(self, message: str) -> None:  # type: ignore[override]
        """Print the message on an invalid argument and exit with EXIT_USAGE."""
        print(f"{self.prog}: {message}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE)


def version() -> str:
    """The version of the installed package or, if it is not installed, the version in pyproject.toml."""
    try:
        return metadata.version("plumpick")
    except metadata.PackageNotFoundError:
        import tomllib
        from pathlib import Path

        project = Path(__file__).resolve().parent.parent / "pyproject.toml"
        return str(tomllib.loads(project.read_text(encoding="utf-8"))["project"]["version"])


def parser() -> argparse.ArgumentParser:  # noqa: PLR0915  (to be split by concern)
    """The argument parser with all sub-commands and their flags."""
    top = Parser(
        prog="plumpick", description="A gateway, and the tools to operate, rehearse and simulate it."
    )
    top.add_argument("--version", action="version", version=f"plumpick {version()}")
    tools = top.add_subparsers(dest="tool", required=True, parser_class=Parser)
    serve = tools.add_parser("serve", help="run one gateway, as `python -m plumpick` does")
    serve.set_defaults(run="serve")
    rehearse = tools.add_parser("rehearse", help="run a scenario with a whole fleet and check its history")
    rehearse.add_argument("scenario", nargs="?", default="calm", help="name of a shipped scenario, or a file")
    rehearse.add_argument("--seed", type=int, help="seed of the scenario's script")
    rehearse.add_argument("--plant", metavar="NAME", help="plant a bug that the check must report")
    rehearse.add_argument(
        "--report", metavar="DIR", help="folder for report.json, history.jsonl and report.html"
    )
    rehearse.add_argument("--brief", action="store_true", help="run only eight seconds of the scenario")
    rehearse.add_argument("--quiet", action="store_true", help="print no progress lines")
    rehearse.add_argument("--list", action="store_true", help="list the scenarios and the bugs for --plant")
    rehearse.set_defaults(run="rehearse")
    fleet = tools.add_parser("fleet", help="start a fleet and run it until Ctrl-C")
    fleet.add_argument("scenario", nargs="?", default="calm")
    fleet.add_argument("--seed", type=int)
    fleet.add_argument("--json", action="store_true", help="print addresses and processes as one JSON object")
    fleet.set_defaults(run="fleet")
    audit = tools.add_parser("audit", help="check a recorded history again")
    audit.add_argument("history", help="the recorded history, history.jsonl")
    audit.add_argument("--json", action="store_true", help="print rules and service as JSON")
    audit.set_defaults(run="audit")
    bounds = tools.add_parser("bounds", help="how far quotas and hard limits can be exceeded by the settings")
    bounds.add_argument("config", help="configuration file of a gateway")
    bounds.add_argument("--operator", metavar="FILE", help="operator's file; adds the bounds of its budgets")
    bounds.add_argument("--json", action="store_true", help="print JSON")
    bounds.add_argument("--spread", type=int, help="number of gateways in a customer's set (4, or all)")
    bounds.add_argument("--loss", type=float, default=0.08, help="ratio of lost messages (0.08)")
    bounds.add_argument("--restarts", type=int, default=1, help="restarts of a quota's owner in a window (1)")
    bounds.set_defaults(run="bounds")
    size = tools.add_parser("size", help="resources that a tier of a given size needs, against its limits")
    size.add_argument("file", help="sizes of the tier, TOML (deploy/target.toml explains each key)")
    size.add_argument("--json", action="store_true", help="print JSON")
    size.add_argument("--page", metavar="FILE", help="write the tables into this page (docs/CAPACITY.md)")
    size.set_defaults(run="size")
    counts = tools.add_parser("counts", help="totals of a whole tier, from the trace records of its gateways")
    counts.add_argument("folder", help="folder with a NAME.log of each gateway (plumpick.tools.traced)")
    counts.add_argument("--span", type=float, default=1000.0, metavar="MS", help="time span of a row (1000)")
    counts.add_argument("--json", action="store_true", help="print JSON")
    counts.set_defaults(run="counts")
    call = tools.add_parser("call", help="send an operator's command to a gateway")
    call.add_argument("address", help="management address of the gateway, host:port")
    call.add_argument("call", nargs="+", help="READY, DISABLE ID, ENABLE ID, DRAIN, DRAIN FLEET or UNDRAIN")
    call.set_defaults(run="call")
    duties = tools.add_parser("duties", help="leases and scheduled tasks of the fleet, as known to a gateway")
    duties.add_argument("address", help="management address of the gateway, host:port")
    duties.add_argument("--json", action="store_true", help="print JSON")
    duties.set_defaults(run="duties")
    budgets = tools.add_parser("budgets", help="what each gateway may spend of the fleet's budgets")
    budgets.add_argument("address", nargs="+", help="management addresses of gateways, host:port")
    budgets.add_argument("--json", action="store_true", help="print JSON")
    budgets.set_defaults(run="budgets")
    _configuration(tools.add_parser("configuration", help="versioned settings for running gateways"))
    explore = tools.add_parser("explore", help="check lease ownership in every order of events")
    explore.add_argument("--voters", type=int, choices=(2, 3), default=3, help="number of acceptors (3)")
    explore.add_argument("--depth", type=int, default=7, help="number of events in a history (7)")
    explore.add_argument(
        "--begin",
        default="held",
        help="initial situation: nothing, held, given, renewed-late or taken-again",
    )
    explore.add_argument("--states", type=int, default=3_000_000, help="maximum number of states to visit")
    for name, number in (("restarts", 1), ("doubles", 1), ("effects", 2), ("gives", 1)):
        explore.add_argument(
            f"--{name}", type=int, default=number, help=f"maximum number in a history ({number})"
        )
    explore.add_argument("--plant", metavar="NAME", help="plant this bug")
    explore.add_argument("--plants", action="store_true", help="list the bugs for --plant")
    explore.add_argument("--json", action="store_true", help="print JSON")
    explore.set_defaults(run="explore")
    simulate = tools.add_parser("simulate", help="simulate a fleet with seeded faults in virtual time")
    simulate.add_argument("--seeds", default="1-100", metavar="A-B", help="range of seeds to run (1-100)")
    simulate.add_argument("--seed", type=int, metavar="N", help="run this seed and print its events")
    simulate.add_argument("--replay", metavar="FILE", help="run a saved case")
    simulate.add_argument("--jobs", type=int, default=os.cpu_count() or 1, help="number of processes")
    simulate.add_argument(
        "--minutes", type=float, default=0.0, help="time after which no further seed is started"
    )
    simulate.add_argument("--seconds", type=float, default=30.0, help="virtual seconds of a seed (30)")
    simulate.add_argument(
        "--duties",
        type=int,
        default=0,
        metavar="N",
        help="number of scheduled tasks of the fleet; adds checks of the lease guarantees",
    )
    simulate.add_argument(
        "--budgets",
        type=int,
        default=0,
        choices=range(4),
        help="number of budgets of the fleet; adds a check of each unit spent",
    )
    simulate.add_argument("--out", metavar="DIR", help="folder for the summary and failing cases")
    simulate.add_argument(
        "--history", metavar="FILE", help="with --seed: file for the history, for `plumpick audit`"
    )
    simulate.add_argument("--shrink", action="store_true", help="minimize a failing case")
    simulate.add_argument(
        "--twice", action="store_true", help="run it twice and report the first step that differs"
    )
    simulate.set_defaults(run="simulate")
    return top


def _configuration(tool: argparse.ArgumentParser) -> None:
    steps = tool.add_subparsers(dest="step", required=True, parser_class=Parser)
    serve = steps.add_parser("serve", help="run a version service until SIGTERM")
    serve.add_argument("--listen", required=True, metavar="HOST:PORT", help="address of the service")
    publish = steps.add_parser("publish", help="publish the settings of a file as the next version")
    publish.add_argument("file", help="configuration file of a gateway, or only its settings")
    back = steps.add_parser("back", help="publish the settings of an older version as the next version")
    back.add_argument("--version", type=int, default=0, help="older version (the one before the newest)")
    for step in (publish, back):
        step.add_argument("--to", nargs="+", required=True, metavar="HOST:PORT", help="all version services")
        step.add_argument(
            "--in-force-in", type=float, default=3.0, metavar="S", help="seconds until it is in force (3)"
        )
    status = steps.add_parser("status", help="which gateways and services have which version")
    status.add_argument("to", nargs="+", metavar="HOST:PORT", help="all version services")
    tool.set_defaults(run="configuration")


def main(arguments: list[str] | None = None) -> int:  # noqa: C901  (to be split by concern)
    """Run the tool that the arguments name; returns its exit code."""
    try:
        options = parser().parse_args(arguments)
    except SystemExit as end:
        return int(end.code or 0)
    if options.run == "serve":
        from plumpick.__main__ import main as serve

        return serve()
    if options.run == "bounds":
        from plumpick.tools.bounds import bounds

        return bounds(options)
    if options.run == "size":
        from plumpick.tools.size import size

        return size(options)
    if options.run == "call":
        from plumpick.tools.call import call

        return call(options)
    if options.run == "budgets":
        from plumpick.tools.budgets import budgets

        return budgets(options)
    if options.run == "duties":
        from plumpick.tools.duties import duties

        return duties(options)
    if options.run == "configuration":
        from plumpick.tools.configuration import configuration

        return configuration(options)
    if options.run == "counts":
        from plumpick.tools.counts import counts

        return counts(options)
    try:
        if options.run == "simulate":
            from plumpick.simulation.commands import simulate

            return int(simulate(options))
        if options.run == "explore":
            from plumpick.simulation.exploration.commands import explore

            return explore(options)
        from plumpick.rehearsal import commands
    except ModuleNotFoundError as problem:
        if problem.name not in ("msgspec", "matplotlib"):
            raise
        print(f"plumpick: {problem.name} is not installed; the tools need plumpick[kit]", file=sys.stderr)
        return EXIT_USAGE
    return int(
        {"rehearse": commands.rehearse, "fleet": commands.fleet, "audit": commands.audit}[options.run](
            options
        )
    )


if __name__ == "__main__":
    sys.exit(main())
