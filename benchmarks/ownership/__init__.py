"""Trials of leases by real processes with faults between them."""
