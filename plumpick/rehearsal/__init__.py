"""The rehearsal kit: runs a whole fleet on one workstation and audits it against the five rules.

The kit talks to the gateway only over sockets and shares no code with it, because an auditor with the same
bug as the gateway would not detect that bug. `python -m plumpick` imports nothing from this package.
"""
