"""What trials by real processes have in common: their arguments, playing them side by side, and quantiles."""

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
    """The arguments that all have."""
    flags = argparse.ArgumentParser(prog=f"python -m {name}", description=text)
    flags.add_argument("--trials", type=int, default=20)
    flags.add_argument("--seed", type=int, default=1, help="of the first; the next have the next")
    flags.add_argument("--gatekeepers", type=int, default=0, help="3, 5 or 7 in turn, if not named")
    flags.add_argument("--jobs", type=int, default=4, help="trials at a time")
    flags.add_argument("--cases", type=int, default=3, help="hard cases in a trial; 0: all")
    flags.add_argument("--only", nargs="*", help="these cases")
    flags.add_argument("--plant", choices=sorted(plants), help="with this bug")
    flags.add_argument("--plants", action="store_true", help="list the bugs")
    flags.add_argument("--json", action="store_true")
    return flags


def outcomes(given: argparse.Namespace, run: Callable[[tuple[Any, ...]], Any], *more: Any) -> Iterator[Any]:
    """What came of each, in the order of their seeds; `more` stands between the size and the cases."""
    with ProcessPoolExecutor(given.jobs) as pool:
        yield from pool.map(
            run,
            [
                (
                    given.seed + place,
                    given.gatekeepers or SIZES[place % len(SIZES)],
                    *more,
                    given.cases,
                    given.only,
                )
                for place in range(given.trials)
            ],
        )


def to_the_end(play: Callable[..., Coroutine[Any, Any, Any]], arguments: tuple[Any, ...]) -> Any:
    """A trial in a process of its own. A port that another trial took while a gatekeeper was down says
    nothing of the program: the trial is played again, and that is told."""
    for _ in range(2):
        try:
            return asyncio.run(play(*arguments))
        except StartFailed as problem:
            if "ddress already in use" not in str(problem):
                raise
            print(f"seed {arguments[0]}: played again, a port was taken", file=sys.stderr)
    return asyncio.run(play(*arguments))


def quantile(values: list[float], share: float) -> float:
    """The value that this share does not pass."""
    rows = sorted(values)
    return rows[min(len(rows) - 1, int(share * len(rows)))] if rows else float("nan")
