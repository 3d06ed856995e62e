"""Distributed customer quotas: one gateway, the quota owner, keeps the ledger of a customer's units and
grants units to the other gateways.

- records.py: data classes of accounts (requesting gateway) and ledgers (quota owner)
- requester.py: the requesting gateway; owner.py: the quota owner; manager.py: a gateway's two roles combined
- ledger.py: rules of a single ledger; hard_limits.py: static division of hard limits
- outbox.py: outgoing messages; liveness.py: detection of unreachable gateways
- reconfiguration.py: changes of settings in service; snapshot.py: export and import for a hot restart
- bounds.py: upper bounds on the units granted beyond quotas and hard limits"""
