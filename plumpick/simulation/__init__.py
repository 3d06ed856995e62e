"""Deterministic fault simulation: runs the gateway's code on a virtual clock and network with seeded faults.

Everything runs in one thread. The simulation never uses the system clock, real sockets or system randomness,
and does not depend on hash order, so the same case always produces the same sequence of steps.
"""
