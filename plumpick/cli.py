"""The command line: `plumpick NAME` runs a tool. `python -m plumpick` alone is the daemon, and imports none
of it.

Each tool is imported only when it is called.
"""

from __future__ import annotations

import argparse
import os
import sys
from importlib import metadata

EXIT_HELD, EXIT_BROKEN, EXIT_USAGE, EXIT_SLOW, EXIT_INTERRUPTED = 0, 1, 2, 3, 130


class Parser(argparse.ArgumentParser):
    """One line for what is wrong with the call, and exit code 2."""

    def error(self, message: str) -> None:  # type: ignore[override]
        """Print the message and end with the exit code of a wrong call."""
        print(f"{self.prog}: {message}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE)


def version() -> str:
    """The version as installed, or as the checkout says."""
    try:
        return metadata.version("plumpick")
    except metadata.PackageNotFoundError:
        import tomllib
        from pathlib import Path

        project = Path(__file__).resolve().parent.parent / "pyproject.toml"
        return str(tomllib.loads(project.read_text(encoding="utf-8"))["project"]["version"])


def parser() -> argparse.ArgumentParser:  # noqa: PLR0915  (to be split by concern)
    """All sub-commands and their flags."""
    top = Parser(prog="plumpick", description="A gatekeeper, and the kit to rehearse with it.")
    top.add_argument("--version", action="version", version=f"plumpick {version()}")
    tools = top.add_subparsers(dest="tool", required=True, parser_class=Parser)
    serve = tools.add_parser("serve", help="run one gatekeeper, as `python -m plumpick` does")
    serve.set_defaults(run="serve")
    rehearse = tools.add_parser("rehearse", help="play a scenario with a whole fleet and judge it")
    rehearse.add_argument("scenario", nargs="?", default="calm", help="a shipped scenario, or a file")
    rehearse.add_argument("--seed", type=int, help="the same seed plays the same script")
    rehearse.add_argument("--plant", metavar="NAME", help="let a relay do what must never happen")
    rehearse.add_argument(
        "--report", metavar="DIR", help="write report.json, history.jsonl and report.html there"
    )
    rehearse.add_argument("--brief", action="store_true", help="eight seconds of it")
    rehearse.add_argument("--quiet", action="store_true", help="no live lines")
    rehearse.add_argument("--list", action="store_true", help="list scenarios and plants")
    rehearse.set_defaults(run="rehearse")
    fleet = tools.add_parser("fleet", help="start a fleet and leave it up until Ctrl-C")
    fleet.add_argument("scenario", nargs="?", default="calm")
    fleet.add_argument("--seed", type=int)
    fleet.add_argument("--json", action="store_true", help="print addresses and processes as one JSON object")
    fleet.set_defaults(run="fleet")
    audit = tools.add_parser("audit", help="judge a history again")
    audit.add_argument("history")
    audit.add_argument("--json", action="store_true", help="print rules and service as JSON")
    audit.set_defaults(run="audit")
    bounds = tools.add_parser("bounds", help="how far quotas and ceilings can be passed, by a configuration")
    bounds.add_argument("config", help="a gatekeeper's configuration")
    bounds.add_argument("--operator", metavar="FILE", help="the operator's own file: its budgets, too")
    bounds.add_argument("--json", action="store_true", help="print it as JSON")
    bounds.add_argument("--spread", type=int, help="gatekeepers of a firm's set (4, or all)")
    bounds.add_argument("--loss", type=float, default=0.08, help="share of messages lost (0.08)")
    bounds.add_argument("--restarts", type=int, default=1, help="of a home within a window (1)")
    bounds.set_defaults(run="bounds")
    size = tools.add_parser("size", help="what a tier of the sizes in a form takes, against its limits")
    size.add_argument("file", help="the form, TOML (deploy/target.toml explains each key)")
    size.add_argument("--json", action="store_true", help="print it as JSON")
    size.add_argument("--page", metavar="FILE", help="write the tables into this page (docs/CAPACITY.md)")
    size.set_defaults(run="size")
    counts = tools.add_parser("counts", help="add up what a whole tier did, from its gatekeepers' records")
    counts.add_argument("folder", help="with a NAME.log of each gatekeeper (plumpick.tools.traced)")
    counts.add_argument("--span", type=float, default=1000.0, metavar="MS", help="a row for so long (1000)")
    counts.add_argument("--json", action="store_true", help="print it as JSON")
    counts.set_defaults(run="counts")
    call = tools.add_parser("call", help="an operator's call to a gatekeeper")
    call.add_argument("address", help="its management address, host:port")
    call.add_argument("call", nargs="+", help="READY, DISABLE ID, ENABLE ID, DRAIN, DRAIN FLEET or UNDRAIN")
    call.set_defaults(run="call")
    duties = tools.add_parser("duties", help="who holds which duty of the fleet, as a gatekeeper knows it")
    duties.add_argument("address", help="its management address, host:port")
    duties.add_argument("--json", action="store_true", help="print it as JSON")
    duties.set_defaults(run="duties")
    budgets = tools.add_parser("budgets", help="what gatekeepers may spend of the fleet's budgets")
    budgets.add_argument("address", nargs="+", help="management addresses, host:port")
    budgets.add_argument("--json", action="store_true", help="print it as JSON")
    budgets.set_defaults(run="budgets")
    _configuration(tools.add_parser("configuration", help="settings for running gatekeepers, by versions"))
    explore = tools.add_parser("explore", help="play ownership through every order of events")
    explore.add_argument("--voters", type=int, choices=(2, 3), default=3)
    explore.add_argument("--depth", type=int, default=7, help="moves (7)")
    explore.add_argument(
        "--begin",
        default="held",
        help="what has passed before: nothing, held, given, renewed-late or taken-again",
    )
    explore.add_argument("--states", type=int, default=3_000_000, help="end after so many")
    for name, number in (("restarts", 1), ("doubles", 1), ("effects", 2), ("gives", 1)):
        explore.add_argument(f"--{name}", type=int, default=number, help=f"in a history at most ({number})")
    explore.add_argument("--plant", metavar="NAME", help="with this bug")
    explore.add_argument("--plants", action="store_true", help="list the bugs")
    explore.add_argument("--json", action="store_true")
    explore.set_defaults(run="explore")
    simulate = tools.add_parser("simulate", help="play seeded faults on a virtual clock and network")
    simulate.add_argument("--seeds", default="1-100", metavar="A-B", help="play these (1-100)")
    simulate.add_argument("--seed", type=int, metavar="N", help="play this one and tell its story")
    simulate.add_argument("--replay", metavar="FILE", help="play a saved case")
    simulate.add_argument("--jobs", type=int, default=os.cpu_count() or 1, help="processes")
    simulate.add_argument("--minutes", type=float, default=0.0, help="begin no seed after so long")
    simulate.add_argument("--seconds", type=float, default=30.0, help="virtual seconds of a seed")
    simulate.add_argument(
        "--duties",
        type=int,
        default=0,
        metavar="N",
        help="with so many duties of the fleet, judged by the promises of ownership",
    )
    simulate.add_argument(
        "--budgets",
        type=int,
        default=0,
        choices=range(4),
        help="with so many budgets of the fleet, judged at each unit spent",
    )
    simulate.add_argument("--out", metavar="DIR", help="write the summary and failing cases there")
    simulate.add_argument(
        "--history", metavar="FILE", help="with --seed: write the records, for `plumpick audit`"
    )
    simulate.add_argument("--shrink", action="store_true", help="cut a failing case down")
    simulate.add_argument(
        "--twice", action="store_true", help="play it twice and find the first step that differs"
    )
    simulate.set_defaults(run="simulate")
    return top


def _configuration(tool: argparse.ArgumentParser) -> None:
    steps = tool.add_subparsers(dest="step", required=True, parser_class=Parser)
    serve = steps.add_parser("serve", help="a service of versions, until SIGTERM")
    serve.add_argument("--listen", required=True, metavar="HOST:PORT")
    publish = steps.add_parser("publish", help="a file's settings become the next version")
    publish.add_argument("file", help="a gatekeeper's configuration, or its settings alone")
    back = steps.add_parser("back", help="an older version's content becomes the next version")
    back.add_argument("--version", type=int, default=0, help="which (the one before the newest)")
    for step in (publish, back):
        step.add_argument("--to", nargs="+", required=True, metavar="HOST:PORT", help="all services")
        step.add_argument("--in-force-in", type=float, default=3.0, metavar="S", help="seconds from now (3)")
    status = steps.add_parser("status", help="who has which version, and who lacks the newest")
    status.add_argument("to", nargs="+", metavar="HOST:PORT", help="all services")
    tool.set_defaults(run="configuration")


def main(arguments: list[str] | None = None) -> int:  # noqa: C901  (to be split by concern)
    """Run a tool; the answer is its exit code."""
    try:
        given = parser().parse_args(arguments)
    except SystemExit as end:
        return int(end.code or 0)
    if given.run == "serve":
        from plumpick.__main__ import main as serve

        return serve()
    if given.run == "bounds":
        from plumpick.tools.bounds import bounds

        return bounds(given)
    if given.run == "size":
        from plumpick.tools.size import size

        return size(given)
    if given.run == "call":
        from plumpick.tools.call import call

        return call(given)
    if given.run == "budgets":
        from plumpick.tools.budgets import budgets

        return budgets(given)
    if given.run == "duties":
        from plumpick.tools.duties import duties

        return duties(given)
    if given.run == "configuration":
        from plumpick.tools.configuration import configuration

        return configuration(given)
    if given.run == "counts":
        from plumpick.tools.counts import counts

        return counts(given)
    try:
        if given.run == "simulate":
            from plumpick.simulation.commands import simulate

            return int(simulate(given))
        if given.run == "explore":
            from plumpick.simulation.exploration.commands import explore

            return explore(given)
        from plumpick.rehearsal import commands
    except ModuleNotFoundError as problem:
        if problem.name not in ("msgspec", "matplotlib"):
            raise
        print(f"plumpick: {problem.name} is not installed; the tools need plumpick[kit]", file=sys.stderr)
        return EXIT_USAGE
    return int(
        {"rehearse": commands.rehearse, "fleet": commands.fleet, "audit": commands.audit}[given.run](given)
    )


if __name__ == "__main__":
    sys.exit(main())
