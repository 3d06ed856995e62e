"""Detection of clocks that drift too far apart."""

from plumpick.policy.leases.clock_rates import ClockRateChange, ClockRateMonitor, ClockSample


def test_only_clocks_beyond_the_agreed_drift_are_reported():
    for rate, diverges in ((1.02, None), (0.985, None), (1.05, True), (0.95, True)):
        monitor = ClockRateMonitor(0.01)
        changes = [
            monitor.observe(1, ClockSample(1, t - 5, t, round(t * rate))) for t in range(0, 30_000, 1000)
        ]
        assert (ClockRateChange.DIVERGED in changes) is bool(diverges), rate
    # A sample of another incarnation is not compared, because its clock starts anew.
    assert monitor.observe(1, ClockSample(2, 31_000, 31_005, 7)) is None
