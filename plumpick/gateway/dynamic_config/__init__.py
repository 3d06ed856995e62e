"""Settings that become active without a restart, as versions from a service.

Nothing here is imported unless the operator's own file has a [configuration].
"""
