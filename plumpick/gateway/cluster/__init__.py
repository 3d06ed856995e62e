"""Coordination between the gateways of a fleet: leases, scheduled tasks, budgets, fenced effects.

lease_runner.py: leases and tasks on the event loop; task_runs.py: runs of tasks; usage_collector.py: usage
reports of the fleet; budget_spending.py: budgets; planned_restart.py: draining under a restart permit;
process_guard.py: mutual exclusion of the processes of one gateway; status.py: replies to operators;
fenced_effects.py: effects sent with a fencing token; fence.py: check of fencing tokens, for receivers of
effects. The decisions are made in `plumpick.policy`. The package is imported only if the operator's settings
configure the fleet."""
