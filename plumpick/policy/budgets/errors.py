"""What can be wrong with a budget or its state: every error of this package derives from BudgetError."""

from __future__ import annotations


class BudgetError(ValueError):
    """Base of this package's errors."""


class InvalidBudgetError(BudgetError):
    """A budget whose limits cannot hold. The text begins with the budget's name and the operator's key."""


class BudgetMismatchError(BudgetError):
    """New budgets differ from those in service in more than limit and burst: all gateways must restart."""


class InvalidSnapshotError(BudgetError):
    """The state that the process before left describes a grant that cannot exist."""
