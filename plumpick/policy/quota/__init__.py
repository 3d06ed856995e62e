"""Customers' quotas over all gateways: each customer's units are kept in the ledger of one gateway, its quota
owner.

records.py: accounts and ledgers; requester.py: a gateway that asks for grants; owner.py: the one that grants
them; outbox.py: messages between them; liveness.py: who is unreachable; manager.py: all of it together;
hard_limits.py and bounds.py: how far limits can be passed."""
