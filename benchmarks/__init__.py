"""Measurements: one command a figure."""
