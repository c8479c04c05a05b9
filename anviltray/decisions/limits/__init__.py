"""Limits: admission of one service, memory for callers and bytes of links to other regions."""

from anviltray.decisions.limits._admission import Admission, UnknownTicket
from anviltray.decisions.limits._caller_memory import (
    CallerMemory,
    ConnectionLoad,
    DescriptorPlan,
    choose_to_close,
    divide_descriptors,
)
from anviltray.decisions.limits._concurrency import ConcurrencyLimit
from anviltray.decisions.limits._link import LinkBudget, TrafficClass
from anviltray.decisions.limits._queue import FairQueue, QueuedTicket
from anviltray.decisions.limits._types import (
    AdmissionResult,
    AdmissionSettings,
    Admitted,
    Queued,
    Rejected,
)

__all__ = [
    "Admission",
    "AdmissionResult",
    "AdmissionSettings",
    "Admitted",
    "CallerMemory",
    "ConnectionLoad",
    "DescriptorPlan",
    "choose_to_close",
    "divide_descriptors",
    "ConcurrencyLimit",
    "FairQueue",
    "LinkBudget",
    "TrafficClass",
    "Queued",
    "QueuedTicket",
    "Rejected",
    "UnknownTicket",
]
