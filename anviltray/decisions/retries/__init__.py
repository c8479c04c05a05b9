"""Retries: which requests may be repeated, and how many extra attempts a service may cause."""

from anviltray.decisions.retries._budget import RetryBudget
from anviltray.decisions.retries._rules import rule_for

__all__ = ["RetryBudget", "rule_for"]
