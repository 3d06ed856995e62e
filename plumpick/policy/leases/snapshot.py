"""The lease state that a process passes to the next one in a hot restart, so that both act as one
participant.

The keys are part of a stable format, because states of older versions must remain readable. `parse` raises
LeaseSnapshotError for an unusable state without changing anything: the next process then starts without a
state, and the leases of the previous process expire."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from plumpick.policy.leases.acceptor import Acceptor, Grant, Owner
from plumpick.policy.leases.lease_holder import HeldLease, LeaseHolder
from plumpick.policy.leases.terms import LeaseTerms

# Number of serial numbers skipped by the next process, so that it accepts no response to the previous
# process.
SERIALS_SKIPPED = 1000


class LeaseSnapshotError(ValueError):
    """A lease state of the previous process cannot be used; the text states the reason."""


@dataclass(frozen=True, slots=True)
class AcceptorSnapshot:
    """The state of one acceptor: its grants, largest tokens and last releases, by lease."""

    startup_wait_until_ms: float
    grants: dict[int, Grant]
    highest_tokens: dict[int, int]
    releases: dict[int, tuple[Owner, int]]

    def restore(self, acceptor: Acceptor) -> None:
        """Replace the state of an acceptor with this snapshot."""
        acceptor.startup_wait_until_ms = self.startup_wait_until_ms
        acceptor.grants = self.grants
        acceptor.highest_tokens = self.highest_tokens
        acceptor.releases = self.releases


@dataclass(frozen=True, slots=True)
class ParticipantSnapshot:
    """The state of one lease participant: its held leases and, if it is an acceptor, the acceptor's state."""

    incarnation: int
    serial: int
    counter: int
    permit_wanted: bool
    held: dict[int, HeldLease]
    acceptor: AcceptorSnapshot | None

    def restore(self, holder: LeaseHolder) -> None:
        """Replace the state of a lease holder with this snapshot."""
        holder.incarnation = self.incarnation
        holder.serial = self.serial
        holder.held = self.held
        holder.observe_counter(self.counter)


def capture(
    terms: LeaseTerms, holder: LeaseHolder, permit_wanted: bool, acceptor: Acceptor | None
) -> dict[str, Any]:
    """Return the state of a lease participant as values that can be encoded as JSON."""
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
        "silent": acceptor.startup_wait_until_ms,
        "grants": [
            [lease, f"{grant.token:x}", grant.serial, grant.expires_ms]
            for lease, grant in acceptor.grants.items()
        ],
        "highest": [[lease, f"{token:x}"] for lease, token in acceptor.highest_tokens.items()],
        "back": [[lease, *owner, serial] for lease, (owner, serial) in acceptor.releases.items()],
    }


def parse(terms: LeaseTerms, state: dict[str, Any]) -> ParticipantSnapshot:
    """Parse a state that `capture` returned. Raises LeaseSnapshotError if it is malformed or was captured
    under other terms."""
    try:
        if state["digest"] != terms.digest:
            raise ValueError("it was captured under other settings of duties")
        return _parse(state)
    except (KeyError, TypeError, ValueError) as problem:
        text = f"duties: the state of the previous process cannot be used: {problem}"
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
        startup_wait_until_ms=float(rows["silent"]),
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
