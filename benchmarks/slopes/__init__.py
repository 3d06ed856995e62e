"""Measures the cost of each part of plumpick as a function of size: the slopes behind docs/CAPACITY.md."""
