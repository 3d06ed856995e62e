"""Bugs planted in the program as it runs, each a way in which ownership can be got wrong; the trials must
find them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from plumpick.policy.leases import participant
from plumpick.policy.leases.lease_holder import LeaseHolder
from plumpick.policy.leases.terms import LeaseTerms
from plumpick.simulation.exploration import leases


def _voter(bug: type[Any]) -> Callable[[], None]:
    return lambda: setattr(participant, "Acceptor", bug)


def _holder(bug: type[Any]) -> Callable[[], None]:
    return lambda: setattr(participant, "LeaseHolder", bug)


def _looks_never() -> None:
    """An effect goes out though the clock says that its lease has ended."""
    from plumpick.gateway.cluster.lease_runner import LeaseRunner

    def may_act(self: Any, slot: int, token: int) -> bool:
        return slot in self.participant.holder.held

    LeaseRunner._may_act = may_act  # type: ignore[method-assign]


def _never_outdoes() -> None:
    """What a receiver says of larger tokens is not heard, and tokens begin at nothing."""
    LeaseHolder.on_larger_token = lambda self, *_: None  # type: ignore[method-assign]


def _alone() -> None:
    """One voter's word is enough."""
    LeaseTerms.quorum = property(lambda self: 1)  # type: ignore[assignment, misc]


PLANTS: dict[str, Callable[[], None]] = {
    "forgets-silence": _voter(leases.ForgetsSilence),
    "counts-from-answer": _holder(leases.CountsFromAnswer),
    "believes-late-answers": _holder(leases.BelievesLateAnswers),
    "believes-late-gives": _voter(leases.BelievesLateGives),
    "looks-never": _looks_never,
    "never-outdoes": _never_outdoes,
}
CASE_OF = {
    "forgets-silence": "amnesia",
    "counts-from-answer": "slow-answers",
    "believes-late-answers": "slow-answers",
    "believes-late-gives": "turns",
    "looks-never": "stops-before-the-look",
    "never-outdoes": "all-die",
}  # made for it
WITHOUT: dict[str, Callable[[], None]] = {"quorum": _alone}


def plant(name: str) -> None:
    """Plant it in this process; raises KeyError."""
    (PLANTS | {f"without-{one}": what for one, what in WITHOUT.items()})[name]()
