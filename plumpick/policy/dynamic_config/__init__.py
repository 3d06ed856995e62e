"""Policy of versioned settings: when a gateway activates which version, and what a version service answers.

This package has no I/O and reads no clock; plumpick/gateway/dynamic_config/ has the client of a gateway and
plumpick/tools/ the service.
"""
