"""Permits for planned restarts."""

from support.lease_tier import Rig

from plumpick.policy.leases.events import (
    RestartPermitWanted,
)


def test_permits_bound_who_is_out_and_a_dead_holders_permit_becomes_free():
    rig = Rig(8, gateways=5, term_ms=2000, slots=2, restart_permits=2)
    rig.run(5000)
    for process in rig.processes:
        process.handle([RestartPermitWanted(True)])

    def out():
        return [p.number for p in rig.processes if p is not None and p.member.permits.held() is not None]

    for _ in range(200):
        rig.run(50)
        assert len(out()) <= 2
    first = out()
    assert len(first) == 2 and not rig.overlaps
    rig.kill(first[0])
    assert rig.until(lambda: len(out()) == 2, 8000) is not None
    rig.processes[first[1]].handle([RestartPermitWanted(False)])
    assert rig.until(lambda: len(out()) == 2 and first[1] not in out(), 4000) is not None
