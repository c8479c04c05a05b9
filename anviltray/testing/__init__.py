"""Helpers for tests: an event loop with a virtual clock, free addresses and waiting."""

from anviltray.testing._addresses import free_address
from anviltray.testing._clock import Deadlock, VirtualClockLoop, run_virtual
from anviltray.testing._fuzz import fuzz_settings
from anviltray.testing._waiting import ConditionTimeout, until

__all__ = [
    "ConditionTimeout",
    "Deadlock",
    "VirtualClockLoop",
    "free_address",
    "fuzz_settings",
    "run_virtual",
    "until",
]
