"""Test helpers: an event loop with a virtual clock, free addresses and waiting for conditions."""

from anviltray.testing._addresses import free_address
from anviltray.testing._clock import DeadlockError, VirtualClockLoop, run_with_virtual_clock
from anviltray.testing._fuzz import fuzz_settings
from anviltray.testing._waiting import ConditionTimeout, wait_until

__all__ = [
    "ConditionTimeout",
    "DeadlockError",
    "VirtualClockLoop",
    "free_address",
    "fuzz_settings",
    "run_with_virtual_clock",
    "wait_until",
]
