"""Helpers for tests: an event loop with a virtual clock, and free addresses."""

from anviltray.testing._addresses import free_address
from anviltray.testing._clock import Deadlock, VirtualClockLoop, run_virtual

__all__ = ["Deadlock", "VirtualClockLoop", "free_address", "run_virtual"]
