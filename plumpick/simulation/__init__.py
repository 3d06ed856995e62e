"""Seeded fault simulation: the daemon's own code on a virtual clock and network, faults scripted from a seed.

Everything runs in one thread. Nothing here reads the system's clock, its sockets or its source of chance, and
nothing depends on hash order: the same case gives the same history, step for step.
"""
