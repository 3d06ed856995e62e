"""Cold workers under the sum of what all gateways send: N + 2 x root of N + 2, however many gateways."""

import pytest

from benchmarks.cold_workers import Tier
from plumpick.policy.load_balancing import LoadBalancer


@pytest.mark.parametrize("gateways, workers", [(3, 10), (20, 30), (60, 60)])
def test_what_all_gateways_send_a_cold_worker_stays_within_what_is_allowed(gateways, workers):
    tier = Tier(gateways, workers, 1, 0.6, 0.7)
    assert tier.play() <= 1.0 and tier.looked > 100


def test_the_check_finds_gateways_that_each_keep_within_it_alone(monkeypatch):
    """Each sends as much as it may alone, and new ones first: harmless in one, harmful in the sum."""
    right = LoadBalancer.choose

    def choose(self, now, request, group):
        cold = [one for one in self.table.warming if group is None or one in group]
        return min(cold, key=lambda one: one.in_flight) if cold else right(self, now, request, group)

    monkeypatch.setattr(LoadBalancer, "choose", choose)
    assert Tier(20, 30, 1, 0.6, 0.7).play() > 1.0
