"""Plays fixed histories and prints a digest of all events and actions: `python -m tests.same_actions [DIR]`.

With DIR the compiled decisions in it serve. The histories are those of the study rig's worlds (several
gateways, servers that fail in several ways, a release) and hostile events."""

import hashlib
import math
import sys
from dataclasses import replace

from plumpick.gateway import compiled


def main():
    which = (
        compiled.use_compiled_files(compiled.Path(sys.argv[1]))
        if len(sys.argv) > 1
        else "decisions: plain Python"
    )
    from benchmarks.gray import world as rig
    from plumpick.policy import controller
    from plumpick.policy.events import (
        AttemptCompleted,
        AttemptResult,
        Endpoint,
        EndpointState,
        EndpointsUpdated,
        PeerMessageReceived,
        RequestReceived,
        TimerFired,
    )
    from plumpick.policy.peer_messages import QuotaMessage, QuotaMessageKind

    text, faults = hashlib.sha256(), 0

    class Told:
        def __init__(self, settings, seed):
            self.controller = controller.Controller(settings, seed)

        def handle(self, now, events):
            nonlocal faults
            actions = self.controller.handle(now, events)
            faults += len(self.controller.faults)
            text.update(repr((now, events, actions)).encode())
            return actions

    for failure, load, gateways in (
        (rig.Failure(), 0.6, 3),
        (rig.Failure("swallow", "everywhere", 0.1), 1.0, 3),
        (rig.Failure("release", "everywhere", 0.2), 0.8, 4),
        (rig.Failure("fast-error", "server"), 1.2, 2),
        (rig.Failure("liar", "hall"), 0.6, 8),
    ):
        rig.World(Told, failure, load, gateways, 9, 3, min(3, gateways)).play()

    worlds, text = (text.hexdigest(), faults), hashlib.sha256()
    one = RequestReceived(1, "c", "seat-check", "plan", 3000.0)
    own = rig.World(Told, rig.Failure(), 0.5, 3, 3, 1).gateways[0].rule
    good = own.controller.codec.encode(
        3, 1.0, [QuotaMessage(QuotaMessageKind.GRANT_REQUEST, 7, 1, 1.0, 2.0, 0, 0, 3)], []
    )
    hostile = [
        one,
        one,
        replace(one, id=2, deadline_ms=math.nan),
        replace(one, id=3, units=math.nan),
        replace(one, id=4, units="x"),
        replace(one, id=5, customer=None),
        replace(one, id=6, gateway_set_size=0),
        replace(one, id=7, gateway_set_size=-3, first_gateway=99),
        replace(one, id=8, class_name=None),
        replace(one, id=9, plan_name=7),
        replace(one, id="ten"),
        replace(one, id=11, deadline_ms="soon"),
        replace(one, id=12, deadline_ms=math.inf),
        replace(one, id=13, units=-1.0),
        replace(one, id=14, units=1e300),
        replace(one, id=15, first_gateway="a"),
        replace(one, id=16, is_client_retry=None),
        EndpointsUpdated(
            (
                Endpoint("s0", "hall-a", 0, EndpointState.READY),
                Endpoint("s0", "hall-b", 1, EndpointState.READY),
            )
        ),
        EndpointsUpdated((Endpoint("s1", "hall-a", 0, "ready"),)),
        EndpointsUpdated(None),
        EndpointsUpdated((Endpoint("s2", None, "x", None, "w", None),)),
        AttemptCompleted(1, 0, "s0", math.nan, AttemptResult.OK, True),
        AttemptCompleted(1, 0, "s0", "late", AttemptResult.OK, True),
        AttemptCompleted(99, 0, "s0", 1.0, AttemptResult.OK, True),
        AttemptCompleted(1, "0", "s0", 1.0, None, True, load_report=("a",)),
        AttemptCompleted(12, 0, "s0", 5.0, AttemptResult.OK, True, load_report=(math.nan, math.inf)),
        PeerMessageReceived(1, good),
        PeerMessageReceived(1, b"\xff"),
        PeerMessageReceived(-1, good),
        PeerMessageReceived("one", good),
        PeerMessageReceived(1, None),
        PeerMessageReceived(1, "text"),
        TimerFired("agenda"),
        None,
        7,
        object,
    ]
    for place, event in enumerate(hostile):
        own.handle(1000.0 + 4 * place, [event])
        own.handle(1002.0 + 4 * place, [replace(one, id=100 + place, deadline_ms=4000.0), event])
    own.handle(9000.0, hostile)
    print(which)
    print(worlds[0], text.hexdigest())
    print(worlds[1], faults - worlds[1])


if __name__ == "__main__":
    main()
