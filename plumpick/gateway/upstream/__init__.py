"""Connections to workers, and the attempts that are sent on them."""
