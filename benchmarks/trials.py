"""Shared parts of the trials with real processes: arguments, parallel execution and quantiles."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Callable, Coroutine, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from plumpick.rehearsal.supervisor import StartFailed

SIZES = (3, 5, 7)


def parser(name: str, text: str | None, plants: Iterable[str]) -> argparse.ArgumentParser:
    """Return a parser with the arguments that all trials have; `plants` are the names of injectable bugs."""
    argument_parser = argparse.ArgumentParser(prog=f"python -m {name}", description=text)
    argument_parser.add_argument("--trials", type=int, default=20)
    argument_parser.add_argument(
        "--seed", type=int, default=1, help="seed of the first trial; each further trial adds 1"
    )
    argument_parser.add_argument("--gatekeepers", type=int, default=0, help="default: 3, 5 and 7 by turns")
    argument_parser.add_argument("--jobs", type=int, default=4, help="number of parallel trials")
    argument_parser.add_argument(
        "--cases", type=int, default=3, help="number of fault cases in a trial; 0: all"
    )
    argument_parser.add_argument("--only", nargs="*", help="play only these cases")
    argument_parser.add_argument("--plant", choices=sorted(plants), help="inject this bug")
    argument_parser.add_argument("--plants", action="store_true", help="list the injectable bugs")
    argument_parser.add_argument("--json", action="store_true")
    return argument_parser


def outcomes(
    arguments: argparse.Namespace, run: Callable[[tuple[Any, ...]], Any], *extra_arguments: Any
) -> Iterator[Any]:
    """Run the trials in parallel; yield their results in the order of the seeds.

    `run` gets one tuple: seed, number of gateways, `extra_arguments`, number of cases, names of cases.
    """
    with ProcessPoolExecutor(arguments.jobs) as pool:
        yield from pool.map(
            run,
            [
                (
                    arguments.seed + index,
                    arguments.gatekeepers or SIZES[index % len(SIZES)],
                    *extra_arguments,
                    arguments.cases,
                    arguments.only,
                )
                for index in range(arguments.trials)
            ],
        )


def run_trial(play: Callable[..., Coroutine[Any, Any, Any]], arguments: tuple[Any, ...]) -> Any:
    """Run the coroutine function `play` with `arguments` and return its result.

    While a gateway is down, a parallel trial may take its port, which is not a fault of the program. A trial
    that fails so is repeated up to twice, with a message on stderr. Other start failures raise StartFailed.
    """
    for _ in range(2):
        try:
            return asyncio.run(play(*arguments))
        except StartFailed as problem:
            if "ddress already in use" not in str(problem):
                raise
            print(f"trial with seed {arguments[0]} is repeated: port already in use", file=sys.stderr)
    return asyncio.run(play(*arguments))


def quantile(values: list[float], fraction: float) -> float:
    """Return the quantile of `values` at `fraction` (0 to 1); NaN if there are no values."""
    rows = sorted(values)
    return rows[min(len(rows) - 1, int(fraction * len(rows)))] if rows else float("nan")
