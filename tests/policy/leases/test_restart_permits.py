"""Permits for planned restarts."""

from support.lease_tier import LeaseTier

from plumpick.policy.leases.events import RestartPermitWanted


def test_permits_bound_who_is_out_and_a_dead_holders_permit_becomes_free():
    tier = LeaseTier(8, gateways=5, term_ms=2000, slots=2, restart_permits=2)
    tier.run(5000)
    for process in tier.processes:
        process.handle([RestartPermitWanted(True)])

    def out():
        return [
            p.number for p in tier.processes if p is not None and p.participant.permits.held() is not None
        ]

    for _ in range(200):
        tier.run(50)
        assert len(out()) <= 2
    first = out()
    assert len(first) == 2 and not tier.overlaps
    tier.kill(first[0])
    assert tier.run_until(lambda: len(out()) == 2, 8000) is not None
    tier.processes[first[1]].handle([RestartPermitWanted(False)])
    assert tier.run_until(lambda: len(out()) == 2 and first[1] not in out(), 4000) is not None
