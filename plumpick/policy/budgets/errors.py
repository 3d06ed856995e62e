"""Errors of the budgets package; all derive from BudgetError."""

from __future__ import annotations


class BudgetError(ValueError):
    """Base class of all errors about budgets."""


class InvalidBudgetError(BudgetError):
    """A setting of a budget is out of range. The text begins with the budget's name and the setting's key."""


class BudgetMismatchError(BudgetError):
    """New budgets differ from the current ones in more than limit and burst, which requires a restart of all
    gateways."""


class InvalidSnapshotError(BudgetError):
    """A state passed on by the previous process in a hot restart describes an impossible grant."""
