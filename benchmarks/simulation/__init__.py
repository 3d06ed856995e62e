"""Benchmarks of the seeded simulation: seeds needed to find planted bugs, comparison with real processes."""
