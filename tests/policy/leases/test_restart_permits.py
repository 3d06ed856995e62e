"""Permits for planned restarts."""

from support.lease_tier import LeaseTier

from plumpick.policy.leases.events import RestartPermitWanted


def test_number_of_permit_holders_is_limited_and_permit_of_a_dead_holder_becomes_free():
    tier = LeaseTier(8, gateways=5, term_ms=2000, slots=2, restart_permits=2)
    tier.run(5000)
    for process in tier.processes:
        process.handle([RestartPermitWanted(True)])

    def permit_holders():
        return [
            p.number for p in tier.processes if p is not None and p.participant.permits.held() is not None
        ]

    for _ in range(200):
        tier.run(50)
        assert len(permit_holders()) <= 2
    first = permit_holders()
    assert len(first) == 2 and not tier.overlaps
    tier.kill(first[0])
    assert tier.run_until(lambda: len(permit_holders()) == 2, 8000) is not None
    tier.processes[first[1]].handle([RestartPermitWanted(False)])
    assert (
        tier.run_until(lambda: len(permit_holders()) == 2 and first[1] not in permit_holders(), 4000)
        is not None
    )
