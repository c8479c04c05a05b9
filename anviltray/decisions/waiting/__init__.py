"""Requests that wait at a host until an instance of their service has room."""

from anviltray.decisions.waiting._admission import (
    Refused,
    ServiceRoom,
    WaitingAdmission,
    Waits,
    latest_wait_s,
    start_limit,
)
from anviltray.decisions.waiting._queue import WaitingQueue, WaitingRequest
from anviltray.decisions.waiting._shares import ShortageShares

__all__ = [
    "Refused",
    "ServiceRoom",
    "ShortageShares",
    "WaitingAdmission",
    "WaitingQueue",
    "WaitingRequest",
    "Waits",
    "latest_wait_s",
    "start_limit",
]
