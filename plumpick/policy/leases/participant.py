"""One gateway's participation in the leases, as acceptor and holder: events in, actions out.

The entry point is `LeaseParticipant.handle(now_ms, events) -> actions`; `due_ms` is the time at which it must
be called again. `now_ms` is read from a clock that keeps running while the machine or the process is
suspended. `handle` first drops expired leases, then handles the events, then performs what is due. No message
of a peer causes an exception: malformed messages are dropped."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from plumpick.policy.leases import snapshot
from plumpick.policy.leases.acceptor import Acceptor
from plumpick.policy.leases.actions import (
    Action,
    DeliverPayload,
    DenialReason,
    LeaseAcquired,
    LeaseChange,
    LeaseDenied,
    LeaseLost,
    LossReason,
    SendMessage,
    WriteLog,
)
from plumpick.policy.leases.clock_rates import ClockRateChange, ClockRateMonitor, ClockSample
from plumpick.policy.leases.codec import LeaseVote, Message, MessageKind, Vote, decode, encode
from plumpick.policy.leases.events import (
    Event,
    LargerTokenSeen,
    MessageReceived,
    ReleaseRequested,
    RestartPermitWanted,
    ShutdownStarted,
)
from plumpick.policy.leases.lease_holder import LeaseHolder, LeaseRequest
from plumpick.policy.leases.nomination import Nominator, heartbeat_interval_ms
from plumpick.policy.leases.release_retransmission import ReleaseRetransmission
from plumpick.policy.leases.restart_permits import RestartPermits
from plumpick.policy.leases.terms import LeaseTerms, token_counter

MAX_FIRST_HEARTBEAT_MS = 500.0  # maximum time from the start to the first heartbeat
HEARTBEAT_JITTER_RATIO = (0.9, 1.1)  # range of the random factor of the heartbeat interval


class LeaseParticipant:
    """Combines one gateway's lease holder, acceptor, nominator, restart permits and clock monitor. Keeps one
    entry for each peer whose lease terms differ from those of this gateway."""

    def __init__(
        self,
        terms: LeaseTerms,
        gateway: int,
        gateways: int,
        incarnation: int,
        rng: Random,
        now_ms: float,
        unix_ms: float,
        accepts: bool = True,
    ) -> None:
        """`unix_ms`: the wall clock, as the initial value of token counters; no guarantee depends on it.
        `accepts`: whether to be an acceptor from the start; otherwise only after `become_acceptor`."""
        self.terms = terms
        self.gateway = gateway
        self.incarnation = incarnation
        self._gateways = gateways
        self._rng = rng
        self.holder = LeaseHolder(terms, gateway, incarnation, int(unix_ms))
        self.acceptor: Acceptor | None = None
        self._nominator: Nominator | None = None
        if accepts:
            self.become_acceptor(now_ms)
        self._clock_rates = ClockRateMonitor(terms.drift_ratio)
        self.permits = RestartPermits(terms, self.holder, rng)
        self._releases = ReleaseRetransmission(self._send_release)
        self.shutting_down = False
        self.closed = False
        first_heartbeat_ms = min(MAX_FIRST_HEARTBEAT_MS, heartbeat_interval_ms(gateways))
        self._heartbeat_ms = now_ms + rng.uniform(0, first_heartbeat_ms)
        self._peers_with_other_terms: set[int] = set()
        self._actions: list[Action] = []
        # Reason of the last loss or denial of each lease that this process does not hold, by lease.
        self.not_held_reasons: dict[int, LossReason | DenialReason] = {}
        self.due_ms = now_ms

    def become_acceptor(self, now_ms: float) -> None:
        """Become an acceptor, if the terms name this gateway as one. As after any start of an acceptor, it
        grants nothing at first."""
        if self.gateway in self.terms.acceptors and self.acceptor is None:
            self.acceptor = Acceptor(self.terms, now_ms)
            self._nominator = Nominator(self.terms, self._gateways, now_ms)

    # -- processing of events

    def handle(self, now_ms: float, events: Iterable[Event] = ()) -> list[Action]:
        """Handle events and timers. Return the actions to perform, in order; none after `capture`."""
        self._actions = []
        if self.closed:
            return []
        self.holder.expire(now_ms)
        self._flush(now_ms)  # report losses of expired leases before all effects of the events
        for event in events:
            self._on_event(now_ms, event)
        self._on_timer(now_ms)
        self._flush(now_ms)
        self.due_ms = self._next_due_ms(now_ms)
        return self._actions

    def _on_event(self, now_ms: float, event: Event) -> None:
        match event:
            case MessageReceived():
                self._on_datagram(now_ms, event)
            case ReleaseRequested():
                self.holder.release(event.lease)
            case LargerTokenSeen():
                self.holder.on_larger_token(now_ms, event.lease, token_counter(event.token))
            case RestartPermitWanted():
                self.permits.set_wanted(now_ms, event.wanted)
            case ShutdownStarted():
                self.shutting_down = True
                self._heartbeat_ms = now_ms

    def _on_datagram(self, now_ms: float, event: MessageReceived) -> None:
        message = decode(event.data)
        if message is None or not 0 <= event.sender < self._gateways:
            return
        if message.terms_digest != self.terms.digest:
            self._report_other_terms(event.sender)
            return
        self._peers_with_other_terms.discard(event.sender)
        self._on_message(now_ms, event.sender, message)

    def _report_other_terms(self, sender: int) -> None:
        if sender in self._peers_with_other_terms:
            return
        self._peers_with_other_terms.add(sender)
        text = (
            f"duties: gatekeeper {sender} has other settings of duties or budgets than this one; its "
            "messages are ignored"
        )
        self._actions.append(WriteLog(text))

    # -- received messages

    def _on_message(self, now_ms: float, sender: int, message: Message) -> None:
        match message.kind:
            case MessageKind.PAYLOAD:
                self._actions.append(DeliverPayload(sender, message.incarnation, message.payload))
            case MessageKind.RESPONSE:
                self._on_response(now_ms, sender, message)
            case MessageKind.NOMINATE:
                self._on_nomination(now_ms, sender, message)
            case _:
                if self.acceptor is not None and self._nominator is not None:
                    self._on_acceptor_message(now_ms, sender, message, self.acceptor, self._nominator)

    def _on_acceptor_message(
        self, now_ms: float, sender: int, message: Message, acceptor: Acceptor, nominator: Nominator
    ) -> None:
        match message.kind:
            case MessageKind.HEARTBEAT:
                shutting_down = bool(message.serial)
                nominator.on_heartbeat(now_ms, sender, message.incarnation, shutting_down)
            case MessageKind.RELEASE:
                for lease, _ in message.requested:
                    acceptor.on_release(lease, (sender, message.incarnation), message.serial)
            case MessageKind.REQUEST:
                self._on_request(now_ms, sender, message, acceptor, nominator)

    def _on_request(
        self, now_ms: float, sender: int, message: Message, acceptor: Acceptor, nominator: Nominator
    ) -> None:
        owner = (sender, message.incarnation)
        votes = []
        for lease, counter in message.requested:
            vote = acceptor.on_request(now_ms, lease, owner, counter, message.serial)
            if vote is None:
                continue
            if vote.vote is Vote.GRANTED:
                vote = vote._replace(flag=nominator.prefers_other(now_ms, lease, sender))
            votes.append(vote)
        if votes:
            self._send(
                now_ms,
                sender,
                MessageKind.RESPONSE,
                message.serial,
                to_incarnation=message.incarnation,
                votes=tuple(votes),
            )

    def _on_nomination(self, now_ms: float, sender: int, message: Message) -> None:
        if self.shutting_down or sender not in self.terms.acceptors:
            return
        self.holder.acquire(now_ms, [lease for lease, _ in message.requested if lease < self.terms.slots])

    def _on_response(self, now_ms: float, sender: int, message: Message) -> None:
        request = self.holder.on_response(now_ms, sender, message)
        if request is None or sender == self.gateway:
            return
        sample = ClockSample(message.incarnation, request.requested_ms, now_ms, message.clock_ms)
        change = self._clock_rates.observe(sender, sample)
        if change is ClockRateChange.DIVERGED:
            text = (
                f"duties: the clocks of gatekeeper {sender} and this one drift apart by more than "
                f"{self.terms.drift_ratio:.1%} each; a duty may have two owners at a time"
            )
            self._actions.append(WriteLog(text, is_warning=True))
        elif change is ClockRateChange.CONVERGED:
            text = f"duties: the clocks of gatekeeper {sender} and this one are within the agreed drift again"
            self._actions.append(WriteLog(text, is_warning=False))

    # -- processing of timers

    def _on_timer(self, now_ms: float) -> None:
        self.holder.on_timer(now_ms)
        if self.acceptor is not None and self._nominator is not None:
            self._nominate(now_ms, self.acceptor, self._nominator)
        self._releases.on_timer(now_ms)
        self.permits.on_timer(now_ms)
        if now_ms >= self._heartbeat_ms:
            self._send_heartbeats(now_ms)

    def _nominate(self, now_ms: float, acceptor: Acceptor, nominator: Nominator) -> None:
        for gateway, incarnation in acceptor.expire_grants(now_ms):
            nominator.on_grant_expired(gateway, incarnation)
        nominations = nominator.nominate(now_ms, acceptor.free_slots(now_ms))
        for gateway, slots in nominations.items():
            requested = tuple((slot, 0) for slot in slots)
            self._send(now_ms, gateway, MessageKind.NOMINATE, 0, requested=requested)

    def _send_heartbeats(self, now_ms: float) -> None:
        jitter = self._rng.uniform(*HEARTBEAT_JITTER_RATIO)
        self._heartbeat_ms = now_ms + heartbeat_interval_ms(self._gateways) * jitter
        for acceptor in self.terms.acceptors:
            self._send(now_ms, acceptor, MessageKind.HEARTBEAT, int(self.shutting_down))

    def _next_due_ms(self, now_ms: float) -> float:
        times = [
            self.holder.next_due_ms(),
            self._heartbeat_ms,
            self.permits.next_due_ms,
            self._releases.next_due_ms(),
        ]
        if self.acceptor is not None and self._nominator is not None:
            times.append(self.acceptor.next_due_ms(now_ms))
            times.append(self._nominator.next_due_ms())
        return min(times)

    # -- sent messages

    def _flush(self, now_ms: float) -> None:
        """Turn the changes and messages queued by the lease holder into actions. Repeats while there are any,
        because the response of this gateway's own acceptor may queue more."""
        holder = self.holder
        while holder.to_send or holder.to_release or holder.changes:
            changes = holder.changes
            holder.changes = []
            for change in changes:
                self._report(change)
            releases = holder.releasable()
            holder.to_release = {}
            if releases:
                holder.serial += 1
                self._releases.send(now_ms, holder.serial, tuple(releases))
            requests = holder.to_send
            holder.to_send = []
            for request in requests:
                self._send_request(now_ms, request)

    def _report(self, change: LeaseChange) -> None:
        if isinstance(change, LeaseAcquired):
            self.not_held_reasons.pop(change.lease, None)
        elif isinstance(change, LeaseLost | LeaseDenied):
            self.not_held_reasons[change.lease] = change.reason
        self._actions.append(change)

    def _send_release(self, now_ms: float, serial: int, leases: tuple[int, ...]) -> None:
        requested = tuple((lease, 0) for lease in leases)
        for acceptor in self.terms.acceptors:
            self._send(now_ms, acceptor, MessageKind.RELEASE, serial, requested=requested)

    def _send_request(self, now_ms: float, request: LeaseRequest) -> None:
        for acceptor in self.terms.acceptors:
            rows = self.holder.missing_grants(request, acceptor)
            if rows:
                requested = tuple(rows.items())
                self._send(now_ms, acceptor, MessageKind.REQUEST, request.serial, requested=requested)

    def payload_message(self, now_ms: float, receiver: int, payload: bytes) -> SendMessage:
        """Return the action that sends data of a scheduled task or a budget, of up to
        codec.MAX_PAYLOAD_BYTES."""
        message = Message(
            MessageKind.PAYLOAD, self.terms.digest, self.incarnation, 0, int(now_ms), payload=payload
        )
        return SendMessage(receiver, encode(message))

    def _send(
        self,
        now_ms: float,
        receiver: int,
        kind: MessageKind,
        serial: int,
        to_incarnation: int = 0,
        requested: tuple[tuple[int, int], ...] = (),
        votes: tuple[LeaseVote, ...] = (),
    ) -> None:
        """Send a message to a gateway; a message to this gateway itself is handled immediately."""
        message = Message(
            kind,
            self.terms.digest,
            self.incarnation,
            serial,
            int(now_ms) & 0xFFFFFFFF,
            to_incarnation,
            requested,
            votes,
        )
        if receiver == self.gateway:
            self._on_message(now_ms, receiver, message)
        else:
            self._actions.append(SendMessage(receiver, encode(message)))

    # -- state for a hot restart

    def capture(self) -> dict[str, Any]:
        """Return the state for the next process of a hot restart. Afterwards this participant holds no lease,
        and sends and handles nothing, so that no lease is held by both processes, whatever happens to the
        state."""
        state = snapshot.capture(self.terms, self.holder, self.permits.wanted, self.acceptor)
        self.closed = True
        return state

    def restore(self, now_ms: float, state: dict[str, Any], accepts: bool = True) -> None:
        """Continue from a state captured by the previous process. `accepts`: whether to restore the acceptor,
        too.

        Raises LeaseSnapshotError if the state cannot be used, and then changes nothing."""
        captured = snapshot.parse(self.terms, state)
        self.incarnation = captured.incarnation
        captured.restore(self.holder)
        if accepts and self.acceptor is not None and captured.acceptor is not None:
            captured.acceptor.restore(self.acceptor)
        self.permits.set_wanted(now_ms, captured.permit_wanted)
