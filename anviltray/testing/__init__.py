"""Helpers for tests: an event loop with a virtual clock, free addresses, fuzzing settings."""

from anviltray.testing._addresses import free_address
from anviltray.testing._clock import Deadlock, VirtualClockLoop, run_virtual
from anviltray.testing._fuzz import fuzz_settings

__all__ = ["Deadlock", "VirtualClockLoop", "free_address", "fuzz_settings", "run_virtual"]
