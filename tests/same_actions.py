"""Prints digests of all events and actions in fixed histories: `python -m tests.same_actions [DIR]`.

Equal digests show that the compiled decision module acts like the plain Python one. With DIR the compiled
module in that directory is used. The histories are simulated worlds with several gateways, failing workers
and a release, and a list of malformed events."""

import hashlib
import math
import sys
from dataclasses import replace

from plumpick.gateway import compiled


def main():
    origin = (
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

    digest, faults = hashlib.sha256(), 0

    class RecordingRule:
        def __init__(self, settings, seed):
            self.controller = controller.Controller(settings, seed)

        def handle(self, now, events):
            nonlocal faults
            actions = self.controller.handle(now, events)
            faults += len(self.controller.faults)
            digest.update(repr((now, events, actions)).encode())
            return actions

    for failure, load, gateways in (
        (rig.Failure(), 0.6, 3),
        (rig.Failure("swallow", "everywhere", 0.1), 1.0, 3),
        (rig.Failure("release", "everywhere", 0.2), 0.8, 4),
        (rig.Failure("fast-error", "server"), 1.2, 2),
        (rig.Failure("liar", "hall"), 0.6, 8),
    ):
        rig.World(RecordingRule, failure, load, gateways, 9, 3, min(3, gateways)).play()

    normal, digest = (digest.hexdigest(), faults), hashlib.sha256()
    request = RequestReceived(1, "c", "seat-check", "plan", 3000.0)
    module = rig.World(RecordingRule, rig.Failure(), 0.5, 3, 3, 1).gateways[0].rule
    valid_message = module.controller.codec.encode(
        3, 1.0, [QuotaMessage(QuotaMessageKind.GRANT_REQUEST, 7, 1, 1.0, 2.0, 0, 0, 3)], []
    )
    malformed = [
        request,
        request,
        replace(request, id=2, deadline_ms=math.nan),
        replace(request, id=3, units=math.nan),
        replace(request, id=4, units="x"),
        replace(request, id=5, customer=None),
        replace(request, id=6, gateway_set_size=0),
        replace(request, id=7, gateway_set_size=-3, first_gateway=99),
        replace(request, id=8, class_name=None),
        replace(request, id=9, plan_name=7),
        replace(request, id="ten"),
        replace(request, id=11, deadline_ms="soon"),
        replace(request, id=12, deadline_ms=math.inf),
        replace(request, id=13, units=-1.0),
        replace(request, id=14, units=1e300),
        replace(request, id=15, first_gateway="a"),
        replace(request, id=16, is_client_retry=None),
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
        PeerMessageReceived(1, valid_message),
        PeerMessageReceived(1, b"\xff"),
        PeerMessageReceived(-1, valid_message),
        PeerMessageReceived("one", valid_message),
        PeerMessageReceived(1, None),
        PeerMessageReceived(1, "text"),
        TimerFired("agenda"),
        None,
        7,
        object,
    ]
    for position, event in enumerate(malformed):
        module.handle(1000.0 + 4 * position, [event])
        module.handle(1002.0 + 4 * position, [replace(request, id=100 + position, deadline_ms=4000.0), event])
    module.handle(9000.0, malformed)
    print(origin)
    print(normal[0], digest.hexdigest())
    print(normal[1], faults - normal[1])


if __name__ == "__main__":
    main()
