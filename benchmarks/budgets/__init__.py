"""Fleet-wide budgets by real processes: trials with faults, planted bugs, and what the records show."""
