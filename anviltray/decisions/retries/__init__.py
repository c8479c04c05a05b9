"""Retries: retry rules, the budget for extra attempts, and the delay before hedging."""

from anviltray.decisions.retries._budget import RetryBudget
from anviltray.decisions.retries._hedge import hedge_delay_s
from anviltray.decisions.retries._rules import rule_for

__all__ = ["RetryBudget", "hedge_delay_s", "rule_for"]
