"""A seeded soak: a tier of real gateways, clients that use their connections to the end, and a schedule of
what operators and machines do. `python -m benchmarks.soak --help`."""
