"""Simulates gray failures: compares the policy with other load balancing rules on simulated workers.

A run takes place in simulated time and is determined by its seed."""
