"""Bound work: admission, adaptive concurrency, retry budgets."""

from .admission import Admission, AdmissionQueue, Admitter
from .base_share import base_share
from .concurrency import AdaptiveConcurrency
from .models import Priority, Refusal, RefusalReason
from .retry_budget import RetryBudget
from .static_split import StaticSplitAdmission

__all__ = [
    "AdaptiveConcurrency",
    "Admission",
    "AdmissionQueue",
    "Admitter",
    "Priority",
    "Refusal",
    "RefusalReason",
    "RetryBudget",
    "StaticSplitAdmission",
    "base_share",
]
