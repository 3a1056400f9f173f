"""Retry decisions, and the budgets that limit retries over the call tree."""

from papayabay_daemon._internal.retries.arrivals import ArrivalBudget
from papayabay_daemon._internal.retries.credits import CreditAccount
from papayabay_daemon._internal.retries.decision import (
    RETRY,
    Attempts,
    RetryDecision,
    RetryRules,
)
from papayabay_daemon._internal.retries.ratio import RetryRatio
from papayabay_daemon._internal.retries.repeats import KeyAccounts, RetryDetector

__all__ = [
    "RETRY",
    "ArrivalBudget",
    "Attempts",
    "CreditAccount",
    "KeyAccounts",
    "RetryDetector",
    "RetryDecision",
    "RetryRatio",
    "RetryRules",
]
