"""Bound the work on backend servers: admission, adaptive concurrency, retry budgets."""

from .admission import Admission, AdmissionQueue
from .base_share import base_share
from .concurrency import AdaptiveConcurrency
from .models import AdmissionOutcome, Priority, Refusal, RefusalReason
from .retry_budget import RetryBudget
from .retry_schedule import RetrySchedule
from .statement_queue import StatementQueue, Ticket, TicketState

__all__ = [
    "AdaptiveConcurrency",
    "Admission",
    "AdmissionQueue",
    "AdmissionOutcome",
    "Priority",
    "Refusal",
    "RefusalReason",
    "RetryBudget",
    "RetrySchedule",
    "StatementQueue",
    "Ticket",
    "TicketState",
    "base_share",
]
