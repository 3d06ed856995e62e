"""Client for versions of the settings that a configuration service publishes, applied without a restart.

This package is imported only if the operator's file has a [configuration] table.
"""
