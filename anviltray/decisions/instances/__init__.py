"""Which registered instances may get requests."""

from anviltray.decisions.instances._directory import InstanceDirectory

__all__ = ["InstanceDirectory"]
