"""The capacity model: resources that a tier of a given size needs, computed from measured slopes, and the
tables of docs/CAPACITY.md. It belongs to the tools; the daemon does not import it."""
