"""Listeners, in one package for each protocol. interface.py defines the interface between a listener and the
gateway."""
