"""Bound the work on backend servers: admission, adaptive concurrency, retry budgets."""

from .admission import Admission, AdmissionQueue
from .base_share import base_share
from .concurrency import AdaptiveConcurrency
from .demoting_order import PriorityOrder, TargetOrder
from .fair_share import FairShare, RoundRobinShare, StartTimeShare
from .models import AdmissionOutcome, Priority, Refusal, RefusalReason
from .order import ArrivalOrder, QueueOrder
from .queue_load import QueueLoad
from .retry_budget import RetryBudget
from .retry_schedule import RetrySchedule
from .service_times import ServiceTimes
from .statement_queue import StatementQueue
from .ticket import Ticket, TicketState
from .work import Work

__all__ = [
    "AdaptiveConcurrency",
    "Admission",
    "AdmissionQueue",
    "AdmissionOutcome",
    "ArrivalOrder",
    "FairShare",
    "Priority",
    "PriorityOrder",
    "QueueLoad",
    "QueueOrder",
    "Refusal",
    "RefusalReason",
    "RetryBudget",
    "RetrySchedule",
    "RoundRobinShare",
    "ServiceTimes",
    "StartTimeShare",
    "StatementQueue",
    "TargetOrder",
    "Ticket",
    "TicketState",
    "Work",
    "base_share",
]
