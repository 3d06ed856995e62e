"""What is done for the whole tier: the runner of duties, effects under a token, fences for receivers.

It asks `plumpick.policy.leases` and `plumpick.policy.scheduled_tasks` and decides nothing. Nothing here is
imported unless the operator's own settings name duties."""
