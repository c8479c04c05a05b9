"""Limits: admission control for one service and the byte budget for links to other regions."""

from anviltray.decisions.limits._admission import Admission, UnknownTicket
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
    "ConcurrencyLimit",
    "FairQueue",
    "LinkBudget",
    "TrafficClass",
    "Queued",
    "QueuedTicket",
    "Rejected",
    "UnknownTicket",
]
