"""Figures of the seeded simulation."""
