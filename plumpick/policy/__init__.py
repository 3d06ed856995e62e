"""plumpick.policy: the decision module of a gateway that enforces customer quotas for a shared API.

It does no I/O: events go in, actions come out (controller.py)."""
