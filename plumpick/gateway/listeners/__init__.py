"""Listeners, a package for each protocol. What a listener and the gateway know of one another is in
interface.py."""
