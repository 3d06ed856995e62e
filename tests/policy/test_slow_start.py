"""The load of cold workers summed over all gateways: with N expected attempts, at most N + 2 * sqrt(N) + 2
for any number of gateways (benchmarks/cold_workers.py)."""

import pytest

from benchmarks.cold_workers import Tier
from plumpick.policy.load_balancing import LoadBalancer


@pytest.mark.parametrize("gateways, workers", [(3, 10), (20, 30), (60, 60)])
def test_load_of_a_cold_worker_over_all_gateways_stays_within_the_limit(gateways, workers):
    tier = Tier(gateways, workers, 1, 0.6, 0.7)
    assert tier.play() <= 1.0 and tier.checked_attempts > 100


def test_check_detects_gateways_that_limit_only_their_own_part(monkeypatch):
    """Each gateway prefers cold workers and limits only its own attempts, which overloads them in the sum."""
    right = LoadBalancer.choose

    def choose(self, now, request, group):
        cold = [one for one in self.table.warming if group is None or one in group]
        return min(cold, key=lambda one: one.in_flight) if cold else right(self, now, request, group)

    monkeypatch.setattr(LoadBalancer, "choose", choose)
    assert Tier(20, 30, 1, 0.6, 0.7).play() > 1.0
