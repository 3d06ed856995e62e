"""The daemon's part in what is done for the whole tier: leases, scheduled tasks, budgets, fenced effects.

lease_runner.py: leases and tasks on the daemon's loop; task_runs.py: runs of tasks; usage_collector.py: the
fleet's usage; budget_spending.py: budgets; planned_restart.py: one gateway at a time is out;
process_guard.py: one process of a gateway at a time; status.py: replies to operators; fenced_effects.py:
effects under a token; fence.py: what a receiver of effects needs. `plumpick.policy` decides. Nothing here is
imported unless the operator's own settings name tasks or budgets."""
