"""Retries: retry rules, the budget for extra attempts, and the delay before hedging."""

from anviltray.decisions.retries._budget import RetryBudget
from anviltray.decisions.retries._hedge import hedge_delay_s
from anviltray.decisions.retries._pool import LOAN_LIFETIME_S, LoanRequest, RetryPool
from anviltray.decisions.retries._response_times import (
    LateStage,
    ResponseTimeModel,
    ResponseTimes,
    hedge_rules,
)
from anviltray.decisions.retries._rules import rule_for

__all__ = [
    "LOAN_LIFETIME_S",
    "LateStage",
    "LoanRequest",
    "ResponseTimeModel",
    "ResponseTimes",
    "RetryBudget",
    "RetryPool",
    "hedge_delay_s",
    "hedge_rules",
    "rule_for",
]
