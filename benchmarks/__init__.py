"""Benchmarks and trials. Each module is a command that prints its figures."""
