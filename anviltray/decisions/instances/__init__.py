"""Directory of the registered instances and their eligibility for requests."""

from anviltray.decisions.instances._directory import InstanceDirectory

__all__ = ["InstanceDirectory"]
