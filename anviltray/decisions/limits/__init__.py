"""Limits: admission control, allotted rates, memory for callers, bytes of links between regions."""

from anviltray.decisions.limits._admission import Admission, UnknownTicket
from anviltray.decisions.limits._allotment_votes import (
    ALL_GROUPS,
    GROUPS,
    VOTE_LIFETIME_S,
    VoteBook,
    VoteCount,
    choose_leaders,
    granted_share,
    group_of,
)
from anviltray.decisions.limits._allotments import (
    HOST_GRANT_S,
    MAX_TOKENS,
    UNKNOWN_RETRY_AFTER_S,
    ZONE_LOAN_S,
    AllotmentBounds,
    AllotmentLedger,
    AllottedRequest,
    fleet_part,
)
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
    "ALL_GROUPS",
    "GROUPS",
    "HOST_GRANT_S",
    "MAX_TOKENS",
    "UNKNOWN_RETRY_AFTER_S",
    "VOTE_LIFETIME_S",
    "ZONE_LOAN_S",
    "Admission",
    "AdmissionResult",
    "AdmissionSettings",
    "Admitted",
    "AllotmentBounds",
    "AllotmentLedger",
    "AllottedRequest",
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
    "VoteBook",
    "VoteCount",
    "choose_leaders",
    "fleet_part",
    "granted_share",
    "group_of",
]
