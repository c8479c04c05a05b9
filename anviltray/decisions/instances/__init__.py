"""Directory of the registered instances and their eligibility for requests."""

from anviltray.decisions.instances._directory import Departure, InstanceDirectory

__all__ = ["Departure", "InstanceDirectory"]
