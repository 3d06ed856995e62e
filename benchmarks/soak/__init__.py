"""A seeded soak test: several real gateways, clients that use their connections until these are closed, and
a schedule of operators' actions and faults. See `python -m benchmarks.soak --help`."""
