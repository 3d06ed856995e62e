"""Versioned settings: which version a gateway makes active and when, and what a service of versions answers.

No I/O and no clock: plumpick/gateway/dynamic_config/ is a gateway's client, plumpick/tools/ has the service.
"""
