"""What one process of a gateway passes to the next in a hot restart, so that both are one participant.

The keys are those of the landed format: an old process's state has to be read, too. `parse` raises
LeaseSnapshotError for a state that cannot be used, and then nothing has changed: the next process starts like
any other, and what was held ends by its time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from plumpick.policy.leases.acceptor import Acceptor, Grant, Owner
from plumpick.policy.leases.lease_holder import HeldLease, LeaseHolder
from plumpick.policy.leases.terms import LeaseTerms

SERIALS_SKIPPED = 1000  # the next process continues so much further: no response to the last one is its own


class LeaseSnapshotError(ValueError):
    """A state that cannot be used; the text gives the reason."""


@dataclass(frozen=True, slots=True)
class AcceptorSnapshot:
    """An acceptor's grants."""

    silent_until_ms: float
    grants: dict[int, Grant]
    highest_tokens: dict[int, int]
    releases: dict[int, tuple[Owner, int]]

    def restore(self, acceptor: Acceptor) -> None:
        """Let an acceptor continue from here."""
        acceptor.silent_until_ms = self.silent_until_ms
        acceptor.grants = self.grants
        acceptor.highest_tokens = self.highest_tokens
        acceptor.releases = self.releases


@dataclass(frozen=True, slots=True)
class ParticipantSnapshot:
    """What a participant continues from."""

    incarnation: int
    serial: int
    counter: int
    permit_wanted: bool
    held: dict[int, HeldLease]
    acceptor: AcceptorSnapshot | None

    def restore(self, holder: LeaseHolder) -> None:
        """Let a lease holder continue from here."""
        holder.incarnation = self.incarnation
        holder.serial = self.serial
        holder.held = self.held
        holder.observe_counter(self.counter)


def capture(
    terms: LeaseTerms, holder: LeaseHolder, permit_wanted: bool, acceptor: Acceptor | None
) -> dict[str, Any]:
    """A participant's state, for JSON."""
    state: dict[str, Any] = {
        "life": holder.incarnation,
        "serial": holder.serial,
        "counter": holder.counter,
        "digest": terms.digest,
        "turn": permit_wanted,
        "held": [
            [lease, f"{held.token:x}", held.requested_ms, held.acquired_ms]
            for lease, held in holder.held.items()
        ],
    }
    if acceptor is not None:
        state["voter"] = _capture_acceptor(acceptor)
    return state


def _capture_acceptor(acceptor: Acceptor) -> dict[str, Any]:
    return {
        "silent": acceptor.silent_until_ms,
        "grants": [
            [lease, f"{grant.token:x}", grant.serial, grant.expires_ms]
            for lease, grant in acceptor.grants.items()
        ],
        "highest": [[lease, f"{token:x}"] for lease, token in acceptor.highest_tokens.items()],
        "back": [[lease, *owner, serial] for lease, (owner, serial) in acceptor.releases.items()],
    }


def parse(terms: LeaseTerms, state: dict[str, Any]) -> ParticipantSnapshot:
    """The state that `capture` gave, under the same terms; raises LeaseSnapshotError."""
    try:
        if state["digest"] != terms.digest:
            raise ValueError("its settings of duties are not ours")
        return _parse(state)
    except (KeyError, TypeError, ValueError) as problem:
        text = f"duties: what the process before left cannot be used: {problem}"
        raise LeaseSnapshotError(text) from problem


def _parse(state: dict[str, Any]) -> ParticipantSnapshot:
    held = {
        int(lease): HeldLease(int(token, 16), float(requested_ms), float(acquired_ms))
        for lease, token, requested_ms, acquired_ms in state["held"]
    }
    rows = state.get("voter")
    return ParticipantSnapshot(
        incarnation=int(state["life"]),
        serial=int(state["serial"]) + SERIALS_SKIPPED,
        counter=int(state["counter"]),
        permit_wanted=bool(state["turn"]),
        held=held,
        acceptor=None if rows is None else _parse_acceptor(rows),
    )


def _parse_acceptor(rows: dict[str, Any]) -> AcceptorSnapshot:
    return AcceptorSnapshot(
        silent_until_ms=float(rows["silent"]),
        grants={
            int(lease): Grant(int(token, 16), int(serial), float(expires_ms))
            for lease, token, serial, expires_ms in rows["grants"]
        },
        highest_tokens={int(lease): int(token, 16) for lease, token in rows["highest"]},
        releases={
            int(lease): ((int(gateway), int(incarnation)), int(serial))
            for lease, gateway, incarnation, serial in rows["back"]
        },
    )
