"""Exhaustive exploration of all orders of events up to a given depth.

`search` is the general breadth-first search; `leases` and `shares` are the state models of lease ownership
and of budget grants.
"""
