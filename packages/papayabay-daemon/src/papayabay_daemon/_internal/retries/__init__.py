"""Who may repeat a call, and how often over the whole call tree."""

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
